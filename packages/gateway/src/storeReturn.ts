import type * as core from "@boragedale/core";
import type * as fleetView from "./fleetView.js";
import * as gatewayLog from "./gatewayLog.js";
import type * as storeWatcher from "./storeWatcher.js";

/**
 * Minimum interval between restarts of the watches: a store that rejects calls because there are too many must not get
 * more of them.
 */
const MinimumRestartIntervalMilliseconds = 1_000;

/**
 * Restarts the watches when the store answers after a failed call. Connections go silent together, and a watch, which
 * waits for long, is the last call to notice. Until then this instance would route by an old configuration and use
 * upstreams that are leaving. Calls of every purpose are taken into account, since the first one that finds a silent
 * connection has it replaced, and those after it succeed.
 */
export class StoreRecovery {
    private readonly watchers: storeWatcher.StoreWatcher[] = [];
    private restartedAt: core.MonotonicMilliseconds = -Infinity;
    private isRestartDue = false;

    constructor(
        private readonly view: fleetView.FleetView,
        private readonly clock: core.Clock,
        private readonly log: gatewayLog.GatewayLog,
    ) {}

    addWatcher(watcher: storeWatcher.StoreWatcher): void {
        this.watchers.push(watcher);
    }

    /** Processes the outcome and duration of a store call that has ended. */
    noteStoreCall(call: string, outcome: string, milliseconds: number): void {
        const now = this.clock.now();
        if (!this.view.noteStoreCall(outcome, now - milliseconds, now)) {
            return;
        }
        this.log.recordEvent(gatewayLog.GatewayEvent.StoreReturned, { call, outcome });
        if (this.isRestartDue) {
            return;
        }
        const wait = this.restartedAt + MinimumRestartIntervalMilliseconds - now;
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
