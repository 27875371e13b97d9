import * as crypto from "node:crypto";
import * as core from "@boragedale/core";
import * as backing from "@boragedale/backing";
import * as protocol from "@boragedale/protocol";
import * as telemetry from "@boragedale/telemetry";
import * as activeJob from "./activeJob.js";
import * as jobProgress from "./jobProgress.js";
import * as jobProgressStore from "./jobProgressStore.js";
import * as claimPlan from "./claimPlan.js";
import * as checkpointer from "./checkpointer.js";
import * as chunkLoader from "./chunkLoader.js";
import * as files from "./files.js";
import * as heldChunk from "./heldChunk.js";
import * as itemRunner from "./itemRunner.js";
import * as jobRecords from "./jobRecords.js";
import * as jobRetention from "./jobRetention.js";
import * as jobSelection from "./jobSelection.js";
import * as jobStore from "./jobStore.js";
import * as jobWatch from "./jobWatch.js";
import type * as services from "./services.js";
import * as types from "./types.js";

export interface JobRunnerOptions {
    readonly keyValue: backing.KeyValueService;
    readonly peers: protocol.PeerNetwork;
    readonly membership: protocol.Membership;
    readonly executor: services.ItemExecutor;
    readonly clock: core.Clock;
    readonly telemetry: telemetry.Telemetry;
    readonly instance: core.InstanceId;
    /** Maximum number of attempts of an item, from the release note in effect. */
    readonly getItemAttempts?: () => number;
    /** How long results and files stay readable, from the release note in effect. */
    readonly getRetentionMilliseconds?: () => number;
    /** Maximum time until finished items are recorded. */
    readonly checkpointMilliseconds?: number;
    /** How long running items may continue while the runner stops. */
    readonly drainMilliseconds?: number;
    readonly createId?: () => string;
}

const DefaultItemAttempts = 3;
const DefaultCheckpointIntervalMilliseconds = 10_000;
const DefaultDrainMilliseconds = 10_000;
/** The checkpoint interval grows with the number of instances, so that the fleet's write rate stays bounded. */
const CheckpointMillisecondsPerInstance = 100;
const DefaultRetentionMilliseconds = 7 * 86_400_000;
const RemovalIntervalMilliseconds = 600_000;
const PollIntervalMilliseconds = 200;
/** A job without open chunks is checked again after this time, which grows with the number of instances. */
const RecheckMilliseconds = 2_000;
const RecheckMillisecondsPerInstance = 25;
/** A claim that was not renewed for this time is taken over, even from an instance that appears to be live. */
const ClaimExpiryMilliseconds = 900_000;
const ClaimRenewalMilliseconds = 300_000;

export function createJobRunner(options: JobRunnerOptions): JobRunner {
    return new JobRunner(options);
}

/**
 * Runs the jobs of all callers: claims chunks while its executor has free slots, runs their items and records results
 * at intervals. All durable state is in the key-value service; after a crash another instance claims its chunks.
 */
export class JobRunner implements AsyncDisposable {
    private readonly progressStore: jobProgressStore.JobProgressStore;
    private readonly contentStore: files.ContentStore;
    private readonly createId: () => string;
    private readonly processId: string;
    private readonly jobs = new Map<string, activeJob.ActiveJob>();
    private readonly claimSelection = new jobSelection.JobSelection();
    private readonly itemRunner: itemRunner.ItemRunner;
    private readonly readBudget: claimPlan.ReadBudget;
    private readonly stopping = new AbortController();
    private readonly stopWatching = new AbortController();
    private readonly stopListening: () => void;
    private readonly tasks: readonly Promise<void>[];

    constructor(private readonly options: JobRunnerOptions) {
        this.createId = options.createId ?? crypto.randomUUID;
        this.processId = this.createId();
        this.readBudget = new claimPlan.ReadBudget(options.clock.now());
        this.progressStore = new jobProgressStore.JobProgressStore({ ...options, createId: this.createId });
        this.contentStore = new files.ContentStore(options);
        this.itemRunner = new itemRunner.ItemRunner({
            ...options,
            signal: this.stopping.signal,
            getItemAttempts: options.getItemAttempts ?? (() => DefaultItemAttempts),
            getChunks: () => this.getHeldChunks(),
        });
        options.peers.handle(protocol.MessageKind.JobCancelled, async message => {
            this.dropJob(message.job);
            return message;
        });
        this.stopListening = options.membership.onChange(() => this.lookForAbandonedChunks());
        const watch = new jobWatch.JobWatch({
            ...options,
            signal: this.stopWatching.signal,
            onRunning: record => this.addJob(record),
            onEnded: job => this.dropJob(job),
        });
        this.tasks = [
            watch.run(),
            this.claimWhileRunning(),
            this.checkpointWhileRunning(),
            this.removeExpiredWhileRunning(),
        ];
    }

