import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as decisions from "@boragedale/decisions";
import * as fixtures from "./fixtures.js";

const suite = uvu.suite("online order");

function createQueue(): decisions.AdmissionQueue<string> {
    return new decisions.AdmissionQueue({
        limit: 1,
        expectedMillisecondsPerCost: 100,
        random: fixtures.createMiddle(),
        isEarliestDeadlineFirst: true,
    });
}

function takeAll(queue: decisions.AdmissionQueue<string>, isEligible: (value: string) => boolean): readonly string[] {
    const taken: string[] = [];
    for (;;) {
        queue.setRunning(0);
        const item = queue.takeEligible(0, isEligible);
        if (item === undefined) {
            return taken;
        }
        taken.push(item.value);
    }
}

function offer(
    queue: decisions.AdmissionQueue<string>,
    value: string,
    caller: string,
    change: Partial<decisions.AdmissionItem<string>> = {},
): void {
    queue.offerWaiting({ ...fixtures.createItem(value, caller), latestStartAt: 1e6, ...change }, 0);
}

// Guards against a stream of urgent requests that lets those of lower priority wait until their deadlines pass.
suite("a request of low priority gets a tenth of the grants while urgent ones wait", () => {
    const queue = createQueue();
    for (let index = 0; index < 40; index++) {
        offer(queue, "urgent", "one");
        offer(queue, "low", "two", { priority: 1 });
        offer(queue, "lowest", "three", { priority: 2 });
    }
    const first = takeAll(queue, () => true).slice(0, 30);
    assert.is(first.filter(value => value === "low").length, 3);
    assert.equal(new Set(first.slice(0, 9)), new Set(["urgent"]));
});

// Guards against a caller that returns after a refusal and waits behind newcomers that have more time left.
suite("within a caller, the request with the earliest deadline is first", () => {
    const queue = createQueue();
    offer(queue, "new", "one", { deadlineAt: 5_000 });
    offer(queue, "newer", "one", { deadlineAt: 6_000 });
    offer(queue, "other", "two", { deadlineAt: 9_000 });
    offer(queue, "returned", "one", { deadlineAt: 3_000 });
    assert.equal(
        takeAll(queue, () => true),
        ["returned", "other", "new", "newer"],
    );
});

// Guards against a request that loses its place, or blocks those behind it, while the only free slot is one that it may
// not use.
suite("requests that can't use a slot keep their places", () => {
    const queue = createQueue();
    ["a", "b", "c"].forEach((value, index) => offer(queue, value, "one", { deadlineAt: 1_000 + index }));
    assert.equal(
        takeAll(queue, value => value === "b"),
        ["b"],
    );
    assert.equal(
        takeAll(queue, () => true),
        ["a", "c"],
    );
});

// Guards against waits at an engine all of whose slots were taken a moment ago. By the mean rate, one of eight would be
// freed after an eighth of the time.
suite("the end of slots is predicted from their starts", () => {
    const ends = new decisions.SlotEnds();
    ends.observe("engine", 1, 0);
    ends.observe("engine", 4, 500);
    assert.equal(
        [1, 2, 4, 5].map(freed => ends.estimateWait(freed, 4, 800, 500)),
        [300, 800, 800, 1_100],
    );
    ends.observe("engine", 3, 700);
    assert.is(ends.estimateWait(1, 4, 800, 700), 0, "a slot is free");
    assert.is(ends.estimateWait(1, 3, 800, 700), 600);
});

// Guards against refusing a caller for a second time, and against letting a newcomer wait past its latency target.
suite("a newcomer waits within its latency target, and a returned request for half of its time", () => {
    const limits = {
        elapsedMilliseconds: 10,
        firstAnswerMilliseconds: 70,
        latencyTargetMilliseconds: 300,
        givenMilliseconds: 5_000,
        remainingMilliseconds: 4_990,
        timeoutMilliseconds: 5_000,
        hasAttempts: false,
    };
    assert.is(decisions.getMaximumOnlineWait(limits), 220);
    assert.is(decisions.getMaximumOnlineWait({ ...limits, elapsedMilliseconds: 400 }), 0);
    const returned = { ...limits, givenMilliseconds: 4_000, remainingMilliseconds: 3_990 };
    assert.is(decisions.getMaximumOnlineWait(returned), 1_995);
    assert.is(decisions.getMaximumOnlineWait({ ...limits, hasAttempts: true }), 2_495);
});

// Guards against refusals of all newcomers that find no free slot, long after first answers were late in an outage.
suite("a newcomer may still wait while the mean first answer is later than its target", () => {
    const limits = {
        elapsedMilliseconds: 10,
        firstAnswerMilliseconds: 1_300,
        latencyTargetMilliseconds: 300,
        givenMilliseconds: 5_000,
        remainingMilliseconds: 4_990,
        timeoutMilliseconds: 5_000,
        hasAttempts: false,
    };
    assert.is(decisions.getMaximumOnlineWait(limits), 140);
});

suite.run();
