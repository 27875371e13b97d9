import * as fileSystem from "node:fs";
import * as http from "node:http";
import * as os from "node:os";
import * as path from "node:path";
import * as core from "@boragedale/core";
import * as platform from "@boragedale/platform";
import * as standins from "@boragedale/platform-standins";
import * as processes from "./demo/processes.js";

/**
 * Checks the guarantees of the gateways on the users' platform from end to end: the gateways run as separate processes in
 * front of stand-ins of the store and the engines. Exits with 0 only if every guarantee held.
 */

const GatewayCount = 3;
const EngineCount = 3;
const ItemCount = 20;
const Program = "packages/daemon/dist/src/main.js";
const PollMilliseconds = 50;
/** The number of requests that the rate-limited customer may send within one window of its limit. */
const LimitedCustomerRequests = 4;

interface Gateway {
    readonly process: processes.StartedProcess;
    readonly caller: string;
}

interface DemoEnvironment {
    readonly store: standins.StoreServer;
    readonly engines: readonly standins.UpstreamServer[];
    readonly gateways: Gateway[];
    readonly folder: string;
}

let failures = 0;

await main();

async function main(): Promise<void> {
    await using stack = new core.DisposalStack();
    const environment = await startEnvironment(stack);
    await showStream(environment);
    await showResumedStream(environment);
    await showSubmission(environment);
    await showFullEngines(environment);
    await showBrokenStream(environment);
    await showCustomers(environment);
    await showKill(environment);
    await showStop(environment);
    console.log(failures === 0 ? "every promise held" : `${failures} promises broken`);
    process.exitCode = failures === 0 ? 0 : 1;
}

async function startEnvironment(stack: core.DisposalStack): Promise<DemoEnvironment> {
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
    const environment: DemoEnvironment = { store, engines, gateways: [], folder };
    for (let index = 0; index < GatewayCount; index++) {
        environment.gateways.push(await startGateway(environment, `gateway-${index}`, stack));
    }
    report("gateways are ready", true, `${GatewayCount} processes`);
    return environment;
}

