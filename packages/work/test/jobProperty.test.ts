import * as fc from "fast-check";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as core from "@boragedale/core";
import * as work from "@boragedale/work";
import * as faultyKeyValue from "./faultyKeyValue.js";
import * as fixtures from "./fixtures.js";
import * as jobFixtures from "./jobFixtures.js";

const suite = uvu.suite("jobs under random failures");

const Instances = 3;
const Items = 24;

enum StepKind {
    Advance = "Advance",
    Pause = "Pause",
    Resume = "Resume",
    RemoveFromFleet = "RemoveFromFleet",
    ReturnToFleet = "ReturnToFleet",
    Stop = "Stop",
    LoseReplies = "LoseReplies",
    BreakAfterWrite = "BreakAfterWrite",
    Down = "Down",
    Up = "Up",
    Cancel = "Cancel",
    /** Cancels the job while a holder with unrecorded results is paused, then resumes the holder. */
    CancelWhilePaused = "CancelWhilePaused",
}

interface Step {
    readonly kind: StepKind;
    readonly instance: number;
    readonly milliseconds: number;
}

interface World extends jobFixtures.JobFleet {
    readonly wraps: ReadonlyMap<string, faultyKeyValue.FaultyKeyValue>;
    readonly runners: work.JobRunner[];
    readonly job: work.JobDescription;
    /** Result lines that were readable when the cancel was acknowledged. */
    linesAtCancel: readonly string[] | undefined;
}

/** Creates the job's input, of which every third item always fails. Ten items make a chunk. */
function createLines(): string {
    const lines = [...Array(Items).keys()].map(index =>
        jobFixtures.createLine(`item-${index}`, { model: "m", max_tokens: 100_000 }),
    );
    return lines.join("");
}

const execute: jobFixtures.Execute = async (item, signal, clock) => {
    await clock.sleep(300 + (item.index % 5) * 200, signal);
    return item.index % 3 === 0
        ? { kind: work.ItemOutcomeKind.TryAgain, text: "the upstream broke off" }
        : jobFixtures.succeed(item);
};

async function createWorld(): Promise<World> {
    const { wraps, wrap } = faultyKeyValue.createFaultyWraps();
    const target = jobFixtures.createJobFleet({ instances: Instances, execute, itemAttempts: 2, wrap });
    const job = await jobFixtures.submitLines(target, createLines());
    const runners = target.instances.map(instance => instance.start());
    return { ...target, wraps, runners, job, linesAtCancel: undefined };
}

async function apply(world: World, step: Step): Promise<void> {
    const instance = core.Debug.checkDefined(world.instances[step.instance], "an instance");
    const faulty = core.Debug.checkDefined(world.wraps.get(instance.name), "its service");
    switch (step.kind) {
        case StepKind.Pause:
            faulty.pause();
            world.hub.offline.add(instance.name);
            break;
        case StepKind.Resume:
            resume(world, instance.name);
            break;
        case StepKind.RemoveFromFleet:
            world.fleet.markRemoved(instance.name);
            break;
        case StepKind.ReturnToFleet:
            world.fleet.markLive(instance.name);
            break;
        case StepKind.Stop:
            resume(world, instance.name);
            void world.runners[step.instance]?.[Symbol.asyncDispose]();
            world.runners[step.instance] = instance.start();
            break;
        case StepKind.LoseReplies:
            world.keyValue.faults.lostReplies = 2;
            break;
        case StepKind.BreakAfterWrite:
            faulty.breakAfterNextWrite("boards/");
            break;
        case StepKind.Down:
            world.keyValue.faults.isDown = true;
            break;
        case StepKind.Up:
            world.keyValue.faults.isDown = false;
            break;
        case StepKind.Cancel:
            await cancel(world, instance.store);
            break;
        case StepKind.CancelWhilePaused: {
            await apply(world, { ...step, kind: StepKind.Pause });
            await world.clock.advance(6_000);
            await apply(world, { ...step, kind: StepKind.Cancel, instance: (step.instance + 1) % Instances });
            resume(world, instance.name);
            break;
        }
        case StepKind.Advance:
            break;
    }
    await world.clock.advance(step.milliseconds);
}

