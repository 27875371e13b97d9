import * as decisions from "@boragedale/decisions";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as crashStorms from "./crashStorms.js";

const suite = uvu.suite("crashStorms");

// Guards against refusing sound requests for minutes because upstreams crash together, again and again, for reasons of their own.
suite("crashes of many upstreams at a moment, in series, prove no part guilty for long", () => {
    const outcomes = crashStorms.createStorms().map(options => {
        const outcome = crashStorms.playStorm({ ...options, guiltyPerSecond: 0 });
        return { options, outcome };
    });
    const blamed = outcomes.filter(({ outcome }) => outcome.blamed.length > 0);
    const refused = outcomes.reduce((sum, { outcome }) => sum + outcome.refusedSound, 0);
    const sent = outcomes.reduce((sum, { outcome }) => sum + outcome.sent, 0);
    const text = `${blamed.length} of ${outcomes.length} seeds blame a part, ${refused} of ${sent} requests are refused`;
    for (const { options, outcome } of outcomes) {
        const { longestRefusalMilliseconds } = outcome;
        assert.ok(
            longestRefusalMilliseconds <= 2_000,
            `${JSON.stringify(options)}: ${longestRefusalMilliseconds} ms; ${text}`,
        );
    }
    assert.ok(refused <= sent * 0.001, text);
});

// Guards against missing the guilty part because upstreams crash for other reasons too.
suite("a part that crashes upstreams is found, alone and on top of other crashes", () => {
    for (const options of crashStorms.createStorms()) {
        for (const crashes of [0, options.crashes]) {
            const outcome = crashStorms.playStorm({ ...options, crashes, guiltyPerSecond: 2 });
            const text = `${JSON.stringify({ ...options, crashes })}: ${JSON.stringify(outcome)}`;
            assert.ok(outcome.isGuiltyRefused, text);
            assert.ok(outcome.lateGuiltyCrashes <= 2, text);
            assert.ok(outcome.refusedSound <= outcome.sent * 0.03, text);
        }
    }
});

// Guards against a false verdict that lasts for minutes, because it stops each request that could refute it.
suite("a false verdict on a frequent part ends within seconds, also while upstreams crash", () => {
    const plays = crashStorms
        .createStorms()
        .map(options => crashStorms.playStorm({ ...options, guiltyPerSecond: 0, falseVerdictAt: 5_000 }));
    const durations = plays.map(({ longestRefusalMilliseconds }) => longestRefusalMilliseconds);
    const text = `${durations.filter(duration => duration > 3_000).length} of ${plays.length} last for more than 3 s`;
    assert.ok(Math.max(...durations) <= 3_000, `${text}, the longest for ${Math.max(...durations)} ms`);
});

// Guards against trials at several members at once, and against ever more of them for a part that is guilty.
suite("trials of a quarantine are granted one at a time, and less often after each failure", () => {
    const trials = new decisions.QuarantineTrials([1_000, 2_000, 60_000]);
    trials.begin("part", 0, 0);
    assert.is(trials.decide("part", 999).isGranted, false);
    assert.is(trials.decide("part", 1_000).isGranted, true);
    assert.is(trials.decide("part", 1_001).isGranted, false);
    trials.recordFailure("part", 1, 1_100);
    trials.recordFailure("part", 1, 2_000);
    assert.equal(trials.decide("part", 3_099), { isGranted: false, failures: 1, waitMilliseconds: 1 });
    assert.is(trials.decide("part", 3_100).isGranted, true);
    trials.recordFailure("part", 2, 3_200);
    assert.is(trials.decide("part", 63_199).isGranted, false);
    assert.is(trials.decide("part", 63_200).isGranted, true);
    assert.is(trials.decide("part", 63_200 + decisions.TrialMilliseconds).isGranted, true);
});

// Guards against frequent trials of a guilty part after a restart, when a member knows only the entry of the store.
suite("a member that learns of a quarantine has its delay ahead, with the failures so far", () => {
    const trials = new decisions.QuarantineTrials([1_000, 2_000, 60_000]);
    trials.begin("part", 2, 10_000);
    assert.is(trials.tryGetWait("part", 10_000), 60_000);
    assert.is(trials.decide("unknown", 10_000).isGranted, false);
    trials.end("part");
    assert.is(trials.tryGetWait("part", 10_000), undefined);
});

suite.run();
