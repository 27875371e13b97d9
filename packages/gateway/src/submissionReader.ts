import * as protocol from "@boragedale/protocol";
import * as gatewayLog from "./gatewayLog.js";
import * as memberDirectory from "./memberDirectory.js";
import * as ownedSubmission from "./ownedSubmission.js";
import type * as submissionRegistry from "./submissionRegistry.js";
import * as submissionStore from "./submissionStore.js";
import * as types from "./types.js";

/** Result of a call about a submission, or the reason why it is refused. */
export type CallResult<T> =
    { readonly ok: true; readonly value: T } | { readonly ok: false; readonly reason: types.RefusalReason };

/** Maximum size of a page's texts. The platform limits a page to a megabyte, and JSON escapes need additional space. */
const MaximumPageBytes = 600_000;
/** Timeout of a request to a peer. A round trip takes some milliseconds; the rest allows for a busy event loop. */
const PeerTimeoutMilliseconds = 600;
/**
 * Lease of an end marker. It doesn't end with the member that wrote the marker, so that an owner whose watch was silent for some
 * seconds still finds it.
 */
const EndMarkerMilliseconds = 30_000;
const MaximumEndRounds = 5;

/** Serves calls about any submission: at its owner if that is reachable, otherwise from the store. */
export class SubmissionReader {
    private readonly parts: submissionRegistry.SubmissionServiceParts;

    constructor(private readonly registry: submissionRegistry.SubmissionRegistry) {
        this.parts = registry.parts;
        const { network } = this.parts;
        const kinds = protocol.MessageKind;
        network.handle(kinds.SubmissionRead, async message => this.servePage(message));
        network.handle(kinds.SubmissionItemRead, async message => this.serveBody(message));
        network.handle(kinds.SubmissionEnd, async message => this.serveEnd(message));
    }

    /** Reads results from `position`, and waits up to `waitMilliseconds` for the first one. */
    async read(submission: string, position: number, waitMilliseconds: number): Promise<CallResult<types.ResultPage>> {
        const own = this.registry.tryGetOwned(submission);
        if (own !== undefined) {
            return this.readOwned(own, position, waitMilliseconds);
        }
        const kind = protocol.MessageKind.SubmissionRead;
        const message = { kind, submission, position, waitMilliseconds } as const;
        const reply = await this.requestFromOwner(submission, message, waitMilliseconds + PeerTimeoutMilliseconds);
        if (reply?.kind === protocol.MessageKind.SubmissionPage) {
            return { ok: true, value: toResultPage(reply) };
        }
        return this.readFromStore(submission, position);
    }

    async readBody(submission: string, item: string): Promise<CallResult<Uint8Array>> {
        const own = this.registry.tryGetOwned(submission);
        if (own !== undefined) {
            const body = own.tryGetBody(item);
            return body === undefined
                ? { ok: false, reason: types.RefusalReason.UnknownItem }
                : { ok: true, value: body };
        }
        const message = { kind: protocol.MessageKind.SubmissionItemRead, submission, item } as const;
        const reply = await this.requestFromOwner(submission, message, PeerTimeoutMilliseconds);
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
        const items = await this.parts.submissionStore.readItems(submission, stored.value.head);
        if (!items.ok) {
            return { ok: false, reason: types.RefusalReason.StoreUnavailable };
        }
        const found = items.value.find(candidate => candidate.id === item);
        return found === undefined
            ? { ok: false, reason: types.RefusalReason.UnknownItem }
            : { ok: true, value: found.body };
    }

    /** Ends a submission. Idempotent. */
    async end(submission: string): Promise<CallResult<undefined>> {
        const own = this.registry.tryGetOwned(submission);
        if (own !== undefined) {
            return this.endOwned(own);
        }
        const message = { kind: protocol.MessageKind.SubmissionEnd, submission } as const;
        const reply = await this.requestFromOwner(submission, message, PeerTimeoutMilliseconds);
        if (reply?.kind === protocol.MessageKind.SubmissionEnded) {
            return { ok: true, value: undefined };
        }
        return this.endInStore(submission);
    }

    /** Applies changes of the end markers, through which a member ends a submission whose owner it can't reach directly. */
    applyEndMarkers(entries: readonly types.StoreEntry[]): void {
        for (const entry of entries) {
            if (entry.key.startsWith(memberDirectory.EndedPrefix)) {
                const id = decodeURIComponent(entry.key.slice(memberDirectory.EndedPrefix.length));
                this.registry.noteEndMarker(id, entry.value !== undefined);
            }
        }
    }

    private async endOwned(own: ownedSubmission.OwnedSubmission): Promise<CallResult<undefined>> {
        // Running items stop first: the caller no longer wants them, whatever the outcome of the write.
        this.parts.scheduler.remove(own);
        if (!(await own.end())) {
            return this.endInStore(own.getId());
        }
        this.parts.log.recordEvent(gatewayLog.GatewayEvent.SubmissionEnded, { submission: own.getId() });
        return { ok: true, value: undefined };
    }

