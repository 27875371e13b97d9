import * as decisions from "@boragedale/decisions";

interface ScheduledAction {
    readonly at: number;
    readonly action: () => void;
}

/** Virtual time without promises: millions of engine steps a run, which `core.VirtualClock` is not made for. */
export class Simulation {
    private readonly pending = new decisions.PriorityQueue<ScheduledAction>();
    private current = 0;

    /** Milliseconds since the run began. */
    now(): number {
        return this.current;
    }

    schedule(milliseconds: number, action: () => void): void {
        const at = this.current + Math.max(0, milliseconds);
        this.pending.push({ at, action }, at);
    }

    /** Runs `action` every `milliseconds` from now on. */
    repeat(milliseconds: number, action: () => void): void {
        this.schedule(milliseconds, () => {
            action();
            this.repeat(milliseconds, action);
        });
    }

    run(until: number): void {
        for (let next = this.pending.peek(); next !== undefined && next.at <= until; next = this.pending.peek()) {
            this.pending.pop();
            this.current = next.at;
            next.action();
        }
        this.current = until;
    }
}
