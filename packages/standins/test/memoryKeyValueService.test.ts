import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as core from "@boragedale/core";
import * as backing from "@boragedale/backing";
import * as standins from "@boragedale/standins";

const suite = uvu.suite("key-value service in memory");
const encoder = new TextEncoder();

function createSwap(key: string, expectedRevision: number, value: string | undefined): backing.SwapRequest {
    const bytes = value === undefined ? undefined : encoder.encode(value);
    return { key, expectedRevision, value: bytes, purpose: backing.CallPurpose.Note };
}

suite(
    "of two writers with the same expected revision, the second fails and receives the first one's entry",
    async () => {
        const service = new standins.MemoryKeyValueService(new core.VirtualClock());
        const first = await service.compareAndSwap(createSwap("note", 0, "a"));
        const second = await service.compareAndSwap(createSwap("note", 0, "b"));
        assert.ok(first.ok && first.value.swapped);
        assert.ok(second.ok && !second.value.swapped);
        assert.equal(new TextDecoder().decode(second.value.current?.value), "a");
    },
);

suite("a write whose reply is lost has taken effect", async () => {
    const service = new standins.MemoryKeyValueService(new core.VirtualClock());
    service.faults.lostReplies = 1;
    const written = await service.compareAndSwap(createSwap("note", 0, "a"));
    assert.is(written.ok ? undefined : written.failure.kind, backing.KeyValueFailureKind.ReplyLost);
    const read = await service.get("note", backing.CallPurpose.Read);
    assert.is(read.ok && read.value?.revision, 1);
});

suite("an entry is removed when its lease expires, unless the lease is renewed", async () => {
    const clock = new core.VirtualClock();
    const service = new standins.MemoryKeyValueService(clock);
    const lease = await service.grantLease(1_000);
    assert.ok(lease.ok);
    await service.compareAndSwap({ ...createSwap("slot", 0, "x"), lease: lease.value });
    await clock.advance(900);
    await service.keepLeaseAlive(lease.value);
    await clock.advance(900);
    const kept = await service.get("slot", backing.CallPurpose.Read);
    assert.ok(kept.ok && kept.value !== undefined);
    await clock.advance(200);
    const ended = await service.get("slot", backing.CallPurpose.Read);
    assert.ok(ended.ok && ended.value === undefined);
});

suite("a watch that missed changes receives a gap event", async () => {
    const service = new standins.MemoryKeyValueService(new core.VirtualClock());
    const controller = new AbortController();
    const events: backing.WatchEventKind[] = [];
    const task = (async () => {
        const watch = service.watch({ prefix: "", afterRevision: 0, signal: controller.signal });
        for await (const event of watch) {
            events.push(event.kind);
        }
    })();
    await service.compareAndSwap(createSwap("a", 0, "1"));
    service.faults.isWatchCut = true;
    await service.compareAndSwap(createSwap("b", 0, "1"));
    service.resumeWatches();
    await new Promise(resolve => setImmediate(resolve));
    controller.abort();
    await task;
    assert.equal(events, [backing.WatchEventKind.Changed, backing.WatchEventKind.Gap]);
});

suite.run();
