import type * as core from "@boragedale/core";
import type * as types from "./types.js";

/**
 * Changes reach an instance out of order by less than this: each watch gathers changes separately, and a call may fail
 * twice.
 */
const SettleMilliseconds = 5_000;

/** The revision up to which no more changes are expected: the highest one that was known some seconds ago. Pure. */
export class SettledRevision {
    private settled: types.Revision = 0;
    /** Known since `knownAt`; settled after `SettleMilliseconds`. */
    private known: types.Revision = 0;
    private knownAt: core.MonotonicMilliseconds = -Infinity;

    /** Records the highest known revision after each change. */
    note(revision: types.Revision, now: core.MonotonicMilliseconds): void {
        if (revision > this.known && this.isKnownLongEnough(now)) {
            this.settled = Math.max(this.settled, this.known);
            this.known = revision;
            this.knownAt = now;
        }
    }

    /** Records that all changes up to the revision have been seen. */
    noteComplete(revision: types.Revision): void {
        this.settled = Math.max(this.settled, revision);
    }

    get(now: core.MonotonicMilliseconds): types.Revision {
        return this.isKnownLongEnough(now) ? Math.max(this.settled, this.known) : this.settled;
    }

    private isKnownLongEnough(now: core.MonotonicMilliseconds): boolean {
        return now - this.knownAt >= SettleMilliseconds;
    }
}
