import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as core from "@boragedale/core";

const suite = uvu.suite("virtual clock");

suite("actions run in the order of their time, then of their scheduling", async () => {
    const clock = new core.VirtualClock();
    const seen: string[] = [];
    clock.schedule(20, () => seen.push("late"));
    clock.schedule(10, () => seen.push("first"));
    clock.schedule(10, () => seen.push("second"));
    await clock.advance(15);
    assert.equal(seen, ["first", "second"]);
    await clock.advance(5);
    assert.equal(seen, ["first", "second", "late"]);
    assert.is(clock.now(), 20);
});

suite("an aborted sleep ends at once", async () => {
    const clock = new core.VirtualClock();
    const controller = new AbortController();
    let isAwake = false;
    const sleep = clock.sleep(1_000, controller.signal).then(() => (isAwake = true));
    controller.abort();
    await sleep;
    assert.ok(isAwake);
    assert.is(clock.getPendingCount(), 0);
});

suite.run();
