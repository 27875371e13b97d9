import * as gateway from "@boragedale/gateway";
import * as fastCheck from "fast-check";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as fixtures from "./fixtures.js";
import * as scenes from "./forwarderScenes.js";

const suite = uvu.suite("requestForwarder");

// The upstream of a resumable stream crashes within an event. The caller must receive one answer that contains every event once:
// the incomplete event is dropped, and another upstream continues after the last complete one.
suite("a resumable stream continues at another upstream within the same answer", async () => {
    const scene = await scenes.createScene({ isResumable: true });
    const [first] = scene.channels.attempts;
    scenes.startAnswer(first!);
    scenes.sendEvents(first!, 0, 3);
    first!.handler.onData(Buffer.from("id: 4\nda"));
    first!.handler.onFailure({ kind: gateway.ExchangeFailureKind.Broken, text: "reset" });
    await scene.clock.advance(1);
    const second = scene.channels.attempts[1];
    assert.is(second?.after, "3");
    assert.is.not(second?.upstream, first?.upstream);
    scenes.startAnswer(second!);
    scenes.sendEvents(second!, 4, 6);
    second!.handler.onComplete();
    await scene.done;
    assert.is(scene.response.body, scenes.formatEvents(0, 6));
    assert.is(scene.response.destroyed, false);
});

// On a route with a short timeout upstreams answer 504, which is not a failure of the upstream: avoiding it would overload the
// others. Two answers with status 500 are failures.
suite("an upstream is avoided after repeated errors, but not after passed deadlines", async () => {
    for (const [status, isAvoided] of [
        [504, false],
        [500, true],
    ] as const) {
        const scene = await scenes.createScene({ kind: gateway.RouteKind.Unsafe, attempts: 1 });
        const answer = async (attempt: scenes.Attempt): Promise<void> => {
            attempt.handler.onSent();
            attempt.handler.onHeaders(status, scenes.validHeaders, "");
            attempt.handler.onComplete();
            await scene.clock.advance(1);
        };
        await answer(scene.channels.attempts[0]!);
        await scene.forwardAgain();
        await answer(scene.channels.attempts[1]!);
        const [first, second] = scene.channels.attempts.map(attempt => attempt.upstream);
        assert.is(first, second);
        assert.is(scene.slotTable.isPenalized(first!, scene.clock.now()), isAvoided, `status ${status}`);
    }
});

// In a large fleet, the slot is requested from a coordinator, which takes some milliseconds. The caller disconnects in the
// meantime. The request must not be sent, and the coordinator must be able to grant the slot to another member.
suite("a request whose caller disconnects while a slot is requested is not sent", async () => {
    const scene = await scenes.createScene({}, { grantMilliseconds: 20 });
    scene.response.destroy();
    await scene.clock.advance(100);
    await scene.done;
    assert.equal(scene.channels.attempts, []);
    assert.equal(scene.releasedSlots, ["a"]);
});

suite("a slot that the coordinator grants is used, and its release is reported", async () => {
    const scene = await scenes.createScene({}, { grantMilliseconds: 5 });
    await scene.clock.advance(10);
    const [attempt] = scene.channels.attempts;
    assert.is(attempt?.upstream, "a");
    scenes.startAnswer(attempt!);
    scenes.sendEvents(attempt!, 0, 3);
    attempt!.handler.onComplete();
    await scene.clock.advance(50);
    assert.equal(scene.releasedSlots, ["a"]);
});

const closedHeaders = scenes.validHeaders;
const chunkedHeaders = [...scenes.validHeaders, "Transfer-Encoding", "chunked"];

// Guards against an empty answer that a caller takes as complete because an upstream closed the connection before its first event.
suite("a stream that ends with its connection and has no event continues at another upstream", async () => {
    const scene = await scenes.createScene({ isResumable: true });
    const [first] = scene.channels.attempts;
    first!.handler.onSent();
    first!.handler.onHeaders(200, closedHeaders, "OK");
    first!.handler.onComplete();
    await scene.clock.advance(1);
    const second = scene.channels.attempts[1];
    assert.is(second?.after, undefined);
    assert.is(scene.response.headersSent, false);
    scenes.startAnswer(second!);
    scenes.sendEvents(second!, 0, 3);
    second!.handler.onComplete();
    await scene.done;
    assert.is(scene.response.body, scenes.formatEvents(0, 3));
});

// Guards against a resumed stream that a caller takes as complete because the second upstream closed the connection at once.
suite("a resumed stream that ends with its connection and has no event is not complete", async () => {
    const scene = await scenes.createScene({ isResumable: true });
    const [first] = scene.channels.attempts;
    scenes.startAnswer(first!);
    scenes.sendEvents(first!, 0, 3);
    first!.handler.onFailure({ kind: gateway.ExchangeFailureKind.Broken, text: "reset" });
    await scene.clock.advance(1);
    scenes.startAnswer(scene.channels.attempts[1]!);
    scene.channels.attempts[1]!.handler.onComplete();
    await scene.done;
    assert.is(scene.response.destroyed, true);
});

