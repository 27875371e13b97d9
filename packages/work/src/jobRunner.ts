import * as crypto from "node:crypto";
import * as core from "@boragedale/core";
import * as backing from "@boragedale/backing";
import * as protocol from "@boragedale/protocol";
import * as telemetry from "@boragedale/telemetry";
import * as activeJob from "./activeJob.js";
import * as boards from "./board.js";
import * as boardStore from "./boardStore.js";
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
    /** Attempts that an item has, from the release note in force. */
    readonly getItemAttempts?: () => number;
    /** How long results and files stay readable, from the release note in force. */
    readonly getRetentionMilliseconds?: () => number;
    /** Longest time for which finished items wait to be recorded. */
    readonly checkpointMilliseconds?: number;
    /** How long a stopping runner lets running items go on. */
    readonly drainMilliseconds?: number;
    readonly createId?: () => string;
}

const DefaultItemAttempts = 3;
const DefaultCheckpointMilliseconds = 10_000;
const DefaultDrainMilliseconds = 10_000;
/** With each further instance all checkpoint a little more rarely, so that the fleet's rate of writes stays bounded. */
const CheckpointMillisecondsPerInstance = 100;
const DefaultRetentionMilliseconds = 7 * 86_400_000;
const RemovalMilliseconds = 600_000;
const TickMilliseconds = 200;
/** A job without open chunks is looked at again after this time, and this much more for each instance. */
const RecheckMilliseconds = 2_000;
const RecheckMillisecondsPerInstance = 25;
/** A claim that nobody renewed for so long is taken over even from an instance that seems to live. */
const ClaimMilliseconds = 900_000;
const RenewMilliseconds = 300_000;

export function createJobRunner(options: JobRunnerOptions): JobRunner {
    return new JobRunner(options);
}

/**
 * Works on the jobs of all callers: claims chunks while its executor has room, runs their items, and records results
 * by time. It holds no state that must last; after a kill another instance claims its chunks.
 */
export class JobRunner implements AsyncDisposable {
    private readonly boards: boardStore.BoardStore;
    private readonly vault: files.ContentStore;
    private readonly createId: () => string;
    private readonly process: string;
    private readonly jobs = new Map<string, activeJob.ActiveJob>();
    private readonly claimTurns = new jobSelection.JobSelection();
    private readonly items: itemRunner.ItemRunner;
    private readonly reads: claimPlan.ReadBudget;
    private readonly stopping = new AbortController();
    private readonly stopWatching = new AbortController();
    private readonly stopListening: () => void;
    private readonly tasks: readonly Promise<void>[];

    constructor(private readonly options: JobRunnerOptions) {
        this.createId = options.createId ?? crypto.randomUUID;
        this.process = this.createId();
        this.reads = new claimPlan.ReadBudget(options.clock.now());
        this.boards = new boardStore.BoardStore({ ...options, createId: this.createId });
        this.vault = new files.ContentStore(options);
        this.items = new itemRunner.ItemRunner({
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
            this.removeOldWhileRunning(),
        ];
    }

    /** Stops taking work, lets running items end within the bound, records what there is, and gives its chunks back. */
    async [Symbol.asyncDispose](): Promise<void> {
        this.stopping.abort();
        this.stopListening();
        const { clock, drainMilliseconds = DefaultDrainMilliseconds } = this.options;
        const giveUpAt = clock.now() + drainMilliseconds;
        while (this.getRunningCount() > 0 && clock.now() < giveUpAt) {
            await clock.sleep(TickMilliseconds);
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
            checkpoints: new checkpointer.Checkpointer(record, { ...this.options, ...this.getStores() }),
            held: new Map(),
            recheckAt: 0,
            isExhausted: false,
            checkpointedAt: this.options.clock.now(),
            isCheckpointing: false,
            retryMilliseconds: activeJob.FirstRetryMilliseconds,
        });
    }

    private getStores(): Pick<checkpointer.CheckpointerOptions, "boards" | "vault" | "createId"> {
        return { boards: this.boards, vault: this.vault, createId: this.createId };
    }

    /** The job has ended: stops its streams at once. A result that is on its way to the board is refused there. */
    private dropJob(id: string): void {
        const job = this.jobs.get(id);
        job?.held.forEach(chunk => chunk.drop());
        this.jobs.delete(id);
        this.boards.forget(id);
    }

    private async claimWhileRunning(): Promise<void> {
        const { clock } = this.options;
        while (!this.stopping.signal.aborted) {
            await this.expireJobs();
            await this.claimWhileWanted();
            this.items.startItems();
            await clock.sleep(TickMilliseconds, this.stopping.signal);
        }
    }

