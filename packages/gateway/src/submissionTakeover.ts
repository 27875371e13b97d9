import type * as core from "@boragedale/core";
import * as decisions from "@boragedale/decisions";
import * as protocol from "@boragedale/protocol";
import * as gatewayLog from "./gatewayLog.js";
import * as memberDirectory from "./memberDirectory.js";
import type * as metadataStore from "./metadataStore.js";
import * as ownedSubmission from "./ownedSubmission.js";
import type * as records from "./submissionRecords.js";
import * as submissionRegistry from "./submissionRegistry.js";
import * as submissionStore from "./submissionStore.js";

/** Interval of the regular scan of the heads for submissions without an owner. */
const ScanIntervalMilliseconds = 5_000;
/** A removed member may only have lost its registration in an outage. It registers again within this time. */
const TakeoverDelayMilliseconds = 1_600;
/** Used instead if a new incarnation of the same instance has removed the member, which then certainly doesn't return. */
const ReplacedDelayMilliseconds = 100;
/** Members that start together are listed within this time, and then share the submissions. */
const ListedDelayMilliseconds = 800;
/** Interval at which submissions are handed over during shutdown. */
const HandOverIntervalMilliseconds = 150;
/** Added to the retention period, since callers measure it with their own clocks. */
const RetentionSlackMilliseconds = 30_000;
/**
 * Number of members that scan the heads when a member is removed. If all members scanned, each restart in a fleet of hundreds
 * would cause hundreds of complete listings.
 */
const ScannerCount = 3;
/** Delay of each scanner after the previous one, which may be down or rejected by the store. Usually nothing is left for it. */
const NextScannerDelayMilliseconds = 700;
/** Hash key by which all members choose the same scanners. */
const ScannerKey = "takeover";

/** Which submissions without an owner a scan handles. */
enum ScanScope {
    /** Those whose successor is this member. */
    Own = "Own",
    /** All. Those with another successor are delegated to it. */
    All = "All",
}

/** A request to take over a submission. */
interface Handover {
    /** The member that sent it; undefined if this member found the submission itself. */
    readonly from?: core.InstanceId;
    /** What the items have received, if the owner sent the request. */
    readonly progress?: readonly records.ItemProgress[];
}

/** Ensures that each submission has an owner: takes over submissions of removed members, and hands over its own at shutdown. */
export class SubmissionTakeover implements AsyncDisposable {
    private readonly takeovers = new Map<string, Promise<void>>();
    private readonly stopController = new AbortController();
    private readonly parts: submissionRegistry.SubmissionServiceParts;

    constructor(private readonly registry: submissionRegistry.SubmissionRegistry) {
        this.parts = registry.parts;
        this.parts.network.handle(protocol.MessageKind.SubmissionHandover, async (message, from) =>
            this.serveHandover(message, from),
        );
        this.parts.members.onChange(removed => this.onMembersRemoved(removed));
        this.parts.registration.onListed(() => void this.onListed());
    }

    /** Regularly takes over submissions without an owner, and removes those whose retention period has ended. */
    async run(): Promise<void> {
        while (!this.stopController.signal.aborted) {
            await this.parts.clock.sleep(ScanIntervalMilliseconds, this.stopController.signal);
            await this.registry.checkAllOwnerships();
            await this.scan(ScanScope.Own);
        }
    }

    /**
     * Hands over all owned submissions to peers until this object is disposed. New submissions can arrive as long as the load
     * balancer sends requests, and a submission that is not handed over is taken over only when this member's lease expires.
     */
    async handOver(): Promise<void> {
        this.registry.isShuttingDown = true;
        while (!this.stopController.signal.aborted) {
            const owned = this.registry.getAllOwned().filter(submission => submission.isActive());
            await Promise.all(owned.map(submission => this.handOverSubmission(submission)));
            await this.parts.clock.sleep(HandOverIntervalMilliseconds, this.stopController.signal);
        }
    }

    async [Symbol.asyncDispose](): Promise<void> {
        this.stopController.abort();
    }

    /** While this member was not listed, owners may have been removed without its notice, for example all at once. */
    private async onListed(): Promise<void> {
        await this.registry.checkAllOwnerships();
        await this.scanForOrphans(ListedDelayMilliseconds);
    }

