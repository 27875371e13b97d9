import * as core from "@boragedale/core";
import * as gateway from "@boragedale/gateway";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as scenes from "./forwarderScenes.js";

const suite = uvu.suite("silentUpstreams");

/** A sound upstream may send nothing for this long and go on. */
const ShortSilenceMilliseconds = 1_400;
/** Callers abandon a stream that sends nothing for this long. */
const CallerPatienceMilliseconds = 2_000;
const LargeBody = Buffer.alloc(300_000, "x");

function getLatest(scene: scenes.Scene): scenes.Attempt {
    return core.Debug.checkDefined(scene.channels.attempts.at(-1), "the request has been sent");
}

/** Starts a stream and sends its first four events. */
function beginStream(scene: scenes.Scene): scenes.Attempt {
    const attempt = getLatest(scene);
    scenes.startAnswer(attempt);
    scenes.sendEvents(attempt, 0, 3);
    return attempt;
}

/** Sends the rest of a stream begun with `beginStream`, and checks that its caller received all of it. */
async function checkGoesOn(scene: scenes.Scene, attempt: scenes.Attempt): Promise<void> {
    assert.is(attempt.isStopped, false);
    scenes.sendEvents(attempt, 4, 6);
    attempt.handler.onComplete();
    await scene.done;
    assert.is(scene.response.body, scenes.formatEvents(0, 6));
    assert.is(scene.response.destroyed, false);
}

/** Answers that the request was not run because no slot is free. */
function refuse({ handler }: scenes.Attempt): void {
    handler.onSent();
    handler.onHeaders(503, ["attempt", "r", "not-run", "1"], "");
    handler.onComplete();
}

/** Removes all upstreams that could continue the stream of `attempt`, as at the end of a release. */
function removeOthers(scene: scenes.Scene, attempt: scenes.Attempt): void {
    const state = gateway.UpstreamState.Draining;
    for (const id of ["a", "b", "c"]) {
        scene.changeUpstream(id, id === attempt.upstream ? { state } : { softwareVersion: "v2" });
    }
}

// Guards against answers that are broken off because an upstream is silent for a moment.
suite("a stream stays at an upstream that is silent for a moment", async () => {
    const scene = await scenes.createScene({ isResumable: true });
    const attempt = beginStream(scene);
    await scene.clock.advance(ShortSilenceMilliseconds);
    await checkGoesOn(scene, attempt);
    assert.is(scene.channels.attempts.length, 1);
});

// Guards against streams that are broken off for silence although no other upstream may continue them.
suite("a silent stream is not broken off while no other upstream has its software version", async () => {
    const scene = await scenes.createScene({ isResumable: true });
    const attempt = beginStream(scene);
    removeOthers(scene, attempt);
    await scene.clock.advance(3_000);
    await checkGoesOn(scene, attempt);
    const kept = scene.log.events.filter(({ event }) => event === gateway.GatewayEvent.SilentUpstreamKept);
    assert.equal(
        kept.map(({ fields }) => fields.reason),
        ["NoUpstream: service: service, version: v1"],
    );
});

// Guards against streams that are broken off for silence after other upstreams have refused them.
suite("a silent stream is not broken off when it may not be sent again", async () => {
    const scene = await scenes.createScene({ isResumable: true, attempts: 3 });
    beginStream(scene).handler.onFailure({ kind: gateway.ExchangeFailureKind.Broken, text: "reset" });
    await scene.clock.advance(1);
    for (let refusals = 0; refusals < 6; refusals++) {
        refuse(getLatest(scene));
        await scene.clock.advance(60);
    }
    const attempt = getLatest(scene);
    scenes.startAnswer(attempt);
    await scene.clock.advance(3_000);
    assert.is(scene.channels.attempts.length, 8);
    await checkGoesOn(scene, attempt);
});

// Guards against streams that leave a silent upstream for one that can't be reached.
suite("a silent stream stays while no other upstream accepts connections", async () => {
    const scene = await scenes.createScene({ isResumable: true }, { isAliveAfterBreak: false });
    scene.channels.hasIdleConnections = false;
    const attempt = beginStream(scene);
    await scene.clock.advance(3_000);
    assert.is(scene.channels.attempts.length, 1);
    await checkGoesOn(scene, attempt);
});

