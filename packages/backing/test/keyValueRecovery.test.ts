import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as core from "@boragedale/core";
import * as backing from "@boragedale/backing";
import * as standins from "@boragedale/standins";

const suite = uvu.suite("recovery from lost replies, leases and gaps");

interface Fixture {
    readonly clock: core.VirtualClock;
    readonly memory: standins.MemoryKeyValueService;
}

function createFixture(): Fixture {
    const clock = new core.VirtualClock();
    return { clock, memory: new standins.MemoryKeyValueService(clock) };
}

function createSwap(text: string, expectedRevision = 0): backing.SwapRequest {
    return { key: "key", expectedRevision, value: Buffer.from(text), purpose: backing.CallPurpose.Ledger };
}

async function swapOwn(
    fixture: Fixture,
    service: backing.KeyValueService,
    request = createSwap("mine"),
): Promise<backing.KeyValueResult<backing.SwapOutcome>> {
    const isOwn = (entry: backing.Entry): boolean => Buffer.from(entry.value).toString().includes("mine");
    const swapping = backing.swapWithReadBack(request, { service, clock: fixture.clock, isOwn });
    await fixture.clock.advance(10_000);
    return swapping;
}

function isSwapped(result: backing.KeyValueResult<backing.SwapOutcome>): boolean | string {
    return result.ok ? result.value.swapped : result.failure.kind;
}

// The write took effect and its reply was lost. The writer must read the entry and recognise its nonce. Otherwise it would
// take its own entry for another holder's and give up a shard that it holds.
suite("a write whose reply was lost is recognised as the writer's own", async () => {
    const fixture = createFixture();
    fixture.memory.faults.lostReplies = 1;
    assert.is(isSwapped(await swapOwn(fixture, fixture.memory)), true);
    assert.is(fixture.memory.getRevision(), 1);
});

// The reply was lost, and another holder changed the entry before the read-back. If the new entry still contains the
// writer's nonce, the write counts as done; otherwise it is a conflict.
suite("an own write is recognised in an entry that another holder derived from it", async () => {
    const fixture = createFixture();
    const continued = createOverwritingService(fixture.memory, "mine, then theirs");
    assert.is(isSwapped(await swapOwn(fixture, continued)), true);
    const other = createFixture();
    const replaced = createOverwritingService(other.memory, "theirs");
    assert.is(isSwapped(await swapOwn(other, replaced)), false);
});

// A write is delayed: the read-back still returns the old state, so the write is repeated, and the first one takes effect
// just before the second. The second one conflicts, and the writer must recognise the current entry as its own.
suite("a delayed write that takes effect before its repetition counts once", async () => {
    const fixture = createFixture();
    const service = Object.create(fixture.memory) as backing.KeyValueService;
    let calls = 0;
    service.compareAndSwap = async request => {
        calls++;
        if (calls === 1) {
            return { ok: false, failure: { kind: backing.KeyValueFailureKind.ReplyLost, text: "delayed" } };
        }
        await fixture.memory.compareAndSwap(request);
        return fixture.memory.compareAndSwap(request);
    };
    assert.is(isSwapped(await swapOwn(fixture, service)), true);
    assert.is(fixture.memory.getRevision(), 1);
});

// The reply was lost, and then the service went down. The result must be ReplyLost, not Unavailable: the write may have
// taken effect, so the caller must not be told that nothing was written.
suite("the result is ReplyLost if the service can't be read after a lost reply", async () => {
    const fixture = createFixture();
    fixture.memory.faults.lostReplies = 1;
    const service = Object.create(fixture.memory) as backing.KeyValueService;
    service.compareAndSwap = async request => {
        const result = await fixture.memory.compareAndSwap(request);
        fixture.memory.faults.isDown = true;
        return result;
    };
    assert.is(isSwapped(await swapOwn(fixture, service)), backing.KeyValueFailureKind.ReplyLost);
});

suite("a deletion whose reply was lost is recognised as done", async () => {
    const fixture = createFixture();
    await fixture.memory.compareAndSwap(createSwap("mine"));
    fixture.memory.faults.lostReplies = 1;
    const request = { ...createSwap("", 1), value: undefined };
    assert.is(isSwapped(await swapOwn(fixture, fixture.memory, request)), true);
});

