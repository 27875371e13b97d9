import type * as types from "./types.js";

/**
 * The only source of time. Code that depends on time or waits is given a clock, so that tests can run in virtual time and are
 * reproducible from a fixed seed.
 */
export abstract class Clock {
    /** Monotonic time, used for leases among others: a wall clock that is set back would lengthen them. */
    abstract now(): types.MonotonicMilliseconds;
    /** Wall time, for retention and display. */
    abstract wallNow(): types.WallMilliseconds;
    /** Runs `action` once after `milliseconds`. The returned function cancels it. */
    abstract schedule(milliseconds: number, action: () => void): () => void;

    /** Resolves after `milliseconds`, or as soon as `signal` is aborted; `signal.aborted` distinguishes the two. */
    async sleep(milliseconds: number, signal?: AbortSignal): Promise<void> {
        if (signal?.aborted === true) {
            return;
        }
        await new Promise<void>(resolve => {
            const finish = (): void => {
                stop();
                signal?.removeEventListener("abort", finish);
                resolve();
            };
            const stop = this.schedule(milliseconds, finish);
            signal?.addEventListener("abort", finish, { once: true });
        });
    }
}

/** The machine's clock. */
export class SystemClock extends Clock {
    override now(): types.MonotonicMilliseconds {
        return performance.now();
    }

    override wallNow(): types.WallMilliseconds {
        return Date.now();
    }

    override schedule(milliseconds: number, action: () => void): () => void {
        const timer = setTimeout(action, milliseconds);
        return () => clearTimeout(timer);
    }
}

interface ScheduledAction {
    readonly dueAt: types.MonotonicMilliseconds;
    readonly order: number;
    readonly action: () => void;
}

/**
 * A clock for tests that moves only when `advance` is called. Actions due at the same time run in the order in which they
 * were scheduled, so that runs are reproducible.
 */
export class VirtualClock extends Clock {
    private current: types.MonotonicMilliseconds = 0;
    private nextOrder = 0;
    private readonly pending = new Map<number, ScheduledAction>();

    override now(): types.MonotonicMilliseconds {
        return this.current;
    }

    override wallNow(): types.WallMilliseconds {
        return 1_700_000_000_000 + this.current;
    }

    override schedule(milliseconds: number, action: () => void): () => void {
        const order = this.nextOrder++;
        this.pending.set(order, { dueAt: this.current + Math.max(0, milliseconds), order, action });
        return () => this.pending.delete(order);
    }

    /** Number of scheduled actions that have not run. */
    getPendingCount(): number {
        return this.pending.size;
    }

    /** Moves time forward by `milliseconds`, running the actions that become due and letting promises settle after each. */
    async advance(milliseconds: number): Promise<void> {
        const end = this.current + milliseconds;
        await settle();
        for (;;) {
            const next = this.tryGetNextDue(end);
            if (next === undefined) {
                break;
            }
            this.pending.delete(next.order);
            this.current = Math.max(this.current, next.dueAt);
            next.action();
            await settle();
        }
        this.current = end;
    }

    private tryGetNextDue(end: types.MonotonicMilliseconds): ScheduledAction | undefined {
        let earliest: ScheduledAction | undefined;
        for (const candidate of this.pending.values()) {
            const isEarlier =
                earliest === undefined ||
                candidate.dueAt < earliest.dueAt ||
                (candidate.dueAt === earliest.dueAt && candidate.order < earliest.order);
            if (candidate.dueAt <= end && isEarlier) {
                earliest = candidate;
            }
        }
        return earliest;
    }
}

/** Lets pending promise callbacks run: each macrotask turn drains the whole microtask queue. */
async function settle(): Promise<void> {
    for (let turn = 0; turn < 3; turn++) {
        await new Promise<void>(resolve => setImmediate(resolve));
    }
}
