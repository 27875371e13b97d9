import type * as ownedSubmission from "./ownedSubmission.js";
import type * as types from "./types.js";

/** Which upstreams may continue an item: those of the service and software version that sent its events so far. */

/** Whether the upstream may continue the item after its events so far, if it has any. */
export function isOriginOf(owned: ownedSubmission.OwnedItem, upstream: types.UpstreamEntry): boolean {
    if (owned.texts.length === 0) {
        return true;
    }
    const [service, softwareVersion] = owned.origin ?? [];
    return service === upstream.service && softwareVersion === upstream.softwareVersion;
}

/** Makes the item start over if the upstream may not continue it. Returns the number of events that are dropped. */
export function prepareProgress(owned: ownedSubmission.OwnedItem, upstream: types.UpstreamEntry): number {
    const droppedEvents = isOriginOf(owned, upstream) ? 0 : owned.texts.length;
    if (droppedEvents > 0) {
        owned.texts.length = 0;
        owned.lastEventId = undefined;
    }
    if (owned.texts.length === 0) {
        owned.origin = [upstream.service, upstream.softwareVersion];
    }
    return droppedEvents;
}
