import * as childProcess from "node:child_process";
import * as path from "node:path";
import * as uvu from "uvu";
import * as assert from "uvu/assert";

const suite = uvu.suite("stand-ins as processes");
const MainFile = path.resolve(import.meta.dirname, "../src/main.js");

interface StandinProcess {
    readonly standin: string;
    readonly url: string;
    readonly child: childProcess.ChildProcess;
    readonly exit: Promise<number>;
}

async function start(...flags: readonly string[]): Promise<StandinProcess> {
    const child = childProcess.spawn(process.execPath, [MainFile, ...flags], { stdio: ["ignore", "pipe", "inherit"] });
    const exit = new Promise<number>(resolve => child.on("exit", code => resolve(code ?? -1)));
    const line = await new Promise<string>(resolve =>
        child.stdout.once("data", (data: Buffer) => resolve(data.toString())),
    );
    const { standin, url } = JSON.parse(line) as { readonly standin: string; readonly url: string };
    return { standin, url, child, exit };
}

for (const name of ["key-value", "engine", "service", "weight-store", "instance-list"]) {
    suite(`${name} prints its URL, accepts faults and exits on SIGTERM`, async () => {
        const running = await start(name, "--port", "0");
        assert.is(running.standin, name);
        const headers = { "content-type": "application/json" };
        const body = JSON.stringify({ isDown: true });
        const response = await fetch(`${running.url}/faults`, { method: "PUT", headers, body });
        assert.is(((await response.json()) as { readonly isDown: boolean }).isDown, true);
        running.child.kill("SIGTERM");
        assert.is(await running.exit, 0);
    });
}

// A prompt with the crash marker ends the engine's process, like a request that crashes an engine: the caller's
// connection breaks, and nothing listens on the port until the engine is started again.
suite("a prompt with the crash marker ends the engine's process", async () => {
    const running = await start("engine", "--port", "0", "--models", "m@1");
    const headers = { "content-type": "application/json" };
    const body = JSON.stringify({ model: "m", messages: [{ role: "user", content: "[[crash]]" }] });
    const isBroken = await fetch(`${running.url}/v1/chat/completions`, { method: "POST", headers, body }).then(
        () => false,
        () => true,
    );
    assert.ok(isBroken);
    assert.is(await running.exit, 70);
});

suite.run();
