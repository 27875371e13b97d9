import * as gateway from "@boragedale/gateway";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as forwarderScenes from "./forwarderScenes.js";

const suite = uvu.suite("silentPlainAnswer");

function refuseAsFull(attempt: forwarderScenes.Attempt): void {
    attempt.handler.onSent();
    attempt.handler.onHeaders(503, ["attempt", "r", "not-run", "1"], "");
    attempt.handler.onComplete();
}

// Guards against a failure instead of an answer: the upstream of a safe request is silent for a second and goes on. The gateway
// ends that run to repeat the request, and all the other upstreams are full.
suite("a safe request gets the answer of an upstream that was silent while all others are full", async () => {
    const scene = await forwarderScenes.createScene({ kind: gateway.RouteKind.Safe, timeoutMilliseconds: 2_000 });
    const { clock, channels, response } = scene;
    const first = channels.attempts[0]!;
    first.handler.onSent();
    for (let answered = 1; clock.now() < 1_000; await clock.advance(10)) {
        for (; answered < channels.attempts.length; answered++) {
            refuseAsFull(channels.attempts[answered]!);
        }
    }
    if (!first.isStopped) {
        first.handler.onHeaders(200, forwarderScenes.validHeaders, "OK");
        first.handler.onData(Buffer.from("answer"));
        first.handler.onComplete();
    }
    await scene.done;
    assert.equal(scene.log.refusals, []);
    assert.is(response.body, "answer");
});

suite.run();
