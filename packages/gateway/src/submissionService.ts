import type * as core from "@boragedale/core";
import * as protocol from "@boragedale/protocol";
import * as gatewayLog from "./gatewayLog.js";
import type * as itemScheduler from "./itemScheduler.js";
import * as memberDirectory from "./memberDirectory.js";
import * as metadataStore from "./metadataStore.js";
import * as ownedSubmission from "./ownedSubmission.js";
import type * as registration from "./registration.js";
import * as records from "./submissionRecords.js";
import * as submissionStore from "./submissionStore.js";
import * as types from "./types.js";

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

export interface NewSubmission {
    readonly id: string;
    readonly host: string;
    readonly target: string;
    readonly items: readonly types.BatchItem[];
    /** Until when the caller waits. */
    readonly deadline: core.MonotonicMilliseconds;
}

export type AcceptOutcome = { readonly ok: true } | { readonly ok: false; readonly refusal: types.GatewayRefusal };

export type Answer<T> =
    { readonly ok: true; readonly value: T } | { readonly ok: false; readonly reason: types.RefusalReason };

/** One page of results at most, in bytes of text: the platform's bound of a megabyte with room for escapes. */
const PageBytes = 600_000;
/** Longest time that a peer is given to keep a submission for this member. */
const ForwardMilliseconds = 1_200;
const ItemPartBytes = 500_000;
/** Time for a peer to answer: some milliseconds of way, and whatever a busy loop adds. */
const PeerTimeoutMilliseconds = 600;
/** Each refused call has its price, and an outage lasts seconds. */
const StoreRetryMilliseconds = 300;
/** When to come back while the store does not answer: an outage lasts seconds. */
const StoreRetryAfterMilliseconds = 1_000;
/** Heads are looked through this often for submissions that nobody runs. */
const ScanIntervalMilliseconds = 5_000;
/** A member that vanished may only have been forgotten in an outage; it registers again within this time. */
const TakeoverDelayMilliseconds = 1_600;
/** One that vanished because a new life of its instance removed it is gone for sure. */
const ReplacedDelayMilliseconds = 100;
const HandOverLookMilliseconds = 150;
/** Kept beyond the retention, since callers count from their own clocks. */
const RetentionSlackMilliseconds = 30_000;
const EndedMarkLimit = 10_000;

/** Accepts submissions, runs those that this member owns, and answers for all of them. */
export class SubmissionService implements AsyncDisposable {
    private readonly owned = new Map<string, ownedSubmission.OwnedSubmission>();
    private readonly owners = new Map<string, core.InstanceId>();
    private readonly adopting = new Map<string, Promise<void>>();
    private readonly endedMarks = new Set<string>();
    private readonly leavingPeers = new Set<core.InstanceId>();
    private readonly stopper = new AbortController();
    private isLeaving = false;

    constructor(private readonly parts: SubmissionServiceParts) {
        const { network, members } = parts;
        const kinds = protocol.MessageKind;
        network.handle(kinds.SubmissionOwned, async (message, from) => {
            this.owners.set(message.submission, from);
            return undefined;
        });
        network.handle(kinds.SubmissionRead, async message => this.servePage(message));
        network.handle(kinds.SubmissionItemRead, async message => this.serveBody(message));
        network.handle(kinds.SubmissionEnd, async message => this.serveEnd(message));
        network.handle(kinds.SubmissionForward, async message => this.serveForward(message));
        network.handle(kinds.SubmissionHandover, async message => this.serveHandover(message));
        network.handle(kinds.Leaving, async (message, from) => {
            this.leavingPeers.add(from);
            return undefined;
        });
        members.onChange(gone => this.forgetOwners(gone));
    }

