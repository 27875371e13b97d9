import childProcess from "node:child_process";
import fileSystem from "node:fs";
import http from "node:http";
import net from "node:net";
import os from "node:os";
import path from "node:path";

/** The project's root: the gateways run there, with the command of the deploy file. */
export const Root = path.resolve(import.meta.dirname, "../..");

/** A record of what was sent, answered and run; kept in memory and written at the end. */
export function createRecord() {
    const startedAt = Date.now();
    const lines = [];
    const record = text => lines.push(`${((Date.now() - startedAt) / 1000).toFixed(3).padStart(8)}  ${text}`);
    return { record, lines };
}

export async function sleep(milliseconds) {
    await new Promise(resolve => setTimeout(resolve, milliseconds));
}

/** Finds a free port below those that the system gives to outgoing connections, which could take it before the gateway starts. */
async function findFreePort() {
    for (;;) {
        const port = 20_000 + Math.floor(Math.random() * 12_000);
        const server = net.createServer();
        const isFree = await new Promise(resolve => {
            server.once("error", () => resolve(false));
            server.listen(port, "127.0.0.1", () => resolve(true));
        });
        if (isFree) {
            await new Promise(resolve => server.close(resolve));
            return port;
        }
    }
}

/** The command of a role in the deploy file, split at spaces. */
function readCommand(role) {
    const text = fileSystem.readFileSync(path.join(Root, "deploy/system.toml"), "utf8");
    const section = text.slice(text.indexOf(`[roles.${role}]`));
    const run = /^run = "([^"]+)"$/m.exec(section);
    return run[1].split(" ");
}

/** Gateways as separate processes, with settings as deploy/instance.tpl renders them for a small deployment. */
export class Deployment {
    constructor(record, storeAddress) {
        this.record = record;
        this.storeAddress = storeAddress;
        this.folder = fileSystem.mkdtempSync(path.join(os.tmpdir(), "boragedale-review-"));
        this.gateways = [];
    }

    /** Chooses the addresses of all gateways first, since each of them is told those of the first three. */
    async plan(names) {
        for (const name of names) {
            const address = async () => `127.0.0.1:${await findFreePort()}`;
            this.gateways.push({
                name,
                caller: await address(),
                ready: await address(),
                peer: await address(),
                metrics: await address(),
                events: [],
            });
        }
        return this.gateways;
    }

    start(gateway) {
        const file = path.join(this.folder, `${gateway.name}.json`);
        const settings = {
            instance: gateway.name,
            dataCentre: "zone-a",
            storeAddress: gateway.storeAddress ?? this.storeAddress,
            callerAddress: gateway.caller,
            readinessAddress: gateway.ready,
            peerAddress: gateway.peer,
            peerSeeds: this.gateways.slice(0, 3).map(({ peer }) => peer),
            metricsAddress: gateway.metrics,
            peerKey: "replace-this-key-before-opening-the-network",
            graceMilliseconds: 8000,
            retentionMilliseconds: 120000,
            batchReserve: "demand",
        };
        fileSystem.writeFileSync(file, JSON.stringify(settings));
        const [program, ...flags] = readCommand("gateway");
        const child = childProcess.spawn(program === "node" ? process.execPath : program, flags, {
            cwd: Root,
            env: { PATH: process.env.PATH, HOME: process.env.HOME, BORAGEDALE_SETTINGS: file },
            stdio: ["ignore", "pipe", "pipe"],
        });
        gateway.child = child;
        gateway.ended = new Promise(resolve => child.on("close", resolve));
        let rest = "";
        child.stdout.on("data", data => {
            const lines = (rest + data.toString()).split("\n");
            rest = lines.pop();
            lines.forEach(line => gateway.events.push(line));
        });
        child.stderr.on("data", data => this.record(`${gateway.name} stderr: ${data.toString().trim()}`));
        this.record(`${gateway.name}: started, pid ${child.pid}`);
    }

    async waitUntilReady(gateway, milliseconds = 15_000) {
        const until = Date.now() + milliseconds;
        while (Date.now() < until) {
            const answer = await send(gateway.ready, { method: "GET", target: "/boragedale/readyz" });
            if (answer.status === 200) {
                this.record(`${gateway.name}: ready`);
                return true;
            }
            await sleep(50);
        }
        return false;
    }

    async stop() {
        for (const gateway of this.gateways) {
            if (gateway.child !== undefined) {
                gateway.child.kill("SIGKILL");
                await gateway.ended;
            }
        }
        fileSystem.rmSync(this.folder, { recursive: true, force: true });
    }
}

/** Sends a request on a channel of its own. Status 0: no answer. */
export async function send(address, { method, target, headers = {}, body = "", milliseconds = 5_000 }) {
    return new Promise(resolve => {
        const options = { method, headers: { Host: "small.example", ...headers }, agent: false };
        let text = "";
        let status = 0;
        let answerHeaders = {};
        let isComplete = false;
        const request = http.request(`http://${address}${target}`, options, response => {
            status = response.statusCode;
            answerHeaders = response.headers;
            response.on("data", data => (text += data.toString()));
            response.on("error", () => undefined);
            response.on("end", () => (isComplete = response.complete));
        });
        const timer = setTimeout(() => request.destroy(), milliseconds);
        request.on("error", () => undefined);
        request.on("close", () => {
            clearTimeout(timer);
            resolve({ status, headers: answerHeaders, text, isComplete });
        });
        request.end(body);
    });
}