    private async claimWhileWanted(): Promise<void> {
        const { clock, membership } = this.options;
        while (claimPlan.wantsWork(this.getAtHand())) {
            const claimable = this.getClaimable();
            if (claimable.length === 0 || !this.reads.tryTake(clock.now(), membership.getLiveInstances().length)) {
                return;
            }
            const job = this.claimTurns.choose(claimable, clock.wallNow());
            await this.claimFrom(core.Debug.checkDefined(job, "a claimable job").active);
        }
    }

    private getAtHand(): claimPlan.WorkAtHand {
        const capacity = this.options.executor.getFreeSlots() + this.getRunningCount();
        return { chunks: this.getHeldChunks(), capacity, rate: this.items.getRate() };
    }

    /** Long enough for every job to be looked at before the first one is looked at again. */
    private getRecheckMilliseconds(): number {
        const instances = this.options.membership.getLiveInstances().length;
        const wholePass = claimPlan.getPassMilliseconds(this.jobs.size, instances);
        return Math.max(RecheckMilliseconds + RecheckMillisecondsPerInstance * instances, wholePass);
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
        const recheck = this.getRecheckMilliseconds();
        const read = await this.boards.read(record.id, RecheckMilliseconds);
        if (read.ok) {
            this.holdClaimed(job, read.board);
        }
        const claimer = this.createClaimer();
        const open = read.ok ? boards.getOpenChunks(read.board, record, claimer) : [];
        if (open.length === 0) {
            job.isExhausted = read.ok;
            job.recheckAt = clock.now() + recheck;
            await this.endJobIfEnded(job, read);
            return;
        }
        // Half a share of what is open: the others look at the same board, and the last chunks must not wait behind
        // each other on one instance.
        const share = Math.ceil(open.length / (2 * Math.max(1, membership.getLiveInstances().length)));
        const wanted = open.slice(0, share);
        const result = await this.boards.update(record.id, backing.CallPurpose.Claim, board =>
            boards.claimChunks(board, record, wanted.slice(0, claimPlan.getRoom(this.getAtHand(), record)), claimer),
        );
        if (!result.ok) {
            job.recheckAt = clock.now() + recheck;
            return;
        }
        job.isExhausted = boards.getOpenChunks(result.board, record, claimer).length === 0;
        this.holdClaimed(job, result.board);
    }

    /** Takes up all chunks that the board says are this process's, also those whose claim's reply was lost. */
    private holdClaimed(job: activeJob.ActiveJob, board: boards.Board): void {
        if (boards.hasEnded(board)) {
            return;
        }
        for (const [name, progress] of Object.entries(board.chunks)) {
            const chunk = Number(name);
            if (progress.claim?.process !== this.process || job.held.has(chunk)) {
                continue;
            }
            const held = new heldChunk.HeldChunk(
                job.record,
                jobRecords.getChunkRange(job.record, chunk),
                progress.claim.id,
            );
            job.held.set(chunk, held);
            this.options.telemetry.record(telemetry.events.ChunkClaimed, {
                job: job.record.id,
                text: `chunk ${chunk}`,
            });
            void chunkLoader
                .loadChunk(held, progress, { ...this.options, vault: this.vault, signal: this.stopping.signal })
                .then(() => this.items.startItems());
        }
    }

    private createClaimer(): boards.Claimer {
        const { instance, membership, clock } = this.options;
        const now = clock.wallNow();
        const isAbandoned = (claim: boards.Claim): boolean =>
            claim.process !== this.process &&
            (claim.instance === instance ||
                membership.isGone(claim.instance) ||
                now - claim.renewedAt > ClaimMilliseconds);
        return { instance, process: this.process, now, createId: this.createId, isAbandoned };
    }

    private async checkpointWhileRunning(): Promise<void> {
        const { clock } = this.options;
        while (!this.stopping.signal.aborted) {
            const due = [...this.jobs.values()].filter(job => this.isCheckpointDue(job));
            const isBehind = await Promise.all(due.map(job => this.checkpoint(job, false)));
            if (isBehind.includes(true)) {
                continue;
            }
            await clock.sleep(TickMilliseconds, this.stopping.signal);
        }
    }

    private isCheckpointDue(job: activeJob.ActiveJob): boolean {
        const { clock, membership, checkpointMilliseconds = DefaultCheckpointMilliseconds } = this.options;
        const chunks = [...job.held.values()];
        const passed = clock.now() - job.checkpointedAt;
        if (job.checkpoints.hasPending()) {
            return passed >= job.retryMilliseconds;
        }
        if (!chunks.some(chunk => chunk.hasEndedItems())) {
            return chunks.length > 0 && passed >= RenewMilliseconds;
        }
        const fleet = membership.getLiveInstances().length * CheckpointMillisecondsPerInstance;
        const isLast = job.isExhausted && chunks.every(chunk => chunk.isComplete());
        return isLast || activeJob.hasFullCheckpoint(job) || passed >= Math.max(checkpointMilliseconds, fleet);
    }

