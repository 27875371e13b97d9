import * as fileSystem from "node:fs/promises";
import * as os from "node:os";
import * as path from "node:path";
import * as core from "@boragedale/core";
import * as backing from "@boragedale/backing";
import * as protocol from "@boragedale/protocol";
import * as release from "@boragedale/release";
import * as standins from "@boragedale/standins";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as fixtures from "./fixtures.js";
import * as testFleet from "./testFleet.js";

const suite = uvu.suite("note cache");

async function createFleet(): Promise<testFleet.TestFleet> {
    const fleet = await testFleet.TestFleet.start({ instances: 4, engines: 1 });
    const outcome = await fleet.publish(fixtures.createFirstNote({ engines: 1 }), 0);
    assert.is(outcome.kind, release.PublishKind.Published);
    await fleet.advance(1_000);
    return fleet;
}

/** A note that changes the policy only: with one engine an upgrade would violate the floor. */
const second = "policy: { batchWeight: 0.8 }";

function getGenerations(fleet: testFleet.TestFleet): readonly (number | undefined)[] {
    return fleet.getRunning().map(instance => instance.noteCache.tryGetNote()?.generation);
}

suite("a published note is in force on every instance through the watch", async () => {
    await using fleet = await createFleet();
    await fleet.publish(second, 1);
    await fleet.advance(10);
    assert.equal(getGenerations(fleet), [2, 2, 2, 2]);
});

// The watch of every instance fails silently, with neither an event nor a gap. The periodic read of one instance finds
// the note, and the others pull it after its next heartbeat.
suite("a note is in force on every instance within 3 s when all watches fail", async () => {
    await using fleet = await createFleet();
    fleet.keyValue.faults.isWatchCut = true;
    await fleet.publish(second, 1);
    await fleet.advance(3_000);
    assert.equal(getGenerations(fleet), [2, 2, 2, 2]);
});

suite("a gap in the watch leads to a read", async () => {
    await using fleet = await createFleet();
    fleet.hub.offline.add(fleet.get(0).id);
    fleet.keyValue.faults.isWatchCut = true;
    const publishing = fleet.get(1).publisher.publish({
        source: second,
        file: "note.yaml",
        replaces: 1,
        author: "amara",
    });
    await publishing;
    fleet.keyValue.resumeWatches();
    await fleet.advance(0);
    assert.is(fleet.get(0).noteCache.tryGetNote()?.generation, 2);
});

// The service fails right after it accepted the note, and only one instance received the watch event. The others see
// the higher generation in its heartbeats and pull the note from it.
suite("a note spreads from peer to peer when the service fails after the publish", async () => {
    await using fleet = await createFleet();
    fleet.instances.forEach(instance => instance.gate.close());
    fleet.get(2).gate.open();
    await fleet.publish(second, 1, "amara", fleet.get(2));
    fleet.keyValue.faults.isDown = true;
    fleet.keyValue.faults.isWatchCut = true;
    fleet.instances.forEach(instance => instance.gate.open());
    await fleet.advance(2_500);
    assert.equal(getGenerations(fleet), [2, 2, 2, 2]);
});

suite("an instance that starts during an outage gets the note from a peer", async () => {
    await using fleet = await createFleet();
    fleet.keyValue.faults.isDown = true;
    const instance = await fleet.wait(fleet.addInstance());
    await fleet.advance(1_500);
    assert.equal(instance.generations, [0, 1]);
    assert.ok(instance.noteCache.isConfirmed());
});

// An instance is paused for 30 s while a note is published. After it resumes it still has the old note until it learns
// of the new one; it never reverts afterwards.
suite("an instance paused during a publish has the note within a second of resuming", async () => {
    await using fleet = await createFleet();
    fleet.pause(fleet.get(3), 30_000);
    await fleet.publish(second, 1);
    await fleet.advance(30_000);
    await fleet.advance(1_000);
    assert.equal(fleet.get(3).generations, [0, 1, 2]);
});

