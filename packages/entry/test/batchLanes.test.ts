import * as assert from "node:assert/strict";
import * as uvu from "uvu";
import * as core from "@boragedale/core";
import * as standins from "@boragedale/standins";
import * as upstreams from "@boragedale/upstreams";
import * as work from "@boragedale/work";
import * as dispatch from "../src/dispatch/index.js";
import * as fixtures from "./dispatchFixtures.js";

const suite = uvu.suite("batch coordinator");

/** Answers with two tokens and runs until it is cancelled. Answers a resumed run to the end. */
async function* answerSlowly(
    request: upstreams.EngineRequest,
    signal: AbortSignal,
): AsyncGenerator<upstreams.EngineEvent> {
    if (request.resumeAfter !== undefined) {
        yield* fixtures.answerWhole(request);
        return;
    }
    yield { kind: upstreams.EngineEventKind.Accepted };
    for (const text of fixtures.wholeAnswer.slice(0, 2)) {
        yield { kind: upstreams.EngineEventKind.Token, text, tokens: 1 };
    }
    while (!signal.aborted) {
        await new Promise<void>(resolve => setImmediate(resolve));
    }
    const failure = { kind: upstreams.EngineFailureKind.Cancelled, text: "cancelled" };
    yield { kind: upstreams.EngineEventKind.Failed, failure };
}

function createItem(index: number): work.JobItem {
    const body = { model: "model-1", messages: [{ role: "user", content: `notice ${index}` }] };
    return { index, customId: `item-${index}`, method: "POST", url: "/v1/chat/completions", body };
}

function createContext(clock: core.Clock): work.ItemContext {
    return { job: "job-1", caller: "caller-1", generation: 1, deadlineAt: clock.wallNow() + 10_000_000 };
}

suite("only the coordinator of an upstream sends it batch items", async () => {
    // Three instances have items. If each sent as many as it considered right, the engine would hold three times the
    // batch work that any of them knows of. Only the engine's coordinator has slots for it.
    const engines = { "engine-1": new fixtures.ScriptedEngine(fixtures.answerWhole) };
    const hub = new standins.MemoryPeerHub();
    const clock = new core.VirtualClock();
    const live = ["instance-1", "instance-2", "instance-3"];
    const fleet = live.map(instance => fixtures.createDispatcherFixture({ engines, hub, clock, live, instance }));
    await clock.advance(10_000);
    const free = fleet.map(fixture => fixture.dispatcher.getFreeBatchSlots());
    assert.equal(free.filter(slots => slots > 0).length, 1);
    const outcomes = await Promise.all(
        fleet.map(fixture => {
            const executor = new dispatch.DispatchingItemExecutor({ clock, dispatcher: fixture.dispatcher });
            return executor.execute(createItem(1), createContext(clock), fixtures.neverAborted);
        }),
    );
    const done = outcomes.map(outcome => outcome.kind === work.ItemOutcomeKind.Succeeded);
    assert.deepEqual(
        done,
        free.map(slots => slots > 0),
    );
    assert.ok(
        outcomes.every((outcome, index) => done[index] === true || outcome.kind === work.ItemOutcomeKind.GaveWay),
    );
    await Promise.all(fleet.map(fixture => fixture[Symbol.asyncDispose]()));
});

suite("batch streams give way to a burst on another instance and later resume with their tokens", async () => {
    // Batch items fill an idle engine, and another instance then sends it a burst of online requests. That instance
    // reports the burst to the engine's coordinator at once, which cancels streams. The items use up no attempt. When
    // they run again, the engine generates only what follows the saved text, and the answer equals that of an
    // uninterrupted run.
    const engine = new fixtures.ScriptedEngine(answerSlowly);
    const hub = new standins.MemoryPeerHub();
    const clock = new core.VirtualClock();
    const live = ["instance-1", "instance-2"];
    const create = (instance: string): fixtures.DispatcherFixture<core.VirtualClock> =>
        fixtures.createDispatcherFixture({ engines: { "engine-1": engine }, hub, clock, live, instance });
    const both = [create("instance-1"), create("instance-2")];
    await clock.advance(10_000);
    const coordinator = core.Debug.checkDefined(
        both.find(fixture => fixture.dispatcher.getFreeBatchSlots() > 0),
        "coordinator",
    );
    const other = core.Debug.checkDefined(
        both.find(fixture => fixture !== coordinator),
        "other",
    );
    const executor = new dispatch.DispatchingItemExecutor({ clock, dispatcher: coordinator.dispatcher });
    const run = (index: number): Promise<work.ItemOutcome> =>
        executor.execute(createItem(index), createContext(clock), fixtures.neverAborted);
    // A new coordinator starts slowly and uses half of the slots until the previous one must have noticed the change.
    await clock.advance(6_000);
    const ended = new Map<number, work.ItemOutcome>();
    let count = 0;
    while (executor.getFreeSlots() > 0) {
        const index = count++;
        void run(index).then(outcome => ended.set(index, outcome));
        await clock.advance(10);
    }
    assert.ok(count > 2);
    const controller = new AbortController();
    const online = Array.from({ length: 8 }, (...[, index]: [unknown, number]) =>
        fixtures.collectAnswer(
            other.dispatcher.complete(
                fixtures.createCompletion({ id: `online-${index}`, deadlineAt: clock.now() + 30_000 }),
                controller.signal,
            ),
        ),
    );
    await clock.advance(200);
    const shifted = coordinator.telemetry.timeLine.read({ number: 507 });
    assert.ok(shifted.length > 0);
    assert.ok(ended.size > 0);
    assert.ok([...ended.values()].every(outcome => outcome.kind === work.ItemOutcomeKind.GaveWay));
    const resumed = core.Debug.checkDefined([...ended.keys()][0], "an item that gave way");
    controller.abort();
    await Promise.all(online);
    // After a burst, the gate waits for a while before it allows batch streams again.
    for (let waits = 0; waits < 500 && executor.getFreeSlots() === 0; waits++) {
        await clock.advance(5_000);
    }
    const again = await run(resumed);
    assert.ok(again.kind === work.ItemOutcomeKind.Succeeded);
    const body = again.body as { choices: readonly { message: { content: string } }[] };
    assert.equal(body.choices[0]?.message.content, fixtures.wholeAnswer.join(""));
    assert.equal(engine.requests.at(-1)?.resumeAfter?.text, fixtures.wholeAnswer.slice(0, 2).join(""));
    await Promise.all(both.map(fixture => fixture[Symbol.asyncDispose]()));
});

