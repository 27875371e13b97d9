import type * as core from "@boragedale/core";
import type * as metadataStore from "./metadataStore.js";
import type * as types from "./types.js";

export interface ConfigurationRefreshParts {
    readonly store: metadataStore.MetadataStore;
    readonly clock: core.Clock;
    readonly configurationKey: string;
    readonly apply: (entries: readonly types.StoreEntry[]) => void;
}

/** Minimum interval between two reads. Requests in between share the last one. */
const MinimumIntervalMilliseconds = 1_000;
/** Maximum time that a caller waits for the store. */
const MaximumWaitMilliseconds = 150;

/**
 * Reads the configuration from the store when a request needs a later one than is known. The rate is limited, so that a
 * flood of requests with wrong keys does not cause a store call for each of them.
 */
export class ConfigurationRefresh {
    private startedAt: core.MonotonicMilliseconds = -Infinity;
    private lastRead: Promise<void> = Promise.resolve();

    constructor(private readonly parts: ConfigurationRefreshParts) {}

    /** Resolves when the last read has ended, or after a short timeout. */
    async refresh(): Promise<void> {
        const { clock } = this.parts;
        if (clock.now() - this.startedAt >= MinimumIntervalMilliseconds) {
            this.startedAt = clock.now();
            this.lastRead = this.read();
        }
        const timeout = new AbortController();
        await Promise.race([this.lastRead, clock.sleep(MaximumWaitMilliseconds, timeout.signal)]);
        timeout.abort();
    }

    private async read(): Promise<void> {
        const result = await this.parts.store.read(this.parts.configurationKey);
        if (result.ok && result.value !== undefined) {
            this.parts.apply([result.value]);
        }
    }
}
