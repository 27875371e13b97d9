import * as events from "node:events";
import type * as core from "@boragedale/core";

/** Aborts when the outer signal does or when the deadline passes; tells which. */
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
        // One signal may end all items of a chunk; node would take its listeners for a leak.
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
