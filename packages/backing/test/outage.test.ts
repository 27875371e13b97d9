import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as core from "@boragedale/core";
import * as backing from "@boragedale/backing";
import * as standins from "@boragedale/standins";
import * as telemetry from "@boragedale/telemetry";
import * as random from "./random.js";

const suite = uvu.suite("an outage of ten minutes");

const OutageMilliseconds = 600_000;
const CheckpointMilliseconds = 10_000;
const BookingMilliseconds = 5_000;

interface OutageFigures {
    readonly fleetSize: number;
    /** Checkpoints spooled on all instances when the service recovered. */
    readonly backlog: number;
    /** From the recovery of the service until the spools were drained. */
    readonly drainSeconds: number;
    /** Writes and reads that the service received in its busiest second after the recovery. */
    readonly busiestSecond: { readonly writes: number; readonly reads: number };
    /** Calls a second that reached the service while it was down, including probes. */
    readonly callsWhileDown: number;
    /** Bookings (ledger writes) made while the backlog drained, and their latency in milliseconds. */
    readonly bookings: {
        readonly written: number;
        /** Refused because the call budget was used up. */
        readonly throttled: number;
        /** Refused as not written because the instance had not noticed the recovery yet. */
        readonly refusedBeforeNoticed: number;
        readonly p50: number;
        readonly p99: number;
    };
    readonly lost: number;
}

// The service is down for ten minutes while every instance keeps writing checkpoints to its spool. No checkpoint may be
// lost. Afterwards the backlog drains within the fleet's budget, while bookings, which are more urgent, succeed. Without
// pacing, the whole backlog would arrive within a second and the service would refuse bookings, too.
for (const fleetSize of [8, 64]) {
    suite(`${fleetSize} instances lose nothing and drain within the budget`, async () => {
        const figures = await runOutage(fleetSize);
        console.log(JSON.stringify(figures));
        assert.is(figures.lost, 0);
        assert.is(figures.backlog, (fleetSize * OutageMilliseconds) / CheckpointMilliseconds);
        assert.ok(figures.busiestSecond.writes <= backing.DefaultCallBudget.writesPerSecond);
        assert.ok(figures.busiestSecond.reads <= backing.DefaultCallBudget.readsPerSecond);
        assert.is(figures.bookings.throttled, 0);
    });
}

/** Simulates one instance, which writes checkpoints to a spool first and bookings directly to the service. */
class Instance {
    /** Sequence numbers of the checkpoints in the spool. */
    readonly spooled: number[] = [];
    readonly bookingTimes: number[] = [];
    /** Failures of the bookings refused since the service recovered. */
    readonly refusals: backing.KeyValueFailureKind[] = [];
    isMeasured = false;
    private produced = 0;
    private readonly stopped = new AbortController();

    constructor(
        private readonly name: string,
        private readonly service: backing.KeyValueService,
        private readonly clock: core.Clock,
    ) {}

    stop(): void {
        this.stopped.abort();
    }

    getProduced(): number {
        return this.produced;
    }

    async produce(phase: number): Promise<void> {
        await this.clock.sleep(phase * CheckpointMilliseconds, this.stopped.signal);
        while (!this.stopped.signal.aborted) {
            this.spooled.push(this.produced++);
            await this.clock.sleep(CheckpointMilliseconds, this.stopped.signal);
        }
    }

    async drain(): Promise<void> {
        while (!this.stopped.signal.aborted) {
            const [oldest] = this.spooled;
            if (oldest === undefined) {
                await this.clock.sleep(100, this.stopped.signal);
                continue;
            }
            const result = await this.write(`checkpoint/${this.name}/${oldest}`, backing.CallPurpose.Checkpoint);
            if (result.ok) {
                this.spooled.shift();
            }
            else {
                await this.clock.sleep(result.failure.retryAfterMilliseconds ?? 1_000, this.stopped.signal);
            }
        }
    }

    async book(phase: number): Promise<void> {
        await this.clock.sleep(phase * BookingMilliseconds, this.stopped.signal);
        for (let booking = 0; !this.stopped.signal.aborted; booking++) {
            const start = this.clock.now();
            const result = await this.write(`booking/${this.name}/${booking}`, backing.CallPurpose.Ledger);
            if (this.isMeasured) {
                this.recordBooking(result, this.clock.now() - start);
            }
            await this.clock.sleep(BookingMilliseconds, this.stopped.signal);
        }
    }

    private recordBooking(result: backing.KeyValueResult<unknown>, milliseconds: number): void {
        if (result.ok) {
            this.bookingTimes.push(milliseconds);
        }
        else {
            this.refusals.push(result.failure.kind);
        }
    }

