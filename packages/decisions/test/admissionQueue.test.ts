import * as fastCheck from "fast-check";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as decisions from "@boragedale/decisions";
import * as fixtures from "./fixtures.js";

const suite = uvu.suite("admission queue");

function createQueue(limit: number): decisions.AdmissionQueue<string> {
    return new decisions.AdmissionQueue({
        limit,
        expectedMillisecondsPerCost: 100,
        expectedCost: 1,
        random: fixtures.createMiddle(),
    });
}

// Guards against one caller's hundreds of requests delaying the single request of another caller. Served in order of
// arrival, the single request would wait behind all of them although its caller uses almost no capacity, and would be
// abandoned.
suite("a single request doesn't wait behind another caller's hundreds", () => {
    const queue = createQueue(1);
    queue.offer(fixtures.createItem("running", "busy"), 0);
    for (let index = 0; index < 300; index++) {
        queue.offer(fixtures.createItem(`busy-${index}`, "busy"), 0);
    }
    assert.is(queue.offer(fixtures.createItem("single", "quiet"), 0).kind, decisions.AdmissionKind.Queued);
    queue.complete(1, 100);
    const taken = [queue.take(100)?.value];
    queue.complete(1, 100);
    taken.push(queue.take(200)?.value);
    assert.ok(taken.includes("single"), taken.join(", "));
});

// Guards against answering every request too late. At one and a half times the capacity for a long time, each request
// waits longer than the one before, until all are answered after their callers have left. Requests that can't be served
// in time have to be refused while they can still go elsewhere.
suite("a request that would wait too long is refused at once, with a retry time", () => {
    const queue = createQueue(1);
    const kinds = Array.from(Array(100).keys(), index =>
        queue.offer(fixtures.createItem(`request-${index}`, `caller-${index}`, 2_000), 0),
    );
    const refused = kinds.filter(decision => decision.kind === decisions.AdmissionKind.Refused);
    assert.ok(queue.getWaitingCount() <= 12, String(queue.getWaitingCount()));
    assert.ok(refused.length >= 87);
    assert.ok(refused.every(decision => decision.retryAfterMilliseconds >= 100));
});

// Guards against late answers when upstreams stall while requests wait. A waiting request must be answered when it can
// no longer be served in time, not when the upstream has recovered, and must not run after it was answered.
suite("requests that can no longer be served in time are returned by expire and never run", () => {
    const queue = createQueue(1);
    queue.offer(fixtures.createItem("running", "one"), 0);
    queue.offer(fixtures.createItem("waiting", "two", 1_000), 0);
    assert.equal(queue.expire(800), []);
    assert.equal(
        queue.expire(1_001).map(item => item.value),
        ["waiting"],
    );
    queue.complete(1, 2_000);
    assert.is(queue.take(1_002), undefined);
});

suite("an expired request isn't run, even if expire wasn't called before", () => {
    const queue = createQueue(1);
    queue.offer(fixtures.createItem("running", "one"), 0);
    queue.offer(fixtures.createItem("waiting", "two", 1_000), 0);
    queue.complete(1, 100);
    assert.is(queue.take(1_001), undefined);
    assert.is(queue.expire(1_001).length, 1);
});

suite("a request is skipped for preferred ones only a bounded number of times", () => {
    const queue = createQueue(1);
    queue.offer(fixtures.createItem("running", "zero", 1e9), 0);
    queue.offer(fixtures.createItem("unwanted", "one", 1e9), 0);
    let passes = 0;
    for (; passes < 100; passes++) {
        queue.offer(fixtures.createItem(`wanted-${passes}`, "two", 1e9), 0);
        queue.complete(1, 100);
        if (queue.take(0, value => value.startsWith("wanted"))?.value === "unwanted") {
            break;
        }
    }
    assert.ok(passes <= 33, String(passes));
});

enum StepKind {
    Offer = "Offer",
    Finish = "Finish",
    Wait = "Wait",
}

const steps = fastCheck.array(
    fastCheck.record({
        kind: fastCheck.constantFrom(...Object.values(StepKind)),
        caller: fastCheck.integer({ min: 0, max: 4 }),
        cost: fastCheck.integer({ min: 1, max: 50 }),
        time: fastCheck.integer({ min: 1, max: 3_000 }),
    }),
    { maxLength: 120 },
);

suite("each request is admitted, refused, run or expired exactly once, and the limit holds", () => {
    fastCheck.assert(
        fastCheck.property(fastCheck.integer({ min: 1, max: 5 }), steps, (limit, script) => {
            const queue = createQueue(limit);
            const open = new Set<string>();
            let running = 0;
            let now = 0;
            const end = (value: string): void => assert.ok(open.delete(value), `${value} came twice`);
            const turn = (): void => {
                queue.expire(now).forEach(item => end(item.value));
                for (let item = queue.take(now); item !== undefined; item = queue.take(now)) {
                    assert.ok(item.deadlineAt >= now);
                    end(item.value);
                    running++;
                }
                assert.ok(running <= limit);
            };
            script.forEach((step, index) => {
                if (step.kind === StepKind.Wait) {
                    now += step.time;
                }
                else if (step.kind === StepKind.Finish && running > 0) {
                    running--;
                    queue.complete(step.cost, step.time);
                }
                else if (step.kind === StepKind.Offer) {
                    const deadlineAt = now + step.time;
                    const item = fixtures.createItem(`${index}`, `caller-${step.caller}`, deadlineAt, step.cost);
                    const decision = queue.offer(item, now);
                    running += decision.kind === decisions.AdmissionKind.Admitted ? 1 : 0;
                    if (decision.kind === decisions.AdmissionKind.Queued) {
                        open.add(item.value);
                    }
                }
                turn();
            });
            now += 1e6;
            turn();
            assert.is(open.size, 0, "a request was kept waiting past its deadline");
        }),
        { seed: 3, numRuns: 300 },
    );
});

suite("callers with constant demand get shares by their weights, whatever their items cost", () => {
    fastCheck.assert(
        fastCheck.property(
            fastCheck.array(
                fastCheck.record({
                    weight: fastCheck.integer({ min: 1, max: 4 }),
                    cost: fastCheck.integer({ min: 1, max: 20 }),
                }),
                { minLength: 2, maxLength: 5 },
            ),
            callers => {
                const queue = createQueue(1);
                const served = callers.map(() => 0);
                const offer = (index: number): void => {
                    const item = fixtures.createItem(`${index}`, `caller-${index}`, 1e12, callers[index]!.cost);
                    queue.offer({ ...item, weight: callers[index]!.weight }, 0);
                };
                queue.offer(fixtures.createItem("first", "other", 1e12), 0);
                [0, 1, 2].forEach(() => [...callers.keys()].forEach(offer));
                for (let turn = 0; turn < 2_000; turn++) {
                    queue.complete(1, 1);
                    const index = Number(queue.take(0)!.value);
                    served[index]! += callers[index]!.cost / callers[index]!.weight;
                    offer(index);
                }
                const spread = Math.max(...served) - Math.min(...served);
                assert.ok(spread <= 40, `${served.join(" ")}`);
            },
        ),
        { seed: 4, numRuns: 50 },
    );
});

suite.run();
