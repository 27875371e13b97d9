import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as bench from "@boragedale/bench";

const suite = uvu.suite("scenarios");

/** A scenario of the bench, shortened so that a test can run it. */
function createShort(name: string, milliseconds: number): bench.Scenario {
    const scenario = bench.getScenarios().find(candidate => candidate.name === name);
    assert.ok(scenario !== undefined, name);
    return { ...scenario, milliseconds };
}

function runWith(scenario: bench.Scenario, policy: bench.PolicyKind, batchWeight = 0.5): bench.RunResult {
    return bench.runScenario({ scenario, policy, batchWeight, seed: 1 });
}

suite("the same options give the same result", () => {
    const scenario = createShort("burst", 25_000);
    assert.equal(runWith(scenario, bench.PolicyKind.Policy), runWith(scenario, bench.PolicyKind.Policy));
});

// Online requests burst to four times the usual rate while batch work fills the engines. Online latency must hardly
// change: batch streams must yield during the bursts and use the idle time between them.
suite("batch work hardly affects online latency in a burst and uses the idle time", () => {
    const scenario = createShort("burst", 80_000);
    const withoutBatch = runWith(scenario, bench.PolicyKind.NoBatch);
    const withBatch = runWith(scenario, bench.PolicyKind.Policy, 1);
    assert.ok(withBatch.online.firstToken.p99 <= 1.4 * withoutBatch.online.firstToken.p99);
    assert.is(withBatch.online.refused, 0);
    assert.ok(withBatch.batchTokensPerSecond > 8_000, String(withBatch.batchTokensPerSecond));
});

// The load is one and a half times what the engines can serve, most of it from one caller. Requests that can't be
// served must be refused early, admitted ones must finish in time, and small callers must get all that they ask for.
suite("at saturation the engines are fully used and no caller gets less than its fair share", () => {
    const result = runWith(createShort("saturation", 60_000), bench.PolicyKind.Policy);
    assert.ok(result.goodput > 11_000, String(result.goodput));
    assert.ok(result.onlineFairness >= 0.9, String(result.onlineFairness));
});

// Batch items of 2,000 tokens can fill an engine's memory while slots are free, so that online requests wait for them.
suite("long batch items don't keep online requests out of the engines' memory", () => {
    const scenario = createShort("short and long", 90_000);
    const withoutBatch = runWith(scenario, bench.PolicyKind.NoBatch);
    const withBatch = runWith(scenario, bench.PolicyKind.Policy, 1);
    assert.ok(withBatch.online.firstToken.p99 <= 3 * withoutBatch.online.firstToken.p99);
});

suite("a slow upstream hardly affects latency, and a crashing request crashes only two upstreams", () => {
    const slow = createShort("slow upstream", 80_000);
    const latency = (policy: bench.PolicyKind): number => runWith(slow, policy).online.firstToken.p99;
    assert.ok(latency(bench.PolicyKind.Policy) * 10 < latency(bench.PolicyKind.NoPolicy));
    assert.is(runWith(createShort("crashing request", 75_000), bench.PolicyKind.Policy).upstreamDeaths, 2);
});

suite.run();
