import * as crypto from "node:crypto";
import * as core from "@boragedale/core";
import * as backing from "@boragedale/backing";
import * as protocol from "@boragedale/protocol";
import * as telemetry from "@boragedale/telemetry";
import * as jobProgress from "./jobProgress.js";
import * as jobProgressStore from "./jobProgressStore.js";
import * as codec from "./codec.js";
import * as files from "./files.js";
import * as jobInput from "./jobInput.js";
import * as jobRecords from "./jobRecords.js";
import * as refusals from "./refusals.js";
import * as results from "./results.js";
import * as services from "./services.js";
import * as swap from "./swap.js";
import * as types from "./types.js";

export interface KeyValueJobStoreOptions {
    readonly keyValue: backing.KeyValueService;
    readonly peers: protocol.PeerNetwork;
    readonly clock: core.Clock;
    readonly telemetry: telemetry.Telemetry;
    readonly instance: core.InstanceId;
    /** Returns an id that is unique across processes; tests pass a counter. */
    readonly createId?: () => string;
}

/** A holder that doesn't confirm a cancel within this time notices it when its next checkpoint is rejected. */
const CancelNotificationTimeoutMilliseconds = 1_000;
const OutputSuffix = "-output";
const ErrorsSuffix = "-errors";

export function createJobStore(options: KeyValueJobStoreOptions): KeyValueJobStore {
    return new KeyValueJobStore(options);
}

/** Stores files and jobs in the platform's key-value service. The process itself has no durable state. */
export class KeyValueJobStore extends services.JobStore {
    private readonly contentStore: files.ContentStore;
    private readonly progressStore: jobProgressStore.JobProgressStore;
    private readonly createId: () => string;

    constructor(private readonly options: KeyValueJobStoreOptions) {
        super();
        this.createId = options.createId ?? crypto.randomUUID;
        this.contentStore = new files.ContentStore(options);
        this.progressStore = new jobProgressStore.JobProgressStore({ ...options, createId: this.createId });
    }

    override async createFile(
        caller: core.CallerId,
        name: string,
        purpose: string,
        content: AsyncIterable<Uint8Array>,
    ): Promise<core.Outcome<types.FileDescription>> {
        const id = `file-${this.createId()}`;
        const stored = await this.contentStore.writePieces(id, content);
        if (!stored.ok) {
            await this.contentStore.removePieces(id, stored.pieces.length);
            return refusals.createUnavailable();
        }
        const bytes = stored.pieces.reduce((total, piece) => total + piece, 0);
        const createdAt = this.options.clock.wallNow();
        const description: types.FileDescription = { id, caller, name, bytes, purpose, createdAt };
        const record: jobRecords.FileRecord = { ...description, pieces: stored.pieces, inline: stored.inline };
        const key = jobRecords.getFileKey(caller, id);
        const recordStored = await this.contentStore.create(key, codec.encode(record), backing.CallPurpose.JobInput);
        return recordStored.ok ? core.createSuccess(description) : refusals.createUnavailable();
    }

    override async readFile(caller: core.CallerId, id: string): Promise<core.Outcome<types.FileDescription>> {
        const resultsOf = tryParseResultsId(id);
        if (resultsOf !== undefined) {
            return this.readResultsFile(caller, id, resultsOf);
        }
        const record = await this.readRecord<jobRecords.FileRecord>(jobRecords.getFileKey(caller, id), "file", id);
        return record.ok ? core.createSuccess(toFileDescription(record.value)) : record;
    }

    override async readContent(caller: core.CallerId, id: string): Promise<core.Outcome<AsyncIterable<Uint8Array>>> {
        const resultsOf = tryParseResultsId(id);
        if (resultsOf === undefined) {
            const key = jobRecords.getFileKey(caller, id);
            const file = await this.readRecord<jobRecords.FileRecord>(key, "file", id);
            return file.ok ? core.createSuccess(this.contentStore.readRange(file.value, 0, file.value.bytes)) : file;
        }
        const job = await this.readJob(caller, resultsOf.job);
        if (!job.ok) {
            return job;
        }
        const read = await this.progressStore.read(resultsOf.job);
        if (!read.ok) {
            return refusals.createUnavailable();
        }
        return core.createSuccess(this.readResults(resultsOf, read.progress));
    }

    override async submit(request: types.SubmitRequest): Promise<core.Outcome<types.JobDescription>> {
        const { caller } = request;
        const id = getJobId(request);
        const key = jobRecords.getJobKey(caller, id);
        const existing = await this.options.keyValue.get(key, backing.CallPurpose.Read);
        if (!existing.ok) {
            return refusals.createUnavailable();
        }
        if (existing.value !== undefined) {
            return this.resolveExistingJob(codec.decode(existing.value.value), request);
        }
        const checked = await this.checkInput(request);
        if (!checked.ok) {
            return checked;
        }
        const record = this.createRecord(id, request, checked.value);
        const written = await swap.writeValue(this.options.keyValue, this.options.clock, {
            key,
            expectedRevision: 0,
            value: codec.encode(record),
            purpose: backing.CallPurpose.JobInput,
        });
        switch (written.kind) {
            case swap.WriteKind.Written:
                this.options.telemetry.record(telemetry.events.JobAccepted, { job: id, caller });
                return core.createSuccess(describeJob(record, jobProgress.createJobProgress()));
            case swap.WriteKind.Conflict:
                return written.current === undefined
                    ? refusals.createUnavailable()
                    : this.resolveExistingJob(codec.decode(written.current.value), request);
            case swap.WriteKind.Failed:
                return refusals.createUnavailable();
            case swap.WriteKind.Unknown:
                return refusals.createUnavailable(core.RunCertainty.MayHaveRun);
        }
    }

