import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as decisions from "@boragedale/decisions";

const suite = uvu.suite("item order");

const ServiceMilliseconds = 5_000;

interface Item {
    readonly due: number;
    done: number | undefined;
}

/** Plays items that are all there at 0 through some places, and counts those that are in time. */
function countInTime(dues: readonly number[], places: number, compare: typeof decisions.compareItems): number {
    const items = dues.map((due): Item => ({ due, done: undefined }));
    const freeAt = new Array<number>(places).fill(0);
    for (;;) {
        const now = Math.min(...freeAt);
        const outlook = (item: Item): decisions.ItemOutlook => ({
            dueInMilliseconds: item.due - now,
            remainingMilliseconds: ServiceMilliseconds,
            eventsSoFar: 0,
        });
        const waiting = items.filter(item => item.done === undefined);
        waiting.sort((left, right) => compare(outlook(left), outlook(right)));
        const next = waiting[0];
        if (next === undefined) {
            return items.filter(item => (item.done ?? Infinity) <= item.due).length;
        }
        next.done = now + ServiceMilliseconds;
        freeAt[freeAt.indexOf(now)] = next.done;
    }
}

// All processes were killed. 100 items come back, the first 40 of which are due before they can be done; the callers of the
// others still get theirs in time if those don't wait behind the first ones.
suite("items that can't be in time don't make the others late", () => {
    const dues = [...new Array(100).keys()].map(index => (index < 40 ? 1_000 + index : 12_000 + index * 100));
    const byDue = (left: decisions.ItemOutlook, right: decisions.ItemOutlook): number =>
        left.dueInMilliseconds - right.dueInMilliseconds;
    assert.is(countInTime(dues, 20, byDue), 20);
    assert.is(countInTime(dues, 20, decisions.compareItems), 60);
});

suite("while all can be in time the earliest due goes first, and of one submission what has come furthest", () => {
    const near = { dueInMilliseconds: 9_000, remainingMilliseconds: 5_000, eventsSoFar: 0 };
    const far = { dueInMilliseconds: 15_000, remainingMilliseconds: 5_000, eventsSoFar: 50 };
    const further = { ...near, eventsSoFar: 20 };
    const order = [far, near, further].sort(decisions.compareItems);
    assert.equal(order, [further, near, far]);
});

// Nothing is known of the items' length in the first seconds of a process: no item may be taken as hopeless before its time.
suite("an item is hopeless only once items have shown how long they run", () => {
    const length = new decisions.ItemLength();
    assert.is(length.estimate(0), 0);
    length.record(100, 50, 1_500);
    assert.is(length.estimate(0), 3_000);
    assert.is(length.estimate(90), 300);
    assert.is(length.estimate(200), 0);
});

suite.run();
