import * as fc from "fast-check";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as work from "@boragedale/work";
import * as faultyKeyValue from "./faultyKeyValue.js";
import * as fixtures from "./fixtures.js";

const suite = uvu.suite("ledger under random failures");

const Instances = 3;
const Keys = 3;

enum StepKind {
    Send = "Send",
    Pause = "Pause",
    Resume = "Resume",
    RemoveFromFleet = "RemoveFromFleet",
    /** Pauses an instance until it is removed, resends the call on another one, then resumes the first. */
    ResumeAfterRemoval = "ResumeAfterRemoval",
    Restart = "Restart",
    Disconnect = "Disconnect",
    Reconnect = "Reconnect",
    LoseReplies = "LoseReplies",
    Down = "Down",
    Up = "Up",
    HoldAllAssignments = "HoldAllAssignments",
    Advance = "Advance",
}

enum UpstreamBehaviour {
    Runs = "Runs",
    NotSent = "NotSent",
    DiesAfterRunning = "DiesAfterRunning",
}

interface Step {
    readonly kind: StepKind;
    readonly instance: number;
    readonly key: number;
    readonly upstream: UpstreamBehaviour;
    readonly milliseconds: number;
    /** Time between the start of a call and sending it. */
    readonly sendDelayMilliseconds: number;
}

/** The state outside the ledger: which calls actually ran, and which answers were given. */
interface Model {
    /** Results of the service, by key. More than one means that a call ran twice. */
    readonly runs: Map<string, string[]>;
    readonly answers: { readonly key: string; readonly body: string }[];
    /** Result bodies of calls that were once read as finished, by key. */
    readonly finished: Map<string, string>;
    readonly reverted: string[];
    /** A process that is not alive does nothing more, even if its pending promises resolve. */
    readonly processes: { isAlive: boolean; paused: Promise<void>; resume: () => void }[];
}

interface World extends Omit<fixtures.LedgerFleet, "ledgers"> {
    readonly ledgers: work.ShardedCallLedger[];
    readonly wraps: ReadonlyMap<string, faultyKeyValue.FaultyKeyValue>;
    readonly model: Model;
}

function createWorld(): World {
    const { wraps, wrap } = faultyKeyValue.createFaultyWraps();
    const target = fixtures.createLedgerFleet({ instances: Instances, shards: 2, wrap });
    const processes = target.ledgers.map(createProcess);
    const model: Model = { runs: new Map(), answers: [], finished: new Map(), reverted: [], processes };
    return { ...target, ledgers: [...target.ledgers], wraps, model };
}

function createProcess(): Model["processes"][number] {
    return { isAlive: true, paused: Promise.resolve(), resume: () => undefined };
}

/** Half of the keys belong to a service that can be asked for outcomes, the others to one that can't. */
function isAskable(key: string): boolean {
    return Number(key.slice(-1)) % 2 === 0;
}

/** Processes a call on an entry instance as the dispatcher does. */
async function send(world: World, step: Step): Promise<void> {
    const process = world.model.processes[step.instance]!;
    const ledger = world.ledgers[step.instance]!;
    const call = fixtures.createCall(`key-${step.key}`, "body", `caller-${step.key % 3}`);
    const begun = await ledger.begin(call);
    await process.paused;
    if (!process.isAlive) {
        return;
    }
    switch (begun.kind) {
        case work.BeginKind.Started:
            await run(world, step, process, ledger, begun.record);
            break;
        case work.BeginKind.Finished:
            world.model.answers.push({ key: call.key, body: fixtures.readBody(begun.result) });
            break;
        case work.BeginKind.Orphaned: {
            const taken = await ledger.takeOver(begun.record);
            await process.paused;
            if (taken !== undefined && process.isAlive) {
                await settleOrphan(world, step, process, ledger, taken);
            }
            break;
        }
        case work.BeginKind.InFlight:
        case work.BeginKind.KeyReused:
        case work.BeginKind.OutcomeUnknown:
        case work.BeginKind.Unavailable:
            break;
    }
}

