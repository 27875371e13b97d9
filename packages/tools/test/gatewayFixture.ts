import * as fileSystem from "node:fs";
import * as http from "node:http";
import * as os from "node:os";
import * as path from "node:path";
import * as core from "@boragedale/core";
import * as platform from "@boragedale/platform";
import * as standins from "@boragedale/platform-standins";
import * as processes from "../src/demo/processes.js";

const PollMilliseconds = 50;
const MaximumPolls = 100;

export interface GatewayFixture extends AsyncDisposable {
    readonly gateway: processes.StartedProcess;
    readonly send: (target: string) => Promise<GatewayAnswer>;
}

export interface GatewayAnswer {
    readonly status: number;
    readonly body: string;
}

/** Starts a gateway as a separate process, with stand-ins of the store and of one engine that sends five events. */
export async function createGatewayFixture(program: string): Promise<GatewayFixture> {
    const owned = new core.DisposalStack();
    const folder = fileSystem.mkdtempSync(path.join(os.tmpdir(), "boragedale-gateway-"));
    owned.defer(() => fileSystem.rmSync(folder, { recursive: true }));
    const store = owned.use(await standins.startStoreServer());
    standins.writeConfiguration(store.metadata, { version: 1 });
    const engine = owned.use(
        await standins.startUpstreamServer({ id: "engine", events: 5, eventMilliseconds: 1, isEngine: true }),
    );
    standins.writeUpstream(store.metadata, "engine", "engines", engine.address);
    const settings = path.join(folder, "settings.json");
    fileSystem.writeFileSync(settings, JSON.stringify(createSettings(store.address)));
    const gateway = await processes.startProcess("gateway", program, ["gateway"], { BORAGEDALE_SETTINGS: settings });
    owned.defer(async () => void (await processes.stopProcess(gateway, "SIGKILL")));
    const send = (target: string): Promise<GatewayAnswer> =>
        sendRequest(String(gateway.announcement["address"]), target);
    await waitUntilReady(send);
    return {
        gateway,
        send,
        [Symbol.asyncDispose]: () => owned[Symbol.asyncDispose](),
    };
}

function createSettings(storeAddress: string): Readonly<Record<string, string>> {
    return {
        instance: "gateway",
        dataCentre: "a",
        storeAddress,
        callerAddress: "127.0.0.1:0",
        readinessAddress: "127.0.0.1:0",
        peerAddress: "127.0.0.1:0",
        peerKey: "key of the tests",
    };
}

/** Waits until the gateway has its configuration. Before that it answers 503; then 404 for a path without a route. */
async function waitUntilReady(send: (target: string) => Promise<GatewayAnswer>): Promise<void> {
    for (let poll = 0; poll < MaximumPolls; poll++) {
        if ((await send("/none/x")).status === 404) {
            return;
        }
        await new Promise(resolve => setTimeout(resolve, PollMilliseconds));
    }
    throw new Error("the gateway did not load its configuration");
}

function sendRequest(address: string, target: string): Promise<GatewayAnswer> {
    return new Promise((resolve, reject) => {
        const headers = { Host: standins.DemoHost, [platform.names.AttemptIdHeader]: "a1", "Content-Length": 6 };
        const request = http.request(`http://${address}${target}`, { method: "POST", headers }, response => {
            const chunks: Buffer[] = [];
            response.on("data", (chunk: Buffer) => chunks.push(chunk));
            response.on("end", () =>
                resolve({ status: response.statusCode ?? 0, body: Buffer.concat(chunks).toString() }),
            );
        });
        request.on("error", reject);
        request.end("prompt");
    });
}
