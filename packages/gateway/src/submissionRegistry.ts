import type * as core from "@boragedale/core";
import * as protocol from "@boragedale/protocol";
import * as gatewayLog from "./gatewayLog.js";
import type * as itemScheduler from "./itemScheduler.js";
import type * as memberDirectory from "./memberDirectory.js";
import type * as metadataStore from "./metadataStore.js";
import * as ownedSubmission from "./ownedSubmission.js";
import * as ownershipCertainty from "./ownershipCertainty.js";
import type * as registration from "./registration.js";
import type * as records from "./submissionRecords.js";
import type * as submissionStore from "./submissionStore.js";
import type * as types from "./types.js";

/** Dependencies of `SubmissionService` and the classes that it uses. */
export interface SubmissionServiceParts {
    readonly store: metadataStore.MetadataStore;
    readonly submissionStore: submissionStore.SubmissionStore;
    readonly members: memberDirectory.MemberDirectory;
    readonly registration: registration.Registration;
    readonly network: protocol.PeerNetwork;
    readonly scheduler: itemScheduler.ItemScheduler;
    readonly clock: core.Clock;
    readonly log: gatewayLog.GatewayLog;
    /** Time for which a submission can be read after its acceptance. */
    readonly retentionMilliseconds: number;
}

const EndedText = "another member ended it";

/** Timeout of a request that a peer take over a submission. */
export const HandoverTimeoutMilliseconds = 1_200;

/**
 * The submissions that this member owns, and the known owners of others. Shared by the classes that accept, read and take over
 * submissions.
 */
export class SubmissionRegistry {
    private readonly owned = new Map<string, ownedSubmission.OwnedSubmission>();
    private readonly owners = new Map<string, core.InstanceId>();
    /** Submissions that others have ended, by the markers that the store lists. */
    private readonly ended = new Set<string>();
    private readonly peersShuttingDown = new Set<core.InstanceId>();
    /** Set when this member shuts down. It then takes over no submissions and accepts new ones only if no peer does. */
    isShuttingDown = false;

    constructor(readonly parts: SubmissionServiceParts) {
        parts.network.handle(protocol.MessageKind.SubmissionOwned, async (message, from) => {
            this.owners.set(message.submission, from);
            const own = this.owned.get(message.submission);
            // After a handover, the reply tells this member, without a call to the store.
            if (own !== undefined && !own.mayBeHandedOver()) {
                await this.readHead(message.submission);
            }
            return undefined;
        });
        parts.network.handle(protocol.MessageKind.Leaving, async (message, from) => {
            this.peersShuttingDown.add(from);
            return undefined;
        });
    }

    tryGetOwned(submission: string): ownedSubmission.OwnedSubmission | undefined {
        return this.owned.get(submission);
    }

    getAllOwned(): readonly ownedSubmission.OwnedSubmission[] {
        return [...this.owned.values()];
    }

    /** Whether an owner of the submission is known. */
    isKnown(submission: string): boolean {
        return this.owned.has(submission) || this.owners.has(submission);
    }

    tryGetOwner(submission: string): core.InstanceId | undefined {
        return this.owners.get(submission);
    }

    setOwner(submission: string, owner: core.InstanceId): void {
        this.owners.set(submission, owner);
    }

    forgetOwner(submission: string): void {
        this.owners.delete(submission);
    }

    /** Forgets removed members as owners. */
    forgetOwners(removed: readonly core.InstanceId[]): void {
        const removedMembers = new Set(removed);
        for (const [submission, owner] of this.owners) {
            if (removedMembers.has(owner)) {
                this.owners.delete(submission);
            }
        }
    }

    /** Call when the end marker of a submission is listed, and when it is removed. */
    noteEndMarker(submission: string, isListed: boolean): void {
        if (!isListed) {
            this.ended.delete(submission);
            return;
        }
        this.ended.add(submission);
        this.owned.get(submission)?.giveUpOwnership(EndedText);
    }

    /**
     * Starts to run a submission at this member, and notifies the peers. Does nothing if it has been ended since the write that made
     * this member the owner, whose reply may be late.
     */
    startOwning(
        id: string,
        stored: submissionStore.StoredHead,
        items: readonly types.BatchItem[],
        results: readonly types.BatchResult[],
        /** This member's listing period when it sent the write that made it the owner. */
        period: number | undefined,
        progress: readonly records.ItemProgress[] = [],
    ): void {
        if (this.ended.has(id)) {
            this.parts.log.recordEvent(gatewayLog.GatewayEvent.SubmissionLost, { submission: id, reason: EndedText });
            return;
        }
        const submission = new ownedSubmission.OwnedSubmission({
            id,
            stored,
            items,
            results,
            store: this.parts.submissionStore,
            clock: this.parts.clock,
            certainty: new ownershipCertainty.OwnershipCertainty(period, () =>
                this.parts.registration.tryGetListingPeriod(),
            ),
            onOwnershipLost: reason => this.handleOwnershipLost(submission, reason),
            onListed: (count, calls) =>
                this.parts.log.recordEvent(gatewayLog.GatewayEvent.ResultsListed, { submission: id, count, calls }),
        });
        submission.setProgress(progress);
        this.owned.set(id, submission);
        this.owners.delete(id);
        for (const peer of this.parts.network.getConnectedPeers()) {
            this.parts.network.notify(
                peer,
                { kind: protocol.MessageKind.SubmissionOwned, submission: id },
                protocol.Lane.Control,
            );
        }
        if (submission.isActive() && !submission.isComplete()) {
            this.parts.scheduler.add(submission);
        }
    }

    /** Reads a submission's head, and gives up this member's ownership if another member has taken it over. */
    async readHead(submission: string): Promise<metadataStore.StoreResult<submissionStore.StoredHead | undefined>> {
        const { registration, submissionStore: submissions, members } = this.parts;
        const period = registration.tryGetListingPeriod();
        const found = await submissions.readHead(submission);
        if (found.ok && found.value !== undefined) {
            this.tryGetOwned(submission)?.noteStoredHead(found.value, members.self.id, period);
        }
        return found;
    }

    /**
     * Gives up the submissions that others have taken over. Call after a time in which this member may not have been listed;
     * otherwise it would go on running them until its next write.
     */
    async checkAllOwnerships(): Promise<void> {
        for (const own of this.getAllOwned()) {
            const isListed = this.parts.registration.tryGetListingPeriod() !== undefined;
            if (isListed && own.needsOwnershipCheck() && !(await this.readHead(own.getId())).ok) {
                return;
            }
        }
    }

    /** Removes a complete submission, which needs no owner any more. */
    remove(submission: ownedSubmission.OwnedSubmission): void {
        this.owned.delete(submission.getId());
    }

    /** Chooses a connected peer that is not shutting down, to accept or take over a submission from this member. */
    chooseActivePeer(except: ReadonlySet<core.InstanceId> = new Set()): core.InstanceId | undefined {
        const peers = this.parts.network
            .getConnectedPeers()
            .filter(peer => !this.peersShuttingDown.has(peer) && !except.has(peer));
        return peers[Math.floor(Math.random() * peers.length)];
    }

    private handleOwnershipLost(submission: ownedSubmission.OwnedSubmission, reason: string): void {
        const id = submission.getId();
        if (this.owned.get(id) === submission) {
            this.owned.delete(id);
        }
        this.parts.scheduler.remove(submission);
        this.parts.log.recordEvent(gatewayLog.GatewayEvent.SubmissionLost, { submission: id, reason });
    }
}
