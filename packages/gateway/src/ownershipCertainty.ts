/**
 * Whether this member is certain to own a submission, and to know all that is listed of it. Others take a submission over only while
 * its owner has no entry in the store, or if the owner asks them to. Pure.
 */
export class OwnershipCertainty {
    /** Whether another member was asked to take over, and may still do so: until the next write of this member. */
    private isHandoverRequested = false;
    /** Whether a write was sent whose outcome is not known yet. */
    private isWriteUncertain = false;

    constructor(
        /** The listing period in which the store last acknowledged this member as the owner; undefined if it was not listed. */
        private acknowledgedIn: number | undefined,
        /** Returns the present listing period; undefined if this member may not be listed. */
        private readonly getListingPeriod: () => number | undefined,
    ) {}

    /** Whether nobody can have taken the submission over. */
    isOwner(): boolean {
        const period = this.getListingPeriod();
        return period !== undefined && period === this.acknowledgedIn && !this.isHandoverRequested;
    }

    /** Whether, besides, no result can be listed that this member doesn't know of. */
    knowsAllResults(): boolean {
        return this.isOwner() && !this.isWriteUncertain;
    }

    /** Whether another member was asked to take over and may still do so. */
    mayBeHandedOver(): boolean {
        return this.isHandoverRequested;
    }

    /** Call before another member is asked to take over. */
    noteHandoverRequest(): void {
        this.isHandoverRequested = true;
    }

    /** Call when a head that names this member has been read. `period` is the listing period in which the read began. */
    noteRead(period: number | undefined): void {
        this.acknowledgedIn = period;
    }

    /** Call before each try of a write. Returns the listing period, to be passed on with the outcome. */
    noteWriteSent(): number | undefined {
        this.isWriteUncertain = true;
        return this.getListingPeriod();
    }

    /** Call when a write was applied. A takeover that was requested before expects an earlier revision, and fails from now on. */
    noteWritten(period: number | undefined): void {
        this.isWriteUncertain = false;
        this.isHandoverRequested = false;
        this.acknowledgedIn = period;
    }

    /** Call when a write, with all its tries, was certainly not applied. */
    noteNotWritten(): void {
        this.isWriteUncertain = false;
    }
}
