import * as core from "@boragedale/core";
import * as fastCheck from "fast-check";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as decisions from "@boragedale/decisions";
import * as fixtures from "./fixtures.js";

const suite = uvu.suite("placement");

/** A placement and the number of requests sent to each upstream. */
class Harness {
    readonly placement = new decisions.Placement({ random: fixtures.createRandom(1) });
    readonly sent = new Map<string, number>();
    private nextId = 0;

    constructor(readonly candidates: readonly decisions.PlacementCandidate[]) {}

    /** Sends one request; returns its id and upstream, or undefined if there was no free slot. */
    send(prefix: string, now: number): { readonly id: string; readonly upstream: string } | undefined {
        const decision = this.placement.choose(fixtures.createPlacementRequest(prefix), this.candidates, now);
        if (decision.kind === decisions.PlacementKind.None) {
            assert.ok(decision.retryAfterMilliseconds > 0);
            return undefined;
        }
        const id = `${this.nextId++}`;
        this.placement.onSent(id, decision.upstream, core.RequestClass.Online, now);
        this.sent.set(decision.upstream, (this.sent.get(decision.upstream) ?? 0) + 1);
        return { id, upstream: decision.upstream };
    }

    /** Runs one request to its end with the given time between tokens. */
    run(prefix: string, now: number, getGap: (upstream: string) => number): string | undefined {
        const sent = this.send(prefix, now);
        if (sent === undefined) {
            return undefined;
        }
        const gap = getGap(sent.upstream);
        this.placement.onFirstToken(sent.id, now + 2 * gap);
        this.placement.onProgress(sent.id, 8, 8 * gap, now + 10 * gap);
        this.placement.onFinished(sent.id);
        return sent.upstream;
    }
}

suite("a prefix stays on one upstream while that has free slots", () => {
    const harness = new Harness(fixtures.createCandidates(8));
    const upstreams = new Set<string | undefined>();
    for (let index = 0; index < 400; index++) {
        harness.run(`prefix-${index % 40}`, index * 10, () => 20);
        upstreams.add(harness.run("prefix-0", index * 10, () => 20));
    }
    assert.ok(upstreams.size <= 6, [...upstreams].join(" "));
    const cold = new Set(
        Array.from(Array(20).keys(), index => harness.run("prefix-7", 5_000 + 1_000 * index, () => 20)),
    );
    assert.is(cold.size, 1);
});

// Guards against queueing half of the requests on one upstream while the others are idle, because they share a prefix
// and placement goes by prefix alone; each of their callers would be in the latency tail.
suite("a frequent prefix is spread over as many upstreams as its share needs", () => {
    const harness = new Harness(fixtures.createCandidates(8, 64));
    for (let index = 0; index < 200; index++) {
        harness.send(index % 2 === 0 ? "hot" : `cold-${index}`, index);
    }
    const most = Math.max(...harness.sent.values());
    assert.ok(most <= 1.25 * 25 + 7, `${most} of 200 on one of 8`);
});

// Guards against overloading an upstream that by chance has the first rank of many prefixes, none of them frequent. By
// prefix alone it would get all of them.
suite("an upstream that ranks first for many infrequent prefixes sheds the load above the bound", () => {
    const harness = new Harness(fixtures.createCandidates(6, 64));
    const ids = harness.candidates.map(candidate => candidate.id);
    const owned = Array.from(Array(600).keys(), index => `prefix-${index}`).filter(
        prefix => decisions.rendezvous(`model/${prefix}`, ids) === "engine-0",
    );
    for (const prefix of owned.slice(0, 60)) {
        harness.send(prefix, 0);
    }
    assert.ok((harness.sent.get("engine-0") ?? 0) <= 20, JSON.stringify([...harness.sent]));
});

suite("no upstream gets more than its concurrency, or much more than the mean", () => {
    fastCheck.assert(
        fastCheck.property(
            fastCheck.integer({ min: 1, max: 9 }),
            fastCheck.integer({ min: 1, max: 20 }),
            fastCheck.array(fastCheck.integer({ min: 0, max: 6 }), { maxLength: 150 }),
            (count, concurrency, prefixes) => {
                const harness = new Harness(fixtures.createCandidates(count, concurrency));
                for (const prefix of prefixes) {
                    harness.send(`prefix-${prefix}`, 0);
                    const values = [...harness.sent.values()];
                    const mean = values.reduce((sum, value) => sum + value, 0) / count;
                    const bound = Math.min(concurrency, 1.25 * mean + Math.max(2, 0.1 * concurrency) + 1);
                    assert.ok(Math.max(0, ...values) <= bound, `${values.join(" ")} bound ${bound}`);
                }
                const total = [...harness.sent.values()].reduce((sum, value) => sum + value, 0);
                assert.is(total, Math.min(prefixes.length, count * concurrency), "refused while a slot was free");
            },
        ),
        { seed: 7, numRuns: 200 },
    );
});