async function startGateway(environment: DemoEnvironment, name: string, stack: core.DisposalStack): Promise<Gateway> {
    const file = path.join(environment.folder, `${name}.json`);
    const settings = {
        instance: name,
        dataCentre: "a",
        storeAddress: environment.store.address,
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
    saveLog(name, started);
    const caller = String(started.announcement["address"]);
    await waitFor(async () => (await send(caller, "/none/x", "GET")).status === 404);
    return { process: started, caller };
}

/** With `--logs FOLDER`, writes the log of each process to that folder, where `boragedale explain` can read it. */
function saveLog(name: string, started: processes.StartedProcess): void {
    const folder = process.argv[3];
    if (process.argv[2] !== "--logs" || folder === undefined) {
        started.child.stdout?.resume();
        return;
    }
    fileSystem.mkdirSync(folder, { recursive: true });
    started.child.stdout?.pipe(fileSystem.createWriteStream(path.join(folder, `${name}.log`)));
}

async function showStream(environment: DemoEnvironment): Promise<void> {
    const answer = await send(getCaller(environment, 0), "/stream/x", "POST", "r1", "prompt");
    report("a stream passes whole", answer.body.split("\n\n").length === 21, `${answer.status}`);
}

async function showResumedStream(environment: DemoEnvironment): Promise<void> {
    // A route allows three attempts, so one engine must not break the stream.
    environment.engines.slice(1).forEach(engine => Object.assign(engine.faults, { breaks: 1, breakAfterEvents: 5 }));
    const answer = await send(getCaller(environment, 1), "/stream/x", "POST", "r2", "prompt");
    environment.engines.forEach(engine => (engine.faults.breaks = 0));
    report("a stream that breaks off is taken up elsewhere", answer.body.split("\n\n").length === 21, "one answer");
}

async function showSubmission(environment: DemoEnvironment): Promise<void> {
    const accepted = await submit(environment, 0, "s1");
    const again = await submit(environment, 1, "s1");
    report("a submission is accepted once, however often it comes", accepted === 202 && again === 202, "202, 202");
    const count = await waitForResults(environment, 2, "s1");
    report("its results are read at another gateway", count === ItemCount, `${count} of ${ItemCount}`);
}

async function showFullEngines(environment: DemoEnvironment): Promise<void> {
    environment.engines.forEach(engine => (engine.faults.isFull = true));
    const answer = await send(getCaller(environment, 0), "/stream/x", "POST", "r4", "prompt");
    environment.engines.forEach(engine => (engine.faults.isFull = false));
    const isRejectedWithoutRun =
        answer.status === 503 && environment.engines.every(engine => !hasReceived(engine, "r4"));
    report("a refusal that says not run is true", isRejectedWithoutRun, `${answer.status}`);
}

async function showBrokenStream(environment: DemoEnvironment): Promise<void> {
    environment.engines.forEach(engine => Object.assign(engine.faults, { breaks: 1, breakAfterEvents: 2 }));
    const answer = await send(getCaller(environment, 1), "/stream/x", "POST", "r5", "prompt");
    environment.engines.forEach(engine => (engine.faults.breaks = 0));
    report("a stream that can't be finished doesn't look finished", !answer.isComplete, "after three engines");
}

/** Checks customers' keys and rate limits at all gateways, then removes the customers again. */
async function showCustomers(environment: DemoEnvironment): Promise<void> {
    const limited = {
        name: "limited",
        keys: ["limited-key"],
        requestsPerSecond: 0.2,
        burst: LimitedCustomerRequests - 1,
    };
    const customers = [limited, { name: "plain", keys: ["old-key", "kept-key"] }];
    const statuses = (key: string, prefix: string): Promise<number[]> =>
        Promise.all(
            environment.gateways.map(async ({ caller }, index) => {
                const answer = await send(caller, "/stream/x", "POST", `${prefix}-${index}`, "prompt", key);
                return answer.status;
            }),
        );
    standins.writeConfiguration(environment.store.metadata, { version: 2, customers });
    await waitFor(async () => (await statuses("no-key", "c0")).every(status => status === 401));
    const known = await statuses("old-key", "c1");
    const customersWithoutOldKey = [limited, { name: "plain", keys: ["kept-key"] }];
    standins.writeConfiguration(environment.store.metadata, { version: 3, customers: customersWithoutOldKey });
    const removedAt = performance.now();
    await waitFor(async () => (await statuses("old-key", "c2")).every(status => status === 401));
    const milliseconds = Math.round(performance.now() - removedAt);
    const kept = await statuses("kept-key", "c3");
    const isOnlyOldKeyRejected = [...known, ...kept].every(status => status === 200);
    report("a key that is taken away stops at every gateway", isOnlyOldKeyRejected, `after ${milliseconds} ms`);
    const answers: number[] = [];
    for (let round = 0; round < LimitedCustomerRequests; round++) {
        answers.push(...(await statuses("limited-key", `c4-${round}`)));
    }
    const granted = answers.filter(status => status === 200).length;
    const isHeld = granted === LimitedCustomerRequests && answers.every(status => status === 200 || status === 429);
    report("a limit holds over all gateways", isHeld, `${granted} of ${answers.length} ran`);
    standins.writeConfiguration(environment.store.metadata, { version: 4 });
    await waitFor(async () => (await statuses("no-key", "c5")).every(status => status === 200));
}

function hasReceived(engine: standins.UpstreamServer, attempt: string): boolean {
    return engine.received.some(request => request.attempt === attempt);
}

async function showKill(environment: DemoEnvironment): Promise<void> {
    const accepted = await submit(environment, 0, "s2");
    const victim = environment.gateways[0];
    victim?.process.child.kill("SIGKILL");
    await victim?.process.ended;
    const count = await waitForResults(environment, 1, "s2");
    report("a killed gateway's submission is finished by another", accepted === 202 && count === ItemCount, `${count}`);
}

async function showStop(environment: DemoEnvironment): Promise<void> {
    const stopped = environment.gateways[1];
    const streaming = send(getCaller(environment, 1), "/stream/x", "POST", "r3", "prompt");
    await waitFor(() => environment.engines.some(engine => hasReceived(engine, "r3")));
    stopped?.process.child.kill("SIGTERM");
    const answer = await streaming;
    const code = await stopped?.process.ended;
    const isWhole = answer.isComplete && answer.body.split("\n\n").length === 21;
    report("a planned stop cuts off nothing", isWhole && code === 0, `exit code ${code}`);
}

async function submit(environment: DemoEnvironment, gateway: number, id: string): Promise<number> {
    const items = [...new Array(ItemCount).keys()].map(index => ({
        Id: `${id}-${index}`,
        Path: "/batch/x",
        Headers: {},
        Body: Buffer.from(`item ${index}`).toString("base64"),
        Tokens: 10,
    }));
    const answer = await send(
        getCaller(environment, gateway),
        "/batch/x",
        "POST",
        id,
        JSON.stringify({ Items: items }),
    );
    return answer.status;
}

async function waitForResults(environment: DemoEnvironment, gateway: number, id: string): Promise<number> {
    const target = `${platform.names.SubmissionPathPrefix}${id}?After=0`;
    let count = 0;
    await waitFor(async () => {
        const answer = await send(getCaller(environment, gateway), target, "GET");
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

function getCaller(environment: DemoEnvironment, index: number): string {
    return core.Debug.checkDefined(environment.gateways[index], "the demo started it").caller;
}

/** Polls until `check` succeeds. There is no timeout: if it never succeeds, the demo has to be ended from outside. */
async function waitFor(check: () => Promise<boolean> | boolean): Promise<void> {
    while (!(await check())) {
        await new Promise(resolve => setTimeout(resolve, PollMilliseconds));
    }
}

function report(guarantee: string, isHeld: boolean, detail: string): void {
    failures += isHeld ? 0 : 1;
    console.log(`${isHeld ? "kept  " : "BROKEN"} ${guarantee} (${detail})`);
}