    /** Stops claiming, waits for running items until the drain timeout, records all results and releases the chunks. */
    async [Symbol.asyncDispose](): Promise<void> {
        this.stopping.abort();
        this.stopListening();
        const { clock, drainMilliseconds = DefaultDrainMilliseconds } = this.options;
        const drainUntil = clock.now() + drainMilliseconds;
        while (this.getRunningCount() > 0 && clock.now() < drainUntil) {
            await clock.sleep(PollIntervalMilliseconds);
        }
        this.getHeldChunks().forEach(chunk => chunk.abortRunning());
        this.stopWatching.abort();
        await Promise.all(this.tasks);
        await Promise.all([...this.jobs.values()].map(job => this.checkpoint(job, true)));
    }

    private addJob(record: jobRecords.JobRecord): void {
        if (this.jobs.has(record.id)) {
            return;
        }
        this.jobs.set(record.id, {
            record,
            checkpointer: new checkpointer.Checkpointer(record, { ...this.options, ...this.getStores() }),
            heldChunks: new Map(),
            recheckAt: 0,
            isExhausted: false,
            checkpointedAt: this.options.clock.now(),
            isCheckpointing: false,
            retryMilliseconds: activeJob.InitialRetryMilliseconds,
        });
    }

    private getStores(): Pick<checkpointer.CheckpointerOptions, "progressStore" | "contentStore" | "createId"> {
        return { progressStore: this.progressStore, contentStore: this.contentStore, createId: this.createId };
    }

    /** Aborts the items of a job that has ended. Checkpoints that are still being written are rejected later. */
    private dropJob(id: string): void {
        const job = this.jobs.get(id);
        job?.heldChunks.forEach(chunk => chunk.drop());
        this.jobs.delete(id);
        this.progressStore.forget(id);
    }

    private async claimWhileRunning(): Promise<void> {
        const { clock } = this.options;
        while (!this.stopping.signal.aborted) {
            await this.expireJobs();
            await this.claimWhileWanted();
            this.itemRunner.startItems();
            await clock.sleep(PollIntervalMilliseconds, this.stopping.signal);
        }
    }

    private async claimWhileWanted(): Promise<void> {
        const { clock, membership } = this.options;
        while (claimPlan.shouldClaim(this.getLocalWork())) {
            const claimable = this.getClaimable();
            if (claimable.length === 0 || !this.readBudget.tryTake(clock.now(), membership.getLiveInstances().length)) {
                return;
            }
            const job = this.claimSelection.choose(claimable, clock.wallNow());
            await this.claimFrom(core.Debug.checkDefined(job, "a claimable job").active);
        }
    }

    private getLocalWork(): claimPlan.LocalWork {
        const capacity = this.options.executor.getFreeSlots() + this.getRunningCount();
        return {
            chunks: this.getHeldChunks(),
            capacity,
            itemsPerMillisecond: this.itemRunner.getItemsPerMillisecond(),
        };
    }

    /** Returns a time in which all jobs can be checked, so that none is checked twice before the others. */
    private getRecheckMilliseconds(): number {
        const instances = this.options.membership.getLiveInstances().length;
        const passMilliseconds = claimPlan.getPassMilliseconds(this.jobs.size, instances);
        return Math.max(RecheckMilliseconds + RecheckMillisecondsPerInstance * instances, passMilliseconds);
    }

    private getClaimable(): readonly (jobSelection.JobCandidate & { readonly active: activeJob.ActiveJob })[] {
        const { clock } = this.options;
        return [...this.jobs.values()]
            .filter(job => job.recheckAt <= clock.now() && job.record.deadlineAt > clock.wallNow())
            .map(active => ({ ...jobSelection.toCandidate(active.record), active }));
    }

