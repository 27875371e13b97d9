import * as core from "@boragedale/core";
import * as release from "@boragedale/release";
import * as upstreams from "@boragedale/upstreams";
import * as measuredFleet from "../measuredFleet.js";
import * as cost from "./cost.js";
import type * as table from "./table.js";

/** Measures in virtual time what rollouts cost the coordinator of upstreams, in steady state and during a version change. */

const SteadyUpstreamCounts = [5, 20, 80];
const ChangingUpstreamCounts = [20, 40, 80, 160];
/** The upstreams of one model if 1,100 upstreams serve 4 models, all of which change at once. */
const TargetChangingUpstreams = 275;
/** The number of concurrent loads that the weight store allows in these measurements. */
const ConcurrentLoads = 10;
const SteadyMilliseconds = 60_000;
const LoadMilliseconds = 8_000;
/** The upstreams that an instance coordinates if 400 instances share 1,100 upstreams. */
const TargetCoordinatedUpstreams = 3;
const StepMilliseconds = 100;
const TimeoutMilliseconds = 3_600_000;
const Model = "heron";

interface RolloutRun {
    readonly engineCalls: number;
    readonly writes: number;
    readonly reads: number;
    readonly microseconds: number;
    /** The elapsed virtual time. */
    readonly seconds: number;
}

export async function measureRollout(): Promise<table.SlopeTable> {
    const steady = await measureEach(SteadyUpstreamCounts, measureSteadyState);
    const changing = await measureEach(ChangingUpstreamCounts, measureChange);
    return {
        name: "rollout",
        slopes: [
            {
                cost: "calls to engines a second, at rest",
                load: "upstreams at home",
                points: steady.map(({ x, run }) => ({ x, y: run.engineCalls / run.seconds })),
                target: TargetCoordinatedUpstreams,
            },
            {
                cost: "µs of CPU a second, at rest",
                load: "upstreams at home",
                points: steady.map(({ x, run }) => ({ x, y: run.microseconds / run.seconds })),
                target: TargetCoordinatedUpstreams,
            },
            {
                cost: "key-value writes of a change of version",
                load: "upstreams that hold the model",
                points: changing.map(({ x, run }) => ({ x, y: run.writes })),
                target: TargetChangingUpstreams,
            },
            {
                cost: "key-value reads a second during a change of version, mean",
                load: "upstreams that hold the model",
                points: changing.map(({ x, run }) => ({ x, y: run.reads / run.seconds })),
                target: TargetChangingUpstreams,
            },
            {
                cost: "calls to engines a second during a change of version, mean",
                load: "upstreams that hold the model",
                points: changing.map(({ x, run }) => ({ x, y: run.engineCalls / run.seconds })),
                target: TargetChangingUpstreams,
            },
        ],
    };
}

async function measureEach(
    counts: readonly number[],
    measure: (upstreamCount: number) => Promise<RolloutRun>,
): Promise<readonly { readonly x: number; readonly run: RolloutRun }[]> {
    const runs: { readonly x: number; readonly run: RolloutRun }[] = [];
    for (const x of counts) {
        runs.push({ x, run: await measure(x) });
    }
    return runs;
}

/** Measures a fleet in which every engine already has the version that the note requests. */
async function measureSteadyState(upstreamCount: number): Promise<RolloutRun> {
    const fleet = new RolloutFleet(upstreamCount, "1", "1");
    const before = process.cpuUsage();
    await fleet.run(now => now >= SteadyMilliseconds);
    return fleet.finish(before);
}

/** Measures a change of every engine from version 1 to version 2, with ten concurrent loads. */
async function measureChange(upstreamCount: number): Promise<RolloutRun> {
    const fleet = new RolloutFleet(upstreamCount, "1", "2");
    const before = process.cpuUsage();
    await fleet.run(() => fleet.areAllUpstreamsReached());
    return fleet.finish(before);
}

class RolloutFleet {
    private readonly measured = new measuredFleet.MeasuredFleet(1);
    private readonly engines: ReadonlyMap<core.UpstreamId, CountedEngine>;
    private readonly rollout: release.UpstreamRollout;

    constructor(
        private readonly upstreamCount: number,
        loadedVersion: string,
        requestedVersion: string,
    ) {
        const parts = this.measured.createParts("instance-0");
        const note = createNote(upstreamCount, requestedVersion);
        this.engines = new Map(
            note.fleet.upstreams.map(({ id }) => [id, new CountedEngine(parts.clock, loadedVersion)]),
        );
        this.rollout = new release.UpstreamRollout({
            membership: parts.membership,
            noteCache: new FixedNoteKeeper(note),
            getEngine: upstream => core.Debug.checkDefined(this.engines.get(upstream.id), "an engine"),
            keyValue: parts.keyValue,
            clock: parts.clock,
            telemetry: parts.telemetry,
        });
    }