    override async list(
        caller: core.CallerId,
        after: string | undefined,
        limit: number,
    ): Promise<core.Outcome<readonly types.JobDescription[]>> {
        const prefix = jobRecords.getJobsPrefix(caller);
        const entries = await this.options.keyValue.list({
            prefix,
            after: after === undefined ? undefined : prefix + after,
            limit,
            purpose: backing.CallPurpose.Read,
        });
        if (!entries.ok) {
            return refusals.createUnavailable();
        }
        const records = entries.value.map(entry => codec.decode<jobRecords.JobRecord>(entry.value));
        const described = await Promise.all(records.map(record => this.describe(record)));
        return collect(described);
    }

    override async read(caller: core.CallerId, id: string): Promise<core.Outcome<types.JobDescription>> {
        const record = await this.readJob(caller, id);
        return record.ok ? this.describe(record.value) : record;
    }

    override async cancel(caller: core.CallerId, id: string): Promise<core.Outcome<types.JobDescription>> {
        const record = await this.readJob(caller, id);
        if (!record.ok) {
            return record;
        }
        if (record.value.ended !== undefined && record.value.ended.state !== types.JobState.Cancelled) {
            return refusals.createStateConflict(record.value.ended.state, "cancelled");
        }
        const now = this.options.clock.wallNow();
        let holders: ReadonlySet<core.InstanceId> = new Set();
        const updated = await this.progressStore.update(id, backing.CallPurpose.Claim, progress => {
            const claims = Object.values(progress.chunks).map(chunkProgress => chunkProgress.claim?.instance);
            holders = new Set(claims.filter(instance => instance !== undefined));
            return jobProgress.endJob(progress, types.JobState.Cancelled, now);
        });
        if (!updated.ok) {
            return refusals.createUnavailable(updated.mayBeWritten ? core.RunCertainty.MayHaveRun : undefined);
        }
        const description = describeJob(record.value, updated.progress);
        if (updated.progress.state !== types.JobState.Cancelled) {
            return refusals.createStateConflict(updated.progress.state, "cancelled");
        }
        // Both in parallel: a holder that can't be reached is notified by its watch on the job's record.
        await Promise.all([
            this.notifyHolders(id, holders),
            endJobRecord(this.options, record.value, updated.progress),
        ]);
        this.options.telemetry.record(telemetry.events.JobCancelled, { job: id, caller });
        return core.createSuccess(description);
    }

    private async checkInput(request: types.SubmitRequest): Promise<core.Outcome<jobInput.CheckedInput>> {
        const content = await this.readContent(request.caller, request.inputFile);
        if (!content.ok) {
            return content;
        }
        try {
            const check = await jobInput.checkInput(content.value, request.endpoint);
            return check.ok ? core.createSuccess(check.input) : refusals.createInputInvalid(check.findings);
        }
        catch (error) {
            if (error instanceof files.ContentUnavailableError) {
                return refusals.createUnavailable();
            }
            throw error;
        }
    }

    private createRecord(id: string, request: types.SubmitRequest, input: jobInput.CheckedInput): jobRecords.JobRecord {
        const createdAt = this.options.clock.wallNow();
        return {
            nonce: this.createId(),
            id,
            caller: request.caller,
            inputFile: request.inputFile,
            endpoint: request.endpoint,
            generation: request.generation,
            createdAt,
            deadlineAt: createdAt + request.deadlineMilliseconds,
            metadata: request.metadata,
            ...input,
        };
    }

    /** Returns a job that was submitted before with the same key, or a refusal if the requests differ. */
    private async resolveExistingJob(
        record: jobRecords.JobRecord,
        request: types.SubmitRequest,
    ): Promise<core.Outcome<types.JobDescription>> {
        if (record.inputFile === request.inputFile && record.endpoint === request.endpoint) {
            return this.describe(record);
        }
        return refusals.createKeyReused();
    }

    private async describe(record: jobRecords.JobRecord): Promise<core.Outcome<types.JobDescription>> {
        if (record.ended !== undefined) {
            return core.createSuccess(describeJob(record, jobProgress.createJobProgress()));
        }
        const read = await this.progressStore.read(record.id);
        return read.ok ? core.createSuccess(describeJob(record, read.progress)) : refusals.createUnavailable();
    }

