import type * as core from "@boragedale/core";
import * as backing from "@boragedale/backing";
import * as codec from "./codec.js";
import * as jobRecords from "./jobRecords.js";

export interface JobWatchOptions {
    readonly keyValue: backing.KeyValueService;
    readonly clock: core.Clock;
    readonly signal: AbortSignal;
    /** A running job was found or changed. */
    readonly onRunning: (record: jobRecords.JobRecord) => void;
    /** A job has ended or is gone. */
    readonly onEnded: (job: string) => void;
}

const ListLimit = 200;
const ReconnectMilliseconds = 1_000;

/** Follows the records of all jobs: one waiting watch an instance, in place of polling that grows with the fleet. */
export class JobWatch {
    private readonly running = new Map<string, string>();

    constructor(private readonly options: JobWatchOptions) {}

    /** Runs until the signal is aborted. */
    async run(): Promise<void> {
        const { keyValue, clock, signal } = this.options;
        while (!signal.aborted) {
            // Watching before listing: a job submitted between the two would otherwise wait for the next gap.
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
                this.adopt(event.entry);
                break;
            case backing.WatchEventKind.Removed:
                this.end(event.key);
                break;
            case backing.WatchEventKind.Gap:
                await this.listAll();
                break;
        }
    }

    /** Reads every record; what is no longer there has ended. Tries until the service answers. */
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
                this.adopt(entry);
            }
            after = entries.value.at(-1)?.key;
            if (entries.value.length < ListLimit) {
                break;
            }
        }
        if (!signal.aborted) {
            [...this.running.keys()].filter(key => !seen.has(key)).forEach(key => this.end(key));
        }
    }

    private adopt(entry: backing.Entry): void {
        const record = codec.decode<jobRecords.JobRecord>(entry.value);
        if (record.ended !== undefined) {
            this.running.set(entry.key, record.id);
            this.end(entry.key);
            return;
        }
        this.running.set(entry.key, record.id);
        this.options.onRunning(record);
    }

    private end(key: string): void {
        const job = this.running.get(key);
        if (job !== undefined) {
            this.running.delete(key);
            this.options.onEnded(job);
        }
    }
}
