import * as fileSystem from "node:fs";
import type * as core from "@boragedale/core";
import * as fleet from "./demo/fleet.js";
import * as processes from "./demo/processes.js";
import type * as load from "./overhead/load.js";

/**
 * Measures what an instance adds against going straight to the engine: `npm run measure:overhead`. Everything runs as
 * separate processes on loopback; straight and through the instance take turns, so that a busy machine hits both.
 */

interface Scenario {
    readonly name: string;
    readonly tasks: number;
    readonly tokens: number;
    readonly gap: number;
}

interface Row extends load.LoadResult {
    readonly scenario: string;
    readonly way: string;
    /** Processor time of the instance, in cores; for the straight way 0. */
    readonly cores: number;
}

const Scenarios: readonly Scenario[] = [
    { name: "one token, 1 at a time", tasks: 1, tokens: 1, gap: -1 },
    { name: "8 tokens, 64 at a time", tasks: 64, tokens: 8, gap: -1 },
    { name: "100 tokens every 31 ms, 200 at a time", tasks: 200, tokens: 100, gap: 31 },
    { name: "400 tokens at once, 64 at a time", tasks: 64, tokens: 400, gap: -1 },
    { name: "400 tokens one by one, 64 at a time", tasks: 64, tokens: 400, gap: 0 },
];
const Seconds = Number(process.env["MEASURE_SECONDS"] ?? 6);
const TicksPerSecond = 100;
const Model = "lean";

const started: processes.StartedProcess[] = [];
try {
    const engineUrl = await start("packages/tools/dist/src/overhead/leanEngine.js");
    const instance = await startInstance(engineUrl);
    const rows: Row[] = [];
    for (const scenario of Scenarios) {
        rows.push(await measure(scenario, "straight", engineUrl, undefined));
        rows.push(await measure(scenario, "instance", instance.url, instance.process));
    }
    console.table(rows.map(formatRow));
}
finally {
    await Promise.all(started.map(each => processes.stopProcess(each, "SIGKILL")));
}

async function start(program: string, flags: readonly string[] = []): Promise<string> {
    const process = await processes.startProcess(program, program, flags);
    started.push(process);
    return String(process.announcement["url"]);
}

interface MeasuredInstance {
    readonly url: string;
    readonly process: processes.StartedProcess;
}

async function startInstance(engineUrl: string): Promise<MeasuredInstance> {
    const standin = "packages/standins/dist/src/main.js";
    const keyValueUrl = await start(standin, ["key-value", "--port", "0"]);
    const instanceListUrl = await start(standin, ["instance-list", "--port", "0"]);
    const weightStoreUrl = await start(standin, ["weight-store", "--port", "0"]);
    const flags = [
        ...["entry", "--instance", "entry-1", "--data-centre", "colombo-1"],
        ...["--caller-port", "0", "--operator-port", "0", "--peer-port", "0"],
        ...["--key-value-url", keyValueUrl, "--instance-list-url", instanceListUrl],
        ...["--weight-store-url", weightStoreUrl, "--log-level", "error"],
    ];
    const secrets = { BORAGEDALE_PEER_KEY: "measure-peer-key", BORAGEDALE_OPERATOR_TOKEN: fleet.OperatorToken };
    const program = "packages/cli/dist/src/main.js";
    const process = await processes.startProcess("entry", program, flags, secrets);
    started.push(process);
    const description = process.announcement as unknown as core.InstanceDescription;
    await fleet.putJson(`${instanceListUrl}/instances/entry-1`, description);
    await publish(engineUrl, description);
    return { url: description.callerUrl, process };
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

async function measure(
    scenario: Scenario,
    way: string,
    url: string,
    instance: processes.StartedProcess | undefined,
): Promise<Row> {
    const flags = [url, fleet.CallerToken, Model, scenario.tasks, scenario.tokens, scenario.gap, Seconds].map(String);
    const before = readTicks(instance);
    const startedAt = performance.now();
    console.error(`${scenario.name}, ${way}`);
    const run = await processes.startProcess("load", "packages/tools/dist/src/overhead/load.js", flags);
    const seconds = (performance.now() - startedAt) / 1_000;
    await run.ended;
    const cores = (readTicks(instance) - before) / TicksPerSecond / seconds;
    const result = run.announcement as unknown as load.LoadResult;
    return { ...result, scenario: scenario.name, way, cores: Number(cores.toFixed(2)) };
}

/** Processor time that a process has used, in clock ticks; fields 14 and 15 behind the name in brackets. */
function readTicks(started: processes.StartedProcess | undefined): number {
    if (started?.child.pid === undefined) {
        return 0;
    }
    const text = fileSystem.readFileSync(`/proc/${started.child.pid}/stat`, "utf8");
    const fields = text.slice(text.lastIndexOf(")") + 2).split(" ");
    return Number(fields[11]) + Number(fields[12]);
}

function formatRow(row: Row): Readonly<Record<string, string | number>> {
    return {
        scenario: row.scenario,
        way: row.way,
        "requests/s": row.requestsPerSecond,
        "tokens/s": row.tokensPerSecond,
        errors: row.errors,
        "first token p50 ms": row.firstTokenP50,
        "p99 ms": row.firstTokenP99,
        "token p50 ms": row.tokenP50,
        "token p99 ms": row.tokenP99,
        "instance cores": row.cores,
    };
}
