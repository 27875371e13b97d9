import type * as core from "@boragedale/core";
import * as decisions from "@boragedale/decisions";
import * as protocol from "@boragedale/protocol";
import * as gatewayLog from "./gatewayLog.js";
import * as ownedSubmission from "./ownedSubmission.js";
import type * as records from "./submissionRecords.js";
import * as submissionRegistry from "./submissionRegistry.js";
import * as submissionStore from "./submissionStore.js";

/** Heads are looked through this often for submissions that nobody runs. */
const ScanIntervalMilliseconds = 5_000;
/** A member that vanished may only have been forgotten in an outage; it registers again within this time. */
const TakeoverDelayMilliseconds = 1_600;
/** One that vanished because a new life of its instance removed it is gone for sure. */
const ReplacedDelayMilliseconds = 100;
const HandOverLookMilliseconds = 150;
/** Kept beyond the retention, since callers count from their own clocks. */
const RetentionSlackMilliseconds = 30_000;
/**
 * Members that look through the heads when another is gone. With every member looking, each restart in a fleet of hundreds
 * would be hundreds of whole listings.
 */
const LookerCount = 3;
/** Each looks this much after the one before, which may be gone or turned away by the store; mostly it finds nothing left. */
const NextLookMilliseconds = 700;
/** Ranks the members: all work the same lookers out. */
const LookerKey = "takeover";

/** Which submissions without an owner a look through the heads is for. */
enum LookScope {
    /** Those whose heir is this member. */
    Own = "Own",
    /** All; those of others are passed on to their heirs. */
    All = "All",
}

/** Sees to it that each submission has one member that runs it: takes over from those that are gone, hands over at a stop. */
export class SubmissionTakeover implements AsyncDisposable {
    private readonly adopting = new Map<string, Promise<void>>();
    private readonly stopper = new AbortController();
    private readonly parts: submissionRegistry.SubmissionServiceParts;

    constructor(private readonly registry: submissionRegistry.SubmissionRegistry) {
        this.parts = registry.parts;
        this.parts.network.handle(protocol.MessageKind.SubmissionHandover, async message =>
            this.serveHandover(message),
        );
        this.parts.members.onChange(gone => this.onMembersGone(gone));
    }

    /** The task that finds submissions without an owner, and removes those whose retention is over. */
    async run(): Promise<void> {
        while (!this.stopper.signal.aborted) {
            await this.parts.clock.sleep(ScanIntervalMilliseconds, this.stopper.signal);
            await this.scan(LookScope.Own);
        }
    }

    /**
     * Has the others take over all that this member owns, until the stop is over: callers and peers still send while the
     * balancer does, and a submission that is only dropped waits for the end of this member's lease.
     */
    async handOver(): Promise<void> {
        this.registry.isLeaving = true;
        while (!this.stopper.signal.aborted) {
            const own = this.registry.getAllOwned().filter(submission => submission.isActive());
            await Promise.all(own.map(submission => this.handOverOne(submission)));
            await this.parts.clock.sleep(HandOverLookMilliseconds, this.stopper.signal);
        }
    }

    async [Symbol.asyncDispose](): Promise<void> {
        this.stopper.abort();
    }

    private onMembersGone(gone: readonly core.InstanceId[]): void {
        if (gone.length === 0) {
            return;
        }
        this.registry.forgetOwners(gone);
        const isReplaced = gone.every(id => this.parts.members.hasOtherLife(id));
        void this.lookForOrphans(isReplaced ? ReplacedDelayMilliseconds : TakeoverDelayMilliseconds);
    }

    private async lookForOrphans(delay: number): Promise<void> {
        await this.parts.clock.sleep(delay, this.stopper.signal);
        const members = this.parts.members.getMembers().map(member => member.id);
        const rank = decisions.chooseSubset(LookerKey, members, LookerCount).indexOf(this.parts.members.self.id);
        if (rank < 0) {
            return;
        }
        await this.parts.clock.sleep(rank * NextLookMilliseconds, this.stopper.signal);
        await this.scan(LookScope.All);
    }

    private async scan(scope: LookScope): Promise<void> {
        if (this.registry.isLeaving || !this.parts.members.isListed() || this.stopper.signal.aborted) {
            return;
        }
        const listed = await this.parts.submissions.listHeads(scope === LookScope.Own);
        if (!listed.ok) {
            return;
        }
        const passedOn: Promise<void>[] = [];
        for (const [id, stored] of listed.value) {
            await this.tend(id, stored);
            const heir = scope === LookScope.All ? this.tryGetOtherHeir(id, stored.head) : undefined;
            if (heir !== undefined) {
                passedOn.push(this.passOn(id, heir));
            }
        }
        await Promise.all(passedOn);
    }

