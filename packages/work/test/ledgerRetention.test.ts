import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as core from "@boragedale/core";
import * as backing from "@boragedale/backing";
import * as work from "@boragedale/work";
import * as fixtures from "./fixtures.js";

const suite = uvu.suite("sealing and retention of finished calls");

async function runCalls(target: fixtures.LedgerFleet, keys: readonly string[], bodyBytes: number): Promise<void> {
    const ledger = core.Debug.checkDefined(target.ledgers[0], "a ledger");
    const run = async (key: string): Promise<void> => {
        const begun = await ledger.begin(fixtures.createCall(key));
        assert.is(begun.kind, work.BeginKind.Started);
        if (begun.kind === work.BeginKind.Started) {
            await ledger.finish(begun.record, fixtures.createResult(key.padEnd(bodyBytes, "x")), 60_000);
        }
    };
    await fixtures.runWithin(
        target.clock,
        Promise.all(keys.map(run)).then(() => true),
    );
}

function createKeys(prefix: string, count: number): readonly string[] {
    return [...Array(count).keys()].map(index => `${prefix}-${index}`);
}

async function countEntries(target: fixtures.LedgerFleet, prefix: string): Promise<number> {
    const request = { prefix, limit: 10_000, purpose: backing.CallPurpose.Read };
    const entries = await fixtures.runWithin(target.clock, target.keyValue.list(request));
    return entries.ok ? entries.value.length : 0;
}

suite("a new holder returns results of sealed calls, and the shard's head stays small", async () => {
    const target = fixtures.createLedgerFleet({ instances: 2, shards: 1 });
    const keys = createKeys("booking", 1_500);
    await runCalls(target, keys, 300);
    assert.ok((await countEntries(target, "ledger/segment/")) > 0);
    assert.ok((await countEntries(target, "ledger/run/")) > 0);
    const head = await fixtures.runWithin(
        target.clock,
        target.keyValue.get("ledger/head/0000", backing.CallPurpose.Read),
    );
    assert.ok(head.ok && (head.value?.value.byteLength ?? 0) < 100_000);
    const successor = fixtures.restartLedger(target, 1, { shards: 1 });
    target.memberships[1]!.holdsAllAssignments = true;
    for (const key of [keys[0]!, keys[700]!, keys[1_499]!]) {
        const outcome = await fixtures.runWithin(target.clock, successor.begin(fixtures.createCall(key)));
        assert.is(
            outcome.kind === work.BeginKind.Finished && fixtures.readBody(outcome.result).trim(),
            key.padEnd(300, "x"),
        );
    }
});

suite("a large result is stored completely, outside the head", async () => {
    const target = fixtures.createLedgerFleet({ instances: 2 });
    await runCalls(target, ["large"], 2_500_000);
    const outcome = await fixtures.runWithin(target.clock, target.ledgers[1]!.begin(fixtures.createCall("large")));
    assert.is(outcome.kind === work.BeginKind.Finished && outcome.result.body.byteLength, 2_500_000);
    const read = await fixtures.runWithin(target.clock, target.ledgers[1]!.read(fixtures.createCall("large")));
    assert.is(read.ok && read.value?.result?.body.byteLength, 2_500_000);
});

suite("a call whose segment can't be read is rejected and not started again", async () => {
    // The call is finished and sealed, and the service fails when its segment is read. If the call were treated as
    // absent, it would run a second time.
    const target = fixtures.createLedgerFleet({ instances: 1, shards: 1 });
    await runCalls(target, createKeys("booking", 300), 300);
    const successor = fixtures.restartLedger(target, 0, { shards: 1 });
    target.keyValue.faults.isDown = true;
    const down = await fixtures.runWithin(target.clock, successor.begin(fixtures.createCall("booking-0")));
    assert.is(down.kind, work.BeginKind.Unavailable);
    target.keyValue.faults.isDown = false;
    const up = await fixtures.runWithin(target.clock, successor.begin(fixtures.createCall("booking-0")));
    assert.is(up.kind, work.BeginKind.Finished);
});

suite("after retention all data of a call is removed", async () => {
    const target = fixtures.createLedgerFleet({ instances: 1, shards: 1, retentionMilliseconds: 3_600_000 });
    await runCalls(target, createKeys("booking", 1_500), 300);
    await runCalls(target, ["large"], 1_000_000);
    await target.clock.advance(3_600_000 + 180_000);
    assert.is(await countEntries(target, "ledger/"), 1);
    const read = await fixtures.runWithin(target.clock, target.ledgers[0]!.read(fixtures.createCall("booking-3")));
    assert.ok(read.ok && read.value === undefined);
});

suite.run();
