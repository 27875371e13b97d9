import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as work from "@boragedale/work";
import * as fixtures from "./fixtures.js";
import * as jobFixtures from "./jobFixtures.js";

const suite = uvu.suite("jobs");

suite("a job runs every item once, and its results can be read on any instance", async () => {
    const target = jobFixtures.createJobFleet({ instances: 3 });
    const runners = target.instances.map(instance => instance.start());
    const job = await jobFixtures.submitLines(target, jobFixtures.createLines(1_000));
    const ended = await jobFixtures.waitForEnd(target, job);
    assert.is(ended.state, work.JobState.Finished);
    assert.equal(ended.counts, { total: 1_000, succeeded: 1_000, failed: 0 });
    const store = target.instances[2]!.store;
    const content = await fixtures.runWithin(target.clock, store.readContent(job.caller, `${job.id}-output`));
    const lines = await fixtures.runWithin(target.clock, jobFixtures.readAll(content));
    assert.is(new Set(lines.map(line => line["custom_id"])).size, 1_000);
    assert.is(lines.length, 1_000);
    const started = target.instances.flatMap(instance => instance.executor.started);
    assert.is(started.length, 1_000);
    await Promise.all(
        runners.map(runner =>
            fixtures.runWithin(
                target.clock,
                runner[Symbol.asyncDispose]().then(() => true),
            ),
        ),
    );
});

suite("submitting a job again returns the same job", async () => {
    // The client lost the response to its submit request and repeats it on another instance. A second job would run and
    // charge every item twice.
    const target = jobFixtures.createJobFleet({ instances: 2 });
    const job = await jobFixtures.submitLines(target, jobFixtures.createLines(3));
    const again = await fixtures.runWithin(
        target.clock,
        target.instances[1]!.store.submit(jobFixtures.createSubmit(job.caller, job.inputFile)),
    );
    assert.is(jobFixtures.getValue(again).id, job.id);
});

suite("every invalid line of an input is reported with its number, and no job is created", async () => {
    const target = jobFixtures.createJobFleet();
    const store = target.instances[0]!.store;
    const lines = jobFixtures.createLine("a") + "{\n" + jobFixtures.createLine("a");
    const file = await fixtures.runWithin(
        target.clock,
        store.createFile("kandula", "in.jsonl", "batch", jobFixtures.toStream(lines)),
    );
    const submit = jobFixtures.createSubmit("kandula", jobFixtures.getValue(file).id);
    const job = await fixtures.runWithin(target.clock, store.submit(submit));
    assert.ok(!job.ok);
    assert.match(job.ok ? "" : job.refusal.text, /line 2 .*line 3 /);
});

suite("cancelling a job aborts its running items, and no further results are recorded", async () => {
    const target = jobFixtures.createJobFleet({
        execute: (item, signal) =>
            new Promise(resolve => {
                signal.addEventListener("abort", () => resolve(jobFixtures.succeed(item)));
            }),
    });
    const runner = target.instances[0]!.start();
    const job = await jobFixtures.submitLines(target, jobFixtures.createLines(10));
    await target.clock.advance(1_000);
    assert.is(target.instances[0]!.executor.running, 4);
    const cancelled = await fixtures.runWithin(target.clock, target.instances[0]!.store.cancel(job.caller, job.id));
    assert.is(jobFixtures.getValue(cancelled).state, work.JobState.Cancelled);
    assert.is(target.instances[0]!.executor.running, 0);
    await target.clock.advance(20_000);
    const read = await fixtures.runWithin(target.clock, target.instances[0]!.store.read(job.caller, job.id));
    assert.equal(jobFixtures.getValue(read).counts, { total: 10, succeeded: 0, failed: 0 });
    await fixtures.runWithin(
        target.clock,
        runner[Symbol.asyncDispose]().then(() => true),
    );
});

suite.run();
