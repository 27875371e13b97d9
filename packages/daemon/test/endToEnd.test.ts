import * as platform from "@boragedale/platform";
import * as standins from "@boragedale/platform-standins";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as fixtures from "./fixtures.js";

const suite = uvu.suite("endToEnd");

const AttemptId = platform.names.AttemptIdHeader;

function formatEvents(count: number): string {
    return [...new Array(count).keys()].map(id => `id: ${id}\ndata: token ${id}\n\n`).join("");
}

function createSubmission(itemCount: number): string {
    const items = [...new Array(itemCount).keys()].map(index => ({
        Id: `item-${index}`,
        Path: `/batch/item/${index}`,
        Headers: {},
        Body: Buffer.from(`body ${index}`).toString("base64"),
        Tokens: 10,
    }));
    return JSON.stringify({ Items: items });
}

interface Page {
    readonly Total: number;
    readonly Next: number;
    readonly Results: readonly { readonly Id: string; readonly State: string; readonly Text: string }[];
}

async function readPage(address: string, submission: string, after = 0): Promise<Page> {
    const answer = await fixtures.get(address, `${platform.names.SubmissionPathPrefix}${submission}?After=${after}`);
    assert.is(answer.status, 200);
    return JSON.parse(answer.body) as Page;
}

suite("requests pass unchanged and answers come back whole", async () => {
    await using world = await fixtures.startPlatform(1);
    const { caller } = world.gateways[0]!.addresses;
    const target = "/safe/a%2Fb//c?x=1&x=2";
    const answer = await fixtures.send(caller, target, { headers: { [AttemptId]: "r1" }, body: "hello" });
    assert.is(answer.status, 200);
    assert.is(answer.body, "answer to r1");
    const received = world.service.received[0];
    assert.is(received?.target, target);
    assert.is(received?.body, "hello");
    assert.ok(Number(received?.timeout) <= 2_000);
});

suite("a stream passes as its events come", async () => {
    await using world = await fixtures.startPlatform(1);
    const { caller } = world.gateways[0]!.addresses;
    const answer = await fixtures.send(caller, "/stream/x", { headers: { [AttemptId]: "r1" }, body: "prompt" });
    assert.is(answer.body, formatEvents(8));
    assert.is(answer.isComplete, true);
});

// The engine breaks off in the middle of an event. The caller, whose stream may be resumed, sees one whole answer.
suite("a stream that breaks off is taken up elsewhere within one answer", async () => {
    await using world = await fixtures.startPlatform(1);
    const { caller } = world.gateways[0]!.addresses;
    world.engines.forEach(engine => Object.assign(engine.faults, { breaks: 1, breakAfterEvents: 3 }));
    const answer = await fixtures.send(caller, "/stream/x", { headers: { [AttemptId]: "r1" }, body: "prompt" });
    assert.is(answer.body, formatEvents(8));
    assert.is(answer.isComplete, true);
});

// The caller leaves in the middle of its stream; the engine must see the connection close, or its place stays taken.
suite("a caller that leaves frees the engine", async () => {
    await using world = await fixtures.startPlatform(1, 1);
    const { caller } = world.gateways[0]!.addresses;
    const sent = fixtures.send(caller, "/stream/x", {
        headers: { [AttemptId]: "r1" },
        body: "prompt",
        onData: (text, request) => request.destroy(),
    });
    await sent.catch(() => undefined);
    await fixtures.waitUntil(() => world.engines[0]!.getRunning() === 0);
});

suite("no route is 404, and a new configuration is taken without a restart", async () => {
    await using world = await fixtures.startPlatform(1);
    const { caller, metrics } = world.gateways[0]!.addresses;
    assert.is((await fixtures.send(caller, "/none/x", { headers: { [AttemptId]: "r1" } })).status, 404);
    standins.writeConfiguration(world.store.metadata, { version: 8 });
    await fixtures.waitUntil(async () => {
        const text = (await fixtures.get(metrics!, "/metrics")).body;
        return text.includes("boragedale_configuration_version 8");
    });
});

suite("a full service's proof that nothing ran is passed on with a time to come back", async () => {
    await using world = await fixtures.startPlatform(1);
    world.service.faults.isFull = true;
    const { caller } = world.gateways[0]!.addresses;
    const answer = await fixtures.send(caller, "/once/x", { headers: { [AttemptId]: "r1" } });
    assert.is(answer.status, 503);
    assert.ok(Number(answer.headers["retry-after"]) > 0);
    assert.is(world.service.received.length, 0);
});

