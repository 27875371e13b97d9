import type * as core from "@boragedale/core";
import type * as fleetView from "./fleetView.js";
import type * as types from "./types.js";
import type * as upstreamStart from "./upstreamStart.js";

/** Dependencies of `UpstreamRestarts`. */
export interface UpstreamRestartParts {
    readonly view: fleetView.FleetView;
    readonly clock: core.Clock;
    readonly startReader: upstreamStart.StartReader;
    /**
     * Whether the upstream may have restarted with another version. Without this, each continuation would cost a question
     * and its caller's time, most of all those of batch items, which often yield.
     */
    readonly mayHaveRestarted: (upstream: types.UpstreamEntry) => boolean;
}

/** Where a stream's first event, or the first event of an item, came from. */
export interface StreamBeginning {
    /** The upstream's entry at that time, which an upstream that has restarted may not have replaced yet. */
    readonly upstream: types.UpstreamEntry;
    readonly at: core.WallMilliseconds;
}

/** Software version of a stream whose beginning can't be attributed. No upstream has it, so the stream goes on nowhere. */
export const UnknownVersion = "\u0000";

/**
 * How far the clocks of two machines may differ, and how long an event may take to be read. A beginning that is closer to the
 * upstream's start belongs to neither of the two processes for certain.
 */
const ClockToleranceMilliseconds = 1_000;
/** Time for which the answer of an upstream that has restarted holds. Its entry changes within a second if the store is well. */
const AnswerMilliseconds = 1_000;
/** Time for which beginnings are kept: as long as the origins of streams. */
const MemoryMilliseconds = 60_000;

const ForgetIntervalMilliseconds = 10_000;

interface KnownBeginning extends StreamBeginning {
    readonly stream: string;
    readonly keptSince: core.MonotonicMilliseconds;
    readonly onCorrected: ((softwareVersion: string) => void) | undefined;
}

/** A stream whose software version differs from the one that was recorded. */
export interface CorrectedStream {
    readonly stream: string;
    readonly service: string;
    readonly softwareVersion: string;
}

/**
 * Tells which process of an upstream serves a stream. An upstream may restart under its id with another software version, and
 * it serves before its entry changes: for up to a second, or as long as the store is down.
 *
 * Before a stream goes on at an upstream that may have restarted, the upstream is asked when its process started. Streams that began there before the
 * entry changed get their version when it does.
 */
export class UpstreamRestarts {
    private readonly beginnings = new Map<core.UpstreamId, KnownBeginning[]>();
    private forgottenAt: core.MonotonicMilliseconds = -Infinity;
    private readonly corrected = new Map<string, string>();
    private readonly listeners = new Set<(corrected: CorrectedStream) => void>();
    /** Starts that upstreams gave and that their entries didn't have. */
    private readonly newStarts = new Map<
        core.UpstreamId,
        { readonly start: core.WallMilliseconds; readonly until: core.MonotonicMilliseconds }
    >();
    private readonly questions = new Map<core.UpstreamId, Promise<core.WallMilliseconds | undefined>>();

    constructor(private readonly parts: UpstreamRestartParts) {
        parts.view.onChange(() => this.correct());
    }

    /** Calls the listener for each stream that was recorded with a version at which it didn't begin for certain. */
    onCorrected(listener: (corrected: CorrectedStream) => void): void {
        this.listeners.add(listener);
    }

    /** Records that a stream has begun. With `onCorrected`, that is called instead of the listeners. */
    noteBeginning(
        stream: string,
        upstream: types.UpstreamEntry,
        onCorrected?: (softwareVersion: string) => void,
    ): void {
        const now = this.parts.clock.now();
        this.forgetExpired(now);
        const known = this.beginnings.get(upstream.id) ?? [];
        // The order is that of the times, so the oldest ones are first.
        const firstKept = known.findIndex(({ keptSince }) => now - keptSince < MemoryMilliseconds);
        const kept = firstKept < 0 ? [] : known.slice(firstKept);
        const at = this.parts.clock.wallNow();
        this.beginnings.set(upstream.id, [...kept, { stream, upstream, at, keptSince: now, onCorrected }]);
        // The entry may have changed since the upstream was chosen.
        this.correctAt(upstream.id);
    }

    /** The version of a stream of this member, if the entry of its upstream has changed since it began. */
    tryGetCorrected(stream: string): string | undefined {
        return this.corrected.get(stream);
    }