    /** Records what has ended; true when that worked and the next checkpoint is full already. */
    private async checkpoint(job: activeJob.ActiveJob, releases: boolean): Promise<boolean> {
        if (job.isCheckpointing || job.held.size === 0) {
            return false;
        }
        job.isCheckpointing = true;
        const outcome = await job.checkpoints.record([...job.held.values()], releases);
        job.isCheckpointing = false;
        job.checkpointedAt = this.options.clock.now();
        activeJob.noteCheckpoint(job, outcome.kind !== checkpointer.CheckpointKind.Delayed);
        outcome.lost.forEach(chunk => this.loseChunk(job, chunk));
        for (const chunk of [...job.held.keys()]) {
            if (outcome.board?.chunks[chunk]?.hasEnded === true) {
                job.held.delete(chunk);
                const subject = { job: job.record.id, text: `chunk ${chunk}` };
                this.options.telemetry.record(telemetry.events.ChunkFinished, subject);
            }
        }
        if (outcome.board !== undefined && boards.hasEnded(outcome.board)) {
            await this.endJobIfEnded(job, { ok: true, board: outcome.board });
        }
        return outcome.kind === checkpointer.CheckpointKind.Recorded && activeJob.hasFullCheckpoint(job);
    }

    private loseChunk(job: activeJob.ActiveJob, chunk: number): void {
        job.held.get(chunk)?.drop();
        job.held.delete(chunk);
        this.options.telemetry.record(telemetry.events.ChunkLost, { job: job.record.id, text: `chunk ${chunk}` });
    }

    /** Ends jobs whose deadline has passed; one instance does it, and the others where that one is not quick. */
    private async expireJobs(): Promise<void> {
        const { clock, membership, instance } = this.options;
        for (const job of [...this.jobs.values()]) {
            const late = clock.wallNow() - job.record.deadlineAt;
            const isDuty = membership.tryGetHolder(`job/${job.record.id}`) === instance || job.held.size > 0;
            if (late < 0 || job.recheckAt > clock.now() || (!isDuty && late < ClaimMilliseconds)) {
                continue;
            }
            job.recheckAt = clock.now() + RecheckMilliseconds;
            const now = clock.wallNow();
            const result = await this.boards.update(job.record.id, backing.CallPurpose.Claim, board =>
                boards.endBoard(board, types.JobState.Expired, now),
            );
            await this.endJobIfEnded(job, result);
        }
    }

    private async endJobIfEnded(job: activeJob.ActiveJob, read: boardStore.BoardResult): Promise<void> {
        if (!read.ok || !boards.hasEnded(read.board)) {
            return;
        }
        this.dropJob(job.record.id);
        const isWritten = await jobStore.endJobRecord(this.options, job.record, read.board);
        if (isWritten) {
            this.options.telemetry.record(telemetry.events.JobFinished, {
                job: job.record.id,
                text: read.board.state,
            });
            return;
        }
        // The record still says that the job runs: it is looked at again until its end is written.
        this.addJob(job.record);
        const again = this.jobs.get(job.record.id);
        if (again !== undefined) {
            again.recheckAt = this.options.clock.now() + RecheckMilliseconds;
        }
    }

    /** The holder of a job's duty looks for chunks of lost instances at once, the others when they recheck the job. */
    private lookForAbandonedChunks(): void {
        const { membership, instance } = this.options;
        for (const job of this.jobs.values()) {
            if (membership.tryGetHolder(`job/${job.record.id}`) === instance) {
                this.boards.forget(job.record.id);
                job.recheckAt = 0;
            }
        }
    }

    /** One instance removes what is past its retention; a second one at the same time would do no harm. */
    private async removeOldWhileRunning(): Promise<void> {
        const { clock, membership, instance, getRetentionMilliseconds } = this.options;
        const { signal } = this.stopping;
        const retention = new jobRetention.JobRetention({
            ...this.options,
            getRetentionMilliseconds: getRetentionMilliseconds ?? (() => DefaultRetentionMilliseconds),
        });
        while (!signal.aborted) {
            await clock.sleep(RemovalMilliseconds, signal);
            if (!signal.aborted && membership.tryGetHolder("jobs/retention") === instance) {
                await retention.removeOld(signal);
            }
        }
    }

    private getHeldChunks(): readonly heldChunk.HeldChunk[] {
        return [...this.jobs.values()].flatMap(job => [...job.held.values()]);
    }

    private getRunningCount(): number {
        return this.getHeldChunks().reduce((count, chunk) => count + chunk.getRunningCount(), 0);
    }
}
