import type * as core from "@boragedale/core";
import * as decisions from "@boragedale/decisions";
import type * as fleetView from "./fleetView.js";
import type * as ownedSubmission from "./ownedSubmission.js";
import type * as types from "./types.js";

/** Estimates when the items of this member are due and how long they still run, from the finished items of their route. */
export class ItemEstimates {
    /** By route name. */
    private readonly lengthEstimates = new Map<string, decisions.ItemDurationEstimator>();

    constructor(
        private readonly view: fleetView.FleetView,
        private readonly clock: core.Clock,
    ) {}

    /** Returns a function that estimates when an item is due and how long it still has to run. */
    createEstimator(): (owned: ownedSubmission.OwnedItem) => decisions.ItemEstimate {
        const wallNow = this.clock.wallNow();
        const routes = this.view.getRoutes();
        const routeBySubmission = new Map<ownedSubmission.OwnedSubmission, types.Route | undefined>();
        return owned => {
            const head = owned.submission.getHead();
            if (!routeBySubmission.has(owned.submission)) {
                routeBySubmission.set(owned.submission, routes?.tryFind(head.host, head.target));
            }
            const route = routeBySubmission.get(owned.submission);
            const dueAt = head.acceptedAt + (route?.completionTargetMilliseconds ?? 0);
            return {
                dueInMilliseconds: dueAt - wallNow,
                remainingMilliseconds: this.lengthEstimates.get(route?.name ?? "")?.estimate(owned.texts.length) ?? 0,
                eventsSoFar: owned.texts.length,
            };
        };
    }

    /** Records a finished item with its total number of events, of which the last run produced `runEvents`. */
    recordLength(route: types.Route, events: number, runEvents: number, milliseconds: number): void {
        const length = this.lengthEstimates.get(route.name) ?? new decisions.ItemDurationEstimator();
        this.lengthEstimates.set(route.name, length);
        length.record(events, runEvents, milliseconds);
    }
}
