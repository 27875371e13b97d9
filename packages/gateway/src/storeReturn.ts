import type * as core from "@boragedale/core";
import type * as fleetView from "./fleetView.js";
import * as gatewayLog from "./gatewayLog.js";
import type * as storeWatcher from "./storeWatcher.js";

/** Restarts of the watches are at least this far apart: a store that refuses calls for their number must not get more of them. */
const RestartSpacingMilliseconds = 1_000;

/**
 * Has the watches begin anew when the store answers after a call that failed. Connections go silent together, and a watch, which
 * waits for long, is the last to notice: meanwhile this instance would route by an old configuration and use upstreams that are
 * leaving. Every call counts, whatever it was for, since the first one to find the silence has its connection replaced, and those
 * after it succeed.
 */
export class StoreReturn {
    private readonly watchers: storeWatcher.StoreWatcher[] = [];
    private restartedAt: core.MonotonicMilliseconds = -Infinity;
    private isRestartDue = false;

    constructor(
        private readonly view: fleetView.FleetView,
        private readonly clock: core.Clock,
        private readonly log: gatewayLog.GatewayLog,
    ) {}

    follow(watcher: storeWatcher.StoreWatcher): void {
        this.watchers.push(watcher);
    }

    /** Learns from the end of a call to the store, as it ended and how long it took. */
    noteStoreCall(call: string, outcome: string, milliseconds: number): void {
        const now = this.clock.now();
        if (!this.view.noteStoreCall(outcome, now - milliseconds, now)) {
            return;
        }
        this.log.note(gatewayLog.GatewayEvent.StoreReturned, { call, outcome });
        if (this.isRestartDue) {
            return;
        }
        const wait = this.restartedAt + RestartSpacingMilliseconds - now;
        if (wait <= 0) {
            this.restart();
            return;
        }
        this.isRestartDue = true;
        this.clock.schedule(wait, () => this.restart());
    }

    private restart(): void {
        this.isRestartDue = false;
        this.restartedAt = this.clock.now();
        this.watchers.forEach(watcher => watcher.restart());
    }
}