async function run(
    world: World,
    step: Step,
    process: Model["processes"][number],
    ledger: work.ShardedCallLedger,
    record: work.CallRecord,
): Promise<void> {
    await world.clock.sleep(step.sendDelayMilliseconds);
    await process.paused;
    if (!process.isAlive) {
        return;
    }
    if (step.upstream === UpstreamBehaviour.NotSent || !ledger.isSendAllowed(record)) {
        await ledger.release(record);
        return;
    }
    const runs = world.model.runs.get(record.key) ?? [];
    const body = `${record.caller}/${record.key}/${runs.length + 1}`;
    world.model.runs.set(record.key, [...runs, body]);
    await world.clock.sleep(step.milliseconds % 700);
    await process.paused;
    if (!process.isAlive) {
        return;
    }
    if (step.upstream === UpstreamBehaviour.DiesAfterRunning && !isAskable(record.key)) {
        await ledger.markOutcomeUnknown(record);
        return;
    }
    await ledger.finish(record, fixtures.createResult(body), 1_000);
    world.model.answers.push({ key: record.key, body });
}

async function settleOrphan(
    world: World,
    step: Step,
    process: Model["processes"][number],
    ledger: work.ShardedCallLedger,
    record: work.CallRecord,
): Promise<void> {
    if (!isAskable(record.key)) {
        await ledger.markOutcomeUnknown(record);
        return;
    }
    const [known] = world.model.runs.get(record.key) ?? [];
    if (known === undefined) {
        await run(world, step, process, ledger, record);
        return;
    }
    await ledger.finish(record, fixtures.createResult(known), 1_000);
}

async function apply(world: World, step: Step): Promise<void> {
    const name = `instance-${step.instance}`;
    const process = world.model.processes[step.instance]!;
    switch (step.kind) {
        case StepKind.Send:
            void send(world, step);
            break;
        case StepKind.Pause:
            if (!world.hub.offline.has(name)) {
                world.hub.offline.add(name);
                world.wraps.get(name)?.pause();
                process.paused = new Promise(resolve => (process.resume = resolve));
            }
            break;
        case StepKind.Resume:
            resume(world, step.instance);
            break;
        case StepKind.ResumeAfterRemoval: {
            const other = { ...step, kind: StepKind.Send, instance: (step.instance + 1) % Instances };
            await apply(world, { ...step, kind: StepKind.Pause });
            await apply(world, { ...step, kind: StepKind.RemoveFromFleet });
            await apply(world, other);
            resume(world, step.instance);
            await world.clock.advance(100);
            await apply(world, { ...other, instance: (step.instance + 2) % Instances });
            world.fleet.markLive(name);
            break;
        }
        case StepKind.RemoveFromFleet:
            // An instance is removed only after it was silent for longer than a start may be used.
            if (world.hub.offline.has(name)) {
                await world.clock.advance(6_000);
                world.fleet.markRemoved(name);
            }
            break;
        case StepKind.Restart:
            process.isAlive = false;
            world.model.processes[step.instance] = createProcess();
            resume(world, step.instance);
            world.ledgers[step.instance] = fixtures.restartLedger(world, step.instance, {
                shards: 2,
                idSuffix: `${world.model.answers.length}-${world.clock.now()}`,
            });
            world.fleet.markLive(name);
            break;
        case StepKind.Disconnect:
            world.hub.offline.add(name);
            break;
        case StepKind.Reconnect:
            world.hub.offline.delete(name);
            break;
        case StepKind.LoseReplies:
            world.keyValue.faults.lostReplies = 2;
            break;
        case StepKind.Down:
            world.keyValue.faults.isDown = true;
            break;
        case StepKind.Up:
            world.keyValue.faults.isDown = false;
            break;
        case StepKind.HoldAllAssignments:
            world.memberships[step.instance]!.holdsAllAssignments = step.milliseconds % 2 === 0;
            break;
        case StepKind.Advance:
            break;
    }
    await world.clock.advance(step.kind === StepKind.Advance ? step.milliseconds : step.milliseconds % 40);
    await checkReads(world, step);
}

