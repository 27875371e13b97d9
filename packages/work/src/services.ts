import * as core from "@boragedale/core";
import * as types from "./types.js";

/** The ledger of non-idempotent calls: each key runs at most once, over all instances and at any time. */
export abstract class CallLedger implements AsyncDisposable {
    /** Records the start before anything is sent. Only `BeginKind.Started` permits sending. */
    abstract begin(request: types.CallRequest): Promise<types.BeginOutcome>;
    /**
     * Whether a started call may be sent now: asked right before the first byte. False once the start is so old that
     * another instance may have taken the call over; it is then released, and nothing was sent.
     */
    isSendAllowed(record: types.CallRecord): boolean {
        return record.state === types.CallState.Started;
    }
    /**
     * Records the outcome. Resolves true once it is kept, false when that takes longer than `boundMilliseconds`:
     * recording then goes on behind the answer.
     */
    abstract finish(record: types.CallRecord, result: types.CallResult, boundMilliseconds: number): Promise<boolean>;
    /** Nothing was sent after all: frees the key. Only for the instance that started it. */
    abstract release(record: types.CallRecord): Promise<void>;
    /** Takes an orphaned call over, with a higher attempt, to ask or resend. Undefined when somebody else did. */
    abstract takeOver(record: types.CallRecord): Promise<types.CallRecord | undefined>;
    /** Gives a call up for good: it will never be run again. */
    abstract markOutcomeUnknown(record: types.CallRecord): Promise<void>;
    /** Reads a call, or `undefined` where the caller never made it. */
    abstract read(identity: types.CallIdentity): Promise<core.Outcome<types.CallRecord | undefined>>;
    /**
     * Resolves when the call has ended, or its instance is gone (the record then still says `Started`), or `signal` is
     * aborted.
     */
    abstract waitForResult(identity: types.CallIdentity, signal: AbortSignal): Promise<types.CallRecord | undefined>;
    /** Calls whose outcome operators must settle. */
    abstract listOutcomesUnknown(): Promise<core.Outcome<readonly types.CallRecord[]>>;
    /** Calls whose instance is gone and which nobody has asked for since: to be taken over, or given up. */
    async listOrphaned(): Promise<core.Outcome<readonly types.CallRecord[]>> {
        return core.createSuccess([]);
    }
    abstract [Symbol.asyncDispose](): Promise<void>;
}

/** Files and jobs, kept in the platform's key-value service. */
export abstract class JobStore {
    /** Streams a file in; it is kept when this resolves. Memory stays bounded whatever the file's size. */
    abstract createFile(
        caller: core.CallerId,
        name: string,
        purpose: string,
        content: AsyncIterable<Uint8Array>,
    ): Promise<core.Outcome<types.FileDescription>>;
    abstract readFile(caller: core.CallerId, id: string): Promise<core.Outcome<types.FileDescription>>;
    /** Content of an input file or of a job's results, piece by piece. */
    abstract readContent(caller: core.CallerId, id: string): Promise<core.Outcome<AsyncIterable<Uint8Array>>>;
    /** Checks the input, keeps the job, and only then acknowledges it. */
    abstract submit(request: types.SubmitRequest): Promise<core.Outcome<types.JobDescription>>;
    abstract list(
        caller: core.CallerId,
        after: string | undefined,
        limit: number,
    ): Promise<core.Outcome<readonly types.JobDescription[]>>;
    abstract read(caller: core.CallerId, id: string): Promise<core.Outcome<types.JobDescription>>;
    /** After this resolves no item of the job is started and no further result is recorded. */
    abstract cancel(caller: core.CallerId, id: string): Promise<core.Outcome<types.JobDescription>>;
}

/** Runs one item; the entry package implements it with the dispatcher. */
export abstract class ItemExecutor {
    abstract execute(item: types.JobItem, context: types.ItemContext, signal: AbortSignal): Promise<types.ItemOutcome>;
    /** Items that may run here right now; the runner claims no more work than this can use. */
    abstract getFreeSlots(): number;
}