// The service stops answering, so the lease can't be renewed. The holder's signal must be aborted while the service still
// holds the lease. If it were aborted later, another instance could hold the same slot at the same time.
suite("the expiry signal is aborted before the lease ends at the service", async () => {
    const { clock, memory } = createFixture();
    const renewer = new backing.LeaseRenewer({ service: memory, clock, leaseMilliseconds: 10_000 });
    await clock.advance(6_000);
    const lease = core.Debug.checkDefined(renewer.tryGetLease(), "the lease");
    await memory.compareAndSwap({ ...createSwap("slot"), lease: lease.id });
    memory.faults.isDown = true;
    let isSlotThere: boolean | undefined;
    lease.expirySignal.addEventListener("abort", () => {
        isSlotThere = memory.hasLease(lease.id);
    });
    await clock.advance(20_000);
    assert.is(isSlotThere, true);
    assert.is(renewer.tryGetLease(), undefined);
    memory.faults.isDown = false;
    await clock.advance(5_000);
    assert.is.not(core.Debug.checkDefined(renewer.tryGetLease(), "a new lease").id, lease.id);
    await close(clock, renewer);
});

// The process is paused for longer than its lease lasts. When it resumes, the clock has advanced but the timers have not
// fired yet. The renewer must not return the lease, even if it is asked before the timers fire.
suite("an expired lease is not returned after the process was paused", async () => {
    const { clock, memory } = createFixture();
    const pausedClock = new PausedClock(clock);
    const renewer = new backing.LeaseRenewer({ service: memory, clock: pausedClock, leaseMilliseconds: 10_000 });
    await clock.advance(1_000);
    const lease = core.Debug.checkDefined(renewer.tryGetLease(), "the lease");
    pausedClock.jump(60_000);
    assert.is(renewer.tryGetLease(), undefined);
    assert.ok(lease.expirySignal.aborted);
    await close(clock, renewer);
});

// The reply to a keep-alive arrives after the lease has expired at the service. The lease is extended from the moment when
// the call was sent, so the late reply must not make an expired lease appear valid.
suite("a late reply does not extend a lease", async () => {
    const { clock, memory } = createFixture();
    const service = Object.create(memory) as backing.KeyValueService;
    service.keepLeaseAlive = async id => {
        const result = await memory.keepLeaseAlive(id);
        await clock.sleep(30_000);
        return result;
    };
    const renewer = new backing.LeaseRenewer({ service, clock, leaseMilliseconds: 10_000 });
    await clock.advance(1_000);
    const lease = core.Debug.checkDefined(renewer.tryGetLease(), "the lease");
    await clock.advance(32_000);
    assert.ok(!memory.hasLease(lease.id));
    assert.ok(lease.expirySignal.aborted);
    assert.is.not(renewer.tryGetLease()?.id, lease.id);
    await close(clock, renewer);
});

// The lease is revoked at the service while the holder is healthy. The next keep-alive reports this, and the holder must
// request a new lease at once. Otherwise it would continue with a lease that no longer exists for other instances.
suite("a lease that was revoked at the service is replaced at the next keep-alive", async () => {
    const { clock, memory } = createFixture();
    const renewer = new backing.LeaseRenewer({ service: memory, clock, leaseMilliseconds: 10_000 });
    await clock.advance(1_000);
    const lease = core.Debug.checkDefined(renewer.tryGetLease(), "the lease");
    await memory.revokeLease(lease.id);
    await clock.advance(2_500);
    assert.ok(lease.expirySignal.aborted);
    const renewed = core.Debug.checkDefined(renewer.tryGetLease(), "a new lease");
    assert.ok(memory.hasLease(renewed.id));
    await close(clock, renewer);
});

suite("closing the renewer aborts the expiry signal and revokes the lease", async () => {
    const { clock, memory } = createFixture();
    const renewer = new backing.LeaseRenewer({ service: memory, clock, leaseMilliseconds: 10_000 });
    await clock.advance(1_000);
    const lease = core.Debug.checkDefined(renewer.tryGetLease(), "the lease");
    await close(clock, renewer);
    assert.ok(lease.expirySignal.aborted);
    assert.ok(!memory.hasLease(lease.id));
});

