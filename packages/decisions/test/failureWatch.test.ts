import * as decisions from "@boragedale/decisions";
import * as uvu from "uvu";
import * as assert from "uvu/assert";

const suite = uvu.suite("failure watch");

const engines = [...new Array(8).keys()].map(index => ({ id: `e${index}`, slots: 8, dataCentre: "a" }));
const StreamMilliseconds = 700;
const GapMilliseconds = 25;

interface SimulationResult {
    readonly failed: number;
    readonly requests: number;
}

/**
 * Runs streams of 0.7 s, forty per second, over eight engines, which occupies half of their slots; `e0` answers each
 * request with an error after 5 ms, from second 2 to 12 of 15.
 */
function simulateFailingEngine(watch: decisions.FailureWatch | undefined): SimulationResult {
    const table = new decisions.SlotTable(
        () => 0.5,
        upstream => decisions.hashToUnit(upstream),
    );
    const running: { readonly id: string; readonly endsAt: number; readonly isFailure: boolean }[] = [];
    let failed = 0;
    let requests = 0;
    for (let now = 0; now < 15_000; now += GapMilliseconds) {
        for (const stream of running.filter(candidate => candidate.endsAt <= now)) {
            running.splice(running.indexOf(stream), 1);
            table.release(stream.id, false);
            const until = watch?.recordOutcome(stream.id, stream.isFailure, engines.length, now);
            if (until !== undefined) {
                table.penalize(stream.id, until);
            }
        }
        const id = table.tryChooseOnline(engines, "a", 1, now)?.id ?? "";
        const isFailure = id === "e0" && now >= 2_000 && now < 12_000;
        table.take(id, false);
        running.push({ id, endsAt: now + (isFailure ? 5 : StreamMilliseconds), isFailure });
        requests++;
        failed += isFailure ? 1 : 0;
    }
    return { failed, requests };
}

// Guards against an engine that fails each request within milliseconds while its health probe succeeds. It always has
// the most free slots, so it receives callers' streams one after the other, and none of them may be sent again. 400 of
// 600 streams fail; if the engine is avoided, two at each return.
suite("an engine that fails at once doesn't attract all requests", () => {
    const without = simulateFailingEngine(undefined);
    const withWatch = simulateFailingEngine(new decisions.FailureWatch());
    assert.ok(without.failed > 300, `${without.failed} of ${without.requests} without`);
    assert.ok(withWatch.failed <= 12, `${withWatch.failed} of ${withWatch.requests} with`);
});

suite("isolated failures cause no upstream to be avoided", () => {
    const watch = new decisions.FailureWatch();
    for (let end = 0; end < 40; end++) {
        assert.is(watch.recordOutcome("a", end % 9 === 0, 8, end), undefined);
    }
});

// Guards against avoiding all upstreams, and thereby refusing every request, when a configuration causes requests that
// fail everywhere.
suite("when most upstreams fail, most stay in use", () => {
    const watch = new decisions.FailureWatch();
    const avoided = new Set<string>();
    for (let round = 0; round < 10; round++) {
        for (const { id } of engines) {
            if (watch.recordOutcome(id, true, engines.length, round) !== undefined) {
                avoided.add(id);
            }
        }
    }
    assert.is(avoided.size, 2);
});

suite("an upstream that has recovered is used again, and a later failure starts with the shortest time", () => {
    const watch = new decisions.FailureWatch();
    watch.recordOutcome("a", true, 8, 0);
    assert.is(watch.recordOutcome("a", true, 8, 0), 1_000);
    watch.recordOutcome("a", true, 8, 1_100);
    assert.is(watch.recordOutcome("a", true, 8, 1_100), 3_100);
    for (let end = 0; end < 8; end++) {
        watch.recordOutcome("a", false, 8, 4_000);
    }
    watch.recordOutcome("a", true, 8, 5_000);
    assert.is(watch.recordOutcome("a", true, 8, 5_000), 6_000);
});

suite.run();
