import * as core from "@boragedale/core";
import * as types from "./types.js";

/** The ledger of non-idempotent calls: each key runs at most once, across all instances and restarts. */
export abstract class CallLedger implements AsyncDisposable {
    /** Records the start before the call is sent. Only `BeginKind.Started` permits sending. */
    abstract begin(request: types.CallRequest): Promise<types.BeginOutcome>;
    /**
     * Whether a started call may be sent now; must be checked right before the first byte. False once the start is so
     * old that another instance may have taken the call over. The caller then releases the call without sending it.
     */
    isSendAllowed(record: types.CallRecord): boolean {
        return record.state === types.CallState.Started;
    }
    /**
     * Records the outcome. Resolves to true once it is recorded, or to false after `timeoutMilliseconds`; recording
     * then continues in the background.
     */
    abstract finish(record: types.CallRecord, result: types.CallResult, timeoutMilliseconds: number): Promise<boolean>;
    /** Frees the key of a call that was started but not sent. Only for the instance that started it. */
    abstract release(record: types.CallRecord): Promise<void>;
    /** Takes over an orphaned call under a higher attempt number. Undefined if another instance has taken it over. */
    abstract takeOver(record: types.CallRecord): Promise<types.CallRecord | undefined>;
    /** Records that the outcome of a call is unknown. The call is never run again. */
    abstract markOutcomeUnknown(record: types.CallRecord): Promise<void>;
    /** Reads the record of a call, or `undefined` if there is none. */
    abstract read(identity: types.CallIdentity): Promise<core.Outcome<types.CallRecord | undefined>>;
    /**
     * Resolves when the call has ended, when it is no longer running on its instance (the record's state is then still
     * `Started`), or when `signal` is aborted.
     */
    abstract waitForResult(identity: types.CallIdentity, signal: AbortSignal): Promise<types.CallRecord | undefined>;
    /** Lists calls with an unknown outcome, which operators must resolve. */
    abstract listOutcomesUnknown(): Promise<core.Outcome<readonly types.CallRecord[]>>;
    /** Lists orphaned calls that were not taken over since. They are to be taken over or marked as unknown. */
    async listOrphaned(): Promise<core.Outcome<readonly types.CallRecord[]>> {
        return core.createSuccess([]);
    }
    abstract [Symbol.asyncDispose](): Promise<void>;
}

/** Stores files and jobs in the platform's key-value service. */
export abstract class JobStore {
    /** Uploads a file as a stream, in bounded memory. The file is stored once this resolves. */
    abstract createFile(
        caller: core.CallerId,
        name: string,
        purpose: string,
        content: AsyncIterable<Uint8Array>,
    ): Promise<core.Outcome<types.FileDescription>>;
    abstract readFile(caller: core.CallerId, id: string): Promise<core.Outcome<types.FileDescription>>;
    /** Reads the content of an input file or of a job's results, piece by piece. */
    abstract readContent(caller: core.CallerId, id: string): Promise<core.Outcome<AsyncIterable<Uint8Array>>>;
    /** Validates the input and stores the job before it resolves. */
    abstract submit(request: types.SubmitRequest): Promise<core.Outcome<types.JobDescription>>;
    abstract list(
        caller: core.CallerId,
        after: string | undefined,
        limit: number,
    ): Promise<core.Outcome<readonly types.JobDescription[]>>;
    abstract read(caller: core.CallerId, id: string): Promise<core.Outcome<types.JobDescription>>;
    /** Cancels a job. Once this resolves, no item of the job is started and no further result is recorded. */
    abstract cancel(caller: core.CallerId, id: string): Promise<core.Outcome<types.JobDescription>>;
}

/** Runs items; the entry package implements it with the dispatcher. */
export abstract class ItemExecutor {
    abstract execute(item: types.JobItem, context: types.ItemContext, signal: AbortSignal): Promise<types.ItemOutcome>;
    /** Returns how many more items can run now; the runner claims work only to fill these slots. */
    abstract getFreeSlots(): number;
}