    private async claimFrom(job: activeJob.ActiveJob): Promise<void> {
        const { membership, clock } = this.options;
        const { record } = job;
        const recheckMilliseconds = this.getRecheckMilliseconds();
        const read = await this.progressStore.read(record.id, RecheckMilliseconds);
        if (read.ok) {
            this.holdClaimed(job, read.progress);
        }
        const claimer = this.createClaimer();
        const open = read.ok ? jobProgress.getOpenChunks(read.progress, record, claimer) : [];
        if (open.length === 0) {
            job.isExhausted = read.ok;
            job.recheckAt = clock.now() + recheckMilliseconds;
            await this.endJobIfEnded(job, read);
            return;
        }
        // Claims half of this instance's share of the open chunks: other instances claim from the same job, and the
        // last chunks must not queue up on one instance.
        const share = Math.ceil(open.length / (2 * Math.max(1, membership.getLiveInstances().length)));
        const candidates = open.slice(0, share);
        const result = await this.progressStore.update(record.id, backing.CallPurpose.Claim, progress =>
            jobProgress.claimChunks(
                progress,
                record,
                candidates.slice(0, claimPlan.getClaimLimit(this.getLocalWork(), record)),
                claimer,
            ),
        );
        if (!result.ok) {
            job.recheckAt = clock.now() + recheckMilliseconds;
            return;
        }
        job.isExhausted = jobProgress.getOpenChunks(result.progress, record, claimer).length === 0;
        this.holdClaimed(job, result.progress);
    }

    /** Holds all chunks that this process has claimed, including those where the reply to the claim was lost. */
    private holdClaimed(job: activeJob.ActiveJob, progress: jobProgress.JobProgress): void {
        if (jobProgress.hasEnded(progress)) {
            return;
        }
        for (const [name, chunkProgress] of Object.entries(progress.chunks)) {
            const chunk = Number(name);
            if (chunkProgress.claim?.process !== this.processId || job.heldChunks.has(chunk)) {
                continue;
            }
            const held = new heldChunk.HeldChunk(
                job.record,
                jobRecords.getChunkRange(job.record, chunk),
                chunkProgress.claim.id,
            );
            job.heldChunks.set(chunk, held);
            this.options.telemetry.record(telemetry.events.ChunkClaimed, {
                job: job.record.id,
                text: `chunk ${chunk}`,
            });
            void chunkLoader
                .loadChunk(held, chunkProgress, {
                    ...this.options,
                    contentStore: this.contentStore,
                    signal: this.stopping.signal,
                })
                .then(() => this.itemRunner.startItems());
        }
    }

    private createClaimer(): jobProgress.Claimer {
        const { instance, membership, clock } = this.options;
        const now = clock.wallNow();
        const isAbandoned = (claim: jobProgress.Claim): boolean =>
            claim.process !== this.processId &&
            (claim.instance === instance ||
                membership.isRemoved(claim.instance) ||
                now - claim.renewedAt > ClaimExpiryMilliseconds);
        return { instance, process: this.processId, now, createId: this.createId, isAbandoned };
    }

    private async checkpointWhileRunning(): Promise<void> {
        const { clock } = this.options;
        while (!this.stopping.signal.aborted) {
            const due = [...this.jobs.values()].filter(job => this.isCheckpointDue(job));
            const isBehind = await Promise.all(due.map(job => this.checkpoint(job, false)));
            if (isBehind.includes(true)) {
                continue;
            }
            await clock.sleep(PollIntervalMilliseconds, this.stopping.signal);
        }
    }

    private isCheckpointDue(job: activeJob.ActiveJob): boolean {
        const { clock, membership, checkpointMilliseconds = DefaultCheckpointIntervalMilliseconds } = this.options;
        const chunks = [...job.heldChunks.values()];
        const elapsed = clock.now() - job.checkpointedAt;
        if (job.checkpointer.hasPending()) {
            return elapsed >= job.retryMilliseconds;
        }
        if (!chunks.some(chunk => chunk.hasEndedItems())) {
            return chunks.length > 0 && elapsed >= ClaimRenewalMilliseconds;
        }
        const fleetMinimum = membership.getLiveInstances().length * CheckpointMillisecondsPerInstance;
        const isLast = job.isExhausted && chunks.every(chunk => chunk.isComplete());
        return isLast || activeJob.hasFullCheckpoint(job) || elapsed >= Math.max(checkpointMilliseconds, fleetMinimum);
    }

