import * as fileSystem from "node:fs";
import * as http from "node:http";
import * as os from "node:os";
import * as path from "node:path";
import * as core from "@boragedale/core";
import * as platform from "@boragedale/platform";
import * as standins from "@boragedale/platform-standins";
import * as processes from "./demo/processes.js";

/**
 * Plays the whole path on the users' platform: gateways as separate processes before stand-ins of the store, engines and a
 * service. Ends with 0 only when every promise held.
 */

const GatewayCount = 3;
const EngineCount = 3;
const ItemCount = 20;
const Program = "packages/daemon/dist/src/main.js";
const LookMilliseconds = 50;
/** Requests of a window that the demo's limited customer may send. */
const LimitedRequests = 4;

interface Gateway {
    readonly process: processes.StartedProcess;
    readonly caller: string;
}

interface World {
    readonly store: standins.StoreServer;
    readonly engines: readonly standins.UpstreamServer[];
    readonly gateways: Gateway[];
    readonly folder: string;
}

let failures = 0;

await main();

async function main(): Promise<void> {
    await using stack = new core.DisposalStack();
    const world = await startWorld(stack);
    await showStream(world);
    await showResumedStream(world);
    await showSubmission(world);
    await showFullEngines(world);
    await showBrokenStream(world);
    await showCustomers(world);
    await showKill(world);
    await showStop(world);
    console.log(failures === 0 ? "every promise held" : `${failures} promises broken`);
    process.exitCode = failures === 0 ? 0 : 1;
}

async function startWorld(stack: core.DisposalStack): Promise<World> {
    const folder = fileSystem.mkdtempSync(path.join(os.tmpdir(), "boragedale-platform-"));
    stack.defer(() => fileSystem.rmSync(folder, { recursive: true }));
    const store = stack.use(await standins.startStoreServer());
    standins.writeConfiguration(store.metadata, { version: 1 });
    const engines: standins.UpstreamServer[] = [];
    for (let index = 0; index < EngineCount; index++) {
        const id = `engine-${index}`;
        const engine = await standins.startUpstreamServer({ id, events: 20, eventMilliseconds: 20, isEngine: true });
        standins.writeUpstream(store.metadata, id, "engines", engine.address);
        engines.push(stack.use(engine));
    }
    const world: World = { store, engines, gateways: [], folder };
    for (let index = 0; index < GatewayCount; index++) {
        world.gateways.push(await startGateway(world, `gateway-${index}`, stack));
    }
    report("gateways are ready", true, `${GatewayCount} processes`);
    return world;
}

async function startGateway(world: World, name: string, stack: core.DisposalStack): Promise<Gateway> {
    const file = path.join(world.folder, `${name}.json`);
    const settings = {
        instance: name,
        dataCentre: "a",
        storeAddress: world.store.address,
        callerAddress: "127.0.0.1:0",
        readinessAddress: "127.0.0.1:0",
        peerAddress: "127.0.0.1:0",
        peerKey: "key of the demo",
        balancerMilliseconds: 200,
    };
    fileSystem.writeFileSync(file, JSON.stringify(settings));
    const started = await processes.startProcess(name, Program, ["gateway"], { BORAGEDALE_SETTINGS: file });
    stack.defer(async () => {
        started.child.kill("SIGKILL");
        await started.ended;
    });
    keepLog(name, started);
    const caller = String(started.announcement["address"]);
    await waitFor(async () => (await send(caller, "/none/x", "GET")).status === 404);
    return { process: started, caller };
}

/** With `--logs FOLDER` each process's log stays there, for `boragedale explain`. */
function keepLog(name: string, started: processes.StartedProcess): void {
    const folder = process.argv[3];
    if (process.argv[2] !== "--logs" || folder === undefined) {
        started.child.stdout?.resume();
        return;
    }
    fileSystem.mkdirSync(folder, { recursive: true });
    started.child.stdout?.pipe(fileSystem.createWriteStream(path.join(folder, `${name}.log`)));
}

async function showStream(world: World): Promise<void> {
    const answer = await send(getCaller(world, 0), "/stream/x", "POST", "r1", "prompt");
    report("a stream passes whole", answer.body.split("\n\n").length === 21, `${answer.status}`);
}

async function showResumedStream(world: World): Promise<void> {
    // One engine stays sound: a route allows three attempts.
    world.engines.slice(1).forEach(engine => Object.assign(engine.faults, { breaks: 1, breakAfterEvents: 5 }));
    const answer = await send(getCaller(world, 1), "/stream/x", "POST", "r2", "prompt");
    world.engines.forEach(engine => (engine.faults.breaks = 0));
    report("a stream that breaks off is taken up elsewhere", answer.body.split("\n\n").length === 21, "one answer");
}

async function showSubmission(world: World): Promise<void> {
    const accepted = await submit(world, 0, "s1");
    const again = await submit(world, 1, "s1");
    report("a submission is accepted once, however often it comes", accepted === 202 && again === 202, "202, 202");
    const count = await waitForResults(world, 2, "s1");
    report("its results are read at another gateway", count === ItemCount, `${count} of ${ItemCount}`);
}

async function showFullEngines(world: World): Promise<void> {
    world.engines.forEach(engine => (engine.faults.isFull = true));
    const answer = await send(getCaller(world, 0), "/stream/x", "POST", "r4", "prompt");
    world.engines.forEach(engine => (engine.faults.isFull = false));
    const isHonest = answer.status === 503 && world.engines.every(engine => !hasReceived(engine, "r4"));
    report("a refusal that says not run is true", isHonest, `${answer.status}`);
}