function resume(world: World, name: string): void {
    world.wraps.get(name)?.resume();
    world.hub.offline.delete(name);
}

async function cancel(world: World, store: work.JobStore): Promise<void> {
    const cancelled = await Promise.race([
        store.cancel(world.job.caller, world.job.id),
        world.clock.advance(2_000).then(() => undefined),
    ]);
    if (cancelled?.ok === true && world.linesAtCancel === undefined) {
        world.linesAtCancel = await readLines(world);
    }
}

async function readLines(world: World): Promise<readonly string[]> {
    // Reads without faults, since only the stored results are checked.
    const { isDown } = world.keyValue.faults;
    world.keyValue.faults.isDown = false;
    const reader = jobFixtures.createReader(world);
    const lines: string[] = [];
    for (const kind of ["output", "errors"]) {
        const content = await fixtures.runWithin(
            world.clock,
            reader.readContent(world.job.caller, `${world.job.id}-${kind}`),
        );
        const read = await fixtures.runWithin(world.clock, jobFixtures.readAll(content));
        lines.push(...read.map(line => `${kind} ${String(line["custom_id"])}`));
    }
    world.keyValue.faults.isDown = isDown;
    return lines.sort();
}

async function endFaults(world: World): Promise<void> {
    Object.assign(world.keyValue.faults, { isDown: false, lostReplies: 0 });
    for (const instance of world.instances) {
        resume(world, instance.name);
        world.fleet.markLive(instance.name);
    }
    await world.clock.advance(60_000);
}

async function runSteps(steps: readonly Step[]): Promise<void> {
    const world = await createWorld();
    for (const step of steps) {
        await apply(world, step);
    }
    await endFaults(world);
    const lines = await readLines(world);
    const store = jobFixtures.createReader(world);
    const read = await fixtures.runWithin(world.clock, store.read(world.job.caller, world.job.id));
    const { state, counts } = jobFixtures.getValue(read);
    assert.is(new Set(lines.map(line => line.split(" ")[1])).size, lines.length, "one result per item");
    assert.is(counts.succeeded + counts.failed, lines.length, "the counts match the results");
    if (world.linesAtCancel !== undefined) {
        assert.is(state, work.JobState.Cancelled);
        assert.equal(lines, world.linesAtCancel, "nothing is recorded after an acknowledged cancel");
    }
    else if (state !== work.JobState.Cancelled) {
        assert.is(state, work.JobState.Finished);
        assert.equal(counts, { total: Items, succeeded: (Items * 2) / 3, failed: Items / 3 });
    }
}

const anyKind = fc.constantFrom(...Object.values(StepKind));
const stepArbitrary: fc.Arbitrary<Step> = fc.record({
    kind: fc.oneof(
        anyKind,
        fc.constantFrom(
            StepKind.Advance,
            StepKind.Up,
            StepKind.Resume,
            StepKind.ReturnToFleet,
            StepKind.Pause,
            StepKind.RemoveFromFleet,
        ),
    ),
    instance: fc.nat(Instances - 1),
    milliseconds: fc.nat(2_500),
});

suite("a chunk whose claim has an unknown write outcome is still processed", async () => {
    // The claim's write took effect, its reply was lost, and reading it back failed. Unless the instance later finds
    // its claim in the progress record, no instance runs the chunk and the job never ends.
    await runSteps([
        { kind: StepKind.BreakAfterWrite, instance: 0, milliseconds: 0 },
        { kind: StepKind.Advance, instance: 0, milliseconds: 1_000 },
    ]);
});

suite("under random failures each item has one result, and none is recorded after a cancel", async () => {
    await fc.assert(
        fc.asyncProperty(fc.array(stepArbitrary, { minLength: 3, maxLength: 20 }), steps => runSteps(steps)),
        { seed: 20_261_203, numRuns: 60, includeErrorInReport: true },
    );
});

suite.run();