// A second answer on a kept connection must not become the answer to the next caller's request.
suite("a second answer on a connection reaches nobody", async () => {
    await using world = await fixtures.startPlatform(1);
    world.service.faults.sendsTwice = true;
    const { caller } = world.gateways[0]!.addresses;
    for (let index = 0; index < 5; index++) {
        const answer = await fixtures.send(caller, "/safe/x", { headers: { [AttemptId]: `r${index}` } });
        assert.is(answer.body, `answer to r${index}`);
    }
});

suite("a submission is kept, run and read at any gateway, and its end is final", async () => {
    await using world = await fixtures.startPlatform(2);
    const [first, second] = world.gateways.map(gateway => gateway.addresses.caller);
    const request = { headers: { [AttemptId]: "s1" }, body: createSubmission(12) };
    assert.is((await fixtures.send(first!, "/batch/s1", request)).status, 202);
    assert.is((await fixtures.send(second!, "/batch/s1", request)).status, 202);
    await fixtures.waitUntil(async () => (await readPage(second!, "s1")).Results.length === 12);
    const page = await readPage(first!, "s1", 5);
    assert.is(page.Total, 12);
    assert.is(page.Next, 12);
    assert.is(page.Results.length, 7);
    page.Results.forEach(result => assert.is(result.Text.split("\n").length, 8));
    const body = await fixtures.get(second!, `${platform.names.ItemPathPrefix}s1?Id=item-3`);
    assert.is(body.body, "body 3");
    const path = `${platform.names.SubmissionPathPrefix}s1`;
    assert.is((await fixtures.send(second!, path, { method: "DELETE" })).status, 200);
    assert.is((await fixtures.send(first!, path, { method: "DELETE" })).status, 200);
    assert.is((await readPage(first!, "s1", 0)).Results.length, 12);
    assert.is((await fixtures.get(first!, `${platform.names.SubmissionPathPrefix}none`)).status, 404);
});

// A planned stop: the balancer still sends for two seconds, and a stream is running. Nothing is cut off.
suite("a planned stop answers what comes until the balancer knows", async () => {
    await using world = await fixtures.startPlatform(2);
    const { caller, readiness } = world.gateways[0]!.addresses;
    const stopped = world.gateways[0]!.stop();
    assert.is((await fixtures.get(readiness, "/")).status, 503);
    const answer = await fixtures.send(caller, "/stream/x", { headers: { [AttemptId]: "r1" }, body: "prompt" });
    assert.is(answer.body, formatEvents(8));
    assert.is(answer.isComplete, true);
    await stopped;
});

// The balancer goes on sending to a gateway that stops, since too few others are left. A request that it takes in its last
// second is cut off with the process; a connection that it refuses makes the caller go elsewhere at once.
suite("a gateway that stops refuses new connections once the balancer has had its time", async () => {
    await using world = await fixtures.startPlatform(1);
    const { caller } = world.gateways[0]!.addresses;
    world.service.faults.isSilent = true;
    const last = fixtures.send(caller, "/safe/x", { headers: { [AttemptId]: "r1" } }).catch(() => undefined);
    await fixtures.waitUntil(() => world.service.received.length > 0);
    const stopped = world.gateways[0]!.stop();
    await fixtures.waitUntil(async () => {
        const answer = await fixtures.send(caller, "/none/x").catch(() => undefined);
        return answer === undefined;
    });
    // The request in progress still has its time: its route ends it.
    assert.is((await last)?.status, 504);
    await stopped;
});

// A gateway is started anew while the store is away. It would answer every caller with "no configuration"; a seed tells it what
// the others know.
suite("a gateway that starts in an outage of the store learns from a seed", async () => {
    await using world = await fixtures.startPlatform(1);
    const seed = world.gateways[0]!.addresses.peer;
    world.store.faults.isDown = true;
    const late = await fixtures.startGateway("late", world.store.address, [seed]);
    await fixtures.waitUntil(async () => (await fixtures.get(late.addresses.readiness, "/")).status === 200);
    const answer = await fixtures.send(late.addresses.caller, "/safe/x", { headers: { [AttemptId]: "r1" } });
    assert.is(answer.body, "answer to r1");
    world.store.faults.isDown = false;
    await late.stop();
});

suite.run();
