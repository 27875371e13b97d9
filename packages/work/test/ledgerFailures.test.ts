import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as work from "@boragedale/work";
import * as faultyKeyValue from "./faultyKeyValue.js";
import * as fixtures from "./fixtures.js";

const suite = uvu.suite("non-idempotent calls under failures");
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
    target.memberships.forEach(membership => (membership.holdsAllAssignments = true));
    return { ...target, first: wraps.get("instance-0")!, second: wraps.get("instance-1")! };
}

suite("a holder paused before its write finds another holder's start and doesn't start the call", async () => {
    // The same call arrives at two instances. The first holder is paused before it sends its write, and meanwhile
    // another holder starts the call. When the first one resumes, its write must fail: only one of the two may run the
    // call.
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

suite("a holder paused after its write keeps the start, and the other holder doesn't start the call", async () => {
    // The write took effect, and the holder is paused before it receives the reply. The second holder must find the
    // start, and the first one may send the call if it resumes in time.
    const { ledgers, clock, first } = createContendedFleet();
    first.holdNextWrite("ledger/head", faultyKeyValue.HoldPoint.BeforeReply);
    const paused = ledgers[0]!.begin(call);
    await clock.advance(0);
    assert.ok(first.isHolding());
    assert.is((await fixtures.runWithin(clock, ledgers[1]!.begin(call))).kind, work.BeginKind.InFlight);
    first.release();
    assert.is((await fixtures.runWithin(clock, paused)).kind, work.BeginKind.Started);
});

suite("a start that is recorded after its begin timed out doesn't block its key", async () => {
    // The begin was rejected because the reply to its write took too long, but the write had taken effect. A resend
    // would wait for a call that no instance runs, so the first instance is queried and reports that it never sent the
    // call.
    const { ledgers, clock, first } = createContendedFleet();
    first.holdNextWrite("ledger/head", faultyKeyValue.HoldPoint.BeforeReply);
    const refused = await fixtures.runWithin(clock, ledgers[0]!.begin(call));
    assert.is(refused.kind, work.BeginKind.Unavailable);
    assert.is((await fixtures.runWithin(clock, ledgers[1]!.begin(call))).kind, work.BeginKind.Started);
    first.release();
    assert.is((await fixtures.runWithin(clock, ledgers[0]!.begin(call))).kind, work.BeginKind.InFlight);
});

suite("if three instances begin the same call, one starts it and the others receive its result", async () => {
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

suite("with two holders of one shard, each call starts once", async () => {
    // With an outdated instance list both instances act as the shard's holder, and both commit batches of calls.
    const { ledgers, clock } = createContendedFleet();
    const calls = [...Array(20).keys()].map(index => fixtures.createCall(`booking-${index}`));
    const begun = calls.flatMap(each => ledgers.map(ledger => ledger.begin(each)));
    const outcomes = await fixtures.runWithin(clock, Promise.all(begun));
    const started = outcomes.filter(outcome => outcome.kind === work.BeginKind.Started).map(getRecord);
    assert.is(started.length, 20);
    assert.is(new Set(started.map(record => record.key)).size, 20);
});

suite("after a lost reply the start is read back, and the call starts once", async () => {
    // The write took effect and its reply was lost. Treated as a failure, the call would be rejected and block its key;
    // treated as a conflict with another holder, it would wait for itself.
    const { ledgers, clock, keyValue } = fixtures.createLedgerFleet({ instances: 2 });
    keyValue.faults.lostReplies = 1;
    assert.is((await fixtures.runWithin(clock, ledgers[0]!.begin(call))).kind, work.BeginKind.Started);
    assert.is((await fixtures.runWithin(clock, ledgers[1]!.begin(call))).kind, work.BeginKind.InFlight);
});

suite(
    "if the service fails between begin and finish, finish returns at its timeout and the result is recorded later",
    async () => {
        // The call has run when the key-value service goes down. The caller is answered after the timeout. The result
        // is recorded when the service is back, and a resend receives it.
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
    "if the service fails after finish, a resend receives the result or is rejected, and nothing runs twice",
    async () => {
        // The result is recorded when the service goes down. The shard's holder has it in memory. Another holder can't
        // read the shard's head and must not treat the call as new.
        const { ledgers, clock, keyValue, memberships } = fixtures.createLedgerFleet({ instances: 2, shards: 1 });
        memberships[0]!.holdsAllAssignments = true;
        const begun = await fixtures.runWithin(clock, ledgers[0]!.begin(call));
        await fixtures.runWithin(clock, ledgers[0]!.finish(getRecord(begun), fixtures.createResult("cot 7"), 1_000));
        keyValue.faults.isDown = true;
        assert.is((await fixtures.runWithin(clock, ledgers[0]!.begin(call))).kind, work.BeginKind.Finished);
        memberships[1]!.holdsAllAssignments = true;
        assert.is((await fixtures.runWithin(clock, ledgers[1]!.begin(call))).kind, work.BeginKind.Unavailable);
    },
);

suite("a result that is not yet recorded survives a restart of the process that ran the call", async () => {
    // The call has run and is answered while the key-value service is down. Then the process ends. Once it is restarted
    // with the same disk and the service is back, a resend must receive the result instead of an unknown outcome.
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

suite(
    "after an instance is removed, one other takes its call over, and the late result is still recorded",
    async () => {
        // The instance that ran the call is removed from the fleet. Two resends arrive: both find the call orphaned,
        // but only one may take it over. Then the removed instance, which is still running, records the result.
        const { ledgers, clock, fleet } = fixtures.createLedgerFleet({ instances: 3 });
        const begun = await fixtures.runWithin(clock, ledgers[0]!.begin(call));
        fleet.markRemoved("instance-0");
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
    },
);

suite("after a restart an instance reports calls of its previous process as lost", async () => {
    // The process crashes with a call in flight and is restarted immediately, so the instance is never removed from the
    // fleet. A resend must neither wait forever nor run the call again.
    const target = fixtures.createLedgerFleet({ instances: 2 });
    await fixtures.runWithin(target.clock, target.ledgers[0]!.begin(call));
    const restarted = fixtures.restartLedger(target, 0);
    for (const ledger of [restarted, target.ledgers[1]!]) {
        assert.is((await fixtures.runWithin(target.clock, ledger.begin(call))).kind, work.BeginKind.Orphaned);
    }
});

suite("a released call can be started again", async () => {
    // The connection to the upstream was refused, so nothing was sent. The caller may resend the call, which starts.
    const { ledgers, clock } = fixtures.createLedgerFleet({ instances: 2 });
    const begun = await fixtures.runWithin(clock, ledgers[0]!.begin(call));
    await fixtures.runWithin(
        clock,
        ledgers[0]!.release(getRecord(begun)).then(() => true),
    );
    assert.is((await fixtures.runWithin(clock, ledgers[1]!.begin(call))).kind, work.BeginKind.Started);
});

suite("a call marked as having an unknown outcome is never started again", async () => {
    // The upstream crashed during the call; it can't be asked for the outcome and doesn't drop duplicates. Resends to
    // any instance are answered that the outcome is unknown, and operators find the call in their list.
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

suite("a call that was taken over but not sent stays orphaned, since its first attempt may have run", async () => {
    // Instance 1 takes the call over from a removed instance, can't reach the upstream, and releases the call. If that
    // freed the key, the next resend could run the call a second time.
    const { ledgers, clock, fleet } = fixtures.createLedgerFleet({ instances: 3 });
    await fixtures.runWithin(clock, ledgers[0]!.begin(call));
    fleet.markRemoved("instance-0");
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

suite("a takeover that timed out leaves the call orphaned", async () => {
    // Instance 0 may have run the call. Instance 1's takeover is recorded, but the reply arrives too late. Instance 1
    // then reports that it sent nothing, which says nothing about the first attempt.
    const { wraps, wrap } = faultyKeyValue.createFaultyWraps();
    const { ledgers, clock, fleet, memberships } = fixtures.createLedgerFleet({ instances: 3, wrap });
    memberships.forEach(membership => (membership.holdsAllAssignments = true));
    await fixtures.runWithin(clock, ledgers[0]!.begin(call));
    fleet.markRemoved("instance-0");
    const orphan = await fixtures.runWithin(clock, ledgers[1]!.begin(call));
    const second = wraps.get("instance-1")!;
    second.holdNextWrite("ledger/head", faultyKeyValue.HoldPoint.BeforeReply);
    assert.is(await fixtures.runWithin(clock, ledgers[1]!.takeOver(getRecord(orphan))), undefined);
    const outcome = await fixtures.runWithin(clock, ledgers[2]!.begin(call));
    assert.is(outcome.kind, work.BeginKind.Orphaned);
    assert.is(getRecord(outcome).attempt, 2);
    second.release();
});

suite("the first recorded outcome of a call is final", async () => {
    // Two attempts at a service that drops duplicates end with different results. Once the first one was read, no other
    // may be returned.
    const { ledgers, clock, fleet } = fixtures.createLedgerFleet({ instances: 3 });
    const begun = await fixtures.runWithin(clock, ledgers[0]!.begin(call));
    fleet.markRemoved("instance-0");
    const orphan = await fixtures.runWithin(clock, ledgers[1]!.begin(call));
    const taken = await fixtures.runWithin(clock, ledgers[1]!.takeOver(getRecord(orphan)));
    await fixtures.runWithin(clock, ledgers[1]!.finish(taken!, fixtures.createResult("cot 7"), 1_000));
    await fixtures.runWithin(clock, ledgers[0]!.finish(getRecord(begun), fixtures.createResult("cot 8"), 1_000));
    const read = await fixtures.runWithin(clock, ledgers[2]!.begin(call));
    assert.is(read.kind === work.BeginKind.Finished && fixtures.readBody(read.result), "cot 7");
});

suite("a call may not be sent if its start is too old", async () => {
    // The process is paused between the start and sending the call. Meanwhile another instance takes the call over and
    // sends it, since the service reports that it did not run. When the first process resumes, it must not send the
    // call.
    const { ledgers, clock } = fixtures.createLedgerFleet();
    const begun = await fixtures.runWithin(clock, ledgers[0]!.begin(call));
    assert.is(ledgers[0]!.isSendAllowed(getRecord(begun)), true);
    await clock.advance(6_000);
    assert.is(ledgers[0]!.isSendAllowed(getRecord(begun)), false);
});

suite("when a shard's holder is lost, the next holder finds its calls", async () => {
    // All calls of a shard were committed by one holder, which is lost. Its successor has only the key-value service.
    const { ledgers, clock, fleet, hub, memberships } = fixtures.createLedgerFleet({ instances: 3, shards: 1 });
    const begun = await fixtures.runWithin(clock, ledgers[0]!.begin(call));
    await fixtures.runWithin(clock, ledgers[0]!.finish(getRecord(begun), fixtures.createResult("cot 7"), 1_000));
    const holder = memberships[0]!.tryGetHolder("ledger/0")!;
    hub.remove(holder);
    fleet.markRemoved(holder);
    const survivor = ledgers[holder === "instance-0" ? 1 : 0]!;
    const read = await fixtures.runWithin(clock, survivor.begin(call));
    assert.is(read.kind, work.BeginKind.Finished);
});

suite.run();