    private onMembersRemoved(removed: readonly core.InstanceId[]): void {
        if (removed.length === 0) {
            return;
        }
        this.registry.forgetOwners(removed);
        const isReplaced = removed.every(id => this.parts.members.hasOtherIncarnation(id));
        void this.scanForOrphans(isReplaced ? ReplacedDelayMilliseconds : TakeoverDelayMilliseconds);
    }

    /** After a delay, scans for submissions without an owner if this member is one of the scanners. */
    private async scanForOrphans(delay: number): Promise<void> {
        await this.parts.clock.sleep(delay, this.stopController.signal);
        const members = this.parts.members.getMembers().map(member => member.id);
        const rank = decisions.chooseSubset(ScannerKey, members, ScannerCount).indexOf(this.parts.members.self.id);
        if (rank < 0) {
            return;
        }
        await this.parts.clock.sleep(rank * NextScannerDelayMilliseconds, this.stopController.signal);
        await this.scan(ScanScope.All);
    }

    private async scan(scope: ScanScope): Promise<void> {
        if (this.registry.isShuttingDown || !this.parts.members.isListed() || this.stopController.signal.aborted) {
            return;
        }
        const listed = await this.parts.submissionStore.listHeads(scope === ScanScope.Own);
        if (!listed.ok) {
            return;
        }
        const delegations: Promise<void>[] = [];
        for (const [id, stored] of listed.value) {
            await this.reconcile(id, stored);
            const successor = scope === ScanScope.All ? this.tryGetOtherSuccessor(id, stored.head) : undefined;
            if (successor !== undefined) {
                delegations.push(this.delegate(id, successor));
            }
        }
        await Promise.all(delegations);
    }

    /**
     * Returns the other member that should take over a submission. Undefined if it has an owner, if nothing is left to run, or if
     * this member is the successor.
     */
    private tryGetOtherSuccessor(id: string, head: records.SubmissionHead): core.InstanceId | undefined {
        const { members } = this.parts;
        const isOver = head.isEnded || head.listed >= head.itemCount;
        if (isOver || members.tryGet(head.owner) !== undefined) {
            return undefined;
        }
        const successor = members.chooseSuccessor(id);
        return successor === members.self.id ? undefined : successor;
    }

    /** Asks the successor to take over a submission. If it doesn't, this member does. */
    private async delegate(id: string, successor: core.InstanceId): Promise<void> {
        const isTakenOver = await this.handOverTo(successor, id, []);
        if (!isTakenOver && !this.stopController.signal.aborted) {
            await this.takeOver(id);
        }
    }

    /** Compares a listed head with this member's state, and gives up, removes or takes over the submission if necessary. */
    private async reconcile(id: string, stored: submissionStore.StoredHead): Promise<void> {
        const { members, clock } = this.parts;
        const { head } = stored;
        const own = this.registry.tryGetOwned(id);
        // The listing may be older than this member's last write.
        if (own !== undefined && own.getStored().revision > stored.revision) {
            return;
        }
        const isOwned = own !== undefined;
        const isOver = head.isEnded || head.listed >= head.itemCount;
        const isOwnerLive = members.tryGet(head.owner) !== undefined;
        if (isOwned && head.owner !== members.self.id) {
            own.giveUpOwnership(`${head.owner} owns it`);
            return;
        }
        if (own?.isActive() === true && head.isEnded) {
            own.giveUpOwnership("another member ended it");
            return;
        }
        const isExpired =
            clock.wallNow() - head.acceptedAt > this.parts.retentionMilliseconds + RetentionSlackMilliseconds;
        if (isOver && isExpired && (isOwned || (!isOwnerLive && members.chooseSuccessor(id) === members.self.id))) {
            own?.giveUpOwnership("its retention period has ended");
            await this.parts.submissionStore.remove(id, stored);
            return;
        }
        // If the store applied the first write after the deadline, the head names this member as owner, but nothing runs.
        const isUnstarted = head.owner === members.self.id && !isOwned;
        const isOrphan = !isOwnerLive && members.chooseSuccessor(id) === members.self.id;
        if (!isOver && (isUnstarted || isOrphan)) {
            await this.takeOver(id);
        }
    }

    /**
     * Takes over a submission, from a removed owner or from the one that hands it over. Writes of the previous owner fail from
     * then on.
     */
    private async takeOver(id: string, handover: Handover = {}): Promise<void> {
        const known = this.takeovers.get(id);
        if (known !== undefined || this.registry.tryGetOwned(id) !== undefined) {
            return known;
        }
        const task = this.takeOverOnce(id, handover).finally(() => this.takeovers.delete(id));
        this.takeovers.set(id, task);
        return task;
    }