// Guards against streams that are broken off shortly before their deadline.
suite("a silent stream is not broken off because too little time is left for another attempt", async () => {
    const scene = await scenes.createScene({ isResumable: true, timeoutMilliseconds: 5_000 });
    const attempt = beginStream(scene);
    await scene.clock.advance(1_000);
    removeOthers(scene, attempt);
    await scene.clock.advance(3_980);
    await checkGoesOn(scene, attempt);
});

// Guards against streams of a dead upstream that are lost because their caller abandons them first.
suite("a stream of a dead upstream goes on at another one before its caller gives up", async () => {
    for (const hasIdleConnections of [true, false]) {
        const scene = await scenes.createScene({ isResumable: true });
        scene.channels.hasIdleConnections = hasIdleConnections;
        const first = beginStream(scene);
        await scene.clock.advance(CallerPatienceMilliseconds - 300);
        const second = getLatest(scene);
        assert.is.not(second.upstream, first.upstream);
        assert.is(second.after, "3");
        assert.is(first.isStopped, true);
        scenes.startAnswer(second);
        await checkGoesOn(scene, second);
    }
});

// Guards against streams that are broken off because several upstreams in a row have no free slot for them.
suite("a stream that has begun is offered to further upstreams after refusals", async () => {
    const scene = await scenes.createScene({ isResumable: true, attempts: 2 });
    const first = beginStream(scene);
    first.handler.onFailure({ kind: gateway.ExchangeFailureKind.Broken, text: "reset" });
    await scene.clock.advance(1);
    for (let refusals = 0; refusals < 5; refusals++) {
        refuse(getLatest(scene));
        await scene.clock.advance(100);
    }
    const last = getLatest(scene);
    assert.is(last.after, "3");
    scenes.startAnswer(last);
    await checkGoesOn(scene, last);
});

// Guards against an upstream that is blamed for a caller that reads slowly.
suite("a stream that waits for its caller is not silent", async () => {
    const scene = await scenes.createScene({ isResumable: true });
    scene.response.isFull = true;
    const attempt = beginStream(scene);
    await scene.clock.advance(4_000);
    assert.is(scene.channels.attempts.length, 1);
    scene.response.isFull = false;
    scene.response.emit("drain");
    await scene.clock.advance(900);
    await checkGoesOn(scene, attempt);
});

// Guards against two answers in one, and against a plain answer that is broken off for silence.
suite("a plain answer that has begun is neither repeated nor stopped for silence", async () => {
    for (const isBroken of [true, false]) {
        const scene = await scenes.createScene({ kind: gateway.RouteKind.Safe, attempts: 3 });
        const attempt = getLatest(scene);
        scenes.startAnswer(attempt);
        attempt.handler.onData(LargeBody);
        await scene.clock.advance(3_000);
        assert.is(attempt.isStopped, false);
        if (isBroken) {
            attempt.handler.onFailure({ kind: gateway.ExchangeFailureKind.Broken, text: "reset" });
        }
        else {
            attempt.handler.onComplete();
        }
        await scene.done;
        assert.is(scene.channels.attempts.length, 1);
        assert.is(scene.response.body.length, LargeBody.length);
        assert.is(scene.response.destroyed, isBroken);
    }
});

// Guards against events that a caller receives twice because they have no ids.
suite("a stream that has begun without event ids is not repeated", async () => {
    const scene = await scenes.createScene({ isResumable: true });
    const attempt = getLatest(scene);
    scenes.startAnswer(attempt);
    attempt.handler.onData(Buffer.from("data: a\n\n"));
    await scene.clock.advance(3_000);
    assert.is(attempt.isStopped, false);
    attempt.handler.onFailure({ kind: gateway.ExchangeFailureKind.Broken, text: "reset" });
    await scene.done;
    assert.is(scene.channels.attempts.length, 1);
    assert.is(scene.response.destroyed, true);
});

suite.run();
