import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as core from "@boragedale/core";
import * as backing from "@boragedale/backing";
import * as standins from "@boragedale/standins";
import * as telemetry from "@boragedale/telemetry";
import * as random from "./random.js";

const suite = uvu.suite("paced key-value service");

interface Fixture {
    readonly clock: core.VirtualClock;
    readonly memory: standins.MemoryKeyValueService;
    readonly telemetry: telemetry.Telemetry;
    readonly service: backing.PacedKeyValueService;
}

function createFixture(options: Partial<backing.PacedKeyValueOptions> = {}): Fixture {
    const clock = new core.VirtualClock();
    const memory = new standins.MemoryKeyValueService(clock);
    return { clock, memory, ...createClient(memory, clock, options) };
}

function createClient(
    inner: backing.KeyValueService,
    clock: core.Clock,
    options: Partial<backing.PacedKeyValueOptions>,
): Pick<Fixture, "telemetry" | "service"> {
    const testTelemetry = new telemetry.Telemetry({ instance: "a", logLevel: "silent" }, clock);
    const defaults = { clock, telemetry: testTelemetry, getFleetSize: () => 1, random: random.createRandom(7) };
    return { telemetry: testTelemetry, service: new backing.PacedKeyValueService(inner, { ...defaults, ...options }) };
}

function createSwap(key: string, purpose = backing.CallPurpose.Ledger): backing.SwapRequest {
    return { key, expectedRevision: 0, value: Buffer.from(key), purpose };
}

function getKind(result: backing.KeyValueResult<unknown>): string {
    return result.ok ? "ok" : result.failure.kind;
}

function getEventNames(testTelemetry: telemetry.Telemetry): readonly string[] {
    return testTelemetry.timeLine.read().map(event => event.name);
}

/** Advances the clock and waits for the call's result. */
async function finish<T>(clock: core.VirtualClock, call: Promise<T>, milliseconds = 10_000): Promise<T> {
    await clock.advance(milliseconds);
    return call;
}

// The service fails under traffic. After the third failure, calls must fail immediately, as not written and with a retry
// time, instead of waiting for a timeout each. When the service answers a probe, calls are sent again.
suite("calls fail immediately in an outage, and the outage and its end are detected and logged", async () => {
    const { clock, memory, service, telemetry } = createFixture();
    memory.faults.isDown = true;
    for (let index = 0; index < 3; index++) {
        await service.compareAndSwap(createSwap(`key${index}`));
    }
    const callsBefore = memory.calls.get(backing.CallPurpose.Ledger);
    const refused = await service.compareAndSwap(createSwap("key"));
    assert.is(getKind(refused), backing.KeyValueFailureKind.Unavailable);
    assert.ok(!refused.ok && (refused.failure.retryAfterMilliseconds ?? 0) > 0);
    assert.is(memory.calls.get(backing.CallPurpose.Ledger), callsBefore);
    memory.faults.isDown = false;
    await clock.advance(5_000);
    assert.is(getKind(await service.compareAndSwap(createSwap("key"))), "ok");
    assert.equal(getEventNames(telemetry), ["KeyValueDown", "KeyValueRestored"]);
});

// In a fleet of 400, each booking waits for a write of the holder of its ledger shard. With equal shares a holder would
// have less than one write a second, and its callers would be refused while the other instances' shares are unused. So
// holders get a larger share, the other instances share the rest, and the fleet stays within the budget.
suite("the holder of a ledger shard can write in a large fleet, and the fleet stays within its budget", async () => {
    const seconds = 20;
    const countWrites = async (ledgerPart: number): Promise<number> => {
        const budget = { writesPerSecond: 300, readsPerSecond: 1_600 };
        const options = { budget, getFleetSize: () => 400, getLedgerPart: () => ledgerPart };
        const { clock, memory, service } = createFixture(options);
        for (let tick = 0; tick < seconds * 50; tick++) {
            void service.compareAndSwap(createSwap(`key${tick}`));
            await clock.advance(20);
        }
        return memory.writes.get(backing.CallPurpose.Ledger) ?? 0;
    };
    const holder = await countWrites(1 / 4);
    const other = await countWrites(0);
    assert.ok(holder >= seconds * 30, `the holder made ${holder} writes`);
    // A share under ten calls a second may be exceeded by less than two calls in a second; the average may not.
    assert.ok(other <= seconds * 0.375 + 2, `another instance made ${other} writes`);
    assert.ok(4 * holder + 396 * (seconds * 0.375) <= 300 * (seconds + 1), "the fleet is over its budget");
});

