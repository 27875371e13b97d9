import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as core from "@boragedale/core";
import * as backing from "@boragedale/backing";
import * as work from "@boragedale/work";
import * as faultyKeyValue from "./faultyKeyValue.js";
import * as fixtures from "./fixtures.js";
import * as jobFixtures from "./jobFixtures.js";

const suite = uvu.suite("jobs under failures");

interface ControlledItem {
    readonly customId: string;
    readonly finish: (outcome?: work.ItemOutcome) => void;
}

/** Creates items that end when the test finishes them. */
function createControlledItems(): { readonly items: ControlledItem[]; readonly execute: jobFixtures.Execute } {
    const items: ControlledItem[] = [];
    const execute: jobFixtures.Execute = item =>
        new Promise(resolve => {
            items.push({ customId: item.customId, finish: outcome => resolve(outcome ?? jobFixtures.succeed(item)) });
        });
    return { items, execute };
}

/** Executes an item in half a second. */
const executeSlowly: jobFixtures.Execute = async (item, signal, clock) => {
    await clock.sleep(500, signal);
    return jobFixtures.succeed(item);
};

function createFaultyFleet(options: jobFixtures.JobFleetOptions = {}) {
    const { wraps, wrap } = faultyKeyValue.createFaultyWraps();
    const target = jobFixtures.createJobFleet({ ...options, wrap });
    return { ...target, wraps };
}

async function readOutput(target: jobFixtures.JobFleet, job: work.JobDescription, kind = "output"): Promise<string[]> {
    const store = core.Debug.checkDefined(target.instances.at(-1), "an instance").store;
    const content = await fixtures.runWithin(target.clock, store.readContent(job.caller, `${job.id}-${kind}`));
    const lines = await fixtures.runWithin(target.clock, jobFixtures.readAll(content));
    return lines.map(line => String(line["custom_id"])).sort();
}

async function countEntries(target: jobFixtures.JobFleet, prefix: string): Promise<number> {
    const entries = await target.keyValue.list({ prefix, limit: 10_000, purpose: backing.CallPurpose.Read });
    return entries.ok ? entries.value.length : 0;
}

function createNames(count: number): string[] {
    return [...Array(count).keys()].map(index => `item-${index}`).sort();
}

suite("a job is complete if its instance is lost right after it acknowledged the job", async () => {
    // The instance is lost right after it returned the job's id, before any item ran. Another instance must find the
    // job and its complete input.
    const target = createFaultyFleet({ instances: 2 });
    const job = await jobFixtures.submitLines(target, jobFixtures.createLines(50));
    jobFixtures.killInstance(target, "instance-0", target.wraps);
    target.instances[1]!.start();
    const ended = await jobFixtures.waitForEnd(target, job);
    assert.is(ended.counts.succeeded, 50);
    assert.equal(await readOutput(target, job), createNames(50));
});

suite(
    "submitting a job to three instances creates one job, and the same key with another file is rejected",
    async () => {
        const target = jobFixtures.createJobFleet({ instances: 3 });
        const { store } = target.instances[0]!;
        const files = await fixtures.runWithin(
            target.clock,
            Promise.all(
                ["a", "b"].map(name =>
                    store.createFile("kandula", name, "batch", jobFixtures.toStream(jobFixtures.createLine(name))),
                ),
            ),
        );
        const [first, second] = files.map(file => jobFixtures.getValue(file).id);
        const submit = jobFixtures.createSubmit("kandula", first!);
        const jobs = await fixtures.runWithin(
            target.clock,
            Promise.all(target.instances.map(instance => instance.store.submit(submit))),
        );
        assert.is(new Set(jobs.map(job => jobFixtures.getValue(job).id)).size, 1);
        const other = await fixtures.runWithin(
            target.clock,
            store.submit(jobFixtures.createSubmit("kandula", second!)),
        );
        assert.is(other.ok ? undefined : other.refusal.kind, core.RefusalKind.KeyReused);
    },
);

