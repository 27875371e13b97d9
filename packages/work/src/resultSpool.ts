import type * as backing from "@boragedale/backing";
import * as codec from "./codec.js";
import type * as types from "./types.js";

/** What the ledger needs of an instance's small disk. */
export type SpoolFiles = Pick<backing.Spool, "append" | "read" | "acknowledge">;

export interface SpooledResult {
    readonly record: types.CallRecord;
    readonly result: types.CallResult;
}

/**
 * Results that were answered before the key-value service had them, on disk where the instance has one: a process that
 * dies in an outage would otherwise take them along, and bookings that did run would end with an unknown outcome.
 */
export class ResultSpool {
    /** Records of this process that the service has not got yet. */
    private readonly open = new Set<number>();
    private newest = 0;
    private isReplaying = true;

    constructor(private readonly files: SpoolFiles) {}

    /** Keeps a result; undefined where the disk is full or fails, and memory must do. */
    async keep(spooled: SpooledResult): Promise<number | undefined> {
        const appended = await this.files.append(codec.encode(spooled));
        if (!("sequence" in appended)) {
            return undefined;
        }
        this.open.add(appended.sequence);
        this.newest = Math.max(this.newest, appended.sequence);
        return appended.sequence;
    }

    /** The service has the result: its record is not needed any more. */
    async markRecorded(sequence: number): Promise<void> {
        this.open.delete(sequence);
        // The records of earlier processes come before all of ours, and are acknowledged one by one.
        if (!this.isReplaying) {
            await this.acknowledgeDone();
        }
    }

    /** Hands out what earlier processes have left, the oldest first; each is acknowledged once `record` resolves true. */
    async replay(record: (spooled: SpooledResult) => Promise<boolean>): Promise<void> {
        for await (const kept of this.files.read()) {
            if (!(await record(codec.decode<SpooledResult>(kept.payload)))) {
                return;
            }
            await this.files.acknowledge(kept.sequence);
        }
        this.isReplaying = false;
        await this.acknowledgeDone();
    }

    private async acknowledgeDone(): Promise<void> {
        const oldest = Math.min(...this.open);
        await this.files.acknowledge(Number.isFinite(oldest) ? oldest - 1 : this.newest);
    }
}
