import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as core from "@boragedale/core";

const suite = uvu.suite("virtual clock");

suite("actions run in the order of their due times, then in the order of scheduling", async () => {
    const clock = new core.VirtualClock();
    const executed: string[] = [];
    clock.schedule(20, () => executed.push("late"));
    clock.schedule(10, () => executed.push("first"));
    clock.schedule(10, () => executed.push("second"));
    await clock.advance(15);
    assert.equal(executed, ["first", "second"]);
    await clock.advance(5);
    assert.equal(executed, ["first", "second", "late"]);
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