    /** The other member that is to run a submission which nobody runs; undefined where there is none to run. */
    private tryGetOtherHeir(id: string, head: records.SubmissionHead): core.InstanceId | undefined {
        const { members } = this.parts;
        const isOver = head.isEnded || head.listed >= head.itemCount;
        if (isOver || members.tryGet(head.owner) !== undefined) {
            return undefined;
        }
        const heir = members.chooseHeir(id);
        return heir === members.self.id ? undefined : heir;
    }

    private async passOn(id: string, heir: core.InstanceId): Promise<void> {
        const isKept = await this.handOverTo(heir, id, []);
        if (!isKept && !this.stopper.signal.aborted) {
            await this.adopt(id);
        }
    }

    private async tend(id: string, stored: submissionStore.StoredHead): Promise<void> {
        const { members, clock } = this.parts;
        const { head } = stored;
        const own = this.registry.tryGetOwned(id);
        // The listing may be from before this member's last write: a head that is older says nothing against it.
        if (own !== undefined && own.getStored().revision > stored.revision) {
            return;
        }
        const isOurs = own !== undefined;
        const isOver = head.isEnded || head.listed >= head.itemCount;
        const isOwnerLive = members.tryGet(head.owner) !== undefined;
        if (isOurs && head.owner !== members.self.id) {
            own.lose(`${head.owner} runs it`);
            return;
        }
        const isExpired =
            clock.wallNow() - head.acceptedAt > this.parts.retentionMilliseconds + RetentionSlackMilliseconds;
        if (isOver && isExpired && (isOurs || (!isOwnerLive && members.chooseHeir(id) === members.self.id))) {
            own?.lose("its retention is over");
            await this.parts.submissions.remove(id, stored);
            return;
        }
        // One whose write was answered too late for its caller stands under this member's name without being run.
        const isForgotten = head.owner === members.self.id && !isOurs;
        const isOrphan = !isOwnerLive && members.chooseHeir(id) === members.self.id;
        if (!isOver && (isForgotten || isOrphan)) {
            await this.adopt(id);
        }
    }

    /** Takes a submission over: from now on the former owner's writes fail. */
    private async adopt(id: string, progress: readonly records.ItemProgress[] = []): Promise<void> {
        const known = this.adopting.get(id);
        if (known !== undefined || this.registry.tryGetOwned(id) !== undefined) {
            return known;
        }
        const task = this.adoptOnce(id, progress).finally(() => this.adopting.delete(id));
        this.adopting.set(id, task);
        return task;
    }

    private async adoptOnce(id: string, progress: readonly records.ItemProgress[]): Promise<void> {
        const { submissions, members } = this.parts;
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
        const kept = await submissions.readProgress(id, head);
        if (!items.ok || !results.ok || !kept.ok) {
            return;
        }
        const mine = { ...head, owner: members.self.id, nonce: ownedSubmission.createNonce() };
        const outcome = await submissions.write({ submission: id, head: mine, expected: revision, puts: [] });
        if (outcome.kind !== submissionStore.WriteOutcomeKind.Written) {
            return;
        }
        this.parts.log.note(gatewayLog.GatewayEvent.SubmissionTakenOver, {
            submission: id,
            from: head.owner,
            listed: head.listed,
            items: head.itemCount,
        });
        // What the former owner handed over is newer than what it last kept in the store.
        const known = [...progress, ...kept.value];
        this.registry.own(id, { head: mine, revision: outcome.revision }, items.value, results.value.results, known);
    }

    private async handOverOne(submission: ownedSubmission.OwnedSubmission): Promise<void> {
        this.parts.scheduler.remove(submission);
        await submission.flush();
        if (submission.isComplete()) {
            this.registry.release(submission);
            return;
        }
        const heir = this.registry.chooseStayingPeer();
        if (heir === undefined || !submission.isActive()) {
            return;
        }
        if (await this.handOverTo(heir, submission.getId(), submission.getProgress())) {
            submission.lose(`${heir} took it over`);
            this.registry.setOwner(submission.getId(), heir);
        }
    }

    /** Has another member take a submission over; returns whether it runs it now. */
    private async handOverTo(
        heir: core.InstanceId,
        submission: string,
        progress: readonly records.ItemProgress[],
    ): Promise<boolean> {
        const message = { kind: protocol.MessageKind.SubmissionHandover, submission, progress } as const;
        const reply = await this.parts.network.request(heir, message, {
            lane: protocol.Lane.Bulk,
            timeoutMilliseconds: submissionRegistry.ForwardMilliseconds,
        });
        return reply.ok && reply.message.kind === protocol.MessageKind.SubmissionKept;
    }

    private async serveHandover(message: protocol.SubmissionHandover): Promise<protocol.Message> {
        if (this.registry.isLeaving) {
            return { kind: protocol.MessageKind.Refused, text: "this member leaves too" };
        }
        await this.adopt(message.submission, message.progress);
        return this.registry.tryGetOwned(message.submission) !== undefined
            ? { kind: protocol.MessageKind.SubmissionKept }
            : { kind: protocol.MessageKind.Refused, text: "not taken over" };
    }
}
