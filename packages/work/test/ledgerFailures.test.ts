import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as work from "@boragedale/work";
import * as faultyKeyValue from "./faultyKeyValue.js";
import * as fixtures from "./fixtures.js";

const suite = uvu.suite("failures around non-idempotent calls");
const call = fixtures.createCall("booking-1");

function getRecord(outcome: work.BeginOutcome): work.CallRecord {
    if (!("record" in outcome)) {
        throw new Error(`no record: ${outcome.kind}`);
    }
    return outcome.record;
}

function createContendedFleet() {
    const { wraps, wrap } = faultyKeyValue.createFaultyWraps();
    const target = fixtures.createLedgerFleet({ instances: 2, shards: 1, wrap });
    target.memberships.forEach(membership => (membership.believesToHoldAll = true));
    return { ...target, first: wraps.get("instance-0")!, second: wraps.get("instance-1")! };
}

suite("a holder paused before its write finds another holder's start and runs nothing", async () => {
    // The parent sends the booking twice. The first holder's process is paused with its write not yet sent, past its
    // duty; the second holder starts the call. The first one wakes up and writes: only one of the two may run it.
    const { ledgers, clock, first } = createContendedFleet();
    first.holdNextWrite("ledger/head", faultyKeyValue.HoldPoint.BeforeEffect);
    const paused = ledgers[0]!.begin(call);
    await clock.advance(0);
    assert.ok(first.isHolding());
    const second = await fixtures.runWithin(clock, ledgers[1]!.begin(call));
    assert.is(second.kind, work.BeginKind.Started);
    first.release();
    assert.is((await fixtures.runWithin(clock, paused)).kind, work.BeginKind.InFlight);
});

suite("a holder paused after its write keeps the start, and the other holder runs nothing", async () => {
    // The other order: the write took effect, and the pause comes before the reply. The second holder must see the
    // start, and the first one may go on when it wakes up in time.
    const { ledgers, clock, first } = createContendedFleet();
    first.holdNextWrite("ledger/head", faultyKeyValue.HoldPoint.BeforeReply);
    const paused = ledgers[0]!.begin(call);
    await clock.advance(0);
    assert.ok(first.isHolding());
    assert.is((await fixtures.runWithin(clock, ledgers[1]!.begin(call))).kind, work.BeginKind.InFlight);
    first.release();
    assert.is((await fixtures.runWithin(clock, paused)).kind, work.BeginKind.Started);
});

suite("a start whose reply came after the refusal doesn't block its key", async () => {
    // The caller was told `not run`, since the reply to the write took too long; but the write had taken effect. A
    // resend would then wait for a call that nobody runs. The first instance is asked, and says that it never sent it.
    const { ledgers, clock, first } = createContendedFleet();
    first.holdNextWrite("ledger/head", faultyKeyValue.HoldPoint.BeforeReply);
    const refused = await fixtures.runWithin(clock, ledgers[0]!.begin(call));
    assert.is(refused.kind, work.BeginKind.Unavailable);
    assert.is((await fixtures.runWithin(clock, ledgers[1]!.begin(call))).kind, work.BeginKind.Started);
    first.release();
    assert.is((await fixtures.runWithin(clock, ledgers[0]!.begin(call))).kind, work.BeginKind.InFlight);
});

suite("of three instances asked at once one starts the call and the others get its result", async () => {
    const { ledgers, clock } = fixtures.createLedgerFleet({ instances: 3 });
    const outcomes = await fixtures.runWithin(clock, Promise.all(ledgers.map(ledger => ledger.begin(call))));
    const started = outcomes.filter(outcome => outcome.kind === work.BeginKind.Started);
    assert.is(started.length, 1);
    assert.is(outcomes.filter(outcome => outcome.kind === work.BeginKind.InFlight).length, 2);
    const waiting = ledgers.map(ledger => ledger.waitForResult(call, new AbortController().signal));
    await fixtures.runWithin(clock, ledgers[0]!.finish(getRecord(started[0]!), fixtures.createResult("cot 7"), 1_000));
    for (const record of await fixtures.runWithin(clock, Promise.all(waiting))) {
        assert.is(fixtures.readBody(record?.result), "cot 7");
    }
});

