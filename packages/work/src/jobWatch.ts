import type * as core from "@boragedale/core";
import * as backing from "@boragedale/backing";
import * as codec from "./codec.js";
import * as jobRecords from "./jobRecords.js";

export interface JobWatchOptions {
    readonly keyValue: backing.KeyValueService;
    readonly clock: core.Clock;
    readonly signal: AbortSignal;
    /** Called when a running job was found or changed. */
    readonly onRunning: (record: jobRecords.JobRecord) => void;
    /** Called when a job has ended or was removed. */
    readonly onEnded: (job: string) => void;
}

const ListLimit = 200;
const ReconnectMilliseconds = 1_000;

/** Watches the records of all jobs. One watch per instance replaces polling, whose load would grow with the fleet. */
export class JobWatch {
    private readonly running = new Map<string, string>();

    constructor(private readonly options: JobWatchOptions) {}

    /** Runs until the signal is aborted. */
    async run(): Promise<void> {
        const { keyValue, clock, signal } = this.options;
        while (!signal.aborted) {
            // Watches before listing; otherwise a job submitted between the two would be missed until the next gap.
            const watch = keyValue.watch({ prefix: jobRecords.JobsPrefix, afterRevision: 0, signal });
            const listing = this.listAll();
            for await (const event of watch) {
                await listing;
                await this.handle(event);
            }
            await listing;
            await clock.sleep(ReconnectMilliseconds, signal);
        }
    }

    private async handle(event: backing.WatchEvent): Promise<void> {
        switch (event.kind) {
            case backing.WatchEventKind.Changed:
                this.handleRecord(event.entry);
                break;
            case backing.WatchEventKind.Removed:
                this.handleEnd(event.key);
                break;
            case backing.WatchEventKind.Gap:
                await this.listAll();
                break;
        }
    }

    /** Reads all records, with retries until the service replies. Jobs whose record is missing have ended. */
    private async listAll(): Promise<void> {
        const { keyValue, clock, signal } = this.options;
        const seen = new Set<string>();
        let after: string | undefined;
        while (!signal.aborted) {
            const request = { prefix: jobRecords.JobsPrefix, after, limit: ListLimit };
            const entries = await keyValue.list({ ...request, purpose: backing.CallPurpose.Read });
            if (!entries.ok) {
                await clock.sleep(ReconnectMilliseconds, signal);
                continue;
            }
            for (const entry of entries.value) {
                seen.add(entry.key);
                this.handleRecord(entry);
            }
            after = entries.value.at(-1)?.key;
            if (entries.value.length < ListLimit) {
                break;
            }
        }
        if (!signal.aborted) {
            [...this.running.keys()].filter(key => !seen.has(key)).forEach(key => this.handleEnd(key));
        }
    }

    private handleRecord(entry: backing.Entry): void {
        const record = codec.decode<jobRecords.JobRecord>(entry.value);
        if (record.ended !== undefined) {
            this.running.set(entry.key, record.id);
            this.handleEnd(entry.key);
            return;
        }
        this.running.set(entry.key, record.id);
        this.options.onRunning(record);
    }

    private handleEnd(key: string): void {
        const job = this.running.get(key);
        if (job !== undefined) {
            this.running.delete(key);
            this.options.onEnded(job);
        }
    }
}
