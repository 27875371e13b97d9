import * as core from "@boragedale/core";
import * as release from "@boragedale/release";
import * as upstreams from "@boragedale/upstreams";
import * as measuredFleet from "../measuredFleet.js";
import * as cost from "./cost.js";
import type * as table from "./table.js";

/** What the rollout of upstreams costs one home in virtual time, at rest and while a version changes. */

const RestingCounts = [5, 20, 80];
const ChangingCounts = [20, 40, 80, 160];
/** Upstreams that hold one model at the aim: 1,100 over 4 models, all of them changing at once. */
const TargetChanging = 275;
/** Loads that the weight store lets run at once in these measurements. */
const ConcurrentLoads = 10;
const RestingMilliseconds = 60_000;
const LoadMilliseconds = 8_000;
/** Upstreams whose home an instance is when 400 of them share 1,100. */
const TargetHomes = 3;
const StepMilliseconds = 100;
const LongestMilliseconds = 3_600_000;
const Model = "heron";

interface RolloutRun {
    readonly engineCalls: number;
    readonly writes: number;
    readonly reads: number;
    readonly microseconds: number;
    /** Virtual time that passed. */
    readonly seconds: number;
}

export async function measureRollout(): Promise<table.SlopeTable> {
    const resting = await measureEach(RestingCounts, measureRest);
    const changing = await measureEach(ChangingCounts, measureChange);
    return {
        name: "rollout",
        slopes: [
            {
                cost: "calls to engines a second, at rest",
                load: "upstreams at home",
                points: resting.map(({ x, run }) => ({ x, y: run.engineCalls / run.seconds })),
                target: TargetHomes,
            },
            {
                cost: "µs of CPU a second, at rest",
                load: "upstreams at home",
                points: resting.map(({ x, run }) => ({ x, y: run.microseconds / run.seconds })),
                target: TargetHomes,
            },
            {
                cost: "key-value writes of a change of version",
                load: "upstreams that hold the model",
                points: changing.map(({ x, run }) => ({ x, y: run.writes })),
                target: TargetChanging,
            },
            {
                cost: "key-value reads a second during a change of version, mean",
                load: "upstreams that hold the model",
                points: changing.map(({ x, run }) => ({ x, y: run.reads / run.seconds })),
                target: TargetChanging,
            },
            {
                cost: "calls to engines a second during a change of version, mean",
                load: "upstreams that hold the model",
                points: changing.map(({ x, run }) => ({ x, y: run.engineCalls / run.seconds })),
                target: TargetChanging,
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

/** Every engine already holds what the note asks. */
async function measureRest(upstreamCount: number): Promise<RolloutRun> {
    const fleet = new RolloutFleet(upstreamCount, "1", "1");
    const before = process.cpuUsage();
    await fleet.run(now => now >= RestingMilliseconds);
    return fleet.finish(before);
}

/** Every engine holds version 1 and the note asks for version 2, ten at once. */
async function measureChange(upstreamCount: number): Promise<RolloutRun> {
    const fleet = new RolloutFleet(upstreamCount, "1", "2");
    const before = process.cpuUsage();
    await fleet.run(() => fleet.hasReached());
    return fleet.finish(before);
}

class RolloutFleet {
    private readonly measured = new measuredFleet.MeasuredFleet(1);
    private readonly engines: ReadonlyMap<core.UpstreamId, CountedEngine>;
    private readonly rollout: release.UpstreamRollout;

    constructor(
        private readonly upstreamCount: number,
        held: string,
        wanted: string,
    ) {
        const parts = this.measured.createParts("instance-0");
        const note = createNote(upstreamCount, wanted);
        this.engines = new Map(note.fleet.upstreams.map(({ id }) => [id, new CountedEngine(parts.clock, held)]));
        this.rollout = new release.UpstreamRollout({
            membership: parts.membership,
            noteCache: new FixedNoteKeeper(note),
            getEngine: upstream => core.Debug.checkDefined(this.engines.get(upstream.id), "an engine"),
            keyValue: parts.keyValue,
            clock: parts.clock,
            telemetry: parts.telemetry,
        });
    }

    hasReached(): boolean {
        const progress = this.rollout.getProgress();
        const reached = progress.filter(upstream => upstream.phase === release.UpstreamPhase.Reached);
        return reached.length === this.upstreamCount;
    }

    async run(isDone: (now: core.MonotonicMilliseconds) => boolean): Promise<void> {
        const end = this.measured.clock.now() + LongestMilliseconds;
        await this.measured.runUntil(() => {
            core.Debug.assert(this.measured.clock.now() < end, "the rollout comes to its end");
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

/** Holds one note; no rollout of others is told of. */
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

/** Takes orders, loads for a while, and counts what it is asked. */
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
