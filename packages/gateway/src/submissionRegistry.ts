import type * as core from "@boragedale/core";
import * as protocol from "@boragedale/protocol";
import * as gatewayLog from "./gatewayLog.js";
import type * as itemScheduler from "./itemScheduler.js";
import type * as memberDirectory from "./memberDirectory.js";
import type * as metadataStore from "./metadataStore.js";
import * as ownedSubmission from "./ownedSubmission.js";
import type * as registration from "./registration.js";
import type * as records from "./submissionRecords.js";
import type * as submissionStore from "./submissionStore.js";
import type * as types from "./types.js";

export interface SubmissionServiceParts {
    readonly store: metadataStore.MetadataStore;
    readonly submissions: submissionStore.SubmissionStore;
    readonly members: memberDirectory.MemberDirectory;
    readonly registration: registration.Registration;
    readonly network: protocol.PeerNetwork;
    readonly scheduler: itemScheduler.ItemScheduler;
    readonly clock: core.Clock;
    readonly log: gatewayLog.GatewayLog;
    /** How long a submission stays readable after it was accepted. */
    readonly retentionMilliseconds: number;
}

/** Longest time that a peer is given to keep a submission for this member. */
export const ForwardMilliseconds = 1_200;

/**
 * The submissions that this member runs, and who runs the others as far as it knows: what accepting, reading and taking over
 * share.
 */
export class SubmissionRegistry {
    private readonly owned = new Map<string, ownedSubmission.OwnedSubmission>();
    private readonly owners = new Map<string, core.InstanceId>();
    private readonly leavingPeers = new Set<core.InstanceId>();
    /** Set once this member stops: it accepts and takes over nothing more itself. */
    isLeaving = false;

    constructor(readonly parts: SubmissionServiceParts) {
        parts.network.handle(protocol.MessageKind.SubmissionOwned, async (message, from) => {
            this.owners.set(message.submission, from);
            return undefined;
        });
        parts.network.handle(protocol.MessageKind.Leaving, async (message, from) => {
            this.leavingPeers.add(from);
            return undefined;
        });
    }

    tryGetOwned(submission: string): ownedSubmission.OwnedSubmission | undefined {
        return this.owned.get(submission);
    }

    getAllOwned(): readonly ownedSubmission.OwnedSubmission[] {
        return [...this.owned.values()];
    }

    /** Whether somebody is known to run it. */
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

    /** Forgets what members that are gone were believed to run. */
    forgetOwners(gone: readonly core.InstanceId[]): void {
        const lost = new Set(gone);
        for (const [submission, owner] of this.owners) {
            if (lost.has(owner)) {
                this.owners.delete(submission);
            }
        }
    }

    /** Runs a submission here from now on, and tells the peers. */
    own(
        id: string,
        stored: submissionStore.StoredHead,
        items: readonly types.BatchItem[],
        results: readonly types.BatchResult[],
        progress: readonly records.ItemProgress[] = [],
    ): void {
        const submission = new ownedSubmission.OwnedSubmission({
            id,
            stored,
            items,
            results,
            store: this.parts.submissions,
            clock: this.parts.clock,
            onLost: reason => this.drop(submission, reason),
            onListed: (count, calls) =>
                this.parts.log.note(gatewayLog.GatewayEvent.ResultsListed, { submission: id, count, calls }),
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

    /** A complete submission that needs no owner any more. */
    release(submission: ownedSubmission.OwnedSubmission): void {
        this.owned.delete(submission.getId());
    }

    /** A linked peer that does not stop, for what this member can't keep. */
    chooseStayingPeer(except: ReadonlySet<core.InstanceId> = new Set()): core.InstanceId | undefined {
        const peers = this.parts.network
            .getConnectedPeers()
            .filter(peer => !this.leavingPeers.has(peer) && !except.has(peer));
        return peers[Math.floor(Math.random() * peers.length)];
    }

    private drop(submission: ownedSubmission.OwnedSubmission, reason: string): void {
        const id = submission.getId();
        if (this.owned.get(id) === submission) {
            this.owned.delete(id);
        }
        this.parts.scheduler.remove(submission);
        this.parts.log.note(gatewayLog.GatewayEvent.SubmissionLost, { submission: id, reason });
    }
}
