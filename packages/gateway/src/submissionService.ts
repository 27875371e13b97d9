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
    /** Until when the caller waits. */
    readonly deadline: core.MonotonicMilliseconds;
}

export type AcceptOutcome = { readonly ok: true } | { readonly ok: false; readonly refusal: types.GatewayRefusal };

const ItemPartBytes = 500_000;
/** Each refused call has its price, and an outage lasts seconds. */
const StoreRetryMilliseconds = 300;
/** When to come back while the store does not answer: an outage lasts seconds. */
const StoreRetryAfterMilliseconds = 1_000;

/** Accepts submissions, and joins what runs, reads and takes them over. */
export class SubmissionService implements AsyncDisposable {
    private readonly registry: submissionRegistry.SubmissionRegistry;
    private readonly reader: submissionReader.SubmissionReader;
    private readonly takeover: submissionTakeover.SubmissionTakeover;

    constructor(private readonly parts: submissionRegistry.SubmissionServiceParts) {
        this.registry = new submissionRegistry.SubmissionRegistry(parts);
        this.reader = new submissionReader.SubmissionReader(this.registry);
        this.takeover = new submissionTakeover.SubmissionTakeover(this.registry);
        parts.network.handle(protocol.MessageKind.SubmissionForward, async message => this.serveForward(message));
    }

    /** Makes a submission durable and runs it; accepted once, however often it comes. */
    async accept(submission: NewSubmission, canForward = true): Promise<AcceptOutcome> {
        const { clock } = this.parts;
        if (this.registry.isKnown(submission.id)) {
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
        if (this.registry.isLeaving && canForward) {
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
                        this.registry.setOwner(submission.id, outcome.current.head.owner);
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
    async read(
        submission: string,
        position: number,
        waitMilliseconds: number,
    ): Promise<submissionReader.Answer<types.ResultPage>> {
        return this.reader.read(submission, position, waitMilliseconds);
    }

    async readBody(submission: string, item: string): Promise<submissionReader.Answer<Uint8Array>> {
        return this.reader.readBody(submission, item);
    }

    /** Ends a submission; repeating it changes nothing. */
    async end(submission: string): Promise<submissionReader.Answer<undefined>> {
        return this.reader.end(submission);
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

    /**
     * The store may turn this member away while it serves the others: one of them can keep the submission. It is the same
     * one, so a write of ours that is carried out late meets it and does nothing.
     */
    private async acceptElsewhere(submission: NewSubmission): Promise<boolean> {
        const peer = this.registry.chooseStayingPeer();
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
            waitMilliseconds: Math.min(submissionRegistry.ForwardMilliseconds, remaining),
        } as const;
        const reply = await this.parts.network.request(peer, message, {
            lane: protocol.Lane.Bulk,
            timeoutMilliseconds: message.waitMilliseconds,
        });
        if (!reply.ok || reply.message.kind !== protocol.MessageKind.SubmissionKept) {
            return false;
        }
        this.registry.setOwner(submission.id, peer);
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
        this.registry.own(submission.id, stored, submission.items, []);
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
}
