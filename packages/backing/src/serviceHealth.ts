/** Whether the service answers. */
export enum HealthState {
    Up = "Up",
    Down = "Down",
}

/** One call without an answer is an accident of its connection; several in a row, with none answered between, aren't. */
const FailuresUntilDown = 3;
const ShortestProbeMilliseconds = 250;
const LongestProbeMilliseconds = 2_000;

/**
 * Decides when the service counts as down.
 *
 * Load: an outage under full traffic. Harm prevented: each caller waits out a timeout of its own before it hears that
 * nothing was run, and every instance goes on sending calls at a service that struggles to come back. Limits: while it
 * is down calls fail at once and one probe goes out per interval, which doubles up to 2 s: with 400 instances that is
 * 200 reads a second, a tenth of the service's rate, and a return is noticed within that time.
 */
export class ServiceHealth {
    private state = HealthState.Up;
    private failures = 0;
    private probeMilliseconds = ShortestProbeMilliseconds;

    getState(): HealthState {
        return this.state;
    }

    /** Notes that the service answered, be it with an error. Returns true when it was down until now. */
    noteAnswer(): boolean {
        const wasDown = this.state === HealthState.Down;
        this.state = HealthState.Up;
        this.failures = 0;
        this.probeMilliseconds = ShortestProbeMilliseconds;
        return wasDown;
    }

    /** Notes a call without an answer. Returns true when the service counts as down from now on. */
    noteSilence(): boolean {
        this.failures++;
        if (this.state === HealthState.Down || this.failures < FailuresUntilDown) {
            return false;
        }
        this.state = HealthState.Down;
        return true;
    }

    /** Milliseconds until the next probe, spread by `random` (0 to 1) so that instances don't probe in step. */
    takeProbeDelay(random: number): number {
        const delay = this.probeMilliseconds * (0.75 + random / 2);
        this.probeMilliseconds = Math.min(LongestProbeMilliseconds, this.probeMilliseconds * 2);
        return delay;
    }

    /** When it makes sense to come back, in milliseconds. */
    getRetryAfter(): number {
        return this.probeMilliseconds;
    }
}