    private async endInStore(submission: string): Promise<CallResult<undefined>> {
        let lease: string | undefined;
        for (let round = 0; round < MaximumEndRounds; round++) {
            const found = await this.parts.submissionStore.readHead(submission);
            if (!found.ok) {
                return { ok: false, reason: types.RefusalReason.StoreUnavailable };
            }
            if (found.value === undefined) {
                return { ok: false, reason: types.RefusalReason.UnknownSubmission };
            }
            if (found.value.head.isEnded) {
                return { ok: true, value: undefined };
            }
            if (lease === undefined) {
                const granted = await this.parts.store.grantLease(EndMarkerMilliseconds);
                if (!granted.ok) {
                    return { ok: false, reason: types.RefusalReason.StoreUnavailable };
                }
                lease = granted.value;
            }
            const key = memberDirectory.EndedPrefix + encodeURIComponent(submission);
            const outcome = await this.parts.submissionStore.write({
                submission,
                head: { ...found.value.head, nonce: ownedSubmission.createNonce(), isEnded: true },
                expected: found.value.revision,
                puts: [{ key, value: Buffer.from("1"), lease }],
            });
            if (outcome.kind === submissionStore.WriteOutcomeKind.Written) {
                this.parts.log.recordEvent(gatewayLog.GatewayEvent.SubmissionEnded, { submission });
                return { ok: true, value: undefined };
            }
        }
        return { ok: false, reason: types.RefusalReason.StoreUnavailable };
    }

    /** Sends a request to the submission's owner. Returns undefined if it is unknown or doesn't answer. */
    private async requestFromOwner(
        submission: string,
        message: protocol.Message,
        timeoutMilliseconds: number,
    ): Promise<protocol.Message | undefined> {
        let owner = this.registry.tryGetOwner(submission);
        if (owner === undefined) {
            const found = await this.parts.submissionStore.readHead(submission);
            if (!found.ok || found.value === undefined) {
                return undefined;
            }
            owner = found.value.head.owner;
            this.registry.setOwner(submission, owner);
        }
        if (this.parts.members.tryGet(owner) === undefined) {
            return undefined;
        }
        const reply = await this.parts.network.request(owner, message, {
            lane: protocol.Lane.Online,
            timeoutMilliseconds,
        });
        if (!reply.ok || reply.message.kind === protocol.MessageKind.Refused) {
            this.registry.forgetOwner(submission);
            return undefined;
        }
        return reply.message;
    }

    /** Reads results of a submission that this member owns or has owned, from the store if others may have listed further ones. */
    private async readOwned(
        own: ownedSubmission.OwnedSubmission,
        position: number,
        waitMilliseconds: number,
    ): Promise<CallResult<types.ResultPage>> {
        await own.waitForPosition(position, waitMilliseconds);
        return own.isPageCertain(position)
            ? { ok: true, value: own.getPage(position, MaximumPageBytes) }
            : this.readFromStore(own.getId(), position);
    }

    private async findHead(submission: string): Promise<CallResult<submissionStore.StoredHead>> {
        const found = await this.registry.readHead(submission);
        if (!found.ok) {
            return { ok: false, reason: types.RefusalReason.StoreUnavailable };
        }
        return found.value === undefined
            ? { ok: false, reason: types.RefusalReason.UnknownSubmission }
            : { ok: true, value: found.value };
    }

    private async readFromStore(submission: string, position: number): Promise<CallResult<types.ResultPage>> {
        const stored = await this.findHead(submission);
        if (!stored.ok) {
            return stored;
        }
        const { head } = stored.value;
        if (head.listed <= position) {
            return { ok: true, value: { total: head.itemCount, next: position, results: [] } };
        }
        const read = await this.parts.submissionStore.readResults(submission, head, position);
        if (!read.ok) {
            return { ok: false, reason: types.RefusalReason.StoreUnavailable };
        }
        const results = read.value.results.slice(position - read.value.first);
        return { ok: true, value: ownedSubmission.createPage(head.itemCount, results, position, MaximumPageBytes) };
    }

    private async servePage(message: protocol.SubmissionRead): Promise<protocol.Message> {
        const own = this.registry.tryGetOwned(message.submission);
        if (own === undefined) {
            return { kind: protocol.MessageKind.Refused, text: "not run here" };
        }
        const page = await this.readOwned(own, message.position, message.waitMilliseconds);
        return page.ok
            ? { kind: protocol.MessageKind.SubmissionPage, ...page.value }
            : { kind: protocol.MessageKind.Refused, text: page.reason };
    }

    private async serveBody(message: protocol.SubmissionItemRead): Promise<protocol.Message> {
        const own = this.registry.tryGetOwned(message.submission);
        if (own === undefined) {
            return { kind: protocol.MessageKind.Refused, text: "not run here" };
        }
        const body = own.tryGetBody(message.item);
        const kind = protocol.MessageKind.SubmissionItemBody;
        return body === undefined ? { kind } : { kind, body };
    }

    private async serveEnd(message: protocol.SubmissionEnd): Promise<protocol.Message> {
        const own = this.registry.tryGetOwned(message.submission);
        const ended = own === undefined ? undefined : await this.endOwned(own);
        return ended?.ok === true
            ? { kind: protocol.MessageKind.SubmissionEnded }
            : { kind: protocol.MessageKind.Refused, text: "not run here, or not ended" };
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
