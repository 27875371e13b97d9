import * as fileSystem from "node:fs";
import type * as core from "@boragedale/core";
import * as fleet from "../demo/fleet.js";
import * as processes from "../demo/processes.js";
import type * as load from "./load.js";

/** Measures one instance in front of one engine of negligible cost. Separate processes put load on either of them. */

/** The results of the load process and the processor time that the instance used. */
export interface MeasuredLoad extends load.LoadResult {
    /** Processor time of the instance, in cores. It is 0 if the load was sent directly to the engine. */
    readonly cores: number;
}

export interface LoadSettings {
    /** The number of concurrent requests. */
    readonly tasks: number;
    readonly tokens: number;
    /** The pause between two tokens: 0 sends one token in each turn of the event loop, -1 sends all at once. */
    readonly gapMilliseconds: number;
    readonly seconds: number;
}

const ClockTicksPerSecond = 100;
const Model = "lean";

/** The processes of a measurement, all on loopback. */
export class MeasuredInstance implements AsyncDisposable {
    private readonly started: processes.StartedProcess[] = [];
    private engineUrl = "";
    private instanceUrl = "";
    private instance: processes.StartedProcess | undefined;

    static async start(): Promise<MeasuredInstance> {
        const measured = new MeasuredInstance();
        try {
            measured.engineUrl = await measured.startProgram("packages/tools/dist/src/overhead/leanEngine.js");
            await measured.startInstance();
            return measured;
        }
        catch (error) {
            await measured[Symbol.asyncDispose]();
            throw error;
        }
    }

    /** Sends load directly to the engine. */
    async measureEngine(settings: LoadSettings): Promise<MeasuredLoad> {
        return this.measure(this.engineUrl, settings, undefined);
    }

    async measureInstance(settings: LoadSettings): Promise<MeasuredLoad> {
        return this.measure(this.instanceUrl, settings, this.instance);
    }

    async [Symbol.asyncDispose](): Promise<void> {
        await Promise.all(this.started.map(each => processes.stopProcess(each, "SIGKILL")));
    }

    private async startProgram(program: string, flags: readonly string[] = []): Promise<string> {
        const started = await processes.startProcess(program, program, flags);
        this.started.push(started);
        return String(started.announcement["url"]);
    }

    private async startInstance(): Promise<void> {
        const standin = "packages/standins/dist/src/main.js";
        const keyValueUrl = await this.startProgram(standin, ["key-value", "--port", "0"]);
        const instanceListUrl = await this.startProgram(standin, ["instance-list", "--port", "0"]);
        const weightStoreUrl = await this.startProgram(standin, ["weight-store", "--port", "0"]);
        const flags = [
            ...["entry", "--instance", "entry-1", "--data-centre", "colombo-1"],
            ...["--caller-port", "0", "--operator-port", "0", "--peer-port", "0"],
            ...["--key-value-url", keyValueUrl, "--instance-list-url", instanceListUrl],
            ...["--weight-store-url", weightStoreUrl, "--log-level", "error"],
        ];
        const secrets = { BORAGEDALE_PEER_KEY: "measure-peer-key", BORAGEDALE_OPERATOR_TOKEN: fleet.OperatorToken };
        const program = "packages/cli/dist/src/main.js";
        this.instance = await processes.startProcess("entry", program, flags, secrets);
        this.started.push(this.instance);
        const description = this.instance.announcement as unknown as core.InstanceDescription;
        await fleet.putJson(`${instanceListUrl}/instances/entry-1`, description);
        await publish(this.engineUrl, description);
        this.instanceUrl = description.callerUrl;
    }

    private async measure(
        url: string,
        settings: LoadSettings,
        instance: processes.StartedProcess | undefined,
    ): Promise<MeasuredLoad> {
        const { tasks, tokens, gapMilliseconds, seconds } = settings;
        const flags = [url, fleet.CallerToken, Model, tasks, tokens, gapMilliseconds, seconds].map(String);
        const before = readTicks(instance);
        const startedAt = performance.now();
        const run = await processes.startProcess("load", "packages/tools/dist/src/overhead/load.js", flags);
        const elapsedSeconds = (performance.now() - startedAt) / 1_000;
        await run.ended;
        const cores = (readTicks(instance) - before) / ClockTicksPerSecond / elapsedSeconds;
        return { ...(run.announcement as unknown as load.LoadResult), cores };
    }
}

async function publish(engineUrl: string, description: core.InstanceDescription): Promise<void> {
    const file = `${fileSystem.mkdtempSync("/tmp/measure-")}/note.yaml`;
    fileSystem.writeFileSync(file, createNote(engineUrl));
    const variables = fleet.getOperatorVariables(description.operatorUrl);
    const published = await processes.runCommand(["publish", file, "--replaces", "0"], variables);
    if (published.code !== 0) {
        throw new Error(published.output + published.errors);
    }
}

function createNote(engineUrl: string): string {
    return `weightStore:
  concurrentLoads: 2
policy:
  batchWeight: 0.5
  retentionMilliseconds: 86400000
  onlineDeadlineMilliseconds: 60000
  batchDeadlineMilliseconds: 3600000
  itemAttempts: 3
added:
  models:
    - id: ${Model}
      version: "1.0"
      onlineFloor: 0
      batchFloor: 0
  upstreams:
    - id: engine-1
      kind: Engine
      url: ${engineUrl}
      dataCentre: colombo-1
      role: Mixed
      models: [${Model}]
      checksFencing: true
      concurrency: 1000
  services: []
  callers:
    - id: kandula
      tokenHash: ${fleet.getTokenHash()}
      weight: 1
`;
}

/**
 * Reads the user and system time that a process has used, in clock ticks. They are fields 14 and 15 of its `stat` file.
 * The fields are counted from the closing bracket of the process name, because the name may contain spaces.
 */
function readTicks(started: processes.StartedProcess | undefined): number {
    if (started?.child.pid === undefined) {
        return 0;
    }
    const text = fileSystem.readFileSync(`/proc/${started.child.pid}/stat`, "utf8");
    const fields = text.slice(text.lastIndexOf(")") + 2).split(" ");
    return Number(fields[11]) + Number(fields[12]);
}