// Guards against sending requests to an upstream that is five times slower than its peers. It doesn't report that, and
// its load looks low, because few requests finish there. Each request sent there takes five times as long, so it must
// get almost none, and must regain its share slowly.
suite("a slow upstream is detected by its time between tokens, avoided, and returns in steps", () => {
    const harness = new Harness(fixtures.createCandidates(4));
    const slow = "engine-2";
    let now = 0;
    const runMany = (count: number, gap: number): number => {
        const before = harness.sent.get(slow) ?? 0;
        for (let index = 0; index < count; index++) {
            now += 20;
            harness.run(`prefix-${index % 50}`, now, upstream => (upstream === slow ? gap : 20));
        }
        return (harness.sent.get(slow) ?? 0) - before;
    };
    runMany(400, 100);
    assert.is(harness.placement.getSpeedState(slow), decisions.SpeedState.Slow);
    assert.ok(runMany(2_000, 100) <= 4, "probes are at most one in 500");
    while (harness.placement.getSpeedState(slow) === decisions.SpeedState.Slow) {
        runMany(1, 20);
    }
    const atFirst = runMany(100, 20);
    assert.ok(atFirst <= 12, `${atFirst} of 100 in the first two seconds; its share is 25`);
    runMany(3_000, 20);
    assert.is(harness.placement.getSpeedState(slow), decisions.SpeedState.Usual);
});

// Guards against oscillation when an upstream that was slow is fast again. If all instances gave it its whole share at
// once, its empty cache and the load would make it slow again within the same second, and so on.
suite("the share of a returning upstream doubles at most every half second", () => {
    const health = new decisions.UpstreamHealth();
    const shares: number[] = [];
    for (let now = 0; now < 20_000; now += 50) {
        health.onProgress("engine-0", 8, 160, now);
        health.onProgress("engine-1", 8, 160, now);
        health.onProgress("engine-2", 8, now < 10_000 ? 800 : 160, now);
        const share = health.getShare("engine-2", now);
        if (share !== shares.at(-1)) {
            shares.push(share);
        }
    }
    assert.equal(shares, [1, 0, 1 / 16, 1 / 8, 1 / 4, 1 / 2, 1]);
});

// Guards against taking all upstreams out of use when all of them get slower together in a burst. Compared with an
// absolute limit, all would be out of use at the very moment when all are needed.
suite("a fleet that is slow as a whole stays in use", () => {
    const harness = new Harness(fixtures.createCandidates(4));
    for (let index = 0; index < 600; index++) {
        harness.run(`prefix-${index % 50}`, index * 20, () => (index < 300 ? 20 : 90));
        for (const candidate of harness.candidates) {
            assert.is(harness.placement.getSpeedState(candidate.id), decisions.SpeedState.Usual);
        }
    }
});

suite("a dead upstream gets no request while its breaker is open, then one at a time", () => {
    const harness = new Harness(fixtures.createCandidates(1));
    const first = harness.send("prefix", 0)!;
    harness.placement.onFailed(first.id, decisions.SendFailure.Died, 10);
    assert.is(harness.send("prefix", 100), undefined);
    const probe = harness.send("prefix", 1_000);
    assert.ok(probe !== undefined);
    assert.is(harness.send("prefix", 1_001), undefined);
    harness.placement.onFinished(probe.id);
    assert.ok(harness.send("prefix", 1_002) !== undefined);
});

suite("leaving upstreams, other roles, other models and upstreams tried before are never chosen", () => {
    const candidate = fixtures.createCandidate("engine-0");
    const placement = new decisions.Placement({ random: fixtures.createMiddle() });
    const request = fixtures.createPlacementRequest("prefix");
    const unfit = [
        { ...candidate, isLeaving: true },
        { ...candidate, role: core.UpstreamRole.Batch },
        { ...candidate, models: ["another"] },
    ];
    assert.is(placement.choose(request, unfit, 0).kind, decisions.PlacementKind.None);
    const tried = { ...request, exclude: new Set(["engine-0"]) };
    assert.is(placement.choose(tried, [candidate], 0).kind, decisions.PlacementKind.None);
    assert.is(placement.choose(request, [candidate], 0).kind, decisions.PlacementKind.Placed);
});

suite.run();