    /**
     * Asks the upstream at which a stream of this member began whether its entry described the process that began it. If it may
     * not have, the stream's version is unknown until the entry changes.
     */
    async confirmBeginning(stream: string): Promise<void> {
        for (const known of this.beginnings.values()) {
            const beginning = known.find(candidate => candidate.stream === stream);
            if (beginning === undefined) {
                continue;
            }
            const { upstream, at } = beginning;
            await this.hasRestarted(upstream);
            // An answer that the entry of the beginning agrees with is of the same process.
            const start = this.newStarts.get(upstream.id)?.start ?? upstream.bornMilliseconds;
            const mayBeOther = start !== upstream.bornMilliseconds && at >= start - ClockToleranceMilliseconds;
            if (mayBeOther && !this.corrected.has(stream)) {
                this.noteCorrected({ stream, service: upstream.service, softwareVersion: UnknownVersion });
            }
            return;
        }
    }

    /** The version of the process that a beginning belongs to, by what is known now. */
    attribute({ upstream, at }: StreamBeginning): string {
        const current = this.parts.view.tryGetUpstream(upstream.id);
        if (current === undefined || current.softwareVersion === upstream.softwareVersion) {
            return upstream.softwareVersion;
        }
        if (current.bornMilliseconds === 0 || current.bornMilliseconds === upstream.bornMilliseconds) {
            return UnknownVersion;
        }
        if (at < current.bornMilliseconds - ClockToleranceMilliseconds) {
            return upstream.softwareVersion;
        }
        return at > current.bornMilliseconds + ClockToleranceMilliseconds ? current.softwareVersion : UnknownVersion;
    }

    /** Whether the upstream is known to have restarted since the start that its entry gives. */
    isKnownRestarted({ id, bornMilliseconds }: types.UpstreamEntry): boolean {
        const known = this.newStarts.get(id);
        return known !== undefined && known.start !== bornMilliseconds && this.parts.clock.now() < known.until;
    }

    /**
     * Asks the upstream, if it may have, whether it has restarted since the start that its entry gives. One that doesn't answer in time has not:
     * most often it can't serve a stream either.
     */
    async hasRestarted(upstream: types.UpstreamEntry): Promise<boolean> {
        const { id, bornMilliseconds } = upstream;
        if (bornMilliseconds === 0 || !this.parts.mayHaveRestarted(upstream)) {
            return false;
        }
        let question = this.questions.get(id);
        if (question === undefined) {
            question = this.parts.startReader.read(upstream).finally(() => this.questions.delete(id));
            this.questions.set(id, question);
        }
        const start = await question;
        if (start === undefined || start === bornMilliseconds) {
            this.newStarts.delete(id);
            return false;
        }
        this.newStarts.set(id, { start, until: this.parts.clock.now() + AnswerMilliseconds });
        return true;
    }

    private correct(): void {
        [...this.beginnings.keys()].forEach(id => this.correctAt(id));
    }

    /** Drops the beginnings at upstreams where no stream has begun lately. */
    private forgetExpired(now: core.MonotonicMilliseconds): void {
        if (now - this.forgottenAt < ForgetIntervalMilliseconds) {
            return;
        }
        this.forgottenAt = now;
        for (const [id, known] of this.beginnings) {
            if (known.every(({ keptSince }) => now - keptSince >= MemoryMilliseconds)) {
                this.beginnings.delete(id);
            }
        }
    }

    private correctAt(id: core.UpstreamId): void {
        const known = this.beginnings.get(id) ?? [];
        const current = this.parts.view.tryGetUpstream(id);
        if (current === undefined || known.every(({ upstream }) => isSameProcess(upstream, current))) {
            return;
        }
        // Those by the present entry may still have to be corrected when the next one comes.
        const other = known.filter(({ upstream }) => !isSameProcess(upstream, current));
        this.beginnings.set(
            id,
            known.filter(beginning => !other.includes(beginning)),
        );
        for (const beginning of other) {
            const softwareVersion = this.attribute(beginning);
            const isRecorded = !this.corrected.has(beginning.stream);
            if (isRecorded && softwareVersion === beginning.upstream.softwareVersion) {
                continue;
            }
            if (beginning.onCorrected !== undefined) {
                beginning.onCorrected(softwareVersion);
            }
            else {
                this.noteCorrected({ stream: beginning.stream, service: current.service, softwareVersion });
            }
        }
    }

    private noteCorrected(corrected: CorrectedStream): void {
        const { stream, softwareVersion } = corrected;
        this.corrected.set(stream, softwareVersion);
        this.parts.clock.schedule(MemoryMilliseconds, () => this.corrected.delete(stream));
        this.listeners.forEach(listener => listener(corrected));
    }
}

function isSameProcess(left: types.UpstreamEntry, right: types.UpstreamEntry): boolean {
    return left.bornMilliseconds === right.bornMilliseconds && left.softwareVersion === right.softwareVersion;
}
