import * as core from "@boragedale/core";
import * as backing from "@boragedale/backing";
import type * as protocol from "@boragedale/protocol";
import type * as upstreams from "@boragedale/upstreams";
import * as noteStore from "./noteStore.js";
import * as rolloutPlan from "./rolloutPlan.js";
import type * as services from "./services.js";

export interface AuditOptions {
    readonly membership: protocol.Membership;
    readonly noteCache: services.NoteCache;
    readonly getEngine: (upstream: core.UpstreamDescription) => upstreams.EngineClient;
    readonly keyValue: backing.KeyValueService;
    readonly clock: core.Clock;
}

const AuditIntervalMilliseconds = 5_000;
const AuditAssignment = "rollout/outcome";

/**
 * Records in the history when the whole fleet had reached a note. One instance holds this assignment. If two hold it
 * for a while, the first write wins, so no harm is done. Each round stops at the first engine that has not reached the
 * note, and the next round starts with that engine, so that a long rollout costs one small read every 5 s instead of
 * one for each engine.
 */
export class RolloutAudit implements AsyncDisposable {
    private readonly abortController = new AbortController();
    private readonly task: Promise<void>;
    private recordedGeneration: core.Generation = 0;
    private unreachedEngine: core.UpstreamId | undefined;

    constructor(private readonly options: AuditOptions) {
        this.task = this.run();
    }

    async [Symbol.asyncDispose](): Promise<void> {
        this.abortController.abort();
        await this.task;
    }

    private async run(): Promise<void> {
        const { clock, noteCache: noteCache, membership } = this.options;
        const signal = this.abortController.signal;
        while (!signal.aborted) {
            await clock.sleep(AuditIntervalMilliseconds, signal);
            const note = noteCache.tryGetNote();
            const isHolder = membership.tryGetHolder(AuditAssignment) === membership.getSelf();
            if (note !== undefined && isHolder && note.generation > this.recordedGeneration && !signal.aborted) {
                await this.audit(note);
            }
        }
    }

    private async audit(note: core.NoteInForce): Promise<void> {
        const engines = note.fleet.upstreams.filter(
            upstream => upstream.kind === core.UpstreamKind.Engine && !upstream.isLeaving,
        );
        const unreached = engines.find(engine => engine.id === this.unreachedEngine);
        for (const engine of unreached === undefined ? engines : [unreached, ...engines]) {
            if (!(await this.isReached(note, engine))) {
                this.unreachedEngine = engine.id;
                return;
            }
        }
        await this.record(note);
    }

    private async isReached(note: core.NoteInForce, engine: core.UpstreamDescription): Promise<boolean> {
        const state = await this.options.getEngine(engine).tryReadState();
        const target = rolloutPlan.getTarget(note.fleet, engine);
        return state !== undefined && !state.isLoading && rolloutPlan.reachesTarget(state, target);
    }

    private async record(note: core.NoteInForce): Promise<void> {
        const key = noteStore.getHistoryKey(note.generation);
        const entry = await this.options.keyValue.get(key, backing.CallPurpose.Note);
        const record =
            entry.ok && entry.value !== undefined ? noteStore.tryDecodeHistory(entry.value.value) : undefined;
        if (!entry.ok || entry.value === undefined || record === undefined) {
            // The publisher has not written its record yet, or the service is unavailable. The next round tries again.
            return;
        }
        if (record.reachedAt === undefined) {
            const result = await this.options.keyValue.compareAndSwap({
                key,
                expectedRevision: entry.value.revision,
                value: noteStore.encodeHistory({ ...record, reachedAt: this.options.clock.wallNow() }),
                purpose: backing.CallPurpose.Note,
            });
            if (!result.ok) {
                return;
            }
        }
        this.recordedGeneration = note.generation;
    }
}
