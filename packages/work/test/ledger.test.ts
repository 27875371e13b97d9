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

suite("a call is started once, and its result can be read on any instance", async () => {
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

suite("the same key of two callers identifies two calls", async () => {
    const { ledgers, clock } = fixtures.createLedgerFleet();
    const first = await fixtures.runWithin(clock, ledgers[0]!.begin(fixtures.createCall("1", "body", "kandula")));
    const second = await fixtures.runWithin(clock, ledgers[0]!.begin(fixtures.createCall("1", "body", "bureau")));
    assert.is(first.kind, work.BeginKind.Started);
    assert.is(second.kind, work.BeginKind.Started);
});

suite("a known key with another body is rejected", async () => {
    // A client reuses a key by mistake. Returning the first call's result would show a parent another family's booking.
    const { ledgers, clock } = fixtures.createLedgerFleet({ instances: 2 });
    await fixtures.runWithin(clock, ledgers[0]!.begin(fixtures.createCall("booking-1", "body-1")));
    const outcome = await fixtures.runWithin(clock, ledgers[1]!.begin(fixtures.createCall("booking-1", "body-2")));
    assert.is(outcome.kind, work.BeginKind.KeyReused);
});

suite("a resend to another instance waits for the result of the first request", async () => {
    // The client's connection broke, and it sends the booking again to another instance while the first request is
    // still running. The second request must be answered with the result of the first one.
    const { ledgers, clock } = fixtures.createLedgerFleet({ instances: 3 });
    const call = fixtures.createCall("booking-1");
    const begun = await fixtures.runWithin(clock, ledgers[0]!.begin(call));
    const waiting = ledgers[2]!.waitForResult(call, new AbortController().signal);
    await clock.advance(5_000);
    void ledgers[0]!.finish(getRecord(begun), fixtures.createResult("cot 7"), 1_000);
    const record = await fixtures.runWithin(clock, waiting);
    assert.is(fixtures.readBody(record?.result), "cot 7");
});

suite("while the key-value service is down, a begin is rejected immediately and nothing is started", async () => {
    const { ledgers, clock, keyValue } = fixtures.createLedgerFleet({ instances: 2 });
    keyValue.faults.isDown = true;
    const outcome = await fixtures.runWithin(clock, ledgers[0]!.begin(fixtures.createCall("booking-1")), 20);
    assert.is(outcome.kind, work.BeginKind.Unavailable);
    keyValue.faults.isDown = false;
    const later = await fixtures.runWithin(clock, ledgers[1]!.begin(fixtures.createCall("booking-1")));
    assert.is(later.kind, work.BeginKind.Started);
});

suite.run();
