import * as decisions from "@boragedale/decisions";

interface ScheduledAction {
    readonly at: number;
    readonly action: () => void;
}

/** Virtual time without promises, for millions of engine steps per run; `core.VirtualClock` isn't designed for that. */
export class Simulation {
    private readonly pending = new decisions.PriorityQueue<ScheduledAction>();
    private current = 0;

    /** Milliseconds since the start of the run. */
    now(): number {
        return this.current;
    }

    schedule(milliseconds: number, action: () => void): void {
        const at = this.current + Math.max(0, milliseconds);
        this.pending.push({ at, action }, at);
    }

    /** Runs `action` every `milliseconds`, first after one interval. */
    repeat(milliseconds: number, action: () => void): void {
        this.schedule(milliseconds, () => {
            action();
            this.repeat(milliseconds, action);
        });
    }

    /** Runs the next action due at or before `until`; returns false if there is none. */
    runNext(until: number): boolean {
        const next = this.pending.peek();
        if (next === undefined || next.at > until) {
            this.current = until;
            return false;
        }
        this.pending.pop();
        this.current = next.at;
        next.action();
        return true;
    }

    run(until: number): void {
        while (this.runNext(until)) {
            // Actions may schedule further actions.
        }
    }
}
