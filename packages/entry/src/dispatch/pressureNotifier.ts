import type * as core from "@boragedale/core";

export interface Pressure {
    readonly inFlight: number;
    readonly queued: number;
    /** Shortest time between two tokens seen there in the last second, in milliseconds. */
    readonly fastestGap?: number;
}

export interface PressureNotifierOptions {
    readonly clock: core.Clock;
    readonly read: (upstream: core.UpstreamId) => Pressure;
    readonly send: (upstream: core.UpstreamId, pressure: Pressure) => void;
}

/** Shortest time between two rounds of notices, in milliseconds: less than a step of an engine. */
const RoundInterval = 20;
/** The home forgets what it isn't told again for five seconds. */
const RepeatInterval = 2_000;

interface Told {
    readonly pressure: Pressure;
    readonly at: core.MonotonicMilliseconds;
}

/**
 * Tells the homes of upstreams how much online work this instance has there. A rise is told at once, since batch
 * streams must give way while the burst is young; but rounds are 20 ms apart and small changes are left out, since a
 * notice for each request would make the control traffic grow with the load.
 */
export class PressureNotifier implements Disposable {
    private readonly changed = new Set<core.UpstreamId>();
    private readonly told = new Map<core.UpstreamId, Told>();
    private lastRoundAt = -Infinity;
    private stopTimer: (() => void) | undefined;
    private stopRepeating: (() => void) | undefined;

    constructor(private readonly options: PressureNotifierOptions) {}

    onChange(upstream: core.UpstreamId): void {
        if (!this.isWorthTelling(upstream)) {
            return;
        }
        this.changed.add(upstream);
        if (this.stopTimer !== undefined) {
            return;
        }
        const rest = this.lastRoundAt + RoundInterval - this.options.clock.now();
        if (rest <= 0) {
            this.sendRound();
        }
        else {
            this.stopTimer = this.options.clock.schedule(rest, () => this.sendRound());
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
        upstreams.forEach(upstream => this.tell(upstream));
    }

    private tell(upstream: core.UpstreamId): void {
        const pressure = this.options.read(upstream);
        if (pressure.inFlight + pressure.queued === 0) {
            this.told.delete(upstream);
        }
        else {
            this.told.set(upstream, { pressure, at: this.options.clock.now() });
            this.scheduleRepeat();
        }
        this.options.send(upstream, pressure);
    }

    private scheduleRepeat(): void {
        this.stopRepeating ??= this.options.clock.schedule(RepeatInterval / 2, () => {
            this.stopRepeating = undefined;
            const oldest = this.options.clock.now() - RepeatInterval;
            for (const [upstream, told] of this.told) {
                if (told.at <= oldest) {
                    this.tell(upstream);
                }
            }
            if (this.told.size > 0) {
                this.scheduleRepeat();
            }
        });
    }

    /** Any rise by a quarter, the first and the last request, and a fall by half. */
    private isWorthTelling(upstream: core.UpstreamId): boolean {
        const now = sum(this.options.read(upstream));
        const before = sum(this.told.get(upstream)?.pressure);
        return now === 0 ? before > 0 : now >= before * 1.25 || now <= before / 2;
    }
}

function sum(pressure: Pressure | undefined): number {
    return pressure === undefined ? 0 : pressure.inFlight + pressure.queued;
}
