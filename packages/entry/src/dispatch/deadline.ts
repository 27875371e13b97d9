import * as events from "node:events";
import type * as core from "@boragedale/core";

/** An abort signal that follows an outer signal and a deadline. `isPassed` returns whether the deadline has passed. */
export class Deadline implements Disposable {
    private readonly controller = new AbortController();
    private readonly stopTimer: () => void;
    private hasPassed = false;
    private readonly abort = (): void => this.controller.abort();

    constructor(
        clock: core.Clock,
        at: core.MonotonicMilliseconds,
        private readonly outer: AbortSignal,
    ) {
        this.stopTimer = clock.schedule(Math.max(0, at - clock.now()), () => {
            this.hasPassed = true;
            this.abort();
        });
        // All items of a chunk may share the signal. Without this, Node.js would warn about a listener leak.
        events.EventEmitter.setMaxListeners(0, outer);
        outer.addEventListener("abort", this.abort, { once: true });
        if (outer.aborted) {
            this.abort();
        }
    }

    get signal(): AbortSignal {
        return this.controller.signal;
    }

    isPassed(): boolean {
        return this.hasPassed;
    }

    [Symbol.dispose](): void {
        this.stopTimer();
        this.outer.removeEventListener("abort", this.abort);
    }
}
