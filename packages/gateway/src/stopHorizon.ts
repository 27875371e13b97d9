import type * as core from "@boragedale/core";
import * as decisions from "@boragedale/decisions";
import type * as requestProgress from "./requestProgress.js";
import * as types from "./types.js";

/** What determines how long a request may and usually does take. */
export type TimedRequest = Pick<requestProgress.ReadRequest, "route" | "head" | "arrivedAt">;

interface Run {
    readonly kind: string;
    readonly startedAt: core.MonotonicMilliseconds;
}

interface Wait {
    readonly request: TimedRequest;
    readonly end: () => void;
}

/** Timeout of submissions whose caller gives none. */
const DefaultSubmissionTimeoutMilliseconds = 4_000;
/** Interval at which the requests that wait are checked in a stop. */
const CheckMilliseconds = 50;

/**
 * Knows until when requests are answered once the process stops, and which can't end by then. Those are not passed on:
 * another gateway can take them at once, and here they would be cut off by the exit.
 */
export class StopHorizon implements Disposable {
    private readonly durations = new decisions.RecentDurations();
    private readonly running = new Set<Run>();
    private readonly waits = new Set<Wait>();
    private readonly endListeners = new Set<() => void>();
    private readonly stopTimers = new Set<() => void>();
    private latest: core.MonotonicMilliseconds = Infinity;

    constructor(private readonly clock: core.Clock) {}

    /** Time by which every request must be answered; infinite until the process stops. */
    getLatestEnd(): core.MonotonicMilliseconds {
        return this.latest;
    }

    isStopping(): boolean {
        return this.latest < Infinity;
    }

    /** Begins a stop: all requests must be answered by the given time, those in progress too. */
    limit(latest: core.MonotonicMilliseconds): void {
        this.latest = latest;
        this.schedule(latest - this.clock.now(), () => this.endListeners.forEach(listener => listener()));
        this.checkWaits();
    }

    [Symbol.dispose](): void {
        this.stopTimers.forEach(stop => stop());
    }

    /** Whether the request would be answered before the process exits if it began now. */
    canEnd(request: TimedRequest): boolean {
        return !this.isStopping() || this.endsInTime(request, this.getUsual(request.route.name));
    }

    /** Notes that a request begins to run. The result is called with whether its duration is that of a complete run. */
    startRun({ route }: TimedRequest): (isComplete: boolean) => void {
        const run = { kind: route.name, startedAt: this.clock.now() };
        this.running.add(run);
        return isComplete => {
            this.running.delete(run);
            if (isComplete) {
                const now = this.clock.now();
                this.durations.add(run.kind, now - run.startedAt, now);
            }
        };
    }

    /** Waits for `work`, or until the request can't end any more if it begins later. Resolves to undefined in that case. */
    async waitWhileItCanEnd<T>(request: TimedRequest, work: Promise<T>): Promise<T | undefined> {
        let end: () => void = () => undefined;
        const ended = new Promise<undefined>(resolve => (end = () => resolve(undefined)));
        const wait = { request, end };
        this.waits.add(wait);
        try {
            return await Promise.race([work, ended]);
        }
        finally {
            this.waits.delete(wait);
        }
    }

    /** Waits for `work`, or until all requests must be answered. Resolves to undefined in that case. */
    async waitUntilEnd<T>(work: Promise<T>): Promise<T | undefined> {
        if (this.clock.now() >= this.latest) {
            return undefined;
        }
        let remove: () => void = () => undefined;
        const ended = new Promise<undefined>(resolve => (remove = this.onEnd(() => resolve(undefined))));
        try {
            return await Promise.race([work, ended]);
        }
        finally {
            remove();
        }
    }

    /** Calls the listener when all requests must be answered. Returns a function that removes it. */
    onEnd(listener: () => void): () => void {
        this.endListeners.add(listener);
        return () => this.endListeners.delete(listener);
    }

    private endsInTime(request: TimedRequest, usual: number): boolean {
        const now = this.clock.now();
        // At its own deadline it is answered in any case.
        const allowed = request.arrivedAt + getTimeout(request) - now;
        return this.latest > now && now + Math.min(allowed, usual) <= this.latest;
    }

    /** The time in which nearly all requests of the kind end. Without a known duration, one may take all of its timeout. */
    private getUsual(kind: string): number {
        const now = this.clock.now();
        const ages = [...this.running].filter(run => run.kind === kind).map(run => now - run.startedAt);
        return this.durations.tryGetUpper(kind, ages) ?? Infinity;
    }

    private checkWaits(): void {
        const usual = new Map<string, number>();
        for (const { request, end } of [...this.waits]) {
            const kind = request.route.name;
            const milliseconds = usual.get(kind) ?? this.getUsual(kind);
            usual.set(kind, milliseconds);
            if (!this.endsInTime(request, milliseconds)) {
                end();
            }
        }
        if (this.clock.now() < this.latest) {
            this.schedule(CheckMilliseconds, () => this.checkWaits());
        }
    }

    private schedule(milliseconds: number, action: () => void): void {
        const stop = this.clock.schedule(milliseconds, () => {
            this.stopTimers.delete(stop);
            action();
        });
        this.stopTimers.add(stop);
    }
}

/** The time that the request may take by its route and by its caller. */
export function getTimeout({ route, head }: Omit<TimedRequest, "arrivedAt">): number {
    if (route.kind === types.RouteKind.Batch) {
        // The timeout of a route for submissions is that of their items.
        return head.timeoutMilliseconds ?? DefaultSubmissionTimeoutMilliseconds;
    }
    return Math.min(route.timeoutMilliseconds, head.timeoutMilliseconds ?? Infinity);
}
