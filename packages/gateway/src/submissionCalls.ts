import type * as http from "node:http";
import type * as core from "@boragedale/core";
import * as gatewayLog from "./gatewayLog.js";
import * as refusals from "./refusals.js";
import * as stopHorizon from "./stopHorizon.js";
import type * as submissionService from "./submissionService.js";
import * as types from "./types.js";
import type * as wire from "./wire.js";

/** Dependencies of `SubmissionCalls`. */
export interface SubmissionCallParts {
    readonly wire: wire.CallerWire;
    readonly submissions: submissionService.SubmissionService;
    readonly log: gatewayLog.GatewayLog;
    readonly clock: core.Clock;
    readonly horizon: stopHorizon.StopHorizon;
}

/** A completely read request that submits batch items. */
export interface ReceivedSubmission {
    readonly raw: types.RawRequest;
    readonly head: types.RequestHead;
    readonly route: types.Route;
    readonly body: Buffer;
    readonly arrivedAt: core.MonotonicMilliseconds;
    readonly customer: string | undefined;
}

/** Retry delay given to callers whose call was refused. */
const RetryMilliseconds = 500;
/** Maximum time for which a read of results may wait. */
const MaximumReadWaitMilliseconds = 1_000;
/** Time for the page itself when a stop ends the wait for its first result. */
const PageMilliseconds = 100;

/** Time before the caller's timeout at which a submission is given up, for its refusal to arrive. */
const AnswerMilliseconds = 200;

/** Answers callers' requests that submit, read and end submissions. */
export class SubmissionCalls {
    constructor(private readonly parts: SubmissionCallParts) {}

    /** Answers a call about a submission. */
    async serve(
        call: types.SubmissionCall,
        name: submissionService.SubmissionName,
        response: http.ServerResponse,
    ): Promise<void> {
        const { submissions, horizon, clock } = this.parts;
        const latestEnd = horizon.getLatestEnd();
        if (clock.now() >= latestEnd) {
            this.refuse(response, types.RefusalReason.Stopping);
            return;
        }
        switch (call.kind) {
            case types.CallKind.ReadResults: {
                const longestWait = Math.max(0, latestEnd - clock.now() - PageMilliseconds);
                const wait = Math.min(MaximumReadWaitMilliseconds, call.waitMilliseconds, longestWait);
                const page = await horizon.waitUntilEnd(submissions.read(name, call.position, wait));
                if (page?.ok !== true) {
                    this.refuse(response, page?.reason ?? types.RefusalReason.Stopping);
                    return;
                }
                sendBody(response, Buffer.from(this.parts.wire.encodeResultPage(page.value)), "application/json");
                return;
            }
            case types.CallKind.ReadItemBody: {
                const body = await horizon.waitUntilEnd(submissions.readBody(name, call.item));
                if (body?.ok !== true) {
                    this.refuse(response, body?.reason ?? types.RefusalReason.Stopping);
                    return;
                }
                sendBody(response, body.value, "application/octet-stream");
                return;
            }
            case types.CallKind.EndSubmission: {
                const ended = await horizon.waitUntilEnd(submissions.end(name));
                if (ended?.ok !== true) {
                    this.refuse(response, ended?.reason ?? types.RefusalReason.OutcomeUnknown);
                    return;
                }
                sendEmpty(response, 200);
                return;
            }
        }
    }

    /** Answers a request that submits batch items. */
    async accept(received: ReceivedSubmission, response: http.ServerResponse): Promise<void> {
        const { raw, head, route, body, arrivedAt, customer } = received;
        const { horizon } = this.parts;
        const decoded = this.parts.wire.decodeSubmission(body);
        if (!decoded.ok || head.attemptId === "") {
            this.parts.log.recordEvent(gatewayLog.GatewayEvent.SubmissionRefused, {
                submission: head.attemptId,
                text: decoded.ok ? "no id" : decoded.text,
            });
            this.refuse(response, types.RefusalReason.BodyInvalid);
            return;
        }
        if (!horizon.canEnd({ route, head, arrivedAt })) {
            this.refuse(response, types.RefusalReason.Stopping);
            return;
        }
        const endRun = horizon.startRun({ route, head, arrivedAt });
        const deadline = Math.min(arrivedAt + stopHorizon.getTimeout({ route, head }), horizon.getLatestEnd());
        const accepted = this.parts.submissions.accept({
            id: head.attemptId,
            host: raw.host,
            target: raw.target,
            items: decoded.items,
            customer,
            deadline: deadline - AnswerMilliseconds,
        });
        const outcome = await horizon.waitUntilEnd(accepted);
        endRun(outcome !== undefined);
        if (outcome === undefined) {
            this.refuse(response, types.RefusalReason.OutcomeUnknown);
            return;
        }
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
            retryAfterMilliseconds: reason === types.RefusalReason.Stopping ? 0 : RetryMilliseconds,
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
