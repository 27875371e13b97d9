import * as fastCheck from "fast-check";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as decisions from "@boragedale/decisions";
import * as fixtures from "./fixtures.js";

const suite = uvu.suite("batch order");

function createOrder(): decisions.BatchOrder {
    return new decisions.BatchOrder({ urgentMilliseconds: 1_000, urgentLead: 100 });
}

// Guards against sharing by the number of items. One caller's job has items of 2,000 tokens, another's has items of 20.
// Taking turns by items, the first would get a hundred times the work, and the second caller would wait for it.
suite("callers share by work, not by items, up to the size of one item", () => {
    const costs = fastCheck.array(fastCheck.integer({ min: 1, max: 2_000 }), { minLength: 2, maxLength: 6 });
    fastCheck.assert(
        fastCheck.property(costs, callers => {
            const order = createOrder();
            const served = callers.map(() => 0);
            callers.forEach((cost, caller) => {
                for (let index = 0; index < 4_100; index++) {
                    order.add(fixtures.createBatchItem(`${caller}`, `caller-${caller}`, cost));
                }
            });
            for (let turn = 0; turn < 4_000; turn++) {
                const caller = Number(order.take(0)!.id);
                served[caller]! += callers[caller]!;
            }
            assert.ok(Math.max(...served) - Math.min(...served) <= 2 * Math.max(...callers), served.join(" "));
        }),
        { seed: 9, numRuns: 20 },
    );
});

suite("within a caller resumed items go first, then the earliest deadline", () => {
    const order = createOrder();
    order.add(fixtures.createBatchItem("late", "one", 1, 9_000));
    order.add(fixtures.createBatchItem("early", "one", 1, 8_000));
    order.add({ ...fixtures.createBatchItem("resumed", "one", 1, 10_000), isResumed: true });
    assert.equal(
        [order.take(0), order.take(0), order.take(0)].map(item => item?.id),
        ["resumed", "early", "late"],
    );
});

// Guards against starvation by early deadlines. A caller sets early deadlines on far more items than can be finished.
// Ordering by deadline alone would serve no other caller until they have all passed.
suite("urgent items go first, but only within a bounded lead", () => {
    const order = createOrder();
    for (let index = 0; index < 100; index++) {
        order.add(fixtures.createBatchItem("urgent", "greedy", 20, 500));
        order.add(fixtures.createBatchItem("usual", "patient", 20, 1e9));
    }
    const taken = Array.from(Array(40).keys(), () => order.take(0)?.id);
    assert.is(taken[0], "urgent");
    assert.ok(taken.filter(id => id === "usual").length >= 15, taken.join(" "));
});

suite("a caller that returns gets no credit for its idle time", () => {
    const order = createOrder();
    order.add(fixtures.createBatchItem("second", "two", 10));
    order.take(0);
    for (let index = 0; index < 200; index++) {
        order.add(fixtures.createBatchItem("first", "one", 10));
    }
    for (let turn = 0; turn < 100; turn++) {
        order.take(0);
    }
    for (let index = 0; index < 100; index++) {
        order.add(fixtures.createBatchItem("second", "two", 10));
    }
    const taken = Array.from(Array(20).keys(), () => order.take(0)?.id);
    assert.ok(taken.filter(id => id === "first").length >= 9, taken.join(" "));
});

suite("the items of a cancelled job are removed", () => {
    const order = createOrder();
    order.add(fixtures.createBatchItem("job-1/0", "one", 1));
    order.add(fixtures.createBatchItem("job-2/0", "one", 1));
    assert.is(
        order.remove(item => item.id.startsWith("job-1/")),
        1,
    );
    assert.is(order.getLength(), 1);
    assert.is(order.take(0)?.id, "job-2/0");
});

suite.run();
