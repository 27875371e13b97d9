import * as childProcess from "node:child_process";
import * as fileSystem from "node:fs";
import * as http from "node:http";
import * as os from "node:os";
import * as path from "node:path";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as core from "@boragedale/core";
import * as platform from "@boragedale/platform";
import * as standins from "@boragedale/platform-standins";
import * as processes from "../src/demo/processes.js";

const suite = uvu.suite("bundle");

const LookMilliseconds = 50;

interface BundleFixture extends AsyncDisposable {
    readonly caller: string;
}

/** The bundle as it is deployed, before stand-ins of the store and one engine. */
async function createFixture(): Promise<BundleFixture> {
    const owned = new core.DisposalStack();
    const folder = fileSystem.mkdtempSync(path.join(os.tmpdir(), "boragedale-bundle-"));
    owned.defer(() => fileSystem.rmSync(folder, { recursive: true }));
    const store = owned.use(await standins.startStoreServer());
    standins.writeConfiguration(store.metadata, { version: 1 });
    const engine = owned.use(
        await standins.startUpstreamServer({ id: "engine", events: 5, eventMilliseconds: 1, isEngine: true }),
    );
    standins.writeUpstream(store.metadata, "engine", "engines", engine.address);
    childProcess.execFileSync(process.execPath, ["deploy/bundle.mjs"], { cwd: processes.RootFolder });
    const settings = path.join(folder, "settings.json");
    fileSystem.writeFileSync(settings, JSON.stringify(createSettings(store.address)));
    const gateway = await processes.startProcess("gateway", "target/boragedale.mjs", ["gateway"], {
        BORAGEDALE_SETTINGS: settings,
    });
    gateway.child.stdout?.resume();
    owned.defer(async () => void (await processes.stopProcess(gateway, "SIGKILL")));
    return {
        caller: String(gateway.announcement["address"]),
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
        peerKey: "key of the bundle's test",
    };
}

function send(address: string, target: string): Promise<{ readonly status: number; readonly body: string }> {
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

// The deployed file takes only parts of some libraries. When it left out the one that gives undici's pools their calls, every
// instance started, found no configuration, and answered 503 to all callers all day, while each test of the sources passed.
suite("the deployed file serves a stream", async () => {
    await using fixture = await createFixture();
    let answer = await send(fixture.caller, "/stream/x");
    for (let look = 0; answer.status === 503 && look < 100; look++) {
        await new Promise(resolve => setTimeout(resolve, LookMilliseconds));
        answer = await send(fixture.caller, "/stream/x");
    }
    assert.is(answer.status, 200);
    assert.is(answer.body.split("\n\n").length, 6);
});

suite.run();
