import type * as types from "./types.js";

/**
 * The only source of time. Code that decides or waits takes a clock, so that tests run in virtual time and a fixed
 * seed always gives the same run.
 */
export abstract class Clock {
    /** Monotonic time; a wall clock that steps back must never lengthen a lease. */
    abstract now(): types.MonotonicMilliseconds;
    /** Wall time, for retention and display. */
    abstract wallNow(): types.WallMilliseconds;
    /** Runs `action` once after `milliseconds`; the returned function stops it. */
    abstract schedule(milliseconds: number, action: () => void): () => void;

    /** Resolves after `milliseconds`, or at once when `signal` is aborted; tells which by `signal.aborted`. */
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
    readonly at: types.MonotonicMilliseconds;
    readonly order: number;
    readonly action: () => void;
}

/**
 * A clock that moves only when a test tells it to. Actions due at the same instant run in the order in which they
 * were scheduled, so that a run is the same every time.
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
        this.pending.set(order, { at: this.current + Math.max(0, milliseconds), order, action });
        return () => this.pending.delete(order);
    }

    /** Number of actions that wait. */
    getPendingCount(): number {
        return this.pending.size;
    }

    /** Moves time forward by `milliseconds`, running what falls due and letting promises settle in between. */
    async advance(milliseconds: number): Promise<void> {
        const end = this.current + milliseconds;
        await settle();
        for (;;) {
            const next = this.tryGetNext(end);
            if (next === undefined) {
                break;
            }
            this.pending.delete(next.order);
            this.current = Math.max(this.current, next.at);
            next.action();
            await settle();
        }
        this.current = end;
    }

    private tryGetNext(end: types.MonotonicMilliseconds): ScheduledAction | undefined {
        let best: ScheduledAction | undefined;
        for (const candidate of this.pending.values()) {
            const isEarlier =
                best === undefined ||
                candidate.at < best.at ||
                (candidate.at === best.at && candidate.order < best.order);
            if (candidate.at <= end && isEarlier) {
                best = candidate;
            }
        }
        return best;
    }
}

/** Lets promise callbacks run until the queue is quiet; a macrotask turn drains the whole microtask queue. */
async function settle(): Promise<void> {
    for (let turn = 0; turn < 3; turn++) {
        await new Promise<void>(resolve => setImmediate(resolve));
    }
}