// The service accepts calls and never answers. A write that was sent fails as ReplyLost after the timeout. A write that
// is still queued when the outage is detected fails immediately, as not written.
suite("if the service never answers, sent writes fail as ReplyLost and queued ones as Unavailable", async () => {
    const budget = { writesPerSecond: 20, readsPerSecond: 20 };
    const { clock, memory, service } = createFixture({ budget, timeoutMilliseconds: 1_000 });
    memory.faults.delayMilliseconds = 1_000_000;
    const calls = [...Array(30).keys()].map(index => service.compareAndSwap(createSwap(`key${index}`)));
    const kinds = (await finish(clock, Promise.all(calls))).map(getKind);
    const lost = kinds.filter(kind => kind === backing.KeyValueFailureKind.ReplyLost);
    const unwritten = kinds.filter(kind => kind === backing.KeyValueFailureKind.Unavailable);
    assert.is(lost.length, memory.calls.get(backing.CallPurpose.Ledger));
    // Four writes are sent at once, then one every 62.5 ms until the first timeout. The others are never sent.
    assert.equal([lost.length, unwritten.length], [19, 11]);
});

// While a read is in progress, a reader writes the entry and then requests the same read. It must see its own write, so it
// may not join the read that was sent before. Otherwise an instance would find no claim where it has just written its own.
suite("a coalesced read never misses the reader's own write", async () => {
    const { clock, memory, service } = createFixture();
    const held = createHeldReads(memory);
    const { service: client } = createClient(held.service, clock, {});
    const early = client.get("key", backing.CallPurpose.Read);
    await clock.advance(1);
    await service.compareAndSwap(createSwap("key"));
    const late = client.get("key", backing.CallPurpose.Read);
    held.release();
    await clock.advance(1);
    held.release();
    assert.ok((await early).ok);
    const read = await finish(clock, late);
    assert.ok(read.ok && read.value !== undefined, "the read shows the write made before it");
});

suite("identical reads that have not started are coalesced into one", async () => {
    const { clock, memory, service, telemetry } = createFixture();
    memory.faults.delayMilliseconds = 10;
    const reads = Array.from({ length: 50 }, () => service.get("key", backing.CallPurpose.Read));
    await finish(clock, Promise.all(reads));
    assert.is(memory.calls.get(backing.CallPurpose.Read), 2);
    const shared = telemetry.metrics.getCount("boragedale_key_value_shared_reads_total", { purpose: "Read" });
    assert.is(shared, 48);
});

suite("a read without an answer is retried, and refused calls don't count as an outage", async () => {
    const { clock, memory, service } = createFixture();
    memory.faults.isDown = true;
    const read = service.get("key", backing.CallPurpose.Read);
    await clock.advance(10);
    memory.faults.isDown = false;
    assert.is(getKind(await finish(clock, read)), "ok");
    const tooLarge = { ...createSwap("large"), value: new Uint8Array(backing.MaximumValueBytes + 1) };
    for (let index = 0; index < 5; index++) {
        await service.compareAndSwap(tooLarge);
    }
    assert.ok(!service.isDown(), "a service that refuses a call is up");
});

// After an outage of a minute, sixteen instances have a backlog of checkpoints. The service must never receive more writes
// in a second than the fleet's budget, nor a burst of writes.
suite("a fleet's backlog drains within the budget", async () => {
    const clock = new core.VirtualClock();
    const memory = new standins.MemoryKeyValueService(clock);
    const writes = countWrites(memory, clock);
    const budget = { writesPerSecond: 160, readsPerSecond: 160 };
    const fleet = [...Array(16).keys()].map(index => {
        const options = { budget, getFleetSize: () => 16, random: random.createRandom(index) };
        return createClient(writes.service, clock, options).service;
    });
    memory.faults.isDown = true;
    const backlogs = fleet.map((service, index) => drain(service, clock, index));
    await clock.advance(60_000);
    memory.faults.isDown = false;
    const restoredAt = clock.now();
    await finish(clock, Promise.all(backlogs), 30_000);
    const after = writes.times.filter(time => time >= restoredAt);
    assert.is(after.length, 16 * 40);
    assert.ok(getMaximumCount(after, 1_000) <= 160, `${getMaximumCount(after, 1_000)} writes in one second`);
    assert.ok(getMaximumCount(after, 100) <= 48, `${getMaximumCount(after, 100)} writes in a tenth of a second`);
});

