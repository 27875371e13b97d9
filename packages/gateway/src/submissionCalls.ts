import type * as http from "node:http";
import type * as core from "@boragedale/core";
import * as gatewayLog from "./gatewayLog.js";
import * as refusals from "./refusals.js";
import type * as submissionService from "./submissionService.js";
import * as types from "./types.js";
import type * as wire from "./wire.js";

/** Dependencies of `SubmissionCalls`. */
export interface SubmissionCallParts {
    readonly wire: wire.CallerWire;
    readonly submissions: submissionService.SubmissionService;
    readonly log: gatewayLog.GatewayLog;
}

/** A completely read request that submits batch items. */
export interface ReceivedSubmission {
    readonly raw: types.RawRequest;
    readonly head: types.RequestHead;
    readonly body: Buffer;
    readonly arrivedAt: core.MonotonicMilliseconds;
    readonly customer: string | undefined;
}

/** Retry delay given to callers whose call was refused. */
const RetryMilliseconds = 500;
/** Maximum time for which a read of results may wait. */
const MaximumReadWaitMilliseconds = 1_000;
/** Timeout of submissions whose caller gives none. Forwarded requests use their route's timeout instead. */
const DefaultSubmissionTimeoutMilliseconds = 4_000;

/** Answers callers' requests that submit, read and end submissions. */
export class SubmissionCalls {
    constructor(private readonly parts: SubmissionCallParts) {}

    /** Answers a call about a submission. */
    async serve(
        call: types.SubmissionCall,
        name: submissionService.SubmissionName,
        response: http.ServerResponse,
    ): Promise<void> {
        switch (call.kind) {
            case types.CallKind.ReadResults: {
                const wait = Math.min(MaximumReadWaitMilliseconds, call.waitMilliseconds);
                const page = await this.parts.submissions.read(name, call.position, wait);
                if (!page.ok) {
                    this.refuse(response, page.reason);
                    return;
                }
                sendBody(response, Buffer.from(this.parts.wire.encodeResultPage(page.value)), "application/json");
                return;
            }
            case types.CallKind.ReadItemBody: {
                const body = await this.parts.submissions.readBody(name, call.item);
                if (!body.ok) {
                    this.refuse(response, body.reason);
                    return;
                }
                sendBody(response, body.value, "application/octet-stream");
                return;
            }
            case types.CallKind.EndSubmission: {
                const ended = await this.parts.submissions.end(name);
                if (!ended.ok) {
                    this.refuse(response, ended.reason);
                    return;
                }
                sendEmpty(response, 200);
                return;
            }
        }
    }

    /** Answers a request that submits batch items. */
    async accept(received: ReceivedSubmission, response: http.ServerResponse): Promise<void> {
        const { raw, head, body, arrivedAt, customer } = received;
        const decoded = this.parts.wire.decodeSubmission(body);
        if (!decoded.ok || head.attemptId === "") {
            this.parts.log.recordEvent(gatewayLog.GatewayEvent.SubmissionRefused, {
                submission: head.attemptId,
                text: decoded.ok ? "no id" : decoded.text,
            });
            this.refuse(response, types.RefusalReason.BodyInvalid);
            return;
        }
        const outcome = await this.parts.submissions.accept({
            id: head.attemptId,
            host: raw.host,
            target: raw.target,
            items: decoded.items,
            customer,
            deadline: arrivedAt + (head.timeoutMilliseconds ?? DefaultSubmissionTimeoutMilliseconds) - 200,
        });
        if (outcome.ok) {
            sendEmpty(response, 202);
            return;
        }
        refusals.sendRefusal(this.parts.wire, response, outcome.refusal);
    }

    /** Refuses a call whose request has been read. */
    refuse(response: http.ServerResponse, reason: types.RefusalReason): void {
        refusals.sendRefusal(this.parts.wire, response, {
            reason,
            retryAfterMilliseconds: RetryMilliseconds,
        });
    }
}

export function sendEmpty(response: http.ServerResponse, status: number): void {
    response.writeHead(status, { "Content-Length": 0 });
    response.end();
}

function sendBody(response: http.ServerResponse, body: Uint8Array, contentType: string): void {
    response.writeHead(200, { "Content-Type": contentType, "Content-Length": body.length });
    response.end(body);
}
