import type * as core from "@boragedale/core";
import * as protocol from "@boragedale/protocol";
import * as gatewayLog from "./gatewayLog.js";
import * as metadataStore from "./metadataStore.js";
import * as ownedSubmission from "./ownedSubmission.js";
import * as submissionReader from "./submissionReader.js";
import * as records from "./submissionRecords.js";
import * as submissionRegistry from "./submissionRegistry.js";
import * as submissionStore from "./submissionStore.js";
import * as submissionTakeover from "./submissionTakeover.js";
import * as types from "./types.js";

export interface NewSubmission {
    readonly id: string;
    readonly host: string;
    readonly target: string;
    readonly items: readonly types.BatchItem[];
    /** Undefined where the route needs no key. */
    readonly customer: string | undefined;
    /** Until when the caller waits. */
    readonly deadline: core.MonotonicMilliseconds;
}

/** A submission as its caller names it; two customers may use the same id. */
export interface SubmissionName {
    readonly id: string;
    readonly customer: string | undefined;
}

export type AcceptOutcome = { readonly ok: true } | { readonly ok: false; readonly refusal: types.GatewayRefusal };

const ItemPartBytes = 500_000;
/** Each refused call has its price, and an outage lasts seconds. */
const StoreRetryMilliseconds = 300;
/** When to come back while the store does not answer: an outage lasts seconds. */
const StoreRetryAfterMilliseconds = 1_000;

/** An own write that takes longer is late: the store answers in milliseconds, callers expect to hear within some hundred. */
const OwnWriteMilliseconds = 120;
/** After a failure of the store peers are asked at once for this long: the platform's bound for a sound store. */
const StoreDoubtMilliseconds = 3_000;
/** Time for a peer to keep a submission: two ways, and a write that may be repeated once. */
const PeerKeepMilliseconds = 450;
/** With a third of the members cut off, three peers in a row are hit once in thirty times. */
const MostPeersAsked = 3;

/** What became of an attempt to make a submission durable. */
enum KeepOutcome {
    Kept = "Kept",
    /** Certain: nothing of it will ever run. */
    NotKept = "NotKept",
    /** A write or a message went out and was not answered. */
    Uncertain = "Uncertain",
}

/** What the store gets of a new submission. */
interface SubmissionRecord {
    readonly head: records.SubmissionHead;
    readonly puts: readonly metadataStore.Put[];
}

/** Accepts submissions, and joins what runs, reads and takes them over. */
export class SubmissionService implements AsyncDisposable {
    private readonly registry: submissionRegistry.SubmissionRegistry;
    private readonly reader: submissionReader.SubmissionReader;
    private readonly takeover: submissionTakeover.SubmissionTakeover;
    /** Until then the store is believed to fail this member, and peers are asked at once. */
    private storeDoubtedUntil: core.MonotonicMilliseconds = -Infinity;
    /** What the store last failed with; for the log line of a refusal. */
    private lastFailure = "";

    constructor(private readonly parts: submissionRegistry.SubmissionServiceParts) {
        this.registry = new submissionRegistry.SubmissionRegistry(parts);
        this.reader = new submissionReader.SubmissionReader(this.registry);
        this.takeover = new submissionTakeover.SubmissionTakeover(this.registry);
        parts.network.handle(protocol.MessageKind.SubmissionForward, async message => this.serveForward(message));
    }

    /** Makes a submission durable and runs it; accepted once, however often its customer sends it. */
    async accept(requested: NewSubmission): Promise<AcceptOutcome> {
        const submission = { ...requested, id: records.scopeId(requested.id, requested.customer) };
        if (this.registry.isKnown(submission.id)) {
            return { ok: true };
        }
        const record = this.tryCreateRecord(submission);
        if (record === undefined) {
            return { ok: false, refusal: { reason: types.RefusalReason.BodyTooLarge } };
        }
        const outcome = this.registry.isLeaving
            ? await this.keepAtPeerOrHere(submission, record)
            : await this.keepHereOrAtPeer(submission, record);
        return outcome === KeepOutcome.Kept ? { ok: true } : this.refuseUnstored(submission, outcome);
    }

    /** Results from a position on; waits up to a time for one to exist. */
    async read(
        submission: SubmissionName,
        position: number,
        waitMilliseconds: number,
    ): Promise<submissionReader.Answer<types.ResultPage>> {
        return this.lookUp(submission, id => this.reader.read(id, position, waitMilliseconds));
    }

    async readBody(submission: SubmissionName, item: string): Promise<submissionReader.Answer<Uint8Array>> {
        return this.lookUp(submission, id => this.reader.readBody(id, item));
    }

    /** Ends a submission; repeating it changes nothing. */
    async end(submission: SubmissionName): Promise<submissionReader.Answer<undefined>> {
        return this.lookUp(submission, id => this.reader.end(id));
    }