async function showBrokenStream(world: World): Promise<void> {
    world.engines.forEach(engine => Object.assign(engine.faults, { breaks: 1, breakAfterEvents: 2 }));
    const answer = await send(getCaller(world, 1), "/stream/x", "POST", "r5", "prompt");
    world.engines.forEach(engine => (engine.faults.breaks = 0));
    report("a stream that can't be finished doesn't look finished", !answer.isComplete, "after three engines");
}

/** Keys and limits of customers at all gateways, then none any more. */
async function showCustomers(world: World): Promise<void> {
    const limited = { name: "limited", keys: ["limited-key"], requestsPerSecond: 0.2, burst: LimitedRequests - 1 };
    const customers = [limited, { name: "plain", keys: ["old-key", "kept-key"] }];
    const statuses = (key: string, prefix: string): Promise<number[]> =>
        Promise.all(
            world.gateways.map(async ({ caller }, index) => {
                const answer = await send(caller, "/stream/x", "POST", `${prefix}-${index}`, "prompt", key);
                return answer.status;
            }),
        );
    standins.writeConfiguration(world.store.metadata, { version: 2, customers });
    await waitFor(async () => (await statuses("no-key", "c0")).every(status => status === 401));
    const known = await statuses("old-key", "c1");
    const withoutOld = [limited, { name: "plain", keys: ["kept-key"] }];
    standins.writeConfiguration(world.store.metadata, { version: 3, customers: withoutOld });
    const takenAt = performance.now();
    await waitFor(async () => (await statuses("old-key", "c2")).every(status => status === 401));
    const milliseconds = Math.round(performance.now() - takenAt);
    const kept = await statuses("kept-key", "c3");
    const isTakenAway = [...known, ...kept].every(status => status === 200);
    report("a key that is taken away stops at every gateway", isTakenAway, `after ${milliseconds} ms`);
    const answers: number[] = [];
    for (let round = 0; round < LimitedRequests; round++) {
        answers.push(...(await statuses("limited-key", `c4-${round}`)));
    }
    const granted = answers.filter(status => status === 200).length;
    const isHeld = granted === LimitedRequests && answers.every(status => status === 200 || status === 429);
    report("a limit holds over all gateways", isHeld, `${granted} of ${answers.length} ran`);
    standins.writeConfiguration(world.store.metadata, { version: 4 });
    await waitFor(async () => (await statuses("no-key", "c5")).every(status => status === 200));
}

function hasReceived(engine: standins.UpstreamServer, attempt: string): boolean {
    return engine.received.some(request => request.attempt === attempt);
}

async function showKill(world: World): Promise<void> {
    const accepted = await submit(world, 0, "s2");
    const victim = world.gateways[0];
    victim?.process.child.kill("SIGKILL");
    await victim?.process.ended;
    const count = await waitForResults(world, 1, "s2");
    report("a killed gateway's submission is finished by another", accepted === 202 && count === ItemCount, `${count}`);
}

async function showStop(world: World): Promise<void> {
    const stopped = world.gateways[1];
    const streaming = send(getCaller(world, 1), "/stream/x", "POST", "r3", "prompt");
    await waitFor(() => world.engines.some(engine => hasReceived(engine, "r3")));
    stopped?.process.child.kill("SIGTERM");
    const answer = await streaming;
    const code = await stopped?.process.ended;
    const isWhole = answer.isComplete && answer.body.split("\n\n").length === 21;
    report("a planned stop cuts off nothing", isWhole && code === 0, `exit code ${code}`);
}

async function submit(world: World, gateway: number, id: string): Promise<number> {
    const items = [...new Array(ItemCount).keys()].map(index => ({
        Id: `${id}-${index}`,
        Path: "/batch/x",
        Headers: {},
        Body: Buffer.from(`item ${index}`).toString("base64"),
        Tokens: 10,
    }));
    const answer = await send(getCaller(world, gateway), "/batch/x", "POST", id, JSON.stringify({ Items: items }));
    return answer.status;
}

async function waitForResults(world: World, gateway: number, id: string): Promise<number> {
    const target = `${platform.names.SubmissionPathPrefix}${id}?After=0`;
    let count = 0;
    await waitFor(async () => {
        const answer = await send(getCaller(world, gateway), target, "GET");
        const page = answer.status === 200 ? (JSON.parse(answer.body) as { Results: unknown[] }) : { Results: [] };
        count = page.Results.length;
        return count === ItemCount;
    });
    return count;
}

interface Answer {
    readonly status: number;
    readonly body: string;
    readonly isComplete: boolean;
}

async function send(
    address: string,
    target: string,
    method: string,
    attempt = "x",
    body = "",
    key?: string,
): Promise<Answer> {
    const headers = {
        Host: standins.DemoHost,
        [platform.names.AttemptIdHeader]: attempt,
        ...(key === undefined ? {} : { Authorization: `Bearer ${key}` }),
    };
    return new Promise<Answer>((resolve, reject) => {
        const request = http.request(`http://${address}${target}`, { method, headers, agent: false }, response => {
            let text = "";
            response.on("data", (data: Buffer) => (text += data.toString()));
            response.on("close", () =>
                resolve({ status: response.statusCode ?? 0, body: text, isComplete: response.complete }),
            );
            response.on("error", () => undefined);
        });
        request.on("error", reject);
        request.end(body);
    });
}

function getCaller(world: World, index: number): string {
    return core.Debug.checkDefined(world.gateways[index], "the demo started it").caller;
}

/** Asks until it is so; whoever started the demo ends it when that never comes. */
async function waitFor(check: () => Promise<boolean> | boolean): Promise<void> {
    while (!(await check())) {
        await new Promise(resolve => setTimeout(resolve, LookMilliseconds));
    }
}

function report(promise: string, isKept: boolean, detail: string): void {
    failures += isKept ? 0 : 1;
    console.log(`${isKept ? "kept  " : "BROKEN"} ${promise} (${detail})`);
}