function resume(world: World, instance: number): void {
    const name = `instance-${instance}`;
    world.hub.offline.delete(name);
    world.wraps.get(name)?.resume();
    world.model.processes[instance]!.resume();
}

/** Checks that a call which was once read as finished is always read as finished, with the same result. */
async function checkReads(world: World, step: Step): Promise<void> {
    const key = `key-${step.key}`;
    const identity = { caller: `caller-${step.key % 3}`, key };
    const before = world.model.finished.get(key);
    const reading = world.ledgers[(step.instance + 1) % Instances]!.read(identity).then(read => {
        const record = read.ok ? read.value : undefined;
        const body = record?.result === undefined ? undefined : fixtures.readBody(record.result);
        if (read.ok && before !== undefined && body !== before) {
            world.model.reverted.push(key);
        }
        if (body !== undefined) {
            world.model.finished.set(key, body);
        }
    });
    void reading;
    await world.clock.advance(10);
}

async function endFaults(world: World): Promise<void> {
    world.keyValue.faults.isDown = false;
    world.keyValue.faults.lostReplies = 0;
    [...Array(Instances).keys()].forEach(instance => resume(world, instance));
    await world.clock.advance(20_000);
}

async function checkWorld(world: World): Promise<void> {
    const { runs, answers, reverted } = world.model;
    assert.equal(reverted, [], "a finished call was read as something else");
    for (const [key, results] of runs) {
        assert.is(results.length, 1, `${key} ran ${results.length} times`);
    }
    for (const answer of answers) {
        assert.equal([answer.body], runs.get(answer.key), "the answer is the one result of its own call");
    }
    for (let key = 0; key < Keys; key++) {
        const identity = { caller: `caller-${key % 3}`, key: `key-${key}` };
        const read = await fixtures.runWithin(world.clock, world.ledgers[key % Instances]!.read(identity));
        assert.ok(read.ok, "the ledger replies after all faults have ended");
        const state = read.ok ? read.value?.state : undefined;
        const hasAnswer = answers.some(answer => answer.key === identity.key);
        assert.ok(!hasAnswer || state === work.CallState.Finished, `${identity.key} was answered and is ${state}`);
    }
}

async function runSteps(steps: readonly Step[]): Promise<void> {
    const world = createWorld();
    for (const step of steps) {
        await apply(world, step);
    }
    await endFaults(world);
    await checkWorld(world);
}

const sendStep = fc.constant(StepKind.Send);
const anyStep = fc.constantFrom(...Object.values(StepKind));
const stepArbitrary: fc.Arbitrary<Step> = fc.record({
    kind: fc.oneof(
        sendStep,
        sendStep,
        anyStep,
        fc.constantFrom(StepKind.ResumeAfterRemoval, StepKind.Up, StepKind.Resume),
    ),
    instance: fc.nat(Instances - 1),
    key: fc.nat(Keys - 1),
    upstream: fc.constantFrom(
        UpstreamBehaviour.Runs,
        UpstreamBehaviour.Runs,
        UpstreamBehaviour.NotSent,
        UpstreamBehaviour.DiesAfterRunning,
    ),
    milliseconds: fc.nat(3_000),
    sendDelayMilliseconds: fc.nat(150),
});

suite(
    "under random failures each call runs at most once, and callers receive only the results of their own calls",
    async () => {
        await fc.assert(
            fc.asyncProperty(fc.array(stepArbitrary, { minLength: 5, maxLength: 40 }), steps => runSteps(steps)),
            { seed: 20_261_202, numRuns: 400, includeErrorInReport: true },
        );
    },
);

suite.run();