suite("a stream without events whose end is framed is complete", async () => {
    const scene = await scenes.createScene({ isResumable: true });
    const [first] = scene.channels.attempts;
    first!.handler.onSent();
    first!.handler.onHeaders(200, chunkedHeaders, "OK");
    first!.handler.onComplete();
    await scene.done;
    assert.is(scene.channels.attempts.length, 1);
    assert.is(scene.response.status, 200);
    assert.is(scene.response.destroyed, false);
});

// A stream that is not resumable breaks off. The caller must not take the end for a regular one, so its connection is closed.
suite("a stream that is not resumable ends with a closed connection and isn't repeated", async () => {
    const scene = await scenes.createScene({ isResumable: false });
    const [first] = scene.channels.attempts;
    scenes.startAnswer(first!);
    scenes.sendEvents(first!, 0, 3);
    first!.handler.onFailure({ kind: gateway.ExchangeFailureKind.Broken, text: "reset" });
    await scene.done;
    assert.is(scene.channels.attempts.length, 1);
    assert.is(scene.response.destroyed, true);
});

suite("a request that may run only once isn't repeated after its connection broke", async () => {
    const scene = await scenes.createScene({ kind: gateway.RouteKind.Unsafe, attempts: 3 });
    const [first] = scene.channels.attempts;
    first!.handler.onSent();
    first!.handler.onFailure({ kind: gateway.ExchangeFailureKind.Broken, text: "reset" });
    await scene.done;
    assert.is(scene.channels.attempts.length, 1);
    assert.equal(scene.log.refusals, [gateway.RefusalReason.UpstreamFailed]);
});

suite("a request that may run only once goes to another upstream after proof that it did not run", async () => {
    const scene = await scenes.createScene({ kind: gateway.RouteKind.Unsafe, attempts: 1 });
    const [first] = scene.channels.attempts;
    first!.handler.onSent();
    first!.handler.onHeaders(503, ["attempt", "r", "not-run", "1"], "");
    first!.handler.onComplete();
    await scene.clock.advance(1);
    const second = scene.channels.attempts[1];
    scenes.startAnswer(second!);
    second!.handler.onData(Buffer.from("done"));
    second!.handler.onComplete();
    await scene.done;
    assert.is(scene.response.status, 200);
    assert.is(scene.response.body, "done");
});

// Guards against requests that use up their attempts at upstreams that have ended and whose addresses others use now.
suite("an upstream whose address another one uses is avoided like an unreachable one", async () => {
    const scene = await scenes.createScene({ kind: gateway.RouteKind.Unsafe, attempts: 1 });
    const [first] = scene.channels.attempts;
    first!.handler.onSent();
    first!.handler.onHeaders(421, ["attempt", "r"], "");
    first!.handler.onComplete();
    await scene.clock.advance(500);
    assert.is(scene.slotTable.isPenalized(first!.upstream, scene.clock.now()), true);
    assert.is.not(scene.channels.attempts[1]?.upstream, first!.upstream);
    scene.response.destroy();
    await scene.done;
});

// An upstream sends a late answer to an earlier request instead of the expected one. The caller must not receive it.
suite("an answer to another request is not relayed", async () => {
    const scene = await scenes.createScene({ kind: gateway.RouteKind.Safe });
    const [first] = scene.channels.attempts;
    first!.handler.onSent();
    first!.handler.onHeaders(200, ["attempt", "other", "stamp", "x"], "OK");
    await scene.clock.advance(1);
    assert.is(first!.isStopped, true);
    const second = scene.channels.attempts[1];
    scenes.startAnswer(second!);
    second!.handler.onData(Buffer.from("own"));
    second!.handler.onComplete();
    await scene.done;
    assert.is(scene.response.body, "own");
});

suite("part of a non-streaming answer is never relayed", async () => {
    const scene = await scenes.createScene({ kind: gateway.RouteKind.Safe });
    const [first] = scene.channels.attempts;
    scenes.startAnswer(first!);
    first!.handler.onData(Buffer.from("half"));
    first!.handler.onFailure({ kind: gateway.ExchangeFailureKind.Broken, text: "cut" });
    await scene.clock.advance(1);
    const second = scene.channels.attempts[1];
    scenes.startAnswer(second!);
    second!.handler.onData(Buffer.from("whole"));
    second!.handler.onComplete();
    await scene.done;
    assert.is(scene.response.body, "whole");
});

