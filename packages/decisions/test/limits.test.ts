import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as decisions from "@boragedale/decisions";

const suite = uvu.suite("retry budget and concurrency limit");

// Guards against retries that double the load. An upstream that receives all requests fails each of them. Without a
// budget each is sent again, and the rest of the fleet gets twice the load at the moment when capacity is lost.
suite("retries stay at a tenth of the traffic, however many requests fail", () => {
    const budget = new decisions.RetryBudget();
    let retries = 0;
    for (let request = 0; request < 1_000; request++) {
        budget.onRequest();
        retries += budget.tryTake() ? 1 : 0;
    }
    assert.ok(retries <= 111, String(retries));
});

/** Simulates a service whose latency depends on the number of running calls; returns the final limit. */
function runService(limit: decisions.ConcurrencyLimit, getLatency: (running: number) => number, turns: number): number {
    let now = 0;
    for (let turn = 0; turn < turns; turn++) {
        let running = 0;
        while (limit.tryAcquire()) {
            running++;
        }
        now += getLatency(running);
        for (let call = 0; call < running; call++) {
            limit.release(decisions.CallSignal.Success, getLatency(running), now);
        }
    }
    return limit.getLimit();
}

// Guards against holding too many calls at a plain service that runs eight at a time and queues the others internally.
// Queued calls time out, and those that must not be repeated end with an unknown outcome.
suite("the limit adapts to what a service can run and never exceeds the release note's", () => {
    const limit = new decisions.ConcurrencyLimit({ initial: 4, maximum: 64 });
    const found = runService(limit, running => 10 * Math.max(1, running / 8), 2_000);
    assert.ok(found >= 6 && found <= 40, String(found));
    const unlimited = new decisions.ConcurrencyLimit({ initial: 4, maximum: 12 });
    assert.is(
        runService(unlimited, () => 10, 2_000),
        12,
    );
});

suite("overload lowers the limit once per round, and one call may always run", () => {
    const limit = new decisions.ConcurrencyLimit({ initial: 10, maximum: 10 });
    for (let call = 0; call < 10; call++) {
        limit.tryAcquire();
    }
    for (let call = 0; call < 10; call++) {
        limit.release(decisions.CallSignal.Overload, 100, 50);
    }
    assert.is(limit.getLimit(), 8);
    for (let round = 1; round < 100; round++) {
        limit.tryAcquire();
        limit.release(decisions.CallSignal.Overload, 100, 50 + 1_000 * round);
    }
    assert.is(limit.getLimit(), 1);
    assert.ok(limit.tryAcquire());
});

suite.run();
