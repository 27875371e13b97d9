import type * as core from "@boragedale/core";
import * as backoff from "./backoff.js";
import * as gatewayLog from "./gatewayLog.js";
import * as metadataStore from "./metadataStore.js";
import type * as types from "./types.js";

export interface StoreWatcherParts {
    readonly store: metadataStore.MetadataStore;
    readonly clock: core.Clock;
    readonly log: gatewayLog.GatewayLog;
}

export interface WatchedPrefix {
    readonly prefix: string;
    /** Duration of one watch call, and the longest time for which a silent connection goes unnoticed. */
    readonly waitMilliseconds: number;
    /**
     * Longest pause after consecutive changes, so that one call returns several of them. In a fleet of hundreds each
     * change wakes every member's watch, and the starts of the members alone would cost a call for each pair of
     * members. 0: none.
     */
    readonly longestGatherMilliseconds: number;
    /** Pause after a single change or the first one of a series. Absent: none. */
    readonly getShortestGatherMilliseconds?: () => number;
    /** Whether it watches from the start. Otherwise it lists once and waits for `setActive`. Absent: it watches. */
    readonly isActive?: boolean;
    /** Called when a watch of full duration has begun, to check by another call that the store is not silent. */
    readonly onWatchBegun?: () => void;
    readonly applyListing: (listing: metadataStore.Listing) => void;
    readonly applyChanges: (entries: readonly types.StoreEntry[]) => void;
}

/** First pause within a series of changes. It doubles while they follow each other. */
const FirstSeriesGatherMilliseconds = 50;
/** Changes further apart than this do not form a series. */
const SeriesGapMilliseconds = 1_500;
/** First and longest pause after a failed call. */
const FirstPauseMilliseconds = 150;
const LongestPauseMilliseconds = 1_000;
/** Duration of a watch that follows a failed call. */
const ProbeWatchMilliseconds = 100;

/**
 * Follows a prefix of the metadata store: lists it, then watches for changes. Lists again when the store has dropped
 * the history.
 */
export class StoreWatcher implements AsyncDisposable {
    private readonly stopper = new AbortController();
    /** Aborted to end the current call or pause. */
    private currentAbort = new AbortController();
    private readonly pauses = new backoff.Backoff(FirstPauseMilliseconds, LongestPauseMilliseconds);
    private gatherMilliseconds = 0;
    private changedAt: core.MonotonicMilliseconds = -Infinity;
    private isReachable = true;
    private isActive: boolean;
    private resolveActivated: () => void = () => undefined;
    private isListed = false;
    private resolveListed: (() => void) | undefined;
    /** Resolves after the first complete listing. */
    readonly whenListed = new Promise<void>(resolve => (this.resolveListed = resolve));

    constructor(
        private readonly parts: StoreWatcherParts,
        private readonly watched: WatchedPrefix,
    ) {
        this.isActive = watched.isActive ?? true;
    }

    /** The background task: ends when it is disposed. */
    async run(): Promise<void> {
        let revision: types.Revision | undefined;
        while (!this.stopper.signal.aborted) {
            this.currentAbort = new AbortController();
            if (revision !== undefined && !this.isActive) {
                await this.waitUntilActive();
                revision = this.isListed ? revision : undefined;
                continue;
            }
            const result: metadataStore.StoreResult<types.Revision> =
                revision === undefined ? await this.list() : await this.watchOnce(revision);
            if (result.ok) {
                this.noteReachable(true, "");
                revision = result.value;
                this.pauses.reset();
                continue;
            }
            if (this.stopper.signal.aborted) {
                return;
            }
            if (result.failure.kind === metadataStore.StoreFailureKind.HistoryGone) {
                revision = undefined;
                continue;
            }
            if (result.failure.kind === metadataStore.StoreFailureKind.BrokenOff) {
                continue;
            }
            this.noteReachable(false, result.failure.text);
            await this.parts.clock.sleep(this.pauses.next(), this.currentAbort.signal);
        }
    }

    /**
     * Ends the watch, or begins one. After an earlier watch has ended, a listing verifies the entries that peers sent
     * in the meantime.
     */
    setActive(isActive: boolean): void {
        if (isActive === this.isActive) {
            return;
        }
        this.isActive = isActive;
        if (isActive) {
            this.resolveActivated();
        }
        else {
            this.isListed = false;
            this.currentAbort.abort();
        }
    }

    /** Whether it watches, and the store answered its last call. */
    isCurrent(): boolean {
        return this.isActive && this.isListed && this.isReachable;
    }

    /** Begins the watch again on another connection, and ends the pause after a failure. */
    restart(): void {
        // Otherwise the long pause of a past outage would follow the next single failure.
        this.pauses.reset();
        this.currentAbort.abort();
    }

    async [Symbol.asyncDispose](): Promise<void> {
        this.stopper.abort();
        this.currentAbort.abort();
        this.resolveActivated();
    }

    private async waitUntilActive(): Promise<void> {
        await new Promise<void>(resolve => {
            this.resolveActivated = resolve;
            if (this.stopper.signal.aborted) {
                resolve();
            }
        });
    }

    private async list(): Promise<metadataStore.StoreResult<types.Revision>> {
        const result = await this.parts.store.list(this.watched.prefix);
        if (!result.ok) {
            return result;
        }
        this.watched.applyListing(result.value);
        this.isListed = true;
        this.resolveListed?.();
        return { ok: true, value: result.value.revision };
    }

    /**
     * A store that is silent never answers the calls that begin meanwhile. A watch of full duration would be waited for
     * long after the store's recovery, while changes go unnoticed. So the first watch after a failure is short, until
     * one is answered.
     */
    private async watchOnce(revision: types.Revision): Promise<metadataStore.StoreResult<types.Revision>> {
        const answer = this.parts.store.watch(
            this.watched.prefix,
            revision,
            this.isReachable ? this.watched.waitMilliseconds : ProbeWatchMilliseconds,
            this.currentAbort.signal,
        );
        if (this.isReachable) {
            this.watched.onWatchBegun?.();
        }
        const result = await answer;
        if (!result.ok) {
            return result;
        }
        this.watched.applyChanges(result.value.entries);
        if (result.value.entries.length > 0) {
            await this.gather();
        }
        return { ok: true, value: Math.max(revision, result.value.revision) };
    }

    /** Waits for more changes if others arrived shortly before. */
    private async gather(): Promise<void> {
        const now = this.parts.clock.now();
        const isSeries = now - this.changedAt <= SeriesGapMilliseconds;
        const doubled = Math.max(FirstSeriesGatherMilliseconds, this.gatherMilliseconds * 2);
        const shortest = this.watched.getShortestGatherMilliseconds?.() ?? 0;
        this.gatherMilliseconds = isSeries ? Math.min(this.watched.longestGatherMilliseconds, doubled) : shortest;
        this.changedAt = now;
        if (this.gatherMilliseconds > 0) {
            await this.parts.clock.sleep(this.gatherMilliseconds, this.stopper.signal);
        }
    }

    private noteReachable(isReachable: boolean, text: string): void {
        if (isReachable === this.isReachable) {
            return;
        }
        this.isReachable = isReachable;
        const event = isReachable ? gatewayLog.GatewayEvent.StoreRegained : gatewayLog.GatewayEvent.StoreLost;
        this.parts.log.recordEvent(event, { prefix: this.watched.prefix, text });
    }
}
