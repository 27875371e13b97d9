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

/** A submission that a caller asks the gateway to accept. */
export interface NewSubmission {
    readonly id: string;
    readonly host: string;
    readonly target: string;
    readonly items: readonly types.BatchItem[];
    /** Name of the customer; undefined if the route needs no key. */
    readonly customer: string | undefined;
    /** Time until which the caller waits. */
    readonly deadline: core.MonotonicMilliseconds;
}

/** Names a submission as its caller does. Different customers may use the same id. */
export interface SubmissionName {
    readonly id: string;
    readonly customer: string | undefined;
}

export type AcceptOutcome = { readonly ok: true } | { readonly ok: false; readonly refusal: types.GatewayRefusal };

/** Maximum size of a stored part of the items. */
const MaximumItemPartBytes = 500_000;
/** Pause between attempts to write. Each rejected call has a cost, and outages last seconds. */
const StoreRetryPauseMilliseconds = 300;
/** Retry delay given to callers while the store doesn't answer. Outages last seconds. */
const StoreRetryAfterMilliseconds = 1_000;

/** A write that takes longer counts as slow: the store answers in milliseconds, and callers expect an answer in a few hundred. */
const SlowWriteMilliseconds = 120;
/** Time after a failure of the store for which peers are asked at once: the platform's limit for a working store. */
const StoreSuspicionMilliseconds = 3_000;
/** Timeout of a request that a peer store a submission: a round trip and a write that may be repeated once. */
const PeerTimeoutMilliseconds = 450;
/** If a third of the members are cut off from the store, three peers in a row are affected in one of thirty cases. */
const MaximumPeersAsked = 3;

/** Outcome of an attempt to store a submission. */
enum StorageOutcome {
    Stored = "Stored",
    /** The submission is certainly not stored, and none of its items will run. */
    NotStored = "NotStored",
    /** A write or a message was sent and not answered. */
    Uncertain = "Uncertain",
}

/** Records to be written for a new submission. */
interface NewRecords {
    readonly head: records.SubmissionHead;
    readonly puts: readonly metadataStore.Put[];
}

/** Accepts submissions. Delegates other operations to the registry, the reader and the takeover. */
export class SubmissionService implements AsyncDisposable {
    private readonly registry: submissionRegistry.SubmissionRegistry;
    private readonly reader: submissionReader.SubmissionReader;
    private readonly takeover: submissionTakeover.SubmissionTakeover;
    /** Until this time peers are asked at once, since the store has recently failed for this member. */
    private storeSuspectUntil: core.MonotonicMilliseconds = -Infinity;
    /** The store's last failure, which is logged when a submission is refused. */
    private lastStoreFailure = "";

    constructor(private readonly parts: submissionRegistry.SubmissionServiceParts) {
        this.registry = new submissionRegistry.SubmissionRegistry(parts);
        this.reader = new submissionReader.SubmissionReader(this.registry);
        this.takeover = new submissionTakeover.SubmissionTakeover(this.registry);
        parts.network.handle(protocol.MessageKind.SubmissionForward, async message => this.serveForward(message));
    }

    /** Stores a submission and starts to run it. Repeated submissions with the same id are accepted without effect. */
    async accept(requested: NewSubmission): Promise<AcceptOutcome> {
        const submission = { ...requested, id: records.scopeId(requested.id, requested.customer) };
        if (this.registry.isKnown(submission.id)) {
            return { ok: true };
        }
        const newRecords = this.tryCreateRecords(submission);
        if (newRecords === undefined) {
            return { ok: false, refusal: { reason: types.RefusalReason.BodyTooLarge } };
        }
        const outcome = this.registry.isShuttingDown
            ? await this.storeAtPeerOrLocally(submission, newRecords)
            : await this.storeLocallyOrAtPeer(submission, newRecords);
        return outcome === StorageOutcome.Stored ? { ok: true } : this.refuse(submission, outcome);
    }

    /** Reads results from `position`, and waits up to `waitMilliseconds` for the first one. */
    async read(
        submission: SubmissionName,
        position: number,
        waitMilliseconds: number,
    ): Promise<submissionReader.CallResult<types.ResultPage>> {
        return this.callWithScopedId(submission, id => this.reader.read(id, position, waitMilliseconds));
    }

    async readBody(submission: SubmissionName, item: string): Promise<submissionReader.CallResult<Uint8Array>> {
        return this.callWithScopedId(submission, id => this.reader.readBody(id, item));
    }

    /** Ends a submission. Idempotent. */
    async end(submission: SubmissionName): Promise<submissionReader.CallResult<undefined>> {
        return this.callWithScopedId(submission, id => this.reader.end(id));
    }

