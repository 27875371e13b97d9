import * as core from "@boragedale/core";
import * as decisions from "@boragedale/decisions";
import * as telemetry from "@boragedale/telemetry";
import * as upstreams from "@boragedale/upstreams";
import * as deadline from "./deadline.js";
import * as refusals from "./refusals.js";
import type * as serverLimits from "./serverLimits.js";
import type * as types from "./types.js";
import * as directory from "./upstreamDirectory.js";

/** A call with its service and route from the release note. */
export interface CallTarget {
    readonly service: core.ServiceDescription;
    readonly route: core.RouteDescription;
    readonly call: types.ServiceCall;
}

export enum SentKind {
    Answered = "Answered",
    /** No byte was sent, so the call has not run. */
    NotSent = "NotSent",
    MayHaveRun = "MayHaveRun",
}

export type Sent =
    | { readonly kind: SentKind.Answered; readonly response: upstreams.ServiceResponse }
    | { readonly kind: SentKind.NotSent; readonly refusal: core.Refusal }
    | { readonly kind: SentKind.MayHaveRun; readonly upstream: core.UpstreamId };

export interface CallSenderOptions {
    readonly clock: core.Clock;
    readonly telemetry: telemetry.Telemetry;
    readonly directory: directory.UpstreamDirectory;
    readonly limits: serverLimits.ServerLimits;
    readonly retryBudget: decisions.RetryBudget;
}

/** Share of a service's slots that batch items may use, so that online calls still find one. */
const BatchShare = 0.5;
/** Number of times that a repeatable call is sent, including the first. */
const MaximumAttempts = 3;
/**
 * Minimum timeout of a call that may run only once, however short its caller's deadline. A late answer is still
 * recorded as the result, while closing the connection too early leaves the outcome unknown.
 */
const MinimumCallTimeoutMilliseconds = 30_000;

/** Sends calls to the servers of a service and reports whether a failed call may have run. */
export class CallSender {
    constructor(private readonly options: CallSenderOptions) {}

    /** Sends a call that may run any number of times, and retries it on other servers. */
    async sendRepeatable(
        service: core.ServiceDescription,
        call: types.ServiceCall,
        signal: AbortSignal,
    ): Promise<core.Outcome<upstreams.ServiceResponse>> {
        using limit = new deadline.Deadline(this.options.clock, call.deadlineAt, signal);
        const excluded = new Set<core.UpstreamId>();
        let certainty = core.RunCertainty.NotRun;
        let text = "no server is free";
        for (let attempt = 0; attempt < MaximumAttempts && !limit.signal.aborted; attempt++) {
            if (attempt > 0 && !this.options.retryBudget.tryTake()) {
                break;
            }
            const slot = this.takeSlot(service, excluded);
            if (slot === undefined) {
                break;
            }
            excluded.add(slot.server.id);
            const request = createRequest(call, false, Math.max(1, call.deadlineAt - this.options.clock.now()));
            const outcome = await this.sendTo(slot, call, request, limit.signal);
            if (outcome.ok && !isBusy(outcome.response.status)) {
                return core.createSuccess(outcome.response);
            }
            text = outcome.ok ? `status ${outcome.response.status}` : outcome.text;
            if (!outcome.ok && outcome.kind === upstreams.ServiceFailureKind.MayHaveRun) {
                certainty = core.RunCertainty.MayHaveRun;
            }
        }
        if (limit.isPassed()) {
            return core.createFailure(refusals.createDeadlinePassed(certainty));
        }
        return core.createFailure(
            excluded.size === 0
                ? refusals.createOverloaded(core.RunCertainty.NotRun)
                : refusals.createUpstreamFailed(text, certainty),
        );
    }