suite("with two holders of one shard at once each key starts once", async () => {
    // A lagging instance list: both instances believe that they hold the shard, and both commit groups of calls.
    const { ledgers, clock } = createContendedFleet();
    const calls = [...Array(20).keys()].map(index => fixtures.createCall(`booking-${index}`));
    const begun = calls.flatMap(each => ledgers.map(ledger => ledger.begin(each)));
    const outcomes = await fixtures.runWithin(clock, Promise.all(begun));
    const started = outcomes.filter(outcome => outcome.kind === work.BeginKind.Started).map(getRecord);
    assert.is(started.length, 20);
    assert.is(new Set(started.map(record => record.key)).size, 20);
});

suite("a lost reply to the start's write is read back, and the call starts once", async () => {
    // The write took effect and its reply was lost. Taken for a failure, the call would be refused and then hang; taken
    // for a conflict with another holder, it would wait for itself.
    const { ledgers, clock, keyValue } = fixtures.createLedgerFleet({ instances: 2 });
    keyValue.faults.lostReplies = 1;
    assert.is((await fixtures.runWithin(clock, ledgers[0]!.begin(call))).kind, work.BeginKind.Started);
    assert.is((await fixtures.runWithin(clock, ledgers[1]!.begin(call))).kind, work.BeginKind.InFlight);
});

suite(
    "when the service fails between begin and finish the answer doesn't wait, and the result is kept later",
    async () => {
        // The booking has run when the key-value service goes down. The parent gets the confirmation after the bound; the
        // result is recorded when the service is back, and a resend reads it.
        const { ledgers, clock, keyValue } = fixtures.createLedgerFleet({ instances: 2 });
        const begun = await fixtures.runWithin(clock, ledgers[0]!.begin(call));
        keyValue.faults.isDown = true;
        const finishing = ledgers[0]!.finish(getRecord(begun), fixtures.createResult("cot 7"), 500);
        assert.is(await fixtures.runWithin(clock, finishing, 520), false);
        assert.is((await fixtures.runWithin(clock, ledgers[1]!.begin(call))).kind, work.BeginKind.Unavailable);
        await clock.advance(600_000);
        keyValue.faults.isDown = false;
        await clock.advance(5_000);
        const again = await fixtures.runWithin(clock, ledgers[1]!.begin(call));
        assert.is(again.kind === work.BeginKind.Finished && fixtures.readBody(again.result), "cot 7");
    },
);

suite(
    "when the service fails after the finish, a resend gets the result or a refusal, never a second run",
    async () => {
        // The booking is done and recorded when the service goes down. The shard's holder still knows the result; another
        // holder knows nothing, and must not take that for a new booking.
        const { ledgers, clock, keyValue, memberships } = fixtures.createLedgerFleet({ instances: 2, shards: 1 });
        memberships[0]!.believesToHoldAll = true;
        const begun = await fixtures.runWithin(clock, ledgers[0]!.begin(call));
        await fixtures.runWithin(clock, ledgers[0]!.finish(getRecord(begun), fixtures.createResult("cot 7"), 1_000));
        keyValue.faults.isDown = true;
        assert.is((await fixtures.runWithin(clock, ledgers[0]!.begin(call))).kind, work.BeginKind.Finished);
        memberships[1]!.believesToHoldAll = true;
        assert.is((await fixtures.runWithin(clock, ledgers[1]!.begin(call))).kind, work.BeginKind.Unavailable);
    },
);

suite("a result that waits for the service survives the process that ran the call", async () => {
    // The booking has run and is answered while the key-value service is down. Then the process dies. When it starts
    // again on the same disk and the service is back, a resend must read the result, not an unknown outcome.
    const spool = fixtures.createSpool();
    const target = fixtures.createLedgerFleet({ instances: 2, spool });
    const begun = await fixtures.runWithin(target.clock, target.ledgers[0]!.begin(call));
    target.keyValue.faults.isDown = true;
    const record = getRecord(begun);
    await fixtures.runWithin(target.clock, target.ledgers[0]!.finish(record, fixtures.createResult("cot 7"), 500));
    assert.is(spool.records.length, 1);
    await fixtures.runWithin(
        target.clock,
        target.ledgers[0]![Symbol.asyncDispose]().then(() => true),
    );
    fixtures.restartLedger(target, 0, { spool });
    await target.clock.advance(10_000);
    assert.is(spool.records.length, 1);
    target.keyValue.faults.isDown = false;
    await target.clock.advance(10_000);
    const read = await fixtures.runWithin(target.clock, target.ledgers[1]!.begin(call));
    assert.is(read.kind === work.BeginKind.Finished && fixtures.readBody(read.result), "cot 7");
    assert.is(spool.records.length, 0);
});