    /** Applies changes of the end markers, through which a member ends a submission whose owner it can't reach directly. */
    applyEndMarkers(entries: readonly types.StoreEntry[]): void {
        this.reader.applyEndMarkers(entries);
    }

    /** Regularly takes over submissions without an owner, and removes those whose retention period has ended. */
    async run(): Promise<void> {
        await this.takeover.run();
    }

    /** Hands over all submissions that this member owns to its peers, until the service is disposed. */
    async handOver(): Promise<void> {
        await this.takeover.handOver();
    }

    /** Number of owned submissions that still have items to run. */
    getActiveCount(): number {
        return this.registry.getAllOwned().filter(own => own.isActive() && !own.isComplete()).length;
    }

    getOwnedCount(): number {
        return this.registry.getAllOwned().length;
    }

    async [Symbol.asyncDispose](): Promise<void> {
        await this.takeover[Symbol.asyncDispose]();
        this.registry.getAllOwned().forEach(submission => submission.giveUpOwnership("this member shuts down"));
    }

    /**
     * Applies an operation to the customer's submission or, if that doesn't exist, to the one without a customer. Submissions that
     * were accepted before customers were configured, or on a route without keys, are accessible to all customers.
     */
    private async callWithScopedId<T>(
        { id, customer }: SubmissionName,
        operation: (id: string) => Promise<submissionReader.CallResult<T>>,
    ): Promise<submissionReader.CallResult<T>> {
        if (!records.isCallerId(id)) {
            return { ok: false, reason: types.RefusalReason.UnknownSubmission };
        }
        const found = await operation(records.scopeId(id, customer));
        const isUnknown = !found.ok && found.reason === types.RefusalReason.UnknownSubmission;
        return isUnknown && customer !== undefined ? operation(id) : found;
    }

    /** Used during shutdown: a submission stored by this member would have to wait until another one takes it over. */
    private async storeAtPeerOrLocally(submission: NewSubmission, newRecords: NewRecords): Promise<StorageOutcome> {
        const atPeer = await this.storeAtPeer(submission);
        if (atPeer === StorageOutcome.Stored) {
            return atPeer;
        }
        return combineOutcomes(atPeer, await this.storeLocally(submission, newRecords));
    }

    /**
     * Asks a peer to store the submission if the local write is slow. The store may reject or ignore this member's calls while it
     * serves others, and the caller would wait for seconds or be refused although the platform works. Both writes create
     * the head under the same key, on condition that it doesn't exist, so the later one has no effect.
     */
    private async storeLocallyOrAtPeer(submission: NewSubmission, newRecords: NewRecords): Promise<StorageOutcome> {
        const { clock } = this.parts;
        const localWrite = this.storeLocally(submission, newRecords);
        const peerDelay = clock.now() < this.storeSuspectUntil ? 0 : SlowWriteMilliseconds;
        const early = await Promise.race([localWrite, clock.sleep(peerDelay).then(() => undefined)]);
        if (early === StorageOutcome.Stored) {
            return early;
        }
        const atPeer = this.storeAtPeer(submission);
        const first = await Promise.race([localWrite, atPeer]);
        return first === StorageOutcome.Stored ? first : combineOutcomes(await localWrite, await atPeer);
    }

    /** Repeats the write until its outcome is known or the caller's deadline would pass. */
    private async storeLocally(submission: NewSubmission, newRecords: NewRecords): Promise<StorageOutcome> {
        const { clock } = this.parts;
        const { head, puts } = newRecords;
        let isUncertain = false;
        while (!this.registry.isKnown(submission.id)) {
            const period = this.parts.registration.tryGetListingPeriod();
            const outcome = await this.parts.submissionStore.write({
                submission: submission.id,
                head,
                expected: 0,
                puts,
            });
            switch (outcome.kind) {
                case submissionStore.WriteOutcomeKind.Written:
                    this.start(submission, { head, revision: outcome.revision }, period);
                    return StorageOutcome.Stored;
                case submissionStore.WriteOutcomeKind.Conflict:
                    // This or another member has already accepted it.
                    if (outcome.current !== undefined) {
                        this.registry.setOwner(submission.id, outcome.current.head.owner);
                    }
                    return StorageOutcome.Stored;
                case submissionStore.WriteOutcomeKind.Unknown:
                    isUncertain = true;
                    break;
                case submissionStore.WriteOutcomeKind.NotDone:
                    break;
            }
            this.storeSuspectUntil = clock.now() + StoreSuspicionMilliseconds;
            this.lastStoreFailure = outcome.text;
            if (clock.now() + StoreRetryPauseMilliseconds > submission.deadline) {
                return isUncertain ? StorageOutcome.Uncertain : StorageOutcome.NotStored;
            }
            await clock.sleep(StoreRetryPauseMilliseconds);
        }
        return StorageOutcome.Stored;
    }