    private async takeOverOnce(id: string, { from, progress = [] }: Handover): Promise<void> {
        const { submissionStore: submissions, members } = this.parts;
        const found = await submissions.readHead(id);
        if (!found.ok || found.value === undefined || found.value.head.isEnded) {
            return;
        }
        const { head, revision } = found.value;
        const items = await submissions.readItems(id, head);
        const results =
            head.listed === 0
                ? { ok: true as const, value: { results: [] } }
                : await submissions.readResults(id, head, 0);
        const checkpoint = await submissions.readProgress(id, head);
        if (!items.ok || !results.ok || !checkpoint.ok) {
            return;
        }
        const newHead = { ...head, owner: members.self.id, nonce: ownedSubmission.createNonce() };
        const period = this.parts.registration.tryGetListingPeriod();
        const outcome = await submissions.write({
            submission: id,
            head: newHead,
            expected: revision,
            puts: [],
            preconditions: head.owner === from || head.owner === members.self.id ? [] : [createRemoved(head.owner)],
        });
        if (outcome.kind !== submissionStore.WriteOutcomeKind.Written) {
            return;
        }
        this.parts.log.recordEvent(gatewayLog.GatewayEvent.SubmissionTakenOver, {
            submission: id,
            from: head.owner,
            listed: head.listed,
            items: head.itemCount,
        });
        // Progress that the previous owner handed over is newer than its last checkpoint.
        const known = [...progress, ...checkpoint.value];
        this.registry.startOwning(
            id,
            { head: newHead, revision: outcome.revision },
            items.value,
            results.value.results,
            period,
            known,
        );
    }

    private async handOverSubmission(submission: ownedSubmission.OwnedSubmission): Promise<void> {
        this.parts.scheduler.remove(submission);
        await submission.flush();
        if (submission.isComplete()) {
            this.registry.remove(submission);
            return;
        }
        const successor = this.registry.chooseActivePeer();
        if (successor === undefined || !submission.isActive()) {
            return;
        }
        submission.noteHandoverRequest();
        if (await this.handOverTo(successor, submission.getId(), submission.getProgress())) {
            submission.giveUpOwnership(`${successor} has taken it over`);
            this.registry.setOwner(submission.getId(), successor);
        }
    }

    /** Asks a member to take over a submission. Returns whether it has done so. */
    private async handOverTo(
        successor: core.InstanceId,
        submission: string,
        progress: readonly records.ItemProgress[],
    ): Promise<boolean> {
        const message = {
            kind: protocol.MessageKind.SubmissionHandover,
            submission,
            progress: progress.map(([item, lastEventId, texts]) => [item, lastEventId, texts] as const),
            origins: progress.map(([, , , origin]) => origin ?? []),
        } as const;
        const reply = await this.parts.network.request(successor, message, {
            lane: protocol.Lane.Bulk,
            timeoutMilliseconds: submissionRegistry.HandoverTimeoutMilliseconds,
        });
        return reply.ok && reply.message.kind === protocol.MessageKind.SubmissionKept;
    }

    private async serveHandover(
        message: protocol.SubmissionHandover,
        from: core.InstanceId,
    ): Promise<protocol.Message> {
        if (this.registry.isShuttingDown) {
            return { kind: protocol.MessageKind.Refused, text: "this member leaves too" };
        }
        const progress = message.progress.map(([item, lastEventId, texts], index): records.ItemProgress => {
            const [service, softwareVersion] = message.origins?.[index] ?? [];
            const isKnown = service !== undefined && softwareVersion !== undefined;
            return [item, lastEventId, texts, isKnown ? [service, softwareVersion] : undefined];
        });
        await this.takeOver(message.submission, { from, progress });
        return this.registry.tryGetOwned(message.submission) !== undefined
            ? { kind: protocol.MessageKind.SubmissionKept }
            : { kind: protocol.MessageKind.Refused, text: "not taken over" };
    }
}

/**
 * The owner's entry doesn't exist. This member's view of the members may lack a live owner, which would go on answering for its
 * submissions.
 */
function createRemoved(owner: core.InstanceId): metadataStore.Precondition {
    return { key: memberDirectory.MemberPrefix + owner, revision: 0 };
}