suite("after a kill one instance takes the call over, and the dead one's late result still counts", async () => {
    // The instance that ran the booking is taken as gone; its upstream had run it. Two resends arrive: both learn that
    // the call is orphaned, and only one may ask the service about it. Then the "dead" instance records the result.
    const { ledgers, clock, fleet } = fixtures.createLedgerFleet({ instances: 3 });
    const begun = await fixtures.runWithin(clock, ledgers[0]!.begin(call));
    fleet.markGone("instance-0");
    const resent = await fixtures.runWithin(clock, Promise.all([ledgers[1]!.begin(call), ledgers[2]!.begin(call)]));
    assert.equal(
        resent.map(outcome => outcome.kind),
        [work.BeginKind.Orphaned, work.BeginKind.Orphaned],
    );
    const taken = await fixtures.runWithin(
        clock,
        Promise.all([ledgers[1]!.takeOver(getRecord(resent[0]!)), ledgers[2]!.takeOver(getRecord(resent[1]!))]),
    );
    assert.is(taken.filter(record => record !== undefined).length, 1);
    assert.is(taken.find(record => record !== undefined)?.attempt, 2);
    await fixtures.runWithin(clock, ledgers[0]!.finish(getRecord(begun), fixtures.createResult("cot 7"), 1_000));
    const read = await fixtures.runWithin(clock, ledgers[1]!.begin(call));
    assert.is(read.kind === work.BeginKind.Finished && fixtures.readBody(read.result), "cot 7");
});

suite("an instance that restarts under its name doesn't pass for the one that sent the call", async () => {
    // The process dies with a booking in flight and is started again at once, so the instance list never shows it as
    // gone. A resend must neither wait for ever nor run the booking again.
    const target = fixtures.createLedgerFleet({ instances: 2 });
    await fixtures.runWithin(target.clock, target.ledgers[0]!.begin(call));
    const restarted = fixtures.restartLedger(target, 0);
    for (const ledger of [restarted, target.ledgers[1]!]) {
        assert.is((await fixtures.runWithin(target.clock, ledger.begin(call))).kind, work.BeginKind.Orphaned);
    }
});

suite("a call whose upstream died before running it is free again", async () => {
    // The connection was refused: nothing left this instance. The caller is told `not run`, and its resend starts.
    const { ledgers, clock } = fixtures.createLedgerFleet({ instances: 2 });
    const begun = await fixtures.runWithin(clock, ledgers[0]!.begin(call));
    await fixtures.runWithin(
        clock,
        ledgers[0]!.release(getRecord(begun)).then(() => true),
    );
    assert.is((await fixtures.runWithin(clock, ledgers[1]!.begin(call))).kind, work.BeginKind.Started);
});

suite("a call whose upstream died after it may have run is given up for good", async () => {
    // The upstream died with the booking; it can't be asked and drops no duplicates. Whoever sends the booking again,
    // to whichever instance, is told that its outcome is not known, and operators find it in their list.
    const { ledgers, clock } = fixtures.createLedgerFleet({ instances: 3 });
    const begun = await fixtures.runWithin(clock, ledgers[0]!.begin(call));
    await fixtures.runWithin(
        clock,
        ledgers[0]!.markOutcomeUnknown(getRecord(begun)).then(() => true),
    );
    for (const ledger of ledgers) {
        assert.is((await fixtures.runWithin(clock, ledger.begin(call))).kind, work.BeginKind.OutcomeUnknown);
    }
    const listed = await fixtures.runWithin(clock, ledgers[2]!.listOutcomesUnknown());
    assert.equal(listed.ok && listed.value.map(record => record.key), ["booking-1"]);
});

