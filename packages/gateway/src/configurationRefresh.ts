import type * as core from "@boragedale/core";
import type * as metadataStore from "./metadataStore.js";
import type * as types from "./types.js";

export interface ConfigurationRefreshParts {
    readonly store: metadataStore.MetadataStore;
    readonly clock: core.Clock;
    readonly configurationKey: string;
    readonly apply: (entries: readonly types.StoreEntry[]) => void;
}

/** Shortest time between two reads: requests that ask for one meanwhile share the last. */
const PauseMilliseconds = 1_000;
/** A caller waits at most this long for the store. */
const WaitMilliseconds = 150;

/**
 * Reads the configuration from the store when a request needs a later one than is known. Load: any number of requests with wrong
 * keys. Harm prevented: a call of the store for each of them.
 */
export class ConfigurationRefresh {
    private startedAt: core.MonotonicMilliseconds = -Infinity;
    private reading: Promise<void> = Promise.resolve();

    constructor(private readonly parts: ConfigurationRefreshParts) {}

    /** Resolves when the last read has ended, or after a short time. */
    async refresh(): Promise<void> {
        const { clock } = this.parts;
        if (clock.now() - this.startedAt >= PauseMilliseconds) {
            this.startedAt = clock.now();
            this.reading = this.read();
        }
        const waited = new AbortController();
        await Promise.race([this.reading, clock.sleep(WaitMilliseconds, waited.signal)]);
        waited.abort();
    }

    private async read(): Promise<void> {
        const result = await this.parts.store.read(this.parts.configurationKey);
        if (result.ok && result.value !== undefined) {
            this.parts.apply([result.value]);
        }
    }
}