    /** Makes a submission durable and runs it; accepted once, however often it comes. */
    async accept(submission: NewSubmission, canForward = true): Promise<AcceptOutcome> {
        const { clock } = this.parts;
        if (this.owned.has(submission.id) || this.owners.has(submission.id)) {
            return { ok: true };
        }
        const parts = records.tryEncodeItems(submission.items, ItemPartBytes);
        const isTooLarge = parts === undefined || parts.length >= metadataStore.MaximumTransactionEntries - 1;
        if (isTooLarge || Buffer.byteLength(submission.id) > records.LongestIdBytes) {
            return { ok: false, refusal: { reason: types.RefusalReason.BodyTooLarge } };
        }
        const head = this.createHead(submission, parts.length);
        const puts = parts.map((value, part) => ({ key: records.getItemsKey(submission.id, part), value }));
        let isUncertain = false;
        let isForwarded = !canForward;
        if (this.isLeaving && canForward) {
            isForwarded = true;
            if (await this.acceptElsewhere(submission)) {
                return { ok: true };
            }
        }
        for (;;) {
            const outcome = await this.parts.submissions.write({ submission: submission.id, head, expected: 0, puts });
            switch (outcome.kind) {
                case submissionStore.WriteOutcomeKind.Written:
                    this.start(submission, { head, revision: outcome.revision });
                    return { ok: true };
                case submissionStore.WriteOutcomeKind.Conflict:
                    // It was accepted before, here or elsewhere.
                    if (outcome.current !== undefined) {
                        this.owners.set(submission.id, outcome.current.head.owner);
                    }
                    return { ok: true };
                case submissionStore.WriteOutcomeKind.Unknown:
                    isUncertain = true;
                    break;
                case submissionStore.WriteOutcomeKind.NotDone:
                    break;
            }
            if (!isForwarded) {
                isForwarded = true;
                if (await this.acceptElsewhere(submission)) {
                    return { ok: true };
                }
            }
            if (clock.now() + StoreRetryMilliseconds > submission.deadline) {
                return this.refuseUnstored(submission, outcome.text, isUncertain);
            }
            await clock.sleep(StoreRetryMilliseconds);
        }
    }

    /** Results from a position on; waits up to a time for one to exist. */
    async read(submission: string, position: number, waitMilliseconds: number): Promise<Answer<types.ResultPage>> {
        const own = this.owned.get(submission);
        if (own !== undefined) {
            await own.waitForPosition(position, waitMilliseconds);
            return { ok: true, value: own.getPage(position, PageBytes) };
        }
        const kind = protocol.MessageKind.SubmissionRead;
        const message = { kind, submission, position, waitMilliseconds } as const;
        const reply = await this.askOwner(submission, message, waitMilliseconds + PeerTimeoutMilliseconds);
        if (reply?.kind === protocol.MessageKind.SubmissionPage) {
            return { ok: true, value: toResultPage(reply) };
        }
        return this.readFromStore(submission, position);
    }

    async readBody(submission: string, item: string): Promise<Answer<Uint8Array>> {
        const own = this.owned.get(submission);
        if (own !== undefined) {
            const body = own.tryGetBody(item);
            return body === undefined
                ? { ok: false, reason: types.RefusalReason.UnknownItem }
                : { ok: true, value: body };
        }
        const message = { kind: protocol.MessageKind.SubmissionItemRead, submission, item } as const;
        const reply = await this.askOwner(submission, message, PeerTimeoutMilliseconds);
        if (reply?.kind === protocol.MessageKind.SubmissionItemBody) {
            return reply.body === undefined
                ? { ok: false, reason: types.RefusalReason.UnknownItem }
                : { ok: true, value: reply.body };
        }
        const stored = await this.findHead(submission);
        if (!stored.ok) {
            return stored;
        }
        if (stored.value.head.isEnded) {
            return { ok: false, reason: types.RefusalReason.UnknownItem };
        }
        const items = await this.parts.submissions.readItems(submission, stored.value.head);
        if (!items.ok) {
            return { ok: false, reason: types.RefusalReason.StoreUnavailable };
        }
        const found = items.value.find(candidate => candidate.id === item);
        return found === undefined
            ? { ok: false, reason: types.RefusalReason.UnknownItem }
            : { ok: true, value: found.body };
    }

    /** Ends a submission; repeating it changes nothing. */
    async end(submission: string): Promise<Answer<undefined>> {
        const own = this.owned.get(submission);
        if (own !== undefined) {
            return this.endOwn(own);
        }
        const message = { kind: protocol.MessageKind.SubmissionEnd, submission } as const;
        const reply = await this.askOwner(submission, message, PeerTimeoutMilliseconds);
        if (reply?.kind === protocol.MessageKind.SubmissionEnded) {
            return { ok: true, value: undefined };
        }
        return this.endInStore(submission);
    }

    /** Takes changes under the ended marks: an owner that a caller's front could not reach learns it here. */
    applyEndedMarks(entries: readonly types.StoreEntry[]): void {
        for (const entry of entries) {
            if (!entry.key.startsWith(memberDirectory.EndedPrefix) || entry.value === undefined) {
                continue;
            }
            const id = decodeURIComponent(entry.key.slice(memberDirectory.EndedPrefix.length));
            if (this.endedMarks.size < EndedMarkLimit) {
                this.endedMarks.add(id);
            }
            this.owned.get(id)?.lose("it was ended elsewhere");
        }
    }