suite("a taken-over call that was not sent stays orphaned, since its first attempt may have run", async () => {
    // Instance 1 takes the call over from a lost one, finds its upstream closed, and gives it back. Freeing the key
    // would let the next resend run a booking that the first attempt may have made.
    const { ledgers, clock, fleet } = fixtures.createLedgerFleet({ instances: 3 });
    await fixtures.runWithin(clock, ledgers[0]!.begin(call));
    fleet.markGone("instance-0");
    const orphan = await fixtures.runWithin(clock, ledgers[1]!.begin(call));
    const taken = await fixtures.runWithin(clock, ledgers[1]!.takeOver(getRecord(orphan)));
    await fixtures.runWithin(
        clock,
        ledgers[1]!.release(taken!).then(() => true),
    );
    assert.is((await fixtures.runWithin(clock, ledgers[2]!.begin(call))).kind, work.BeginKind.Orphaned);
    const orphans = await fixtures.runWithin(clock, ledgers[2]!.listOrphaned());
    assert.equal(orphans.ok && orphans.value.map(record => record.key), ["booking-1"]);
});

suite("a takeover that was given up leaves the call orphaned, not free", async () => {
    // Instance 0 may have run the booking. Instance 1's takeover is recorded, but its reply comes too late. Asked later,
    // instance 1 truly says that it sent nothing; that tells nothing of the first attempt.
    const { wraps, wrap } = faultyKeyValue.createFaultyWraps();
    const { ledgers, clock, fleet, memberships } = fixtures.createLedgerFleet({ instances: 3, wrap });
    memberships.forEach(membership => (membership.believesToHoldAll = true));
    await fixtures.runWithin(clock, ledgers[0]!.begin(call));
    fleet.markGone("instance-0");
    const orphan = await fixtures.runWithin(clock, ledgers[1]!.begin(call));
    const second = wraps.get("instance-1")!;
    second.holdNextWrite("ledger/head", faultyKeyValue.HoldPoint.BeforeReply);
    assert.is(await fixtures.runWithin(clock, ledgers[1]!.takeOver(getRecord(orphan))), undefined);
    const outcome = await fixtures.runWithin(clock, ledgers[2]!.begin(call));
    assert.is(outcome.kind, work.BeginKind.Orphaned);
    assert.is(getRecord(outcome).attempt, 2);
    second.release();
});

suite("the first recorded outcome of a call stays", async () => {
    // Two attempts at a service that drops duplicates end with different answers. Whoever has read the first one must
    // never read another.
    const { ledgers, clock, fleet } = fixtures.createLedgerFleet({ instances: 3 });
    const begun = await fixtures.runWithin(clock, ledgers[0]!.begin(call));
    fleet.markGone("instance-0");
    const orphan = await fixtures.runWithin(clock, ledgers[1]!.begin(call));
    const taken = await fixtures.runWithin(clock, ledgers[1]!.takeOver(getRecord(orphan)));
    await fixtures.runWithin(clock, ledgers[1]!.finish(taken!, fixtures.createResult("cot 7"), 1_000));
    await fixtures.runWithin(clock, ledgers[0]!.finish(getRecord(begun), fixtures.createResult("cot 8"), 1_000));
    const read = await fixtures.runWithin(clock, ledgers[2]!.begin(call));
    assert.is(read.kind === work.BeginKind.Finished && fixtures.readBody(read.result), "cot 7");
});

suite("a start that a pause has made old may not be sent any more", async () => {
    // The process is paused between the start and the first byte. Meanwhile another instance takes the call over, asks
    // the service, hears "did not run" and sends it. When the first one wakes up, its own send would be the second.
    const { ledgers, clock } = fixtures.createLedgerFleet();
    const begun = await fixtures.runWithin(clock, ledgers[0]!.begin(call));
    assert.is(ledgers[0]!.isSendAllowed(getRecord(begun)), true);
    await clock.advance(6_000);
    assert.is(ledgers[0]!.isSendAllowed(getRecord(begun)), false);
});

suite("when the holder's instance is lost the next holder knows every call", async () => {
    // All calls of a shard were committed by one holder, which dies. Its successor has only the key-value service.
    const { ledgers, clock, fleet, hub, memberships } = fixtures.createLedgerFleet({ instances: 3, shards: 1 });
    const begun = await fixtures.runWithin(clock, ledgers[0]!.begin(call));
    await fixtures.runWithin(clock, ledgers[0]!.finish(getRecord(begun), fixtures.createResult("cot 7"), 1_000));
    const holder = memberships[0]!.tryGetHolder("ledger/0")!;
    hub.remove(holder);
    fleet.markGone(holder);
    const survivor = ledgers[holder === "instance-0" ? 1 : 0]!;
    const read = await fixtures.runWithin(clock, survivor.begin(call));
    assert.is(read.kind, work.BeginKind.Finished);
});

suite.run();
