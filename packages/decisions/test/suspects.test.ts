import * as fastCheck from "fast-check";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as decisions from "@boragedale/decisions";

const suite = uvu.suite("suspects");

// Guards against a request that crashes each upstream that runs it and is sent again to any instance by its caller.
// Three requests run on the upstream when it dies, and it is unknown which one caused it. Each of them runs again
// alone; the one that crashes a second upstream is quarantined, the other two finish and are cleared.
suite("the second death quarantines, and finishing clears the requests that didn't cause it", () => {
    const registry = new decisions.SuspectRegistry();
    for (const id of ["good-1", "bad", "good-2"]) {
        registry.onSent(id, id, "engine-0", 0);
    }
    assert.is(registry.onUpstreamDied("engine-0", 10).length, 3);
    assert.ok(registry.maySend("good-1", "engine-1", 20));
    registry.onSent("again-1", "good-1", "engine-1", 20);
    assert.not.ok(registry.maySend("bad", "engine-1", 20), "two suspects on one upstream");
    assert.not.ok(registry.maySend("good-1", "engine-2", 20), "one suspect on two upstreams");
    registry.onFinished("again-1", "engine-1");
    assert.is(registry.getDecision("good-1", 30).verdict, decisions.SuspectVerdict.Usual);
    registry.onSent("again-bad", "bad", "engine-1", 30);
    registry.onSent("beside", "usual", "engine-1", 30);
    registry.onUpstreamDied("engine-1", 40);
    assert.is(registry.getDecision("bad", 50).verdict, decisions.SuspectVerdict.Quarantined);
    assert.is(
        registry.getDecision("usual", 50).verdict,
        decisions.SuspectVerdict.Usual,
        "suspected although the death was explained",
    );
});

suite("merging reports is idempotent and doesn't depend on the order", () => {
    const reports = fastCheck.array(
        fastCheck.record({
            fingerprint: fastCheck.constantFrom("one", "two"),
            deathsByUpstream: fastCheck.dictionary(
                fastCheck.constantFrom("engine-0", "engine-1"),
                fastCheck.integer({ min: 1, max: 2 }),
            ),
        }),
    );
    fastCheck.assert(
        fastCheck.property(reports, list => {
            const forward = new decisions.SuspectRegistry();
            const backward = new decisions.SuspectRegistry();
            list.forEach(report => forward.merge(report, 0));
            [...list, ...list].reverse().forEach(report => backward.merge(report, 0));
            for (const fingerprint of ["one", "two"]) {
                assert.equal(forward.getDecision(fingerprint, 1), backward.getDecision(fingerprint, 1));
            }
        }),
        { seed: 5 },
    );
});

// Guards against losing the fleet to a single request. The caller gets an error and sends the crashing request again
// and again, to any instance. The instance that saw the death reports to its peers before it answers; the reports
// arrive late, twice and in any order, and other requests run on the same upstreams. The fleet must lose at most two
// upstreams.
suite("one crashing request costs at most two deaths, under any order of reports", () => {
    const attempt = fastCheck.record({
        instance: fastCheck.integer({ min: 0, max: 3 }),
        upstream: fastCheck.integer({ min: 0, max: 4 }),
        innocents: fastCheck.integer({ min: 0, max: 3 }),
        isRetriedBeforeReports: fastCheck.boolean(),
        isTwice: fastCheck.boolean(),
        order: fastCheck.integer({ min: 0, max: 5 }),
    });
    fastCheck.assert(
        fastCheck.property(fastCheck.array(attempt, { minLength: 1, maxLength: 30 }), attempts => {
            const registries = [0, 1, 2, 3].map(() => new decisions.SuspectRegistry());
            let deaths = 0;
            let nextId = 0;
            attempts.forEach((step, turn) => {
                const reports: decisions.SuspectReport[] = [];
                const registry = registries[step.instance]!;
                const tries = step.isRetriedBeforeReports ? 2 : 1;
                for (let count = 0; count < tries; count++) {
                    const upstream = `engine-${(step.upstream + count) % 5}`;
                    if (!registry.maySend("bad", upstream, turn)) {
                        break;
                    }
                    for (let index = 0; index < step.innocents; index++) {
                        registry.onSent(`${nextId}`, `innocent-${nextId++}`, upstream, turn);
                    }
                    registry.onSent(`${nextId++}`, "bad", upstream, turn);
                    deaths++;
                    reports.push(...registry.onUpstreamDied(upstream, turn));
                }
                const sent = step.isTwice ? [...reports, ...reports] : reports;
                registries.forEach((peer, index) => {
                    const rotation = (step.order + index) % Math.max(1, sent.length);
                    [...sent.slice(rotation), ...sent.slice(0, rotation)].forEach(report => peer.merge(report, turn));
                });
            });
            assert.ok(deaths <= 2, `${deaths} deaths`);
        }),
        { seed: 6, numRuns: 500 },
    );
});

// Guards against counting one death twice. A common prompt runs from two instances on one engine when that engine dies
// once. Each instance sees its own connection break and receives a report of the death from the other, in either order.
// Counted as two deaths, they would have the prompt refused to every caller for a quarter of an hour.
suite("one death that two instances saw counts once", () => {
    const [first, second] = [new decisions.SuspectRegistry(), new decisions.SuspectRegistry()];
    first.onSent("from-first", "common", "engine-0", 0);
    second.onSent("from-second", "common", "engine-0", 0);
    first.onUpstreamDied("engine-0", 100).forEach(report => second.merge(report, 150));
    second.onUpstreamDied("engine-0", 900).forEach(report => first.merge(report, 950));
    for (const registry of [first, second]) {
        assert.is(registry.getDecision("common", 1_000).verdict, decisions.SuspectVerdict.Alone);
    }
    second.onSent("alone", "common", "engine-0", 60_000);
    second.onUpstreamDied("engine-0", 60_100).forEach(report => first.merge(report, 60_150));
    assert.is(first.getDecision("common", 60_200).verdict, decisions.SuspectVerdict.Quarantined);
});

suite("a quarantine and a suspicion expire", () => {
    const registry = new decisions.SuspectRegistry();
    registry.merge({ fingerprint: "bad", deathsByUpstream: { "engine-0": 1, "engine-1": 1 } }, 0);
    const { retryAfterMilliseconds } = registry.getDecision("bad", 1);
    assert.is(registry.getDecision("bad", 1 + retryAfterMilliseconds).verdict, decisions.SuspectVerdict.Usual);
});

suite.run();
