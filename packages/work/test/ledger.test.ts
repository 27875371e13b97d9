import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as work from "@boragedale/work";
import * as fixtures from "./fixtures.js";

const suite = uvu.suite("ledger of non-idempotent calls");

function getRecord(outcome: work.BeginOutcome): work.CallRecord {
    if (!("record" in outcome)) {
        throw new Error(`no record: ${outcome.kind}`);
    }
    return outcome.record;
}

suite("a call is started once, and its result is read from any instance", async () => {
    const { ledgers, clock } = fixtures.createLedgerFleet({ instances: 3 });
    const call = fixtures.createCall("booking-1");
    const begun = await fixtures.runWithin(clock, ledgers[0]!.begin(call));
    assert.is(begun.kind, work.BeginKind.Started);
    const again = await fixtures.runWithin(clock, ledgers[1]!.begin(call));
    assert.is(again.kind, work.BeginKind.InFlight);
    const kept = await fixtures.runWithin(
        clock,
        ledgers[0]!.finish(getRecord(begun), fixtures.createResult("cot 7"), 1_000),
    );
    assert.is(kept, true);
    for (const ledger of ledgers) {
        const outcome = await fixtures.runWithin(clock, ledger.begin(call));
        assert.is(outcome.kind, work.BeginKind.Finished);
        assert.is(outcome.kind === work.BeginKind.Finished && fixtures.readBody(outcome.result), "cot 7");
    }
});

suite("the same key belongs to each caller alone", async () => {
    const { ledgers, clock } = fixtures.createLedgerFleet();
    const first = await fixtures.runWithin(clock, ledgers[0]!.begin(fixtures.createCall("1", "body", "kandula")));
    const second = await fixtures.runWithin(clock, ledgers[0]!.begin(fixtures.createCall("1", "body", "bureau")));
    assert.is(first.kind, work.BeginKind.Started);
    assert.is(second.kind, work.BeginKind.Started);
});

suite("the same key with another body is refused", async () => {
    // A client reuses a key by mistake. Answering it from the first call's record would tell a parent that another
    // family's booking is theirs.
    const { ledgers, clock } = fixtures.createLedgerFleet({ instances: 2 });
    await fixtures.runWithin(clock, ledgers[0]!.begin(fixtures.createCall("booking-1", "body-1")));
    const outcome = await fixtures.runWithin(clock, ledgers[1]!.begin(fixtures.createCall("booking-1", "body-2")));
    assert.is(outcome.kind, work.BeginKind.KeyReused);
});

suite("a resend to another instance waits for the result and gets it", async () => {
    // The parent's connection broke and the client sends the booking again, to another instance, while the first run
    // is still going. The second request must be answered with the first one's result.
    const { ledgers, clock } = fixtures.createLedgerFleet({ instances: 3 });
    const call = fixtures.createCall("booking-1");
    const begun = await fixtures.runWithin(clock, ledgers[0]!.begin(call));
    const waiting = ledgers[2]!.waitForResult(call, new AbortController().signal);
    await clock.advance(5_000);
    void ledgers[0]!.finish(getRecord(begun), fixtures.createResult("cot 7"), 1_000);
    const record = await fixtures.runWithin(clock, waiting);
    assert.is(fixtures.readBody(record?.result), "cot 7");
});

suite("while the key-value service is down nothing is started, and the refusal comes at once", async () => {
    const { ledgers, clock, keyValue } = fixtures.createLedgerFleet({ instances: 2 });
    keyValue.faults.isDown = true;
    const outcome = await fixtures.runWithin(clock, ledgers[0]!.begin(fixtures.createCall("booking-1")), 20);
    assert.is(outcome.kind, work.BeginKind.Unavailable);
    keyValue.faults.isDown = false;
    const later = await fixtures.runWithin(clock, ledgers[1]!.begin(fixtures.createCall("booking-1")));
    assert.is(later.kind, work.BeginKind.Started);
});

suite.run();
