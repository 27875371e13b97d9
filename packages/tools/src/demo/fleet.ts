import * as crypto from "node:crypto";
import * as undici from "undici";
import type * as core from "@boragedale/core";
import * as processes from "./processes.js";

/** Secrets of the demo fleet. They can be fixed because the fleet listens on loopback only. */
export const OperatorToken = "demo-operator-token";
export const CallerToken = "demo-caller-token";
const PeerKey = "demo-peer-key";

const EngineCount = 4;
/** The data centre of each instance. There are two, so that some requests are forwarded between data centres. */
const InstanceDataCentres = ["colombo-1", "colombo-1", "colombo-2"];

/** The processes of the demo and their addresses. */
export interface Fleet extends AsyncDisposable {
    readonly keyValueUrl: string;
    readonly instanceListUrl: string;
    readonly weightStoreUrl: string;
    readonly engineUrls: readonly string[];
    readonly bookingUrl: string;
    readonly instances: RunningInstance[];
}

export interface RunningInstance {
    readonly process: processes.StartedProcess;
    readonly description: core.InstanceDescription;
}

/** Starts the stand-ins, then three entry instances. If `firstPort` is undefined, they listen on free ports. */
export async function startFleet(firstPort: number | undefined): Promise<Fleet> {
    const started: processes.StartedProcess[] = [];
    const instances: RunningInstance[] = [];
    const start = async (kind: string, flags: readonly string[] = []): Promise<string> => {
        const standin = await startStandin(kind, flags);
        started.push(standin);
        return String(standin.announcement["url"]);
    };
    const keyValueUrl = await start("key-value");
    const instanceListUrl = await start("instance-list");
    const weightStoreUrl = await start("weight-store");
    // The engines are slowed down so that the batch is still running when an instance is killed.
    const engineFlags = ["--weight-store", weightStoreUrl, "--base-step", "15"];
    const engineUrls = await Promise.all(Array.from({ length: EngineCount }, () => start("engine", engineFlags)));
    const bookingUrl = await start("service");
    const fleet: Fleet = {
        keyValueUrl,
        instanceListUrl,
        weightStoreUrl,
        engineUrls,
        bookingUrl,
        instances,
        [Symbol.asyncDispose]: async () => {
            const all = [...instances.map(instance => instance.process), ...started];
            await Promise.all(all.map(each => processes.stopProcess(each, "SIGKILL")));
        },
    };
    for (let index = 0; index < InstanceDataCentres.length; index++) {
        await startInstance(fleet, index, firstPort);
    }
    return fleet;
}

/** Starts instance `index` and adds it to the instance list, as the platform does in production. */
export async function startInstance(
    fleet: Fleet,
    index: number,
    firstPort: number | undefined,
    name = `entry-${index + 1}`,
): Promise<RunningInstance> {
    const flags = [
        "entry",
        ...["--instance", name],
        ...["--data-centre", InstanceDataCentres[index] ?? "colombo-1"],
        ...["--caller-port", String(firstPort === undefined ? 0 : firstPort + index)],
        ...["--operator-port", String(firstPort === undefined ? 0 : firstPort + 100 + index)],
        ...["--peer-port", "0"],
        ...["--drain-grace", "500"],
        ...["--key-value-url", fleet.keyValueUrl],
        ...["--instance-list-url", fleet.instanceListUrl],
        ...["--weight-store-url", fleet.weightStoreUrl],
        ...["--log-level", process.env["DEMO_LOG_LEVEL"] ?? "error"],
    ];
    const secrets = { BORAGEDALE_PEER_KEY: PeerKey, BORAGEDALE_OPERATOR_TOKEN: OperatorToken };
    const started = await processes.startProcess(name, "packages/cli/dist/src/main.js", flags, secrets);
    const description = started.announcement as unknown as core.InstanceDescription;
    const instance = { process: started, description };
    fleet.instances[index] = instance;
    await putJson(`${fleet.instanceListUrl}/instances/${name}`, description);
    return instance;
}

export function getOperatorVariables(url: string): Record<string, string> {
    return { BORAGEDALE_OPERATOR_URL: url, BORAGEDALE_OPERATOR_TOKEN: OperatorToken };
}

export function getTokenHash(): string {
    return crypto.createHash("sha256").update(CallerToken).digest("hex");
}

export async function putJson(url: string, body: unknown): Promise<void> {
    const response = await undici.fetch(url, {
        method: "PUT",
        body: JSON.stringify(body),
        headers: { "content-type": "application/json" },
    });
    await response.text();
    if (!response.ok) {
        throw new Error(`PUT ${url} answered ${response.status}`);
    }
}

async function startStandin(kind: string, flags: readonly string[]): Promise<processes.StartedProcess> {
    return processes.startProcess(kind, "packages/standins/dist/src/main.js", [kind, "--port", "0", ...flags]);
}