suite("a job is acknowledged even if the reply to its record's write is lost", async () => {
    // The record was written and the reply lost. With a rejection the client would assume that there is no job.
    const target = jobFixtures.createJobFleet();
    const { store } = target.instances[0]!;
    const stream = jobFixtures.toStream(jobFixtures.createLines(2));
    const file = await fixtures.runWithin(target.clock, store.createFile("kandula", "a", "batch", stream));
    target.keyValue.faults.lostReplies = 1;
    const submit = jobFixtures.createSubmit("kandula", jobFixtures.getValue(file).id);
    const job = await fixtures.runWithin(target.clock, store.submit(submit));
    assert.is(jobFixtures.getValue(job).state, work.JobState.Running);
});

suite("a cancel aborts running items within a second, even if the notification can't be delivered", async () => {
    // The link to the instance that runs the items is cut. It must detect the cancel by its watch on the job's record.
    const target = createFaultyFleet({
        instances: 2,
        execute: (item, signal) =>
            new Promise(resolve => signal.addEventListener("abort", () => resolve(jobFixtures.succeed(item)))),
    });
    target.instances[0]!.start();
    const job = await jobFixtures.submitLines(target, jobFixtures.createLines(10));
    await target.clock.advance(1_000);
    assert.is(target.instances[0]!.executor.running, 4);
    target.hub.offline.add("instance-0");
    const cancelled = target.instances[1]!.store.cancel(job.caller, job.id);
    await target.clock.advance(1_000);
    assert.is(target.instances[0]!.executor.running, 0);
    assert.ok((await cancelled).ok);
});

suite("a cancel before the last checkpoint's write prevents its results from being recorded", async () => {
    // A job is cancelled while its last checkpoint is being written. The cancel is acknowledged first; the checkpoint's
    // write arrives after it and must change nothing.
    const controlled = createControlledItems();
    const target = createFaultyFleet({ instances: 2, execute: controlled.execute });
    target.instances[0]!.start();
    const job = await jobFixtures.submitLines(target, jobFixtures.createLines(3));
    await target.clock.advance(1_000);
    const runner = target.wraps.get("instance-0")!;
    runner.holdNextWrite("boards/", faultyKeyValue.HoldPoint.BeforeEffect);
    controlled.items.forEach(item => item.finish());
    await target.clock.advance(1_000);
    assert.ok(runner.isHolding());
    const cancelled = await fixtures.runWithin(target.clock, target.instances[1]!.store.cancel(job.caller, job.id));
    assert.is(jobFixtures.getValue(cancelled).state, work.JobState.Cancelled);
    runner.release();
    await target.clock.advance(30_000);
    const read = await fixtures.runWithin(target.clock, target.instances[1]!.store.read(job.caller, job.id));
    assert.equal(jobFixtures.getValue(read).counts, { total: 3, succeeded: 0, failed: 0 });
    assert.equal(await readOutput(target, job), []);
});

suite("a cancel after the last checkpoint's write is rejected, and the job is finished", async () => {
    // The checkpoint's write has taken effect and only its reply is outstanding. The job has finished, so the cancel
    // must not be acknowledged.
    const controlled = createControlledItems();
    const target = createFaultyFleet({ instances: 2, execute: controlled.execute });
    target.instances[0]!.start();
    const job = await jobFixtures.submitLines(target, jobFixtures.createLines(3));
    await target.clock.advance(1_000);
    const runner = target.wraps.get("instance-0")!;
    runner.holdNextWrite("boards/", faultyKeyValue.HoldPoint.BeforeReply);
    controlled.items.forEach(item => item.finish());
    await target.clock.advance(1_000);
    assert.ok(runner.isHolding());
    const cancelled = await fixtures.runWithin(target.clock, target.instances[1]!.store.cancel(job.caller, job.id));
    assert.is(cancelled.ok ? undefined : cancelled.refusal.kind, core.RefusalKind.JobStateConflict);
    runner.release();
    const ended = await jobFixtures.waitForEnd(target, job);
    assert.is(ended.state, work.JobState.Finished);
    assert.equal(await readOutput(target, job), createNames(3));
});

