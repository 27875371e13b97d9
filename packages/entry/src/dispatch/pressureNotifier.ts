import type * as core from "@boragedale/core";

export interface Pressure {
    readonly inFlight: number;
    readonly queued: number;
    /** Shortest time between two tokens that were seen on the upstream in the last second, in milliseconds. */
    readonly fastestGap?: number;
}

export interface PressureNotifierOptions {
    readonly clock: core.Clock;
    readonly read: (upstream: core.UpstreamId) => Pressure;
    readonly send: (upstream: core.UpstreamId, pressure: Pressure) => void;
}

/** Minimum time between two rounds of messages. Shorter than one step of an engine. */
const RoundIntervalMilliseconds = 20;
/** How often unchanged pressure is sent again. A coordinator drops reports that aren't repeated for five seconds. */
const RepeatIntervalMilliseconds = 2_000;

interface SentPressure {
    readonly pressure: Pressure;
    readonly at: core.MonotonicMilliseconds;
}

/**
 * Reports this instance's online work on each upstream to the upstream's coordinator. An increase is sent at once,
 * because batch streams must give way early in a burst. Rounds are at least 20 ms apart and small changes are not sent,
 * because a message for each request would make the control traffic grow with the load.
 */
export class PressureNotifier implements Disposable {
    private readonly changed = new Set<core.UpstreamId>();
    private readonly lastSent = new Map<core.UpstreamId, SentPressure>();
    private lastRoundAt = -Infinity;
    private stopTimer: (() => void) | undefined;
    private stopRepeating: (() => void) | undefined;

    constructor(private readonly options: PressureNotifierOptions) {}

    onChange(upstream: core.UpstreamId): void {
        if (!this.isSignificant(upstream)) {
            return;
        }
        this.changed.add(upstream);
        if (this.stopTimer !== undefined) {
            return;
        }
        const remaining = this.lastRoundAt + RoundIntervalMilliseconds - this.options.clock.now();
        if (remaining <= 0) {
            this.sendRound();
        }
        else {
            this.stopTimer = this.options.clock.schedule(remaining, () => this.sendRound());
        }
    }

    [Symbol.dispose](): void {
        this.stopTimer?.();
        this.stopRepeating?.();
    }

    private sendRound(): void {
        this.stopTimer = undefined;
        this.lastRoundAt = this.options.clock.now();
        const upstreams = [...this.changed];
        this.changed.clear();
        upstreams.forEach(upstream => this.sendPressure(upstream));
    }

    private sendPressure(upstream: core.UpstreamId): void {
        const pressure = this.options.read(upstream);
        if (pressure.inFlight + pressure.queued === 0) {
            this.lastSent.delete(upstream);
        }
        else {
            this.lastSent.set(upstream, { pressure, at: this.options.clock.now() });
            this.scheduleRepeat();
        }
        this.options.send(upstream, pressure);
    }

    private scheduleRepeat(): void {
        this.stopRepeating ??= this.options.clock.schedule(RepeatIntervalMilliseconds / 2, () => {
            this.stopRepeating = undefined;
            const oldest = this.options.clock.now() - RepeatIntervalMilliseconds;
            for (const [upstream, sent] of this.lastSent) {
                if (sent.at <= oldest) {
                    this.sendPressure(upstream);
                }
            }
            if (this.lastSent.size > 0) {
                this.scheduleRepeat();
            }
        });
    }

    /** Whether to send a change: the first or the last request, an increase by a quarter, or a decrease by half. */
    private isSignificant(upstream: core.UpstreamId): boolean {
        const now = getTotal(this.options.read(upstream));
        const before = getTotal(this.lastSent.get(upstream)?.pressure);
        return now === 0 ? before > 0 : now >= before * 1.25 || now <= before / 2;
    }
}

function getTotal(pressure: Pressure | undefined): number {
    return pressure === undefined ? 0 : pressure.inFlight + pressure.queued;
}