// Calls are made at the instant when the service recovers. They must wait, although the bucket had time to fill during the
// outage: all instances detect the recovery together, and would otherwise spend their full buckets at once.
suite("no burst is sent at the end of an outage", async () => {
    const budget = { writesPerSecond: 50, readsPerSecond: 50 };
    const { clock, memory, service } = createFixture({ budget, random: () => 0 });
    memory.faults.isDown = true;
    for (let index = 0; index < 3; index++) {
        await service.compareAndSwap(createSwap(`key${index}`));
    }
    await clock.advance(60_000);
    memory.faults.isDown = false;
    while (service.isDown()) {
        await clock.advance(10);
    }
    const before = memory.calls.get(backing.CallPurpose.Ledger);
    const calls = Promise.all([...Array(20).keys()].map(index => service.compareAndSwap(createSwap(`late${index}`))));
    await clock.advance(10);
    assert.is(memory.calls.get(backing.CallPurpose.Ledger), before);
    assert.equal(new Set((await finish(clock, calls)).map(getKind)), new Set(["ok"]));
});

suite("each connection of a watch is counted and paced", async () => {
    const { clock, service, telemetry } = createFixture();
    const controller = new AbortController();
    const watch = service.watch({ prefix: "", afterRevision: 0, signal: controller.signal })[Symbol.asyncIterator]();
    const next = watch.next();
    await clock.advance(10);
    await service.compareAndSwap(createSwap("key"));
    assert.is(((await next).value as backing.WatchEvent).kind, backing.WatchEventKind.Changed);
    const labels = { purpose: "Watch", result: "Answered" };
    assert.is(telemetry.metrics.getCount("boragedale_key_value_calls_total", labels), 1);
    controller.abort();
    await watch.return?.();
});

suite("closing the client fails queued calls as not written", async () => {
    const { clock, service } = createFixture({ budget: { writesPerSecond: 5, readsPerSecond: 5 } });
    const calls = [...Array(5).keys()].map(index => service.compareAndSwap(createSwap(`key${index}`)));
    await service[Symbol.asyncDispose]();
    await clock.advance(10);
    const kinds = (await Promise.all(calls)).map(getKind);
    assert.equal(kinds.slice(2), Array(3).fill(backing.KeyValueFailureKind.Unavailable));
});

/** Writes forty checkpoints one after the other; retries failed ones after the returned time. */
async function drain(service: backing.KeyValueService, clock: core.Clock, instance: number): Promise<void> {
    for (let index = 0; index < 40;) {
        const result = await service.compareAndSwap(createSwap(`${instance}/${index}`, backing.CallPurpose.Checkpoint));
        if (result.ok) {
            index++;
        }
        else {
            await clock.sleep(result.failure.retryAfterMilliseconds ?? 100);
        }
    }
}

/** The maximum number of `times` within `milliseconds`; `times` must be sorted. */
function getMaximumCount(times: readonly number[], milliseconds: number): number {
    const counts = times.map(first => times.filter(time => time >= first && time < first + milliseconds).length);
    return Math.max(0, ...counts);
}

function countWrites(
    memory: standins.MemoryKeyValueService,
    clock: core.Clock,
): { readonly service: backing.KeyValueService; readonly times: number[] } {
    const times: number[] = [];
    const service = Object.create(memory) as backing.KeyValueService;
    service.compareAndSwap = request => {
        times.push(clock.now());
        return memory.compareAndSwap(request);
    };
    return { service, times };
}

/** A service that reads immediately but holds back each reply until `release` is called. */
function createHeldReads(memory: standins.MemoryKeyValueService): {
    readonly service: backing.KeyValueService;
    readonly release: () => void;
} {
    const waiting: (() => void)[] = [];
    const service = Object.create(memory) as backing.KeyValueService;
    service.get = async (key, purpose) => {
        const result = await memory.get(key, purpose);
        await new Promise<void>(resolve => waiting.push(resolve));
        return result;
    };
    return { service, release: () => waiting.splice(0).forEach(resolve => resolve()) };
}

suite.run();
