import * as core from "@boragedale/core";
import * as decisions from "@boragedale/decisions";
import * as telemetry from "@boragedale/telemetry";
import * as upstreams from "@boragedale/upstreams";
import * as deadline from "./deadline.js";
import * as refusals from "./refusals.js";
import type * as serverLimits from "./serverLimits.js";
import type * as types from "./types.js";
import * as directory from "./upstreamDirectory.js";

/** A call and what the release note says of its route. */
export interface CallTarget {
    readonly service: core.ServiceDescription;
    readonly route: core.RouteDescription;
    readonly call: types.ServiceCall;
}

export enum SentKind {
    Answered = "Answered",
    /** No byte left: not run. */
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

/** Part of a service's places that batch items may use, so that an online call always finds one. */
const BatchShare = 0.5;
/** Sendings of a repeatable call, the first included. */
const MaximumAttempts = 3;
/**
 * A call that may run once is waited for at least this long, in milliseconds, however short its caller's deadline: an
 * answer that comes late is still its result, while a connection closed too early leaves an unknown outcome.
 */
const MinimumCallTimeout = 30_000;

/** Sends calls to the servers of a service and tells strictly whether they can have run. */
export class CallSender {
    constructor(private readonly options: CallSenderOptions) {}

    /** Sends a call that may run any number of times, on other servers too when one fails. */
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
            const place = this.takePlace(service, excluded);
            if (place === undefined) {
                break;
            }
            excluded.add(place.server.id);
            const request = createRequest(call, false, Math.max(1, call.deadlineAt - this.options.clock.now()));
            const outcome = await this.sendTo(place, call, request, limit.signal);
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
     * Sends a call that may run once: to another server only while no byte of it has left. `isAllowed` is asked right
     * before each sending: a process that was paused since the start was recorded may have lost it to another instance.
     */
    async sendOnce(target: CallTarget, isAllowed: () => boolean): Promise<Sent> {
        const excluded = new Set<core.UpstreamId>();
        for (;;) {
            const place = this.takePlace(target.service, excluded);
            if (place === undefined || !isAllowed()) {
                place?.release(decisions.CallSignal.Neutral);
                return { kind: SentKind.NotSent, refusal: refusals.createOverloaded(core.RunCertainty.NotRun) };
            }
            excluded.add(place.server.id);
            const outcome = await this.sendOnceTo(place, target.call);
            if (outcome.ok) {
                return { kind: SentKind.Answered, response: outcome.response };
            }
            if (outcome.kind === upstreams.ServiceFailureKind.MayHaveRun) {
                return { kind: SentKind.MayHaveRun, upstream: place.server.id };
            }
        }
    }

    sendOnceTo(place: serverLimits.ServerPlace, call: types.ServiceCall): Promise<upstreams.ServiceOutcome> {
        const rest = call.deadlineAt - this.options.clock.now();
        const request = createRequest(call, true, Math.max(MinimumCallTimeout, rest));
        // Never cancelled: a closed connection would make an unknown outcome out of a call that is about to end.
        return this.sendTo(place, call, request, new AbortController().signal);
    }

    /** Takes a place on a server that takes new work; `sendOnceTo` gives it back. */
    takePlace(
        service: core.ServiceDescription,
        excluded: ReadonlySet<core.UpstreamId>,
    ): serverLimits.ServerPlace | undefined {
        return this.options.limits.tryTake(this.listServers(service), excluded);
    }

    /** Calls of a class that this instance may run on the service at once. */
    getLimit(service: core.ServiceDescription, requestClass: core.RequestClass): number {
        const total = this.options.limits.getTotal(this.listServers(service));
        return requestClass === core.RequestClass.Online ? total : Math.floor(total * BatchShare);
    }

    /** Every server that may hold the outcome of a key, leaving ones included. */
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
        place: serverLimits.ServerPlace,
        call: types.ServiceCall,
        request: upstreams.ServiceRequest,
        signal: AbortSignal,
    ): Promise<upstreams.ServiceOutcome> {
        let told = decisions.CallSignal.Neutral;
        using use = this.options.directory.useService(place.server, call.requestClass);
        const subject = { request: call.id, caller: call.caller, upstream: place.server.id };
        this.options.telemetry.record(telemetry.events.RequestPlaced, subject);
        try {
            const outcome = await use.client.call(request, signal);
            told = signal.aborted ? told : toCallSignal(outcome);
            return outcome;
        }
        finally {
            place.release(told);
        }
    }
}

function toCallSignal(outcome: upstreams.ServiceOutcome): decisions.CallSignal {
    if (!outcome.ok) {
        return decisions.CallSignal.Overload;
    }
    return isBusy(outcome.response.status) ? decisions.CallSignal.Overload : decisions.CallSignal.Success;
}

/** A service that is busy has not run the call, and another server may. */
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