suite("an engine that returns from a version change has all its batch slots at once", async () => {
    // A rollout takes the engine out for some seconds, and its coordinator stays the same. If the coordinator treated
    // the return as a hand-over, batch work would find only half of the slots. Over a whole rollout that would leave
    // engines idle for half a minute.
    let finishStreams: () => void = () => undefined;
    const areFinished = new Promise<void>(resolve => (finishStreams = resolve));
    const engine = new fixtures.ScriptedEngine(async function* (request) {
        yield { kind: upstreams.EngineEventKind.Accepted };
        yield { kind: upstreams.EngineEventKind.Token, text: fixtures.wholeAnswer[0] ?? "", tokens: 1 };
        await areFinished;
        yield* fixtures.answerWhole({ ...request, resumeAfter: { text: fixtures.wholeAnswer[0] ?? "", tokens: 1 } });
    });
    await using fixture = fixtures.createDispatcherFixture({ engines: { "engine-1": engine } });
    const executor = new dispatch.DispatchingItemExecutor(fixture);
    const context = createContext(fixture.clock);
    const running: Promise<unknown>[] = [];
    const startItems = async (): Promise<number> => {
        const before = engine.requests.length;
        for (let index = 0; index < 20; index++) {
            running.push(executor.execute(createItem(running.length), context, fixtures.neverAborted));
            await fixture.clock.advance(20);
        }
        return engine.requests.length - before;
    };
    assert.ok(fixture.dispatcher.getFreeBatchSlots() > 0);
    await fixture.clock.advance(10_000);
    running.push(executor.execute(createItem(running.length), context, fixtures.neverAborted));
    engine.isLeaving = true;
    await fixture.clock.advance(2_000);
    engine.isLeaving = false;
    await fixture.clock.advance(1_000);
    const returned = 1 + (await startItems());
    await fixture.clock.advance(10_000);
    const later = returned + (await startItems());
    finishStreams();
    await Promise.all(running);
    assert.ok(later > 2, "the engine has slots for batch work");
    assert.equal(returned, later);
});

suite("no batch stream starts on an engine whose memory is nearly full, even if it has free slots", async () => {
    // Long answers have filled the engine's memory while slots are free. More batch work would leave no memory for the
    // next online request, which would then wait inside the engine, where it can't be prioritised.
    const engine = new fixtures.ScriptedEngine(fixtures.answerWhole);
    await using fixture = fixtures.createDispatcherFixture({ engines: { "engine-1": engine } });
    await fixture.clock.advance(10_000);
    assert.ok(fixture.dispatcher.getFreeBatchSlots() > 0);
    engine.load = { running: 3, waiting: 0, cacheUsage: 0.99, ageMilliseconds: 0 };
    await fixture.clock.advance(2_000);
    assert.equal(fixture.dispatcher.getFreeBatchSlots(), 0);
});

suite("no instance sends new work to an engine that reports that it is leaving", async () => {
    // The engine reports that it is leaving while the release note still lists it. Its coordinator polls this and
    // notifies the other instances. A few seconds later, no instance sends it batch or online work.
    const leaving = new fixtures.ScriptedEngine(fixtures.answerWhole);
    const staying = new fixtures.ScriptedEngine(fixtures.answerWhole);
    const engines = { "engine-1": leaving, "engine-2": staying };
    const hub = new standins.MemoryPeerHub();
    const clock = new core.VirtualClock();
    const live = ["instance-1", "instance-2"];
    const fleet = live.map(instance => fixtures.createDispatcherFixture({ engines, hub, clock, live, instance }));
    leaving.isLeaving = true;
    await clock.advance(2_000);
    for (let index = 0; index < 20; index++) {
        const body = { messages: [{ role: "user", content: `prompt ${index}` }] };
        const request = fixtures.createCompletion({ id: `request-${index}`, body });
        const fixture = core.Debug.checkDefined(fleet[index % 2], "instance");
        await fixtures.collectAnswer(fixture.dispatcher.complete(request, fixtures.neverAborted));
    }
    assert.equal(leaving.requests.length, 0);
    assert.equal(staying.requests.length, 20);
    leaving.isLeaving = false;
    await clock.advance(12_000);
    assert.ok(fleet.some(fixture => fixture.dispatcher.getFreeBatchSlots() > 0));
    await Promise.all(fleet.map(fixture => fixture[Symbol.asyncDispose]()));
});

suite.run();
