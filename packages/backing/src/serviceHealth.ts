/** Whether the service answers. */
export enum HealthState {
    Up = "Up",
    Down = "Down",
}

/** A single call without an answer may be a fault of its connection; several consecutive ones are not. */
const ConsecutiveFailuresUntilDown = 3;
const MinimumProbeMilliseconds = 250;
const MaximumProbeMilliseconds = 2_000;

/**
 * Decides when the service counts as down.
 *
 * Without this, in an outage under full traffic, every caller would wait for a timeout before it learns that nothing
 * was run, and every instance would keep sending calls to a service that is trying to recover. While the service is
 * down, calls fail immediately and each instance sends one probe per interval. The interval doubles up to 2 s: with 400
 * instances these are 200 reads a second, a tenth of the service's rate, and a recovery is noticed within that time.
 */
export class ServiceHealth {
    private state = HealthState.Up;
    private consecutiveFailures = 0;
    private probeIntervalMilliseconds = MinimumProbeMilliseconds;

    getState(): HealthState {
        return this.state;
    }

    /** Records that the service answered, even with an error. Returns true if it was down until now. */
    recordAnswer(): boolean {
        const wasDown = this.state === HealthState.Down;
        this.state = HealthState.Up;
        this.consecutiveFailures = 0;
        this.probeIntervalMilliseconds = MinimumProbeMilliseconds;
        return wasDown;
    }

    /** Records a call without an answer. Returns true if the service counts as down from now on. */
    recordMissingAnswer(): boolean {
        this.consecutiveFailures++;
        if (this.state === HealthState.Down || this.consecutiveFailures < ConsecutiveFailuresUntilDown) {
            return false;
        }
        this.state = HealthState.Down;
        return true;
    }

    /**
     * Returns the milliseconds until the next probe and doubles the interval. `random` (0 to 1) spreads the probes, so
     * that the instances don't send them simultaneously.
     */
    advanceProbeDelay(random: number): number {
        const delay = this.probeIntervalMilliseconds * (0.75 + random / 2);
        this.probeIntervalMilliseconds = Math.min(MaximumProbeMilliseconds, this.probeIntervalMilliseconds * 2);
        return delay;
    }

    /** Time after which a retry is useful. */
    getRetryAfterMilliseconds(): number {
        return this.probeIntervalMilliseconds;
    }
}