suite("a job whose items all fail ends with an error for each item", async () => {
    // The upstream fails on every item. No item may be retried forever, and the job must end.
    const target = jobFixtures.createJobFleet({
        execute: async () => ({ kind: work.ItemOutcomeKind.TryAgain, text: "the upstream broke off" }),
        itemAttempts: 3,
    });
    target.instances[0]!.start();
    const job = await jobFixtures.submitLines(target, jobFixtures.createLines(5));
    const ended = await jobFixtures.waitForEnd(target, job);
    assert.is(ended.state, work.JobState.Finished);
    assert.equal(ended.counts, { total: 5, succeeded: 0, failed: 5 });
    assert.is(target.instances[0]!.executor.started.length, 15);
    assert.equal(await readOutput(target, job, "errors"), createNames(5));
});

suite("preemption by online work doesn't count as an attempt", async () => {
    let gaveWay = 0;
    const target = jobFixtures.createJobFleet({
        execute: async item =>
            gaveWay++ < 20
                ? { kind: work.ItemOutcomeKind.GaveWay, retryAfterMilliseconds: 100 }
                : jobFixtures.succeed(item),
        itemAttempts: 1,
    });
    target.instances[0]!.start();
    const job = await jobFixtures.submitLines(target, jobFixtures.createLines(2));
    const ended = await jobFixtures.waitForEnd(target, job);
    assert.is(ended.counts.succeeded, 2);
});

suite("a lost instance's chunk is finished by another, and each result is listed once", async () => {
    // Instance 0 has recorded part of a chunk when it is lost. The other instance must run only the remaining items.
    const target = createFaultyFleet({ instances: 2, execute: executeSlowly });
    target.instances[0]!.start();
    const job = await jobFixtures.submitLines(target, jobFixtures.createLines(150));
    await target.clock.advance(8_000);
    target.instances[1]!.start();
    await target.clock.advance(100);
    jobFixtures.killInstance(target, "instance-0", target.wraps);
    const before = await fixtures.runWithin(target.clock, target.instances[1]!.store.read(job.caller, job.id));
    const recorded = jobFixtures.getValue(before).counts.succeeded;
    assert.ok(recorded > 0 && recorded < 150);
    const ended = await jobFixtures.waitForEnd(target, job);
    assert.is(ended.counts.succeeded, 150);
    assert.equal(await readOutput(target, job), createNames(150));
    assert.is(target.instances[1]!.executor.started.length, 150 - recorded);
});

suite("a chunk is taken over within three seconds after its instance was removed from the fleet", async () => {
    const target = createFaultyFleet({ instances: 2, execute: executeSlowly });
    target.instances.forEach(instance => instance.start());
    await jobFixtures.submitLines(target, jobFixtures.createLines(150));
    await target.clock.advance(3_000);
    const [holder, other] =
        target.instances[0]!.executor.started.length > 0 ? target.instances : [...target.instances].reverse();
    assert.is(other!.executor.started.length, 0);
    jobFixtures.killInstance(target, holder!.name, target.wraps);
    await target.clock.advance(3_000);
    assert.ok(other!.executor.started.length > 0);
});