    /** Takes changes under the ended marks. */
    applyEndedMarks(entries: readonly types.StoreEntry[]): void {
        this.reader.applyEndedMarks(entries);
    }

    /** The task that finds submissions without an owner, and removes those whose retention is over. */
    async run(): Promise<void> {
        await this.takeover.run();
    }

    /** Has the others take over all that this member owns, until the stop is over. */
    async handOver(): Promise<void> {
        await this.takeover.handOver();
    }

    /** Submissions here that still have items to run. */
    getActiveCount(): number {
        return this.registry.getAllOwned().filter(own => own.isActive() && !own.isComplete()).length;
    }

    getOwnedCount(): number {
        return this.registry.getAllOwned().length;
    }

    async [Symbol.asyncDispose](): Promise<void> {
        await this.takeover[Symbol.asyncDispose]();
        this.registry.getAllOwned().forEach(submission => submission.lose("this member stops"));
    }

    /** A submission of no customer, from before there were any or of a route without keys, is open to all. */
    private async lookUp<T>(
        { id, customer }: SubmissionName,
        look: (id: string) => Promise<submissionReader.Answer<T>>,
    ): Promise<submissionReader.Answer<T>> {
        if (!records.isCallerId(id)) {
            return { ok: false, reason: types.RefusalReason.UnknownSubmission };
        }
        const found = await look(records.scopeId(id, customer));
        const isUnknown = !found.ok && found.reason === types.RefusalReason.UnknownSubmission;
        return isUnknown && customer !== undefined ? look(id) : found;
    }

    /** A member that stops keeps nothing itself while a peer does: its own would wait for somebody to take it over. */
    private async keepAtPeerOrHere(submission: NewSubmission, record: SubmissionRecord): Promise<KeepOutcome> {
        const atPeer = await this.keepAtPeer(submission);
        if (atPeer === KeepOutcome.Kept) {
            return atPeer;
        }
        return combineOutcomes(atPeer, await this.keepHere(submission, record));
    }

    /**
     * The store may turn this member away, or be silent towards it, while it serves the others: the caller would wait for
     * seconds, or be refused while the platform works. A peer is asked as soon as the own write is late. It is the same
     * submission: whichever write comes second meets the first and does nothing.
     */
    private async keepHereOrAtPeer(submission: NewSubmission, record: SubmissionRecord): Promise<KeepOutcome> {
        const { clock } = this.parts;
        const here = this.keepHere(submission, record);
        const patience = clock.now() < this.storeDoubtedUntil ? 0 : OwnWriteMilliseconds;
        const early = await Promise.race([here, clock.sleep(patience).then(() => undefined)]);
        if (early === KeepOutcome.Kept) {
            return early;
        }
        const atPeer = this.keepAtPeer(submission);
        const first = await Promise.race([here, atPeer]);
        return first === KeepOutcome.Kept ? first : combineOutcomes(await here, await atPeer);
    }

    /** Writes until the store says what became of it, or until the caller has left. */
    private async keepHere(submission: NewSubmission, record: SubmissionRecord): Promise<KeepOutcome> {
        const { clock } = this.parts;
        const { head, puts } = record;
        let isUncertain = false;
        while (!this.registry.isKnown(submission.id)) {
            const outcome = await this.parts.submissions.write({ submission: submission.id, head, expected: 0, puts });
            switch (outcome.kind) {
                case submissionStore.WriteOutcomeKind.Written:
                    this.start(submission, { head, revision: outcome.revision });
                    return KeepOutcome.Kept;
                case submissionStore.WriteOutcomeKind.Conflict:
                    // It was accepted before, here or elsewhere.
                    if (outcome.current !== undefined) {
                        this.registry.setOwner(submission.id, outcome.current.head.owner);
                    }
                    return KeepOutcome.Kept;
                case submissionStore.WriteOutcomeKind.Unknown:
                    isUncertain = true;
                    break;
                case submissionStore.WriteOutcomeKind.NotDone:
                    break;
            }
            this.storeDoubtedUntil = clock.now() + StoreDoubtMilliseconds;
            this.lastFailure = outcome.text;
            if (clock.now() + StoreRetryMilliseconds > submission.deadline) {
                return isUncertain ? KeepOutcome.Uncertain : KeepOutcome.NotKept;
            }
            await clock.sleep(StoreRetryMilliseconds);
        }
        return KeepOutcome.Kept;
    }