// A watch misses changes: one entry is changed, one is removed and one is added. When the service reports the gap, the
// reader must get exactly this difference. If the removal were missed, the removed entry would stay in use.
suite("the difference is yielded after a gap, including removals", async () => {
    const { clock, memory } = createFixture();
    await write(memory, "p/changed", "1");
    await write(memory, "p/removed", "1");
    const controller = new AbortController();
    const seen: string[] = [];
    const reading = read(memory, clock, controller.signal, seen);
    await clock.advance(100);
    assert.equal(seen.splice(0), ["Changed p/changed 1", "Changed p/removed 1"]);
    memory.faults.isWatchCut = true;
    await write(memory, "p/changed", "2", 1);
    await write(memory, "p/removed", undefined, 2);
    await write(memory, "p/added", "1");
    await clock.advance(100);
    assert.equal(seen, []);
    memory.resumeWatches();
    await clock.advance(100);
    assert.equal(seen.sort(), ["Changed p/added 1", "Changed p/changed 2", "Removed p/removed"]);
    controller.abort();
    await clock.advance(10_000);
    await reading;
});

suite("a reader that starts during an outage gets the entries when it ends", async () => {
    const { clock, memory } = createFixture();
    await write(memory, "p/a", "1");
    memory.faults.isDown = true;
    const controller = new AbortController();
    const seen: string[] = [];
    const reading = read(memory, clock, controller.signal, seen);
    await clock.advance(60_000);
    assert.equal(seen, []);
    memory.faults.isDown = false;
    await clock.advance(10_000);
    assert.equal(seen, ["Changed p/a 1"]);
    controller.abort();
    await clock.advance(10_000);
    await reading;
});

async function close(clock: core.VirtualClock, renewer: backing.LeaseRenewer): Promise<void> {
    const closing = renewer[Symbol.asyncDispose]();
    await clock.advance(60_000);
    await closing;
}

async function write(
    memory: backing.KeyValueService,
    key: string,
    text: string | undefined,
    expectedRevision = 0,
): Promise<void> {
    const value = text === undefined ? undefined : Buffer.from(text);
    await memory.compareAndSwap({ key, expectedRevision, value, purpose: backing.CallPurpose.Note });
}

async function read(
    service: backing.KeyValueService,
    clock: core.Clock,
    signal: AbortSignal,
    seen: string[],
): Promise<void> {
    const purpose = backing.CallPurpose.Read;
    for await (const event of backing.watchWithRecovery({ service, clock, prefix: "p/", purpose, signal })) {
        const isChange = event.kind === backing.WatchEventKind.Changed;
        const text = isChange ? `${event.entry.key} ${Buffer.from(event.entry.value).toString()}` : event.key;
        seen.push(`${event.kind} ${text}`);
    }
}

/** A service that loses the reply to the first write, after which another holder replaces the entry. */
function createOverwritingService(
    memory: standins.MemoryKeyValueService,
    replacement: string,
): backing.KeyValueService {
    const service = Object.create(memory) as backing.KeyValueService;
    memory.faults.lostReplies = 1;
    service.compareAndSwap = async request => {
        const result = await memory.compareAndSwap(request);
        await memory.compareAndSwap(createSwap(replacement, memory.getRevision()));
        return result;
    };
    return service;
}

/** A clock that can run ahead of its timers, as in a process that was paused. */
class PausedClock extends core.Clock {
    private aheadMilliseconds = 0;

    constructor(private readonly inner: core.Clock) {
        super();
    }

    override now(): number {
        return this.inner.now() + this.aheadMilliseconds;
    }

    override wallNow(): number {
        return this.inner.wallNow() + this.aheadMilliseconds;
    }

    override schedule(milliseconds: number, action: () => void): () => void {
        return this.inner.schedule(milliseconds, action);
    }

    jump(milliseconds: number): void {
        this.aheadMilliseconds += milliseconds;
    }
}

suite.run();