suite("a paused holder that resumes after a takeover can't record its results a second time", async () => {
    // The process is paused while its items end, is removed from the fleet, and another instance runs the chunk. Then
    // it resumes and writes its checkpoint: each item's result must be in the output once.
    const controlled = createControlledItems();
    const target = createFaultyFleet({ instances: 2, execute: controlled.execute });
    target.instances[0]!.start();
    const job = await jobFixtures.submitLines(target, jobFixtures.createLines(3));
    await target.clock.advance(1_000);
    const paused = target.wraps.get("instance-0")!;
    paused.pause();
    controlled.items.splice(0).forEach(item => item.finish());
    target.fleet.markRemoved("instance-0");
    target.instances[1]!.start();
    await target.clock.advance(3_000);
    assert.is(controlled.items.length, 3);
    paused.resume();
    await target.clock.advance(10_000);
    controlled.items.forEach(item => item.finish());
    const ended = await jobFixtures.waitForEnd(target, job);
    assert.equal(ended.counts, { total: 3, succeeded: 3, failed: 0 });
    assert.equal(await readOutput(target, job), createNames(3));
});

suite("a paused holder's results are not listed in addition to its successor's", async () => {
    // Only two of the three items had ended on the paused instance, so the job is still running when it resumes. Its
    // two results and the successor's three must result in three lines.
    const controlled = createControlledItems();
    const target = createFaultyFleet({ instances: 2, execute: controlled.execute });
    target.instances[0]!.start();
    const job = await jobFixtures.submitLines(target, jobFixtures.createLines(3));
    await target.clock.advance(1_000);
    const paused = target.wraps.get("instance-0")!;
    paused.pause();
    controlled.items
        .splice(0)
        .slice(0, 2)
        .forEach(item => item.finish());
    await target.clock.advance(6_000);
    target.fleet.markRemoved("instance-0");
    target.instances[1]!.start();
    await target.clock.advance(3_000);
    paused.resume();
    await target.clock.advance(10_000);
    controlled.items.forEach(item => item.finish());
    const ended = await jobFixtures.waitForEnd(target, job);
    assert.equal(ended.counts, { total: 3, succeeded: 3, failed: 0 });
    assert.equal(await readOutput(target, job), createNames(3));
});

suite("a checkpoint with an unknown write outcome lists its results once", async () => {
    // The write took effect, the reply was lost, and the service went down at the same time, so that nothing could be
    // read back. When the checkpoint is retried, it must be recognised in the progress record.
    const target = createFaultyFleet({ execute: executeSlowly });
    target.instances[0]!.start();
    const job = await jobFixtures.submitLines(target, jobFixtures.createLines(100));
    await target.clock.advance(2_000);
    target.wraps.get("instance-0")!.breakAfterNextWrite("boards/");
    await target.clock.advance(10_000);
    target.wraps.get("instance-0")!.resume();
    const ended = await jobFixtures.waitForEnd(target, job);
    assert.equal(ended.counts, { total: 100, succeeded: 100, failed: 0 });
    assert.equal(await readOutput(target, job), createNames(100));
});

suite("during a ten-minute outage of the key-value service claimed items run, and no result is lost", async () => {
    // The service goes down during a job. Claimed items continue to run; each result is recorded once when the service
    // is back.
    const target = createFaultyFleet({ instances: 1, execute: executeSlowly });
    target.instances[0]!.start();
    const job = await jobFixtures.submitLines(target, jobFixtures.createLines(150));
    await target.clock.advance(2_000);
    target.keyValue.faults.isDown = true;
    const before = target.instances[0]!.executor.started.length;
    await target.clock.advance(600_000);
    assert.ok(target.instances[0]!.executor.started.length > before + 50);
    // Retries come every five seconds instead of every poll: otherwise a fleet of 400 would overload a recovering
    // service.
    const tries = target.keyValue.calls.get(backing.CallPurpose.Checkpoint) ?? 0;
    assert.ok(tries < 200, `${tries} calls`);
    target.keyValue.faults.isDown = false;
    const ended = await jobFixtures.waitForEnd(target, job);
    assert.is(ended.counts.succeeded, 150);
    assert.equal(await readOutput(target, job), createNames(150));
    assert.is(target.instances[0]!.executor.started.length, 150);
});

