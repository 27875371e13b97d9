import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as decisions from "@boragedale/decisions";

const suite = uvu.suite("item order");

const ServiceMilliseconds = 5_000;

interface Item {
    readonly due: number;
    finishedAt: number | undefined;
}

/** Runs items that are all waiting at time 0 on the given number of slots, and counts those that finish in time. */
function countInTime(dueTimes: readonly number[], slotCount: number, compare: typeof decisions.compareItems): number {
    const items = dueTimes.map((due): Item => ({ due, finishedAt: undefined }));
    const freeAt = new Array<number>(slotCount).fill(0);
    for (;;) {
        const now = Math.min(...freeAt);
        const outlook = (item: Item): decisions.ItemEstimate => ({
            dueInMilliseconds: item.due - now,
            remainingMilliseconds: ServiceMilliseconds,
            eventsSoFar: 0,
        });
        const waiting = items.filter(item => item.finishedAt === undefined);
        waiting.sort((left, right) => compare(outlook(left), outlook(right)));
        const next = waiting[0];
        if (next === undefined) {
            return items.filter(item => (item.finishedAt ?? Infinity) <= item.due).length;
        }
        next.finishedAt = now + ServiceMilliseconds;
        freeAt[freeAt.indexOf(now)] = next.finishedAt;
    }
}

// Guards against items that can't finish in time delaying those that can. After all processes were killed, 100 items
// come back, the first 40 of which are due before they can finish; the others still finish in time if they don't wait
// behind the first ones.
suite("items that can't finish in time don't make the others late", () => {
    const dueTimes = [...new Array(100).keys()].map(index => (index < 40 ? 1_000 + index : 12_000 + index * 100));
    const byDueTime = (left: decisions.ItemEstimate, right: decisions.ItemEstimate): number =>
        left.dueInMilliseconds - right.dueInMilliseconds;
    assert.is(countInTime(dueTimes, 20, byDueTime), 20);
    assert.is(countInTime(dueTimes, 20, decisions.compareItems), 60);
});

suite(
    "while all can finish in time the earliest due goes first, and within one submission the one with the most progress",
    () => {
        const near = { dueInMilliseconds: 9_000, remainingMilliseconds: 5_000, eventsSoFar: 0 };
        const far = { dueInMilliseconds: 15_000, remainingMilliseconds: 5_000, eventsSoFar: 50 };
        const further = { ...near, eventsSoFar: 20 };
        const order = [far, near, further].sort(decisions.compareItems);
        assert.equal(order, [further, near, far]);
    },
);

// Guards against treating items as late in the first seconds of a process, when nothing is known about their length.
suite("the remaining time of an item is 0 until items have shown how long they run", () => {
    const length = new decisions.ItemDurationEstimator();
    assert.is(length.estimate(0), 0);
    length.record(100, 50, 1_500);
    assert.is(length.estimate(0), 3_000);
    assert.is(length.estimate(90), 300);
    assert.is(length.estimate(200), 0);
});

suite.run();
