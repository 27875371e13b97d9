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
            assert.ok(outcome.lateGuiltyCrashes <= 3, text);
        }
    }
});

suite.run();