    /** The task that finds submissions without an owner, and removes those whose retention is over. */
    async run(): Promise<void> {
        while (!this.stopper.signal.aborted) {
            await this.parts.clock.sleep(ScanIntervalMilliseconds, this.stopper.signal);
            await this.scan(true);
        }
    }

    /**
     * Has the others take over all that this member owns, until the stop is over: callers and peers still send while the
     * balancer does, and a submission that is only dropped waits for the end of this member's lease.
     */
    async handOver(): Promise<void> {
        this.isLeaving = true;
        while (!this.stopper.signal.aborted) {
            const own = [...this.owned.values()].filter(submission => submission.isActive());
            await Promise.all(own.map(submission => this.handOverOne(submission)));
            await this.parts.clock.sleep(HandOverLookMilliseconds, this.stopper.signal);
        }
    }

    /** Submissions here that still have items to run. */
    getActiveCount(): number {
        return [...this.owned.values()].filter(own => own.isActive() && !own.isComplete()).length;
    }

    getOwnedCount(): number {
        return this.owned.size;
    }

    async [Symbol.asyncDispose](): Promise<void> {
        this.stopper.abort();
        this.owned.forEach(submission => submission.lose("this member stops"));
    }

    /**
     * The store may turn this member away while it serves the others: one of them can keep the submission. It is the same
     * one, so a write of ours that is carried out late meets it and does nothing.
     */
    private async acceptElsewhere(submission: NewSubmission): Promise<boolean> {
        const peer = this.chooseStayingPeer();
        const remaining = submission.deadline - this.parts.clock.now();
        if (peer === undefined || remaining <= 0) {
            return false;
        }
        const message = {
            kind: protocol.MessageKind.SubmissionForward,
            submission: submission.id,
            host: submission.host,
            target: submission.target,
            items: records.encodeItems(submission.items),
            waitMilliseconds: Math.min(ForwardMilliseconds, remaining),
        } as const;
        const reply = await this.parts.network.request(peer, message, {
            lane: protocol.Lane.Bulk,
            timeoutMilliseconds: message.waitMilliseconds,
        });
        if (!reply.ok || reply.message.kind !== protocol.MessageKind.SubmissionKept) {
            return false;
        }
        this.owners.set(submission.id, peer);
        return true;
    }

    private async serveForward(message: protocol.SubmissionForward): Promise<protocol.Message> {
        const items = records.tryDecodeItems(message.items);
        const refused = { kind: protocol.MessageKind.Refused, text: "not kept here" } as const;
        if (items === undefined) {
            return refused;
        }
        const deadline = this.parts.clock.now() + message.waitMilliseconds - StoreRetryMilliseconds;
        const { submission: id, host, target } = message;
        const outcome = await this.accept({ id, host, target, items, deadline }, false);
        return outcome.ok ? { kind: protocol.MessageKind.SubmissionKept } : refused;
    }

    private createHead(submission: NewSubmission, itemParts: number): records.SubmissionHead {
        return {
            owner: this.parts.members.self.id,
            nonce: ownedSubmission.createNonce(),
            host: submission.host,
            target: submission.target,
            acceptedAt: this.parts.clock.wallNow(),
            itemCount: submission.items.length,
            itemParts,
            segments: [],
            listed: 0,
            isEnded: false,
            failures: [],
            hasProgress: false,
        };
    }

    private start(submission: NewSubmission, stored: submissionStore.StoredHead): void {
        this.parts.log.note(gatewayLog.GatewayEvent.SubmissionAccepted, {
            submission: submission.id,
            items: submission.items.length,
            revision: stored.revision,
        });
        this.own(submission.id, stored, submission.items, []);
    }

