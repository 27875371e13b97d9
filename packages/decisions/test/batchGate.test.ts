import * as fastCheck from "fast-check";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as decisions from "@boragedale/decisions";

const suite = uvu.suite("batch gate");

const Concurrency = 16;

/** Runs a gate whose streams get their first token at once and end when cancelled. */
class Harness {
    readonly gate: decisions.BatchGate;
    readonly running = new Map<string, number>();
    readonly cancelled: string[] = [];
    private nextId = 0;

    constructor(batchWeight = 1, startedAt = -100_000) {
        this.gate = new decisions.BatchGate({ concurrency: Concurrency, batchWeight, startedAt });
    }

    turn(now: number, promptTokens = 100): void {
        const decision = this.gate.decide(now);
        for (const id of decision.streamsToCancel) {
            this.cancelled.push(id);
            this.running.delete(id);
            this.gate.onEnded(id);
        }
        for (let count = 0; count < decision.mayStart; count++) {
            const id = `stream-${this.nextId++}`;
            this.running.set(id, promptTokens);
            this.gate.onStarted(id, promptTokens);
            this.gate.onFirstToken(id);
        }
    }

    fill(now: number): void {
        for (let turn = 0; turn < 2 * Concurrency; turn++) {
            this.turn(now, 100 + turn);
        }
    }

    reportOnline(instance: string, inFlight: number, now: number): void {
        this.gate.onOnlinePressure({ instance, inFlight, queued: 0 }, now);
    }
}

// Guards against online requests waiting for batch streams of many seconds. Batch work holds all slots of an engine
// when a burst of online requests arrives, and the engine admits requests in order of arrival. The coordinator has to
// cancel as many streams as the burst needs, those that lose least first, and start none until the burst is over.
suite("a burst gets its slots at once, from the streams that lose least", () => {
    const harness = new Harness();
    harness.fill(0);
    assert.is(harness.running.size, Concurrency - 1);
    const cheapest = [...harness.running.keys()].slice(0, 5);
    harness.reportOnline("instance-0", 6, 1_000);
    harness.turn(1_000);
    assert.equal(harness.cancelled, cheapest);
    harness.turn(1_500);
    assert.is(harness.running.size, Concurrency - 6);
    harness.reportOnline("instance-0", 0, 2_000);
    harness.turn(2_000);
    harness.fill(20_000);
    assert.ok(harness.running.size > Concurrency - 6, "idle slots are used again");
});

suite("batch and online work together never exceed the slots, and starts keep the learned reserve free", () => {
    const script = fastCheck.array(
        fastCheck.record({
            instance: fastCheck.integer({ min: 0, max: 3 }),
            inFlight: fastCheck.integer({ min: 0, max: 8 }),
            time: fastCheck.integer({ min: 1, max: 2_000 }),
        }),
        { maxLength: 60 },
    );
    const weight = fastCheck.constantFrom(0, 0.5, 1);
    fastCheck.assert(
        fastCheck.property(weight, script, (batchWeight, steps) => {
            const harness = new Harness(batchWeight);
            let now = 0;
            for (const step of steps) {
                now += step.time;
                harness.reportOnline(`instance-${step.instance}`, step.inFlight, now);
                const before = harness.running.size;
                harness.turn(now);
                const held = harness.running.size + harness.gate.getOnline(now);
                assert.ok(harness.running.size === 0 || held <= Concurrency, `${held} held`);
                const hasStarted = harness.running.size > before;
                assert.ok(
                    !hasStarted || held + harness.gate.getReserve(now) <= Concurrency,
                    "started into the reserve",
                );
            }
        }),
        { seed: 8, numRuns: 300 },
    );
});

// Guards against a full engine memory. Batch streams of thousands of tokens fill it while a third of the slots is free.
// The engine then admits no request, and online requests wait for a stream to end: their first token takes 12 s instead
// of 0.2 s.
suite("batch work releases memory before the engine can't admit any request", () => {
    const harness = new Harness();
    harness.fill(0);
    const before = harness.running.size;
    harness.gate.onLoadReport({ cacheUsage: 0.7, ageMilliseconds: 100 }, 1_000);
    harness.turn(1_000);
    assert.is(harness.cancelled.length, 0);
    harness.gate.onEnded([...harness.running.keys()].at(-1)!);
    assert.is(harness.gate.decide(1_001).mayStart, 0, "no prompt is added when memory is short");
    harness.gate.onLoadReport({ cacheUsage: 0.9, ageMilliseconds: 100 }, 2_000);
    harness.turn(2_000);
    const kept = before - 1 - harness.cancelled.length;
    assert.ok(kept > 0 && kept <= (before * 0.75) / 0.9, `${kept} of ${before} kept`);
});

// Guards against two instances that both consider themselves the coordinator because of a lagging instance list. Each
// knows only its own streams; unless both use half of the slots, the engine runs twice the batch work and online
// requests queue behind it.
suite("two coordinators together hold no more than one would", () => {
    const coordinators = [new Harness(), new Harness()];
    for (const coordinator of coordinators) {
        coordinator.gate.setCoordinatorCount(2);
        coordinator.fill(0);
    }
    assert.ok(coordinators[0]!.running.size + coordinators[1]!.running.size < Concurrency);
});

// Guards against a new coordinator treating missing reports as idleness. An instance reports to a new coordinator only
// once its own list names that coordinator; until then the coordinator would fill the engine although it runs the
// online work of all instances that haven't reported yet.
suite("instances that haven't reported count as much as the others", () => {
    const harness = new Harness();
    harness.gate.setInstances(["instance-0", "instance-1", "instance-2", "instance-3"]);
    harness.reportOnline("instance-0", 3, 0);
    assert.is(harness.gate.getOnline(1), 12);
    harness.fill(60_000);
    assert.is(harness.gate.getOnline(60_000), 0, "an expired report of an instance that may have stopped");
});

suite("a new coordinator starts with few streams", () => {
    const harness = new Harness(1, 0);
    harness.fill(0);
    assert.is(harness.running.size, 2);
    harness.fill(1_000);
    assert.is(harness.running.size, Concurrency - 1);
});

suite("one prompt is prefilled at a time, and none right after an online request arrived", () => {
    const { gate } = new Harness();
    assert.is(gate.decide(0).mayStart, 1);
    gate.onStarted("stream", 100);
    assert.is(gate.decide(0).mayStart, 0);
    gate.onFirstToken("stream");
    assert.is(gate.decide(0).mayStart, 1);
    gate.onOnlinePressure({ instance: "instance-0", inFlight: 1, queued: 0 }, 10);
    assert.is(gate.decide(11).mayStart, 0);
    assert.is(gate.decide(200).mayStart, 1);
});

suite("the weight bounds how much batch work lengthens the step", () => {
    const counts = [0, 0.5, 1].map(weight => {
        const harness = new Harness(weight);
        harness.turn(0);
        const id = [...harness.running.keys()][0]!;
        for (let sample = 0; sample < 500; sample++) {
            const online = sample % 8;
            harness.reportOnline("instance-0", online, sample);
            harness.gate.onProgress(id, 8, 8 * (10 + 1 + online), sample);
        }
        harness.fill(60_000);
        return harness.running.size;
    });
    assert.ok(counts[0]! < counts[1]! && counts[1]! < counts[2]!, counts.join(" "));
});

suite.run();