    /** Records ended items. Returns true if that succeeded and the next checkpoint is already full. */
    private async checkpoint(job: activeJob.ActiveJob, releases: boolean): Promise<boolean> {
        if (job.isCheckpointing || job.heldChunks.size === 0) {
            return false;
        }
        job.isCheckpointing = true;
        const outcome = await job.checkpointer.record([...job.heldChunks.values()], releases);
        job.isCheckpointing = false;
        job.checkpointedAt = this.options.clock.now();
        activeJob.updateRetryDelay(job, outcome.kind !== checkpointer.CheckpointKind.Delayed);
        outcome.lost.forEach(chunk => this.dropLostChunk(job, chunk));
        for (const chunk of [...job.heldChunks.keys()]) {
            if (outcome.progress?.chunks[chunk]?.hasEnded === true) {
                job.heldChunks.delete(chunk);
                const eventFields = { job: job.record.id, text: `chunk ${chunk}` };
                this.options.telemetry.record(telemetry.events.ChunkFinished, eventFields);
            }
        }
        if (outcome.progress !== undefined && jobProgress.hasEnded(outcome.progress)) {
            await this.endJobIfEnded(job, { ok: true, progress: outcome.progress });
        }
        return outcome.kind === checkpointer.CheckpointKind.Recorded && activeJob.hasFullCheckpoint(job);
    }

    private dropLostChunk(job: activeJob.ActiveJob, chunk: number): void {
        job.heldChunks.get(chunk)?.drop();
        job.heldChunks.delete(chunk);
        this.options.telemetry.record(telemetry.events.ChunkLost, { job: job.record.id, text: `chunk ${chunk}` });
    }

    /**
     * Ends jobs whose deadline has passed. The holder of the job's assignment and instances that hold its chunks do so
     * immediately, the others only if the job is long overdue.
     */
    private async expireJobs(): Promise<void> {
        const { clock, membership, instance } = this.options;
        for (const job of [...this.jobs.values()]) {
            const overdueMilliseconds = clock.wallNow() - job.record.deadlineAt;
            const isResponsible =
                membership.tryGetHolder(`job/${job.record.id}`) === instance || job.heldChunks.size > 0;
            if (
                overdueMilliseconds < 0 ||
                job.recheckAt > clock.now() ||
                (!isResponsible && overdueMilliseconds < ClaimExpiryMilliseconds)
            ) {
                continue;
            }
            job.recheckAt = clock.now() + RecheckMilliseconds;
            const now = clock.wallNow();
            const result = await this.progressStore.update(job.record.id, backing.CallPurpose.Claim, progress =>
                jobProgress.endJob(progress, types.JobState.Expired, now),
            );
            await this.endJobIfEnded(job, result);
        }
    }

    private async endJobIfEnded(job: activeJob.ActiveJob, read: jobProgressStore.JobProgressResult): Promise<void> {
        if (!read.ok || !jobProgress.hasEnded(read.progress)) {
            return;
        }
        this.dropJob(job.record.id);
        const isWritten = await jobStore.endJobRecord(this.options, job.record, read.progress);
        if (isWritten) {
            this.options.telemetry.record(telemetry.events.JobFinished, {
                job: job.record.id,
                text: read.progress.state,
            });
            return;
        }
        // The job's record still says that it is running, so the job is checked again until its end is written.
        this.addJob(job.record);
        const readded = this.jobs.get(job.record.id);
        if (readded !== undefined) {
            readded.recheckAt = this.options.clock.now() + RecheckMilliseconds;
        }
    }

    /** The holder of a job's assignment checks for abandoned chunks immediately, the others at their next check. */
    private lookForAbandonedChunks(): void {
        const { membership, instance } = this.options;
        for (const job of this.jobs.values()) {
            if (membership.tryGetHolder(`job/${job.record.id}`) === instance) {
                this.progressStore.forget(job.record.id);
                job.recheckAt = 0;
            }
        }
    }

    /** Removes expired jobs and files on one instance. It is safe if two instances do so at the same time. */
    private async removeExpiredWhileRunning(): Promise<void> {
        const { clock, membership, instance, getRetentionMilliseconds } = this.options;
        const { signal } = this.stopping;
        const retention = new jobRetention.JobRetention({
            ...this.options,
            getRetentionMilliseconds: getRetentionMilliseconds ?? (() => DefaultRetentionMilliseconds),
        });
        while (!signal.aborted) {
            await clock.sleep(RemovalIntervalMilliseconds, signal);
            if (!signal.aborted && membership.tryGetHolder("jobs/retention") === instance) {
                await retention.removeExpired(signal);
            }
        }
    }

    private getHeldChunks(): readonly heldChunk.HeldChunk[] {
        return [...this.jobs.values()].flatMap(job => [...job.heldChunks.values()]);
    }

    private getRunningCount(): number {
        return this.getHeldChunks().reduce((count, chunk) => count + chunk.getRunningCount(), 0);
    }
}
