import type * as core from "@boragedale/core";
import * as silenceTimers from "./silenceTimer.js";

/** Watches whether an attempt's upstream is silent. */
export class AttemptSilence {
    private readonly timer: silenceTimers.SilenceTimer;
    private lastDataAt: core.MonotonicMilliseconds;
    private hasReport = false;

    constructor(
        private readonly clock: core.Clock,
        onSilent: () => void,
    ) {
        this.timer = new silenceTimers.SilenceTimer(clock, onSilent);
        this.lastDataAt = clock.now();
    }

    /** Starts the time anew, since data has arrived. Without a limit, a silence isn't reported. */
    noteData(limitMilliseconds: number | undefined): void {
        this.lastDataAt = this.clock.now();
        if (limitMilliseconds !== undefined) {
            this.timer.restart(limitMilliseconds);
        }
    }

    /** Reports the silence once more after the given time, unless data arrives before. */
    reportAgain(milliseconds: number): void {
        this.timer.restart(milliseconds);
    }

    getLastDataAt(): core.MonotonicMilliseconds {
        return this.lastDataAt;
    }

    getSilentMilliseconds(): number {
        return Math.round(this.clock.now() - this.lastDataAt);
    }

    /** Whether this is the first call, so that a line is logged once for each attempt. */
    isFirstReport(): boolean {
        const isFirst = !this.hasReport;
        this.hasReport = true;
        return isFirst;
    }

    stop(): void {
        this.timer.stop();
    }
}