    private write(key: string, purpose: backing.CallPurpose): Promise<backing.KeyValueResult<backing.SwapOutcome>> {
        return this.service.compareAndSwap({ key, expectedRevision: 0, value: Buffer.from("x"), purpose });
    }
}

async function runOutage(fleetSize: number): Promise<OutageFigures> {
    const clock = new core.VirtualClock();
    const memory = new standins.MemoryKeyValueService(clock);
    memory.faults.delayMilliseconds = 3;
    const calls = new CallLog(memory, clock);
    const instances = createInstances(fleetSize, calls.service, clock);
    const nextPhase = random.createRandom(fleetSize);
    const tasks = instances.flatMap(instance => [
        instance.produce(nextPhase()),
        instance.drain(),
        instance.book(nextPhase()),
    ]);
    await clock.advance(30_000);
    memory.faults.isDown = true;
    const downAt = clock.now();
    await clock.advance(OutageMilliseconds);
    memory.faults.isDown = false;
    const restoredAt = clock.now();
    const backlog = count(instances, instance => instance.spooled.length);
    instances.forEach(instance => (instance.isMeasured = true));
    while (instances.some(instance => instance.spooled.length > 1)) {
        await clock.advance(100);
    }
    const drainSeconds = (clock.now() - restoredAt) / 1_000;
    await clock.advance(20_000);
    instances.forEach(instance => instance.stop());
    await clock.advance(20_000);
    await Promise.all(tasks);
    memory.faults.delayMilliseconds = 0;
    const times = instances.flatMap(instance => instance.bookingTimes).sort((left, right) => left - right);
    const refusals = instances.flatMap(instance => instance.refusals);
    const throttled = refusals.filter(kind => kind === backing.KeyValueFailureKind.Throttled).length;
    return {
        fleetSize,
        backlog,
        drainSeconds,
        busiestSecond: {
            writes: getBusiestSecond(calls.writes.filter(time => time >= restoredAt)),
            reads: getBusiestSecond(calls.reads.filter(time => time >= restoredAt)),
        },
        callsWhileDown: calls.count(downAt, restoredAt) / (OutageMilliseconds / 1_000),
        bookings: {
            written: times.length,
            throttled,
            refusedBeforeNoticed: refusals.length - throttled,
            p50: getQuantile(times, 0.5),
            p99: getQuantile(times, 0.99),
        },
        lost:
            count(instances, instance => instance.getProduced() - instance.spooled.length) -
            (await countCheckpoints(memory)),
    };
}

function createInstances(fleetSize: number, inner: backing.KeyValueService, clock: core.Clock): readonly Instance[] {
    return [...Array(fleetSize).keys()].map(index => {
        const testTelemetry = new telemetry.Telemetry({ instance: `${index}`, logLevel: "silent" }, clock);
        const service = new backing.PacedKeyValueService(inner, {
            clock,
            telemetry: testTelemetry,
            getFleetSize: () => fleetSize,
            random: random.createRandom(index),
        });
        return new Instance(`${index}`, service, clock);
    });
}

/** Records when each call reached the service. */
class CallLog {
    readonly writes: number[] = [];
    readonly reads: number[] = [];
    readonly service: backing.KeyValueService;

    constructor(memory: standins.MemoryKeyValueService, clock: core.Clock) {
        this.service = Object.create(memory) as backing.KeyValueService;
        this.service.compareAndSwap = request => {
            this.writes.push(clock.now());
            return memory.compareAndSwap(request);
        };
        this.service.get = (key, purpose) => {
            this.reads.push(clock.now());
            return memory.get(key, purpose);
        };
    }

    count(start: number, end: number): number {
        return [...this.writes, ...this.reads].filter(time => time >= start && time < end).length;
    }
}

async function countCheckpoints(memory: standins.MemoryKeyValueService): Promise<number> {
    const request = { prefix: "checkpoint/", limit: Infinity, purpose: backing.CallPurpose.Read };
    const listed = await memory.list({ ...request });
    return listed.ok ? listed.value.length : 0;
}

function count(instances: readonly Instance[], measure: (instance: Instance) => number): number {
    return instances.reduce((sum, instance) => sum + measure(instance), 0);
}

/** The maximum number of `times` within one second; `times` must be sorted. */
function getBusiestSecond(times: readonly number[]): number {
    let busiest = 0;
    let first = 0;
    times.forEach((time, index) => {
        while ((times[first] ?? 0) <= time - 1_000) {
            first++;
        }
        busiest = Math.max(busiest, index - first + 1);
    });
    return busiest;
}

function getQuantile(sorted: readonly number[], quantile: number): number {
    return Math.round(sorted[Math.floor(sorted.length * quantile)] ?? 0);
}

suite.run();
