import type * as backing from "@boragedale/backing";
import * as codec from "./codec.js";
import type * as types from "./types.js";

/** The operations of an instance's disk spool that the ledger uses. */
export type SpoolFiles = Pick<backing.Spool, "append" | "read" | "acknowledge">;

export interface SpooledResult {
    readonly record: types.CallRecord;
    readonly result: types.CallResult;
}

/**
 * Stores results on disk that were returned to callers before the key-value service accepted them. Otherwise they would
 * be lost with a process that crashes during an outage, and calls that did run would end with an unknown outcome.
 */
export class ResultSpool {
    /** Results of this process that are not yet recorded in the ledger. */
    private readonly pendingSequences = new Set<number>();
    private newestSequence = 0;
    private isReplaying = true;

    constructor(private readonly files: SpoolFiles) {}

    /** Writes a result to disk. Undefined if the disk is full or fails; the result is then only in memory. */
    async store(spooled: SpooledResult): Promise<number | undefined> {
        const appended = await this.files.append(codec.encode(spooled));
        if (!("sequence" in appended)) {
            return undefined;
        }
        this.pendingSequences.add(appended.sequence);
        this.newestSequence = Math.max(this.newestSequence, appended.sequence);
        return appended.sequence;
    }

    /** Marks a result as recorded in the ledger, so that its spool record is no longer needed. */
    async markRecorded(sequence: number): Promise<void> {
        this.pendingSequences.delete(sequence);
        // Acknowledging a record includes all earlier ones, and those of earlier processes are still being replayed.
        if (!this.isReplaying) {
            await this.acknowledgeRecorded();
        }
    }

    /**
     * Replays the results that earlier processes left, oldest first. Each is acknowledged once `record` resolves to
     * true.
     */
    async replay(record: (spooled: SpooledResult) => Promise<boolean>): Promise<void> {
        for await (const spoolRecord of this.files.read()) {
            if (!(await record(codec.decode<SpooledResult>(spoolRecord.payload)))) {
                return;
            }
            await this.files.acknowledge(spoolRecord.sequence);
        }
        this.isReplaying = false;
        await this.acknowledgeRecorded();
    }

    private async acknowledgeRecorded(): Promise<void> {
        const oldest = Math.min(...this.pendingSequences);
        await this.files.acknowledge(Number.isFinite(oldest) ? oldest - 1 : this.newestSequence);
    }
}