    /** Asks peers one after the other: one may be cut off from the store as well. */
    private async keepAtPeer(submission: NewSubmission): Promise<KeepOutcome> {
        const asked = new Set<core.InstanceId>();
        let result = KeepOutcome.NotKept;
        while (asked.size < MostPeersAsked) {
            const peer = this.registry.chooseStayingPeer(asked);
            const remaining = submission.deadline - this.parts.clock.now();
            if (peer === undefined || remaining <= 0) {
                return result;
            }
            asked.add(peer);
            const outcome = await this.askToKeep(peer, submission, Math.min(PeerKeepMilliseconds, remaining));
            if (outcome === KeepOutcome.Kept) {
                return outcome;
            }
            result = combineOutcomes(result, outcome);
        }
        return result;
    }

    private async askToKeep(
        peer: core.InstanceId,
        submission: NewSubmission,
        waitMilliseconds: number,
    ): Promise<KeepOutcome> {
        const message = {
            kind: protocol.MessageKind.SubmissionForward,
            submission: submission.id,
            host: submission.host,
            target: submission.target,
            items: records.encodeItems(submission.items),
            waitMilliseconds,
            ...(submission.customer === undefined ? {} : { customer: submission.customer }),
        } as const;
        const reply = await this.parts.network.request(peer, message, {
            lane: protocol.Lane.Bulk,
            timeoutMilliseconds: waitMilliseconds,
        });
        if (!reply.ok) {
            // Only a message that was not sent is certain to have done nothing.
            return reply.kind === protocol.PeerFailureKind.NotConnected ? KeepOutcome.NotKept : KeepOutcome.Uncertain;
        }
        switch (reply.message.kind) {
            case protocol.MessageKind.SubmissionKept:
                this.registry.setOwner(submission.id, peer);
                return KeepOutcome.Kept;
            case protocol.MessageKind.SubmissionNotKept:
                return reply.message.isCertain ? KeepOutcome.NotKept : KeepOutcome.Uncertain;
            default:
                return KeepOutcome.Uncertain;
        }
    }

    private async serveForward(message: protocol.SubmissionForward): Promise<protocol.Message> {
        const items = records.tryDecodeItems(message.items);
        const { submission: id, host, target, customer } = message;
        const deadline = this.parts.clock.now() + message.waitMilliseconds;
        const submission = items === undefined ? undefined : { id, host, target, items, customer, deadline };
        const record = submission === undefined ? undefined : this.tryCreateRecord(submission);
        if (submission === undefined || record === undefined) {
            return { kind: protocol.MessageKind.SubmissionNotKept, isCertain: true };
        }
        const outcome = await this.keepHere(submission, record);
        return outcome === KeepOutcome.Kept
            ? { kind: protocol.MessageKind.SubmissionKept }
            : { kind: protocol.MessageKind.SubmissionNotKept, isCertain: outcome === KeepOutcome.NotKept };
    }

    /** What is written of it; undefined where it is too large for the store. */
    private tryCreateRecord(submission: NewSubmission): SubmissionRecord | undefined {
        const parts = records.tryEncodeItems(submission.items, ItemPartBytes);
        const isTooLarge = parts === undefined || parts.length >= metadataStore.MaximumTransactionEntries - 1;
        if (isTooLarge || Buffer.byteLength(submission.id) > records.LongestIdBytes) {
            return undefined;
        }
        const head = this.createHead(submission, parts.length);
        const puts = parts.map((value, part) => ({ key: records.getItemsKey(submission.id, part), value }));
        return { head, puts };
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
            ...(submission.customer === undefined ? {} : { customer: submission.customer }),
        };
    }

    private start(submission: NewSubmission, stored: submissionStore.StoredHead): void {
        this.parts.log.note(gatewayLog.GatewayEvent.SubmissionAccepted, {
            submission: submission.id,
            items: submission.items.length,
            revision: stored.revision,
        });
        this.registry.own(submission.id, stored, submission.items, []);
    }

    /** What may have been written must not be refused with a promise that nothing runs. */
    private refuseUnstored(submission: NewSubmission, outcome: KeepOutcome): AcceptOutcome {
        const isUncertain = outcome === KeepOutcome.Uncertain;
        this.parts.log.note(gatewayLog.GatewayEvent.SubmissionRefused, {
            submission: submission.id,
            text: this.lastFailure,
            isUncertain,
        });
        const reason = isUncertain ? types.RefusalReason.OutcomeUnknown : types.RefusalReason.StoreUnavailable;
        return { ok: false, refusal: { reason, retryAfterMilliseconds: StoreRetryAfterMilliseconds } };
    }
}

function combineOutcomes(left: KeepOutcome, right: KeepOutcome): KeepOutcome {
    if (left === KeepOutcome.Kept || right === KeepOutcome.Kept) {
        return KeepOutcome.Kept;
    }
    return left === KeepOutcome.Uncertain || right === KeepOutcome.Uncertain
        ? KeepOutcome.Uncertain
        : KeepOutcome.NotKept;
}