suite("an event out of order is not relayed", async () => {
    const scene = await scenes.createScene({ isResumable: true });
    const [first] = scene.channels.attempts;
    scenes.startAnswer(first!);
    scenes.sendEvents(first!, 0, 2);
    scenes.sendEvents(first!, 5, 5);
    await scene.clock.advance(1);
    assert.is(first!.isStopped, true);
    assert.is(scene.channels.attempts[1]?.after, "2");
    assert.is(scene.response.body, scenes.formatEvents(0, 2));
    scene.response.destroy();
    await scene.done;
});

// When the caller disconnects, the attempt must stop at once, since other requests need its slot.
suite("an attempt stops when its caller disconnects", async () => {
    const scene = await scenes.createScene({});
    scenes.startAnswer(scene.channels.attempts[0]!);
    scene.response.destroy();
    await scene.done;
    assert.is(scene.channels.attempts[0]?.isStopped, true);
    assert.equal(scene.slotTable.getTotal("a"), { online: 0, batch: 0 });
});

suite("a request that exceeds the route's timeout is refused with a final answer", async () => {
    const scene = await scenes.createScene({ kind: gateway.RouteKind.Unsafe, timeoutMilliseconds: 700 });
    scene.channels.attempts[0]!.handler.onSent();
    await scene.clock.advance(699);
    assert.is(scene.channels.attempts[0]?.isStopped, true);
    await scene.done;
    assert.equal(scene.log.refusals, [gateway.RefusalReason.DeadlinePassed]);
    assert.is(scene.response.headersSent, true);
});

// Existing connections can go permanently silent while new ones work. A repeatable request must go to another upstream before its
// deadline, and all kept-alive connections to the silent upstream must be replaced.
suite("a silent upstream causes a repeatable request to be repeated and connections to be replaced", async () => {
    const scene = await scenes.createScene({ kind: gateway.RouteKind.Safe, timeoutMilliseconds: 1_500 });
    scene.channels.attempts[0]!.handler.onSent();
    await scene.clock.advance(620);
    assert.is(scene.channels.attempts.length, 2);
    assert.is(scene.channels.attempts[0]?.isStopped, false);
    assert.is(scene.channels.renewals, 1);
    scenes.startAnswer(scene.channels.attempts[1]!);
    scene.channels.attempts[1]!.handler.onComplete();
    await scene.done;
    assert.is(scene.response.status, 200);
    assert.is(scene.channels.attempts[0]?.isStopped, true);
    assert.is(scene.channels.attempts.length, 2);
});

suite("a silent stream that is not resumable is not stopped", async () => {
    const scene = await scenes.createScene({ isResumable: false, attempts: 3 });
    scenes.startAnswer(scene.channels.attempts[0]!);
    await scene.clock.advance(4_000);
    assert.is(scene.channels.attempts[0]?.isStopped, false);
    scenes.sendEvents(scene.channels.attempts[0]!, 0, 0);
    scene.channels.attempts[0]!.handler.onComplete();
    await scene.done;
    assert.is(scene.response.body, scenes.formatEvents(0, 0));
});

// All slots are taken, and the queue is too long for an answer in time. The caller gets a refusal at once, and nothing is sent.
suite("a request that can't start in time is refused at once", async () => {
    const scene = await scenes.createScene(
        {},
        {
            prepare: slotTable =>
                ["a", "b", "c"].forEach(id => slotTable.setPeer("peer", id, { online: 20, batch: 0 })),
        },
    );
    await scene.done;
    assert.equal(scene.log.refusals, [gateway.RefusalReason.Overloaded]);
    assert.is(scene.channels.attempts.length, 0);
});

// A request crashes every upstream that runs it, and its caller repeats it. After the third crash all members refuse it at once,
// so that no other upstream crashes with all the streams that it serves.
suite("a request that crashed three upstreams is not sent to a fourth", async () => {
    const scene = await scenes.createScene({ isResumable: true }, { crashedUpstreams: ["a", "b", "c"] });
    await scene.done;
    assert.equal(scene.log.refusals, [gateway.RefusalReason.Quarantined]);
    assert.is(scene.channels.attempts.length, 0);
});

// Two of three upstreams crash at the same time for other reasons. The requests that ran there are suspects but not proved to be
// the cause, so they must still be served.
suite("a request is still served after two crashes that it may not have caused", async () => {
    const scene = await scenes.createScene({ isResumable: true }, { crashedUpstreams: ["a", "b"] });
    assert.is(scene.channels.attempts.length, 1);
    scenes.startAnswer(scene.channels.attempts[0]!);
    scenes.sendEvents(scene.channels.attempts[0]!, 0, 1);
    scene.channels.attempts[0]!.handler.onComplete();
    await scene.done;
    assert.is(scene.response.status, 200);
    assert.is(scene.response.body, scenes.formatEvents(0, 1));
});

