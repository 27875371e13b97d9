import * as fc from "fast-check";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as core from "@boragedale/core";
import * as backing from "@boragedale/backing";
import * as standins from "@boragedale/standins";
import * as telemetry from "@boragedale/telemetry";
import * as random from "./random.js";

const suite = uvu.suite("recovery under random faults");

/** The simulated outcome of one call. */
enum CallOutcome {
    Answered = "Answered",
    /** The call is refused before it has any effect. */
    Refused = "Refused",
    /** The call takes effect, and the connection breaks before the reply. */
    ReplyLost = "ReplyLost",
    /** The call takes effect immediately; the reply arrives just before the caller's timeout. */
    ReplySlow = "ReplySlow",
    /** The call takes effect immediately; the reply arrives after the caller's timeout. */
    ReplyLate = "ReplyLate",
    /** The call takes effect only after the caller's timeout. */
    EffectLate = "EffectLate",
}

const TimeoutMilliseconds = 1_000;
const SlowMilliseconds = 900;
const LateMilliseconds = 1_500;
const callOutcomes = fc.array(fc.constantFrom(...Object.values(CallOutcome)), { minLength: 1, maxLength: 40 });

interface Fixture {
    readonly clock: core.VirtualClock;
    readonly memory: standins.MemoryKeyValueService;
    /** The paced client over a service whose calls have the given outcomes in turn. */
    readonly service: backing.KeyValueService;
}

function createFixture(outcomes: readonly CallOutcome[]): Fixture {
    const clock = new core.VirtualClock();
    const memory = new standins.MemoryKeyValueService(clock);
    memory.faults.delayMilliseconds = 5;
    const testTelemetry = new telemetry.Telemetry({ instance: "a", logLevel: "silent" }, clock);
    const options = {
        clock,
        telemetry: testTelemetry,
        getFleetSize: () => 1,
        random: random.createRandom(outcomes.length),
    };
    const inner = createFaultyService(memory, clock, outcomes);
    const service = new backing.PacedKeyValueService(inner, { ...options, timeoutMilliseconds: TimeoutMilliseconds });
    return { clock, memory, service };
}

function createFaultyService(
    memory: standins.MemoryKeyValueService,
    clock: core.Clock,
    outcomes: readonly CallOutcome[],
): backing.KeyValueService {
    let next = 0;
    const applyNextOutcome = async <T>(
        call: () => Promise<backing.KeyValueResult<T>>,
    ): Promise<backing.KeyValueResult<T>> => {
        const outcome = outcomes[next++ % outcomes.length] ?? CallOutcome.Answered;
        if (outcome === CallOutcome.Refused) {
            return { ok: false, failure: { kind: backing.KeyValueFailureKind.Unavailable, text: outcome } };
        }
        if (outcome === CallOutcome.EffectLate) {
            await clock.sleep(LateMilliseconds);
        }
        const result = await call();
        if (outcome === CallOutcome.ReplyLate || outcome === CallOutcome.ReplySlow) {
            await clock.sleep(outcome === CallOutcome.ReplyLate ? LateMilliseconds : SlowMilliseconds);
        }
        return outcome === CallOutcome.ReplyLost
            ? { ok: false, failure: { kind: backing.KeyValueFailureKind.ReplyLost, text: outcome } }
            : result;
    };
    const service = Object.create(memory) as backing.KeyValueService;
    service.get = (key, purpose) => applyNextOutcome(() => memory.get(key, purpose));
    service.compareAndSwap = request => applyNextOutcome(() => memory.compareAndSwap(request));
    service.grantLease = milliseconds => applyNextOutcome(() => memory.grantLease(milliseconds));
    service.keepLeaseAlive = id => applyNextOutcome(() => memory.keepLeaseAlive(id));
    return service;
}

// Several writers append their nonces to one entry while calls are refused, replies are lost or late, and writes take
// effect late. The nonce of a writer whose result is "written" must be in the entry exactly once; after a conflict it must
// not be there. With a wrong result, a booking would run twice or never.
suite("each writer gets the correct result of its write", async () => {
    const writers = fc.array(fc.integer({ min: 0, max: 20_000 }), { minLength: 1, maxLength: 10 });
    const property = fc.asyncProperty(callOutcomes, writers, async (outcomes, starts) => {
        const fixture = createFixture(outcomes);
        const writing = starts.map((start, index) => appendNonce(fixture, start, `<${index}>`));
        await fixture.clock.advance(200_000);
        const results = await Promise.all(writing);
        fixture.memory.faults.delayMilliseconds = 0;
        const text = await readText(fixture.memory);
        results.forEach((outcome, index) => {
            const found = text.split(`<${index}>`).length - 1;
            assert.ok(outcome === "unknown" ? found <= 1 : found === (outcome === "written" ? 1 : 0), outcome);
        });
    });
    await fc.assert(property, { seed: 20_262, numRuns: 300 });
});

async function appendNonce(fixture: Fixture, start: number, nonce: string): Promise<"written" | "not" | "unknown"> {
    const { clock, service } = fixture;
    await clock.sleep(start);
    const read = await service.get("key", backing.CallPurpose.Read);
    if (!read.ok) {
        return "not";
    }
    const text = Buffer.from(read.value?.value ?? "").toString() + nonce;
    const request = { key: "key", expectedRevision: read.value?.revision ?? 0, value: Buffer.from(text) };
    const isOwn = (entry: backing.Entry): boolean => Buffer.from(entry.value).toString().includes(nonce);
    const options = { service, clock, isOwn };
    const result = await backing.swapWithReadBack({ ...request, purpose: backing.CallPurpose.Ledger }, options);
    if (result.ok) {
        return result.value.swapped ? "written" : "not";
    }
    return result.failure.kind === backing.KeyValueFailureKind.ReplyLost ? "unknown" : "not";
}

async function readText(memory: standins.MemoryKeyValueService): Promise<string> {
    const read = await memory.get("key", backing.CallPurpose.Read);
    assert.ok(read.ok);
    return Buffer.from(read.value?.value ?? "").toString();
}

// A lease is renewed while calls are refused, lost or late. Whenever the renewer returns a lease, the service must still
// hold it. Otherwise two instances could use the same slot at the same time.
suite("a lease that the renewer returns is always held by the service", async () => {
    const property = fc.asyncProperty(
        callOutcomes,
        fc.integer({ min: 1_000, max: 8_000 }),
        async (outcomes, length) => {
            const { clock, memory, service } = createFixture(outcomes);
            const renewer = new backing.LeaseRenewer({ service, clock, leaseMilliseconds: length });
            for (let time = 0; time < 25_000; time += 50) {
                await clock.advance(50);
                const lease = renewer.tryGetLease();
                assert.ok(lease === undefined || memory.hasLease(lease.id), `at ${clock.now()}`);
            }
            const closing = renewer[Symbol.asyncDispose]();
            await clock.advance(60_000);
            await closing;
        },
    );
    await fc.assert(property, { seed: 20_263, numRuns: 60 });
});

suite.run();