    /** Asks several peers in turn, since a peer may be cut off from the store as well. */
    private async storeAtPeer(submission: NewSubmission): Promise<StorageOutcome> {
        const asked = new Set<core.InstanceId>();
        let result = StorageOutcome.NotStored;
        while (asked.size < MaximumPeersAsked) {
            const peer = this.registry.chooseActivePeer(asked);
            const remaining = submission.deadline - this.parts.clock.now();
            if (peer === undefined || remaining <= 0) {
                return result;
            }
            asked.add(peer);
            const outcome = await this.requestStorage(peer, submission, Math.min(PeerTimeoutMilliseconds, remaining));
            if (outcome === StorageOutcome.Stored) {
                return outcome;
            }
            result = combineOutcomes(result, outcome);
        }
        return result;
    }

    private async requestStorage(
        peer: core.InstanceId,
        submission: NewSubmission,
        waitMilliseconds: number,
    ): Promise<StorageOutcome> {
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
            // Only if the message was not sent is it certain that the peer did nothing.
            return reply.kind === protocol.PeerFailureKind.NotConnected
                ? StorageOutcome.NotStored
                : StorageOutcome.Uncertain;
        }
        switch (reply.message.kind) {
            case protocol.MessageKind.SubmissionKept:
                this.registry.setOwner(submission.id, peer);
                return StorageOutcome.Stored;
            case protocol.MessageKind.SubmissionNotKept:
                return reply.message.isCertain ? StorageOutcome.NotStored : StorageOutcome.Uncertain;
            default:
                return StorageOutcome.Uncertain;
        }
    }

    private async serveForward(message: protocol.SubmissionForward): Promise<protocol.Message> {
        if (this.registry.isShuttingDown) {
            // The items would have to be handed over at once, and the peer can ask another member.
            return { kind: protocol.MessageKind.SubmissionNotKept, isCertain: true };
        }
        const items = records.tryDecodeItems(message.items);
        const { submission: id, host, target, customer } = message;
        const deadline = this.parts.clock.now() + message.waitMilliseconds;
        const submission = items === undefined ? undefined : { id, host, target, items, customer, deadline };
        const newRecords = submission === undefined ? undefined : this.tryCreateRecords(submission);
        if (submission === undefined || newRecords === undefined) {
            return { kind: protocol.MessageKind.SubmissionNotKept, isCertain: true };
        }
        const outcome = await this.storeLocally(submission, newRecords);
        return outcome === StorageOutcome.Stored
            ? { kind: protocol.MessageKind.SubmissionKept }
            : { kind: protocol.MessageKind.SubmissionNotKept, isCertain: outcome === StorageOutcome.NotStored };
    }

    /** Creates the records of a submission; undefined if it is too large for the store. */
    private tryCreateRecords(submission: NewSubmission): NewRecords | undefined {
        const parts = records.tryEncodeItems(submission.items, MaximumItemPartBytes);
        const isTooLarge = parts === undefined || parts.length >= metadataStore.MaximumTransactionEntries - 1;
        if (isTooLarge || Buffer.byteLength(submission.id) > records.MaximumIdBytes) {
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

    private start(submission: NewSubmission, stored: submissionStore.StoredHead, period: number | undefined): void {
        this.parts.log.recordEvent(gatewayLog.GatewayEvent.SubmissionAccepted, {
            submission: submission.id,
            items: submission.items.length,
            revision: stored.revision,
        });
        this.registry.startOwning(submission.id, stored, submission.items, [], period);
    }

    /** Refuses a submission. The reason states that nothing runs only if the submission was certainly not stored. */
    private refuse(submission: NewSubmission, outcome: StorageOutcome): AcceptOutcome {
        const isUncertain = outcome === StorageOutcome.Uncertain;
        this.parts.log.recordEvent(gatewayLog.GatewayEvent.SubmissionRefused, {
            submission: submission.id,
            text: this.lastStoreFailure,
            isUncertain,
        });
        const reason = isUncertain ? types.RefusalReason.OutcomeUnknown : types.RefusalReason.StoreUnavailable;
        return { ok: false, refusal: { reason, retryAfterMilliseconds: StoreRetryAfterMilliseconds } };
    }
}

function combineOutcomes(left: StorageOutcome, right: StorageOutcome): StorageOutcome {
    if (left === StorageOutcome.Stored || right === StorageOutcome.Stored) {
        return StorageOutcome.Stored;
    }
    return left === StorageOutcome.Uncertain || right === StorageOutcome.Uncertain
        ? StorageOutcome.Uncertain
        : StorageOutcome.NotStored;
}
