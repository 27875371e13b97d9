import * as core from "@boragedale/core";
import * as gateway from "@boragedale/gateway";
import * as uvu from "uvu";
import * as assert from "uvu/assert";

const suite = uvu.suite("silenceTimer");

/** Guards against a stream that counts as silent although events arrive, and one that counts as silent too late or twice. */
suite("a silence is noticed once, when the last limit has passed since the last event", async () => {
    const clock = new core.VirtualClock();
    const noticedAt: number[] = [];
    const timer = new gateway.SilenceTimer(clock, () => noticedAt.push(clock.now()));
    timer.restart(2_000);
    for (let event = 0; event < 5; event++) {
        await clock.advance(300);
        timer.restart(800);
    }
    await clock.advance(5_000);
    assert.equal(noticedAt, [2_300]);
});

/** Guards against an attempt that is stopped as silent after it has ended. */
suite("a stopped timer notices nothing", async () => {
    const clock = new core.VirtualClock();
    const timer = new gateway.SilenceTimer(clock, () => assert.unreachable("it was stopped"));
    timer.restart(500);
    timer.stop();
    await clock.advance(5_000);
    assert.is(clock.getPendingCount(), 0);
});

suite.run();