    private own(
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

    private drop(submission: ownedSubmission.OwnedSubmission, reason: string): void {
        const id = submission.getId();
        if (this.owned.get(id) === submission) {
            this.owned.delete(id);
        }
        this.parts.scheduler.remove(submission);
        this.parts.log.note(gatewayLog.GatewayEvent.SubmissionLost, { submission: id, reason });
    }

    /** A write without an answer may still be carried out, so a refusal must not promise that nothing runs. */
    private refuseUnstored(submission: NewSubmission, text: string, isUncertain: boolean): AcceptOutcome {
        this.parts.log.note(gatewayLog.GatewayEvent.SubmissionRefused, {
            submission: submission.id,
            text,
            isUncertain,
        });
        const reason = isUncertain ? types.RefusalReason.OutcomeUnknown : types.RefusalReason.StoreUnavailable;
        return { ok: false, refusal: { reason, retryAfterMilliseconds: StoreRetryAfterMilliseconds } };
    }

    private async endOwn(own: ownedSubmission.OwnedSubmission): Promise<Answer<undefined>> {
        // Running items stop first: whatever the store says, the caller wants no more of them.
        this.parts.scheduler.remove(own);
        if (!(await own.end())) {
            return this.endInStore(own.getId());
        }
        this.parts.log.note(gatewayLog.GatewayEvent.SubmissionEnded, { submission: own.getId() });
        return { ok: true, value: undefined };
    }

    private async endInStore(submission: string): Promise<Answer<undefined>> {
        for (let round = 0; round < 5; round++) {
            const found = await this.parts.submissions.readHead(submission);
            if (!found.ok) {
                return { ok: false, reason: types.RefusalReason.StoreUnavailable };
            }
            if (found.value === undefined) {
                return { ok: false, reason: types.RefusalReason.UnknownSubmission };
            }
            if (found.value.head.isEnded) {
                return { ok: true, value: undefined };
            }
            const lease = this.parts.registration.tryGetLease();
            const key = memberDirectory.EndedPrefix + encodeURIComponent(submission);
            const outcome = await this.parts.submissions.write({
                submission,
                head: { ...found.value.head, nonce: ownedSubmission.createNonce(), isEnded: true },
                expected: found.value.revision,
                puts: lease === undefined ? [] : [{ key, value: Buffer.from("1"), lease }],
            });
            if (outcome.kind === submissionStore.WriteOutcomeKind.Written) {
                this.parts.log.note(gatewayLog.GatewayEvent.SubmissionEnded, { submission });
                return { ok: true, value: undefined };
            }
        }
        return { ok: false, reason: types.RefusalReason.StoreUnavailable };
    }

    /** Asks the member that runs the submission; undefined where none is known or it doesn't answer. */
    private async askOwner(
        submission: string,
        message: protocol.Message,
        timeoutMilliseconds: number,
    ): Promise<protocol.Message | undefined> {
        let owner = this.owners.get(submission);
        if (owner === undefined) {
            const found = await this.parts.submissions.readHead(submission);
            if (!found.ok || found.value === undefined) {
                return undefined;
            }
            owner = found.value.head.owner;
            this.owners.set(submission, owner);
        }
        if (this.parts.members.tryGet(owner) === undefined) {
            return undefined;
        }
        const reply = await this.parts.network.request(owner, message, {
            lane: protocol.Lane.Online,
            timeoutMilliseconds,
        });
        if (!reply.ok || reply.message.kind === protocol.MessageKind.Refused) {
            this.owners.delete(submission);
            return undefined;
        }
        return reply.message;
    }

    private async findHead(submission: string): Promise<Answer<submissionStore.StoredHead>> {
        const found = await this.parts.submissions.readHead(submission);
        if (!found.ok) {
            return { ok: false, reason: types.RefusalReason.StoreUnavailable };
        }
        return found.value === undefined
            ? { ok: false, reason: types.RefusalReason.UnknownSubmission }
            : { ok: true, value: found.value };
    }

    private async readFromStore(submission: string, position: number): Promise<Answer<types.ResultPage>> {
        const stored = await this.findHead(submission);
        if (!stored.ok) {
            return stored;
        }
        const { head } = stored.value;
        if (head.listed <= position) {
            return { ok: true, value: { total: head.itemCount, next: position, results: [] } };
        }
        const read = await this.parts.submissions.readResults(submission, head, position);
        if (!read.ok) {
            return { ok: false, reason: types.RefusalReason.StoreUnavailable };
        }
        const results = read.value.results.slice(position - read.value.first);
        return { ok: true, value: ownedSubmission.createPage(head.itemCount, results, position, PageBytes) };
    }

    private async servePage(message: protocol.SubmissionRead): Promise<protocol.Message> {
        const own = this.owned.get(message.submission);
        if (own === undefined) {
            return { kind: protocol.MessageKind.Refused, text: "not run here" };
        }
        await own.waitForPosition(message.position, message.waitMilliseconds);
        const page = own.getPage(message.position, PageBytes);
        return { kind: protocol.MessageKind.SubmissionPage, ...page };
    }

    private async serveBody(message: protocol.SubmissionItemRead): Promise<protocol.Message> {
        const own = this.owned.get(message.submission);
        if (own === undefined) {
            return { kind: protocol.MessageKind.Refused, text: "not run here" };
        }
        const body = own.tryGetBody(message.item);
        const kind = protocol.MessageKind.SubmissionItemBody;
        return body === undefined ? { kind } : { kind, body };
    }

    private async serveEnd(message: protocol.SubmissionEnd): Promise<protocol.Message> {
        const own = this.owned.get(message.submission);
        const ended = own === undefined ? undefined : await this.endOwn(own);
        return ended?.ok === true
            ? { kind: protocol.MessageKind.SubmissionEnded }
            : { kind: protocol.MessageKind.Refused, text: "not run here, or not ended" };
    }

    private forgetOwners(gone: readonly core.InstanceId[]): void {
        if (gone.length === 0) {
            return;
        }
        const lost = new Set(gone);
        for (const [submission, owner] of this.owners) {
            if (lost.has(owner)) {
                this.owners.delete(submission);
            }
        }
        const isReplaced = gone.every(id => this.parts.members.hasNewerLife(id));
        const delay = isReplaced ? ReplacedDelayMilliseconds : TakeoverDelayMilliseconds;
        this.parts.clock.schedule(delay, () => void this.scan(false));
    }

    private async scan(allowStale: boolean): Promise<void> {
        if (this.isLeaving || !this.parts.members.isListed() || this.stopper.signal.aborted) {
            return;
        }
        const listed = await this.parts.submissions.listHeads(allowStale);
        if (!listed.ok) {
            return;
        }
        for (const [id, stored] of listed.value) {
            await this.tend(id, stored);
        }
    }

    private async tend(id: string, stored: submissionStore.StoredHead): Promise<void> {
        const { members, clock } = this.parts;
        const { head } = stored;
        const isOurs = this.owned.has(id);
        const isOver = head.isEnded || head.listed >= head.itemCount;
        const isOwnerLive = members.tryGet(head.owner) !== undefined;
        if (isOurs && head.owner !== members.self.id) {
            this.owned.get(id)?.lose(`${head.owner} runs it`);
            return;
        }
        const isExpired =
            clock.wallNow() - head.acceptedAt > this.parts.retentionMilliseconds + RetentionSlackMilliseconds;
        if (isOver && isExpired && (isOurs || (!isOwnerLive && members.chooseHeir(id) === members.self.id))) {
            this.owned.get(id)?.lose("its retention is over");
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
        if (known !== undefined || this.owned.has(id)) {
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
        this.own(id, { head: mine, revision: outcome.revision }, items.value, results.value.results, known);
    }

    private async handOverOne(submission: ownedSubmission.OwnedSubmission): Promise<void> {
        this.parts.scheduler.remove(submission);
        await submission.flush();
        if (submission.isComplete()) {
            this.owned.delete(submission.getId());
            return;
        }
        const heir = this.chooseStayingPeer();
        if (heir === undefined || !submission.isActive()) {
            return;
        }
        const message = {
            kind: protocol.MessageKind.SubmissionHandover,
            submission: submission.getId(),
            progress: submission.getProgress(),
        } as const;
        const reply = await this.parts.network.request(heir, message, {
            lane: protocol.Lane.Bulk,
            timeoutMilliseconds: ForwardMilliseconds,
        });
        if (reply.ok && reply.message.kind === protocol.MessageKind.SubmissionKept) {
            submission.lose(`${heir} took it over`);
            this.owners.set(submission.getId(), heir);
        }
    }

    private async serveHandover(message: protocol.SubmissionHandover): Promise<protocol.Message> {
        if (this.isLeaving) {
            return { kind: protocol.MessageKind.Refused, text: "this member leaves too" };
        }
        await this.adopt(message.submission, message.progress);
        return this.owned.has(message.submission)
            ? { kind: protocol.MessageKind.SubmissionKept }
            : { kind: protocol.MessageKind.Refused, text: "not taken over" };
    }

    private chooseStayingPeer(): core.InstanceId | undefined {
        const peers = this.parts.network.getConnectedPeers().filter(peer => !this.leavingPeers.has(peer));
        return peers[Math.floor(Math.random() * peers.length)];
    }
}

function toResultPage(message: protocol.SubmissionPage): types.ResultPage {
    return {
        total: message.total,
        next: message.next,
        results: message.results.map(result => ({
            id: result.id,
            state:
                result.state === types.ResultState.Completed ? types.ResultState.Completed : types.ResultState.GivenUp,
            text: result.text,
        })),
    };
}