    areAllUpstreamsReached(): boolean {
        const progress = this.rollout.getProgress();
        const reached = progress.filter(upstream => upstream.phase === release.UpstreamPhase.Reached);
        return reached.length === this.upstreamCount;
    }

    async run(isDone: (now: core.MonotonicMilliseconds) => boolean): Promise<void> {
        const end = this.measured.clock.now() + TimeoutMilliseconds;
        await this.measured.runUntil(() => {
            core.Debug.assert(this.measured.clock.now() < end, "the rollout ends in time");
            return isDone(this.measured.clock.now());
        }, StepMilliseconds);
    }

    async finish(before: NodeJS.CpuUsage): Promise<RolloutRun> {
        const microseconds = cost.getMicroseconds(before);
        const { keyValue } = this.measured;
        const run = {
            engineCalls: [...this.engines.values()].reduce((sum, engine) => sum + engine.calls, 0),
            writes: this.measured.countWrites(),
            reads: keyValue.reads,
            microseconds,
            seconds: this.measured.clock.now() / 1_000,
        };
        let isDisposed = false;
        void this.rollout[Symbol.asyncDispose]().then(() => (isDisposed = true));
        await this.measured.runUntil(() => isDisposed, StepMilliseconds);
        return run;
    }
}

/** Always returns the same note and never reports a change. */
class FixedNoteKeeper extends release.NoteCache {
    constructor(private readonly note: core.NoteInForce) {
        super();
    }

    override tryGetNote(): core.NoteInForce {
        return this.note;
    }

    override onNote(): () => void {
        return () => undefined;
    }

    override isConfirmed(): boolean {
        return true;
    }

    override async [Symbol.asyncDispose](): Promise<void> {
        // Nothing is held open.
    }
}

/** An engine that accepts orders, takes a fixed time to load a model, and counts the calls that it receives. */
class CountedEngine extends upstreams.EngineClient {
    calls = 0;
    private fencing = 0;
    private models: readonly upstreams.HeldModel[];
    private isLoading = false;

    constructor(
        private readonly clock: core.Clock,
        version: string,
    ) {
        super();
        this.models = [{ model: Model, version, adapters: [] }];
    }

    override async *run(): AsyncIterable<upstreams.EngineEvent> {
        throw new Error("a rollout runs no requests");
    }

    override async tryReadLoad(): Promise<upstreams.LoadReport> {
        this.calls++;
        return { running: 0, waiting: 0, cacheUsage: 0, ageMilliseconds: 0 };
    }

    override async tryReadState(): Promise<upstreams.UpstreamState> {
        this.calls++;
        return {
            models: this.models,
            role: core.UpstreamRole.Mixed,
            fencing: this.fencing,
            isLoading: this.isLoading,
            isLeaving: false,
        };
    }

    override async order(order: upstreams.UpstreamOrder): Promise<upstreams.OrderOutcome> {
        this.calls++;
        this.fencing = order.fencing;
        this.isLoading = true;
        this.models = [];
        this.clock.schedule(LoadMilliseconds, () => {
            this.isLoading = false;
            this.models = order.models;
        });
        return { kind: upstreams.OrderOutcomeKind.Accepted, text: "" };
    }

    override async [Symbol.asyncDispose](): Promise<void> {
        // Nothing is held open.
    }
}

function createNote(upstreamCount: number, version: string): core.NoteInForce {
    const lines = Array.from(
        { length: upstreamCount },
        (...[, index]: [unknown, number]) =>
            `        - { id: engine-${index}, kind: Engine, url: "http://127.0.0.1:${9_000 + index}", dataCentre: a, ` +
            `models: [${Model}], checksFencing: true }`,
    );
    const source = [
        `weightStore: { concurrentLoads: ${ConcurrentLoads} }`,
        "added:",
        "    models:",
        `        - { id: ${Model}, version: "${version}", onlineFloor: 1, batchFloor: 1 }`,
        "    upstreams:",
        ...lines,
        "",
    ].join("\n");
    const checked = release.checkNote(source, "note.yaml", undefined);
    core.Debug.assert(checked.ok, "the note is in order");
    const { fleet } = checked.value;
    return { generation: 1, fleet, source, author: "amara", publishedAt: 0, nonce: "nonce" };
}
