import * as decisions from "@boragedale/decisions";
import * as fastCheck from "fast-check";
import * as uvu from "uvu";
import * as assert from "uvu/assert";

const suite = uvu.suite("online demand");

const Slots = 8;
const PeriodMilliseconds = 6_000;
const LowMilliseconds = 3_600;
const SampleMilliseconds = 100;

function getWave(now: number): number {
    return now % PeriodMilliseconds < LowMilliseconds ? 1 : 7;
}

/** Records the square wave from time 0 until `until`. */
function observeWave(until: number): decisions.OnlineDemand {
    const demand = new decisions.OnlineDemand();
    for (let now = 0; now <= until; now += SampleMilliseconds) {
        demand.record(getWave(now), Slots, now);
    }
    return demand;
}

function createItem(dueInMilliseconds: number, remainingMilliseconds: number): decisions.ItemEstimate {
    return { dueInMilliseconds, remainingMilliseconds, eventsSoFar: 0 };
}

const LongItem = createItem(60_000, 4_600);

// Guards against items that fill the low phase and are all preempted at the next peak.
suite("an item that runs into a peak leaves the slots of the peak free", () => {
    const now = 4 * PeriodMilliseconds + 1_500;
    const demand = observeWave(now);
    assert.ok(Math.abs((demand.tryGetPeriod() ?? 0) - PeriodMilliseconds) <= 200, `${demand.tryGetPeriod()}`);
    assert.ok(Math.abs((demand.tryGetTimeToRise(now) ?? 0) - 2_100) <= 300, `${demand.tryGetTimeToRise(now)}`);
    assert.ok(Math.abs(demand.getPeak() * Slots - 7) < 0.5, `${demand.getPeak()}`);
    assert.is(demand.getReserve(Slots, 1, LongItem, now), 7);
});

// Guards against batch work that starves: peaks leave only one slot free, which isn't enough for it.
suite("an item that ends before the next peak, or would be late otherwise, uses all slots but one", () => {
    const now = 4 * PeriodMilliseconds + 1_500;
    const demand = observeWave(now);
    assert.is(demand.getReserve(Slots, 1, createItem(60_000, 1_200), now), 1);
    assert.is(demand.getReserve(Slots, 1, createItem(12_000, 4_600), now), 1);
});

// Guards against a run of a moment, which costs a connection and is preempted at once.
suite("an item doesn't start just before a peak unless it is almost due", () => {
    const now = 4 * PeriodMilliseconds + LowMilliseconds - 300;
    const demand = observeWave(now);
    assert.is(demand.getReserve(Slots, 1, createItem(14_000, 4_600), now), 7);
    assert.is(demand.getReserve(Slots, 1, createItem(6_000, 4_600), now), 1);
});

// A coordinator starts anew and has seen the low phase only. Guards against a reserve that follows from a part of a period.
suite("the reserve is constant until a whole period has been seen", () => {
    for (let now = 0; now < PeriodMilliseconds; now += 500) {
        assert.is(observeWave(now).getReserve(Slots, 1, LongItem, now), decisions.MarginSlots);
    }
});

// Guards against a prediction that stays after the demand has become steady.
suite("no rise is predicted once rises have ended", () => {
    const demand = observeWave(4 * PeriodMilliseconds);
    for (let now = 4 * PeriodMilliseconds; now < 8 * PeriodMilliseconds; now += SampleMilliseconds) {
        demand.record(3, Slots, now);
    }
    assert.is(demand.tryGetTimeToRise(8 * PeriodMilliseconds), undefined);
    assert.is(demand.getReserve(Slots, 3, LongItem, 8 * PeriodMilliseconds), 1);
});

// Guards against a reserve outside of the engine's slots, whatever the demand looks like.
suite("the reserve keeps at least the margin and never more than all slots and the margin", () => {
    const uses = fastCheck.array(fastCheck.integer({ min: 0, max: Slots }), { minLength: 1, maxLength: 200 });
    const times = fastCheck.integer({ min: -20_000, max: 20_000 });
    const check = (online: number[], due: number, remaining: number): void => {
        const demand = new decisions.OnlineDemand();
        online.forEach((use, index) => demand.record(use, Slots, index * SampleMilliseconds));
        const now = online.length * SampleMilliseconds;
        const reserve = demand.getReserve(Slots, online.at(-1)!, createItem(due, Math.abs(remaining)), now);
        assert.ok(reserve >= decisions.MarginSlots && reserve <= Slots + decisions.MarginSlots, `${reserve}`);
    };
    fastCheck.assert(fastCheck.property(uses, times, times, check), { seed: 1, numRuns: 200 });
});

// Guards against an item that is late because it was preempted shortly before its due time.
suite("items that are late yield first, then those with most slack, and last those that would become late", () => {
    const late = createItem(1_000, 4_000);
    const relaxed = createItem(12_000, 4_000);
    const tight = createItem(7_000, 4_000);
    const nearlyDue = createItem(4_500, 4_000);
    const sorted = [nearlyDue, tight, late, relaxed].sort(decisions.compareYielding);
    assert.equal(sorted, [late, relaxed, tight, nearlyDue]);
    assert.ok(decisions.getReportedSlack(late) < 0);
    assert.is(decisions.getReportedSlack(relaxed), 8_000);
});

suite.run();