suite("if replies to checkpoints are lost, no result is listed twice", async () => {
    const target = createFaultyFleet({ instances: 2, execute: executeSlowly });
    target.instances.forEach(instance => instance.start());
    const job = await jobFixtures.submitLines(target, jobFixtures.createLines(400));
    for (let round = 0; round < 30; round++) {
        target.keyValue.faults.lostReplies = 2;
        await target.clock.advance(700);
    }
    target.keyValue.faults.lostReplies = 0;
    const ended = await jobFixtures.waitForEnd(target, job);
    assert.is(ended.counts.succeeded, 400);
    assert.equal(await readOutput(target, job), createNames(400));
});

suite("an instance that stops releases its chunk immediately", async () => {
    // In a planned restart running items end, results are recorded, and the next instance continues without waiting for
    // the first one to be removed from the fleet.
    const target = createFaultyFleet({ instances: 2, execute: executeSlowly });
    const runner = target.instances[0]!.start();
    const job = await jobFixtures.submitLines(target, jobFixtures.createLines(60));
    await target.clock.advance(2_500);
    await fixtures.runWithin(
        target.clock,
        runner[Symbol.asyncDispose]().then(() => true),
    );
    const startedFirst = target.instances[0]!.executor.started.length;
    target.instances[1]!.start();
    const ended = await jobFixtures.waitForEnd(target, job);
    assert.is(ended.counts.succeeded, 60);
    assert.is(target.instances[1]!.executor.started.length, 60 - startedFirst);
});

suite("a job past its deadline ends as expired and keeps its results", async () => {
    const target = jobFixtures.createJobFleet({ execute: executeSlowly });
    target.instances[0]!.start();
    const job = await jobFixtures.submitLines(target, jobFixtures.createLines(500), { deadlineMilliseconds: 20_000 });
    const ended = await jobFixtures.waitForEnd(target, job);
    assert.is(ended.state, work.JobState.Expired);
    assert.ok(ended.counts.succeeded > 0 && ended.counts.succeeded < 500);
    assert.is((await readOutput(target, job)).length, ended.counts.succeeded);
});

suite("results are readable while the job runs, and all data of the job is removed after retention", async () => {
    const target = jobFixtures.createJobFleet({ execute: executeSlowly, retentionMilliseconds: 3_600_000 });
    target.instances[0]!.start();
    const job = await jobFixtures.submitLines(target, jobFixtures.createLines(100));
    await target.clock.advance(12_000);
    const partial = await readOutput(target, job);
    assert.ok(partial.length > 0 && partial.length < 100);
    await jobFixtures.waitForEnd(target, job);
    assert.equal(await readOutput(target, job), createNames(100));
    await target.clock.advance(3_600_000 + 1_300_000);
    assert.is(await countEntries(target, ""), 0);
});

suite("another caller can't read a job, its results or its file", async () => {
    const target = jobFixtures.createJobFleet();
    const job = await jobFixtures.submitLines(target, jobFixtures.createLines(2));
    const { store } = target.instances[0]!;
    const reads = await fixtures.runWithin(
        target.clock,
        Promise.all([
            store.read("bureau", job.id),
            store.readContent("bureau", `${job.id}-output`),
            store.readContent("bureau", job.inputFile),
            store.cancel("bureau", job.id),
        ]),
    );
    assert.equal(
        reads.map(read => (read.ok ? undefined : read.refusal.kind)),
        Array(4).fill(core.RefusalKind.NotFound),
    );
});

suite("a large job with an early deadline doesn't delay another caller's small job", async () => {
    const target = jobFixtures.createJobFleet({ execute: executeSlowly });
    await jobFixtures.submitLines(target, jobFixtures.createLines(2_000), { deadlineMilliseconds: 3_600_000 });
    const small = await jobFixtures.submitLines(target, jobFixtures.createLines(8), {
        caller: "bureau",
        deadlineMilliseconds: 7_200_000,
    });
    target.instances[0]!.start();
    const ended = await jobFixtures.waitForEnd(target, small, 30_000);
    assert.is(ended.counts.succeeded, 8);
});

suite.run();