    /**
     * Sends a call that may run only once. It goes to another server only if no byte of it was sent to the one before.
     * `isAllowed` is checked right before each attempt, because another instance may have taken the call over while
     * this process was paused.
     */
    async sendOnce(target: CallTarget, isAllowed: () => boolean): Promise<Sent> {
        const excluded = new Set<core.UpstreamId>();
        for (;;) {
            const slot = this.takeSlot(target.service, excluded);
            if (slot === undefined || !isAllowed()) {
                slot?.release(decisions.CallSignal.Neutral);
                return { kind: SentKind.NotSent, refusal: refusals.createOverloaded(core.RunCertainty.NotRun) };
            }
            excluded.add(slot.server.id);
            const outcome = await this.sendOnceTo(slot, target.call);
            if (outcome.ok) {
                return { kind: SentKind.Answered, response: outcome.response };
            }
            if (outcome.kind === upstreams.ServiceFailureKind.MayHaveRun) {
                return { kind: SentKind.MayHaveRun, upstream: slot.server.id };
            }
        }
    }

    sendOnceTo(slot: serverLimits.ServerSlot, call: types.ServiceCall): Promise<upstreams.ServiceOutcome> {
        const remaining = call.deadlineAt - this.options.clock.now();
        const request = createRequest(call, true, Math.max(MinimumCallTimeoutMilliseconds, remaining));
        // Not cancelled with the caller: closing the connection would make the outcome of a running call unknown.
        return this.sendTo(slot, call, request, new AbortController().signal);
    }

    /** Takes a slot on a server that accepts new work. `sendOnceTo` releases it. */
    takeSlot(
        service: core.ServiceDescription,
        excluded: ReadonlySet<core.UpstreamId>,
    ): serverLimits.ServerSlot | undefined {
        return this.options.limits.tryTake(this.listServers(service), excluded);
    }

    /** Number of calls of a class that this instance may run on the service at once. */
    getLimit(service: core.ServiceDescription, requestClass: core.RequestClass): number {
        const total = this.options.limits.getTotal(this.listServers(service));
        return requestClass === core.RequestClass.Online ? total : Math.floor(total * BatchShare);
    }

    /** All servers that may know the outcome of a key, including those that are leaving. */
    listAskable(service: core.ServiceDescription): readonly core.UpstreamDescription[] {
        const fleet = this.options.directory.tryGetFleet();
        return fleet?.upstreams.filter(upstream => service.upstreams.includes(upstream.id)) ?? [];
    }

    async ask(server: core.UpstreamDescription, path: string): Promise<upstreams.AskOutcome> {
        using use = this.options.directory.useService(server, core.RequestClass.Online);
        return await use.client.ask(path);
    }

    private listServers(service: core.ServiceDescription): readonly core.UpstreamDescription[] {
        const fleet = this.options.directory.tryGetFleet();
        return fleet === undefined ? [] : directory.listServers(fleet, service);
    }

    private async sendTo(
        slot: serverLimits.ServerSlot,
        call: types.ServiceCall,
        request: upstreams.ServiceRequest,
        signal: AbortSignal,
    ): Promise<upstreams.ServiceOutcome> {
        let callSignal = decisions.CallSignal.Neutral;
        using use = this.options.directory.useService(slot.server, call.requestClass);
        const subject = { request: call.id, caller: call.caller, upstream: slot.server.id };
        this.options.telemetry.record(telemetry.events.RequestPlaced, subject);
        try {
            const outcome = await use.client.call(request, signal);
            callSignal = signal.aborted ? callSignal : toCallSignal(outcome);
            return outcome;
        }
        finally {
            slot.release(callSignal);
        }
    }
}

function toCallSignal(outcome: upstreams.ServiceOutcome): decisions.CallSignal {
    if (!outcome.ok) {
        return decisions.CallSignal.Overload;
    }
    return isBusy(outcome.response.status) ? decisions.CallSignal.Overload : decisions.CallSignal.Success;
}

/** Whether the status means that the server was busy. It has not run the call, and another server may run it. */
function isBusy(status: number): boolean {
    return status === 429 || status === 503;
}

function createRequest(
    call: types.ServiceCall,
    needsProvedConnection: boolean,
    timeoutMilliseconds: number,
): upstreams.ServiceRequest {
    return {
        method: call.method,
        path: call.path,
        headers: call.headers,
        body: call.body,
        key: call.key,
        needsProvedConnection,
        timeoutMilliseconds,
    };
}
