import * as core from "@boragedale/core";
import * as backing from "@boragedale/backing";
import * as release from "@boragedale/release";
import * as standins from "@boragedale/standins";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as fixtures from "./fixtures.js";

const suite = uvu.suite("publisher");

interface Fixture {
    readonly clock: core.VirtualClock;
    readonly keyValue: standins.MemoryKeyValueService;
    readonly publisher: release.KeyValueNotePublisher;
}

function createFixture(): Fixture {
    const clock = new core.VirtualClock();
    const keyValue = new standins.MemoryKeyValueService(clock);
    const telemetry = fixtures.createTelemetry(clock);
    return { clock, keyValue, publisher: new release.KeyValueNotePublisher({ keyValue, clock, telemetry }) };
}

function createRequest(replaces: core.Generation, source: string, author = "amara"): release.PublishRequest {
    return { source, file: "note.yaml", replaces, author };
}

/** Advances the clock until the outcome is available. */
async function wait<T>(clock: core.VirtualClock, outcome: Promise<T>): Promise<T> {
    let isDone = false;
    void outcome.finally(() => (isDone = true));
    while (!isDone) {
        await clock.advance(20);
    }
    return outcome;
}

const first = createRequest(0, fixtures.createFirstNote());

suite("notes are published in sequence, and the history lists their authors and differences", async () => {
    const { clock, publisher } = createFixture();
    await wait(clock, publisher.publish(first));
    await wait(clock, publisher.publish(createRequest(1, fixtures.createUpgradeNote("2"), "ngozi")));
    const history = await publisher.readHistory();
    core.Debug.assert(history.ok, "the service answers");
    assert.equal(
        history.value.map(entry => [entry.generation, entry.author]),
        [
            [1, "amara"],
            [2, "ngozi"],
        ],
    );
    assert.equal(history.value[1]?.differences, ["~ model heron: version 1 -> 2"]);
});

suite("an invalid note is not written", async () => {
    const { clock, keyValue, publisher } = createFixture();
    const outcome = await wait(clock, publisher.publish(createRequest(0, "added: { models: [heron] }")));
    assert.is(outcome.kind, release.PublishKind.Invalid);
    assert.is(keyValue.getRevision(), 0);
});

// Two operators publish a note that replaces generation 1 at the same time. One note comes into force; the other
// operator gets a conflict with the note that won, and nothing of the losing note is stored.
suite("of two concurrent publishes one gets a conflict with the note of the other", async () => {
    const { clock, publisher } = createFixture();
    await wait(clock, publisher.publish(first));
    const outcomes = await wait(
        clock,
        Promise.all([
            publisher.publish(createRequest(1, fixtures.createUpgradeNote("2"), "amara")),
            publisher.publish(createRequest(1, fixtures.createUpgradeNote("3"), "ngozi")),
        ]),
    );
    const kinds = outcomes.map(outcome => outcome.kind).sort();
    assert.equal(kinds, [release.PublishKind.Conflict, release.PublishKind.Published]);
    const winner = outcomes.find(outcome => outcome.kind === release.PublishKind.Published);
    const loser = outcomes.find(outcome => outcome.kind === release.PublishKind.Conflict);
    assert.equal(loser?.current?.nonce, winner?.note.nonce);
    assert.is(winner?.note.generation, 2);
});

// The write takes effect and its reply is lost. The outcome must be Published rather than a conflict with the
// operator's own note, and the note must not be published twice.
suite("a reply that is lost after the write is read back", async () => {
    const { clock, keyValue, publisher } = createFixture();
    keyValue.faults.lostReplies = 1;
    const outcome = await wait(clock, publisher.publish(first));
    assert.is(outcome.kind === release.PublishKind.Published && outcome.note.generation, 1);
    const history = await publisher.readHistory();
    assert.is(history.ok && history.value.length, 1);
});

// The reply is lost, and another operator replaces the note before it can be read back. The nonce in the history record
// that the second publisher wrote for the first note proves that the first note was in force.
suite("a publish whose reply was lost is recognised even after its note was replaced", async () => {
    const { clock, keyValue, publisher } = createFixture();
    await wait(clock, publisher.publish(first));
    keyValue.faults.lostReplies = 1;
    const slow = publisher.publish(createRequest(1, fixtures.createUpgradeNote("2"), "amara"));
    for (let turn = 0; keyValue.faults.lostReplies > 0 && turn < 100; turn++) {
        await new Promise<void>(resolve => setImmediate(resolve));
    }
    const quick = publisher.publish(createRequest(2, fixtures.createUpgradeNote("3"), "ngozi"));
    const outcomes = await wait(clock, Promise.all([slow, quick]));
    assert.equal(
        outcomes.map(outcome => outcome.kind),
        [release.PublishKind.Published, release.PublishKind.Published],
    );
    const history = await publisher.readHistory();
    assert.equal(history.ok && history.value.map(entry => entry.author), ["amara", "amara", "ngozi"]);
});

// The command was killed before it printed its outcome, so the operator runs it again with the same file.
suite("publishing the same note again creates no second note", async () => {
    const { clock, keyValue, publisher } = createFixture();
    await wait(clock, publisher.publish(first));
    const revision = keyValue.getRevision();
    const again = await wait(clock, publisher.publish(first));
    assert.is(again.kind === release.PublishKind.Published && again.note.generation, 1);
    assert.is(keyValue.getRevision(), revision);
});

// The service recovers for the last attempt, the write takes effect and its reply is lost. Without further attempts to
// read the note back, the publisher would report Unavailable for a note that is in force.
suite("a write whose reply is lost at the last attempt is read back", async () => {
    const { clock, keyValue, publisher } = createFixture();
    keyValue.faults.isDown = true;
    const pending = publisher.publish(first);
    await clock.advance(740);
    keyValue.faults.isDown = false;
    keyValue.faults.lostReplies = 1;
    const outcome = await wait(clock, pending);
    assert.is(outcome.kind, release.PublishKind.Published);
});

suite("a publish reports an unavailable service, and succeeds if the service recovers in time", async () => {
    const { clock, keyValue, publisher } = createFixture();
    keyValue.faults.isDown = true;
    const refused = await wait(clock, publisher.publish(first));
    assert.is(refused.kind, release.PublishKind.Unavailable);
    const pending = publisher.publish(first);
    await clock.advance(100);
    keyValue.faults.isDown = false;
    const outcome = await wait(clock, pending);
    assert.is(outcome.kind, release.PublishKind.Published);
});

// A publisher fails between writing the note and its history record. The next publisher writes the missing record.
suite("a missing history record is added by the next publish", async () => {
    const { clock, keyValue, publisher } = createFixture();
    await wait(clock, publisher.publish(first));
    const record = await keyValue.get(release.getHistoryKey(1), backing.CallPurpose.Read);
    core.Debug.assert(record.ok && record.value !== undefined, "there is a record");
    const { key, revision } = record.value;
    await keyValue.compareAndSwap({
        key,
        expectedRevision: revision,
        value: undefined,
        purpose: backing.CallPurpose.Note,
    });
    const before = await publisher.readHistory();
    assert.equal(before.ok && before.value.map(entry => entry.generation), [1]);
    await wait(clock, publisher.publish(createRequest(1, fixtures.createUpgradeNote("2"))));
    const after = await publisher.readHistory();
    assert.equal(after.ok && after.value.map(entry => entry.generation), [1, 2]);
});

suite.run();