/** How an upstream of the property test ends an attempt. */
enum AttemptEnd {
    /** Rejects the request as full, and proves that it did not run. */
    Refuses = "Refuses",
    /** No connection was established. */
    Unreachable = "Unreachable",
    /** The connection breaks after the request was sent: it may have run. */
    Breaks = "Breaks",
    /** It ran and failed. */
    Fails = "Fails",
    Answers = "Answers",
}

/** Refusal reasons that don't exclude that the request has run. */
const UncertainReasons: readonly string[] = [
    gateway.RefusalReason.UpstreamFailed,
    gateway.RefusalReason.DeadlinePassed,
];

function finishAttempt(attempt: scenes.Attempt, end: AttemptEnd): void {
    const { handler } = attempt;
    if (end === AttemptEnd.Unreachable) {
        handler.onFailure({ kind: gateway.ExchangeFailureKind.NotSent, text: "refused" });
        return;
    }
    handler.onSent();
    switch (end) {
        case AttemptEnd.Refuses:
            handler.onHeaders(503, ["attempt", "r", "not-run", "1"], "");
            handler.onComplete();
            return;
        case AttemptEnd.Breaks:
            handler.onFailure({ kind: gateway.ExchangeFailureKind.Broken, text: "reset" });
            return;
        case AttemptEnd.Fails:
            handler.onHeaders(500, scenes.validHeaders, "");
            handler.onComplete();
            return;
        case AttemptEnd.Answers:
            handler.onHeaders(200, scenes.validHeaders, "OK");
            handler.onData(Buffer.from("answer"));
            handler.onComplete();
            return;
    }
}

// Upstreams are full, unreachable, break off, fail and answer in any order. Callers rely on four guarantees: a request that may
// run only once is not repeated after it may have run; no request runs at more upstreams than its route allows; a refusal that
// states that the request has not run is true; and a successful answer is complete.
suite("whatever the order of outcomes, no request runs more often than its route allows", async () => {
    const kinds = [
        { kind: gateway.RouteKind.Safe, isResumable: false },
        { kind: gateway.RouteKind.Unsafe, isResumable: false },
        { kind: gateway.RouteKind.Stream, isResumable: false },
    ];
    const property = fastCheck.asyncProperty(
        fastCheck.constantFrom(...kinds),
        fastCheck.integer({ min: 1, max: 3 }),
        fastCheck.array(fastCheck.constantFrom(...Object.values(AttemptEnd)), { minLength: 8, maxLength: 8 }),
        async (kind, attempts, ends) => {
            const scene = await scenes.createScene({ ...kind, attempts });
            let mayHaveRun = 0;
            for (let turn = 0; turn < scene.channels.attempts.length; turn++) {
                const end = ends[turn] ?? AttemptEnd.Answers;
                mayHaveRun += end === AttemptEnd.Refuses || end === AttemptEnd.Unreachable ? 0 : 1;
                finishAttempt(scene.channels.attempts[turn]!, end);
                await scene.clock.advance(50);
            }
            await scene.done;
            assert.ok(mayHaveRun <= (kind.kind === gateway.RouteKind.Safe ? attempts : 1), `${mayHaveRun} runs`);
            const reason = fixtures.findHeader(scene.response.headers, "reason");
            if (reason !== undefined && !UncertainReasons.includes(reason)) {
                assert.is(mayHaveRun, 0, reason);
            }
            if (scene.response.status === 200 && kind.kind !== gateway.RouteKind.Stream) {
                assert.is(scene.response.body, "answer");
            }
        },
    );
    await fastCheck.assert(property, { seed: 7, numRuns: 400 });
});

// At a peak, the wait expected for the customer's share is longer than the latency target. The caller must learn it at
// once and be told when to return, instead of waiting for an answer that is late.
suite("a request whose expected wait is too long is refused at once", async () => {
    const scene = await scenes.createScene({}, { grantMilliseconds: 1, expectedWaitMilliseconds: 400 });
    await scene.clock.advance(5);
    assert.equal(scene.log.refusals, [gateway.RefusalReason.Overloaded]);
    assert.is(scene.channels.attempts.length, 0);
    assert.not(await scene.done);
});

// A request waits for a slot when its caller leaves. It must neither be sent nor logged as refused.
suite("a request whose caller leaves while it waits is not sent", async () => {
    const scene = await scenes.createScene({}, { grantMilliseconds: 50, expectedWaitMilliseconds: 100 });
    scene.response.destroy();
    await scene.clock.advance(200);
    assert.is(scene.channels.attempts.length, 0);
    assert.equal(scene.log.refusals, []);
    assert.not(await scene.done);
});

suite.run();