// An instance without a connection to the key-value service and to its peers can't know whether its note is still the
// newest. It keeps the note and reports it as not confirmed.
suite("an instance cut off from the service and from its peers reports its note as not confirmed", async () => {
    await using fleet = await createFleet();
    const alone = fleet.get(0);
    assert.ok(alone.noteCache.isConfirmed());
    fleet.instances.forEach(instance => fleet.hub.offline.add(instance.id));
    fleet.keyValue.faults.isDown = true;
    await fleet.advance(40_000);
    assert.not.ok(alone.noteCache.isConfirmed());
    assert.is(alone.noteCache.tryGetNote()?.generation, 1);
    fleet.keyValue.faults.isDown = false;
    await fleet.advance(3_000);
    assert.ok(alone.noteCache.isConfirmed());
});

/** Starts a single cache without peers on the given key-value service. */
async function startCache(
    keyValue: backing.KeyValueService,
    clock: core.Clock,
    dataFolder?: string,
): Promise<release.KeyValueNoteCache> {
    return release.KeyValueNoteCache.start({
        keyValue,
        network: new standins.MemoryPeerHub().createNetwork("entry-0"),
        heartbeats: { onHeartbeat: () => () => undefined },
        clock,
        telemetry: fixtures.createTelemetry(clock),
        countInstances: () => 1,
        dataFolder,
    });
}

async function store(keyValue: backing.KeyValueService, value: Uint8Array): Promise<void> {
    const current = await keyValue.get(release.CurrentNoteKey, backing.CallPurpose.Note);
    core.Debug.assert(current.ok, "the service answers");
    await keyValue.compareAndSwap({
        key: release.CurrentNoteKey,
        expectedRevision: current.value?.revision ?? 0,
        value,
        purpose: backing.CallPurpose.Note,
    });
}

// A lagging replica of the service answers with the previous note, or an operator has restored an old backup. The
// instance keeps the higher generation.
suite("a read of an older generation never reverts an instance", async () => {
    const clock = new core.VirtualClock();
    const keyValue = new standins.MemoryKeyValueService(clock);
    await store(keyValue, release.encodeNote(fixtures.createNote(5)));
    await using cache = await startCache(keyValue, clock);
    const seen: number[] = [];
    cache.onNote(note => seen.push(note.generation));
    await store(keyValue, release.encodeNote(fixtures.createNote(4)));
    await clock.advance(10_000);
    assert.is(cache.tryGetNote()?.generation, 5);
    assert.equal(seen, []);
});

suite("a damaged or removed value leaves the note in force", async () => {
    const clock = new core.VirtualClock();
    const keyValue = new standins.MemoryKeyValueService(clock);
    await store(keyValue, release.encodeNote(fixtures.createNote(5)));
    await using cache = await startCache(keyValue, clock);
    await store(keyValue, Buffer.from("not a note"));
    await clock.advance(5_000);
    const current = await keyValue.get(release.CurrentNoteKey, backing.CallPurpose.Note);
    core.Debug.assert(current.ok && current.value !== undefined, "the note is stored");
    await keyValue.compareAndSwap({
        key: release.CurrentNoteKey,
        expectedRevision: current.value.revision,
        value: undefined,
        purpose: backing.CallPurpose.Note,
    });
    await clock.advance(5_000);
    assert.is(cache.tryGetNote()?.generation, 5);
});

suite("an instance with a data folder starts with its stored note while the service is unavailable", async () => {
    const folder = await fileSystem.mkdtemp(path.join(os.tmpdir(), "boragedale-"));
    const clock = new core.VirtualClock();
    const keyValue = new standins.MemoryKeyValueService(clock);
    await store(keyValue, release.encodeNote(fixtures.createNote(5)));
    const before = await startCache(keyValue, clock, folder);
    await before[Symbol.asyncDispose]();
    keyValue.faults.isDown = true;
    await using cache = await startCache(keyValue, clock, folder);
    assert.is(cache.tryGetNote()?.generation, 5);
    assert.not.ok(cache.isConfirmed());
    await fileSystem.rm(folder, { recursive: true });
});

suite("a peer's reply without a valid note is ignored", async () => {
    assert.is(release.tryReadNote({ generation: 9, fleet: {} }), undefined);
    const reply: protocol.NoteReply = { kind: protocol.MessageKind.NoteReply };
    assert.is(release.tryReadNote(reply.note), undefined);
});

suite.run();