    private readJob(caller: core.CallerId, id: string): Promise<core.Outcome<jobRecords.JobRecord>> {
        return this.readRecord(jobRecords.getJobKey(caller, id), "job", id);
    }

    private async readRecord<T>(key: string, kind: string, id: string): Promise<core.Outcome<T>> {
        const entry = await this.options.keyValue.get(key, backing.CallPurpose.Read);
        if (!entry.ok) {
            return refusals.createUnavailable();
        }
        return entry.value === undefined
            ? refusals.createNotFound(kind, id)
            : core.createSuccess(codec.decode<T>(entry.value.value));
    }

    private async readResultsFile(
        caller: core.CallerId,
        id: string,
        resultsOf: ResultsId,
    ): Promise<core.Outcome<types.FileDescription>> {
        const job = await this.readJob(caller, resultsOf.job);
        if (!job.ok) {
            return job;
        }
        const read = await this.progressStore.read(resultsOf.job);
        if (!read.ok) {
            return refusals.createUnavailable();
        }
        const bytes = resultsOf.isErrors ? read.progress.errorBytes : read.progress.outputBytes;
        const { createdAt } = job.value;
        return core.createSuccess({ id, caller, name: `${id}.jsonl`, bytes, purpose: "batch_output", createdAt });
    }

    private async *readResults(resultsOf: ResultsId, progress: jobProgress.JobProgress): AsyncIterable<Uint8Array> {
        const prefix = jobRecords.getResultsPrefix(resultsOf.job);
        for (const pointer of progress.segments) {
            const bytes = pointer.inline ?? (await this.contentStore.readValue(prefix + pointer.name));
            const segment = await results.decodeSegment(bytes);
            yield resultsOf.isErrors ? segment.errors : segment.output;
        }
    }

    private async notifyHolders(job: string, holders: ReadonlySet<core.InstanceId>): Promise<void> {
        const notifications = [...holders].map(holder =>
            this.options.peers.request(
                holder,
                { kind: protocol.MessageKind.JobCancelled, job },
                { lane: protocol.Lane.Control, timeoutMilliseconds: CancelNotificationTimeoutMilliseconds },
            ),
        );
        await Promise.all(notifications);
    }
}

type EndOptions = Pick<KeyValueJobStoreOptions, "keyValue" | "clock">;

/** Writes the end of a job to its record. If this fails, readers still find the end in the progress record. */
export async function endJobRecord(
    { keyValue, clock }: EndOptions,
    record: jobRecords.JobRecord,
    progress: jobProgress.JobProgress,
): Promise<boolean> {
    const key = jobRecords.getJobKey(record.caller, record.id);
    const entry = await keyValue.get(key, backing.CallPurpose.Checkpoint);
    if (!entry.ok || entry.value === undefined || progress.endedAt === undefined) {
        return entry.ok;
    }
    const current = codec.decode<jobRecords.JobRecord>(entry.value.value);
    if (current.ended !== undefined) {
        return true;
    }
    const { state, counts } = describeJob(record, progress);
    const ended: jobRecords.JobEnd = { state, counts, endedAt: progress.endedAt };
    const written = await swap.writeValue(keyValue, clock, {
        key,
        expectedRevision: entry.value.revision,
        value: codec.encode({ ...current, ended }),
        purpose: backing.CallPurpose.Checkpoint,
    });
    return written.kind === swap.WriteKind.Written;
}

export function describeJob(record: jobRecords.JobRecord, progress: jobProgress.JobProgress): types.JobDescription {
    const { id, caller, inputFile, endpoint, generation, createdAt, deadlineAt, metadata, total, ended } = record;
    const counts = ended?.counts ?? { total, succeeded: progress.succeeded, failed: progress.failed };
    const state = ended?.state ?? progress.state;
    const endedAt = ended?.endedAt ?? progress.endedAt;
    return { id, caller, state, counts, inputFile, endpoint, generation, createdAt, deadlineAt, endedAt, metadata };
}

interface ResultsId {
    readonly job: string;
    readonly isErrors: boolean;
}

function tryParseResultsId(id: string): ResultsId | undefined {
    for (const suffix of [OutputSuffix, ErrorsSuffix]) {
        if (id.startsWith("batch_") && id.endsWith(suffix)) {
            return { job: id.slice(0, -suffix.length), isErrors: suffix === ErrorsSuffix };
        }
    }
    return undefined;
}

function getJobId(request: types.SubmitRequest): string {
    const name = JSON.stringify([request.caller, request.key]);
    return `batch_${crypto.createHash("sha256").update(name).digest("hex").slice(0, 24)}`;
}

function toFileDescription(record: jobRecords.FileRecord): types.FileDescription {
    const { id, caller, name, bytes, purpose, createdAt } = record;
    return { id, caller, name, bytes, purpose, createdAt };
}

function collect<T>(outcomes: readonly core.Outcome<T>[]): core.Outcome<readonly T[]> {
    const values: T[] = [];
    for (const outcome of outcomes) {
        if (!outcome.ok) {
            return outcome;
        }
        values.push(outcome.value);
    }
    return core.createSuccess(values);
}
