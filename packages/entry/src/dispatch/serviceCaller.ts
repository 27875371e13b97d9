import * as crypto from "node:crypto";
import * as core from "@boragedale/core";
import type * as decisions from "@boragedale/decisions";
import type * as telemetry from "@boragedale/telemetry";
import type * as upstreams from "@boragedale/upstreams";
import * as work from "@boragedale/work";
import type * as admissionDesk from "./admissionDesk.js";
import * as callRecovery from "./callRecovery.js";
import * as callSender from "./callSender.js";
import * as refusals from "./refusals.js";
import * as routes from "./routes.js";
import type * as types from "./types.js";
import type * as directory from "./upstreamDirectory.js";

export interface ServiceCallerOptions {
    readonly clock: core.Clock;
    readonly telemetry: telemetry.Telemetry;
    readonly directory: directory.UpstreamDirectory;
    readonly sender: callSender.CallSender;
    readonly ledger: work.CallLedger;
    readonly admission: admissionDesk.AdmissionDesk;
    readonly retryBudget: decisions.RetryBudget;
    /** Tasks that go on behind an answer; drain waits for them. */
    readonly runBehind: (task: Promise<unknown>) => void;
}

type CallOutcome = core.Outcome<upstreams.ServiceResponse>;

/** Starts of one call, the first included, before a service that denies it each time is no longer believed. */
const MaximumAttempts = 4;

/** Longest that an answer waits for its outcome to be recorded, in milliseconds. */
const RecordingBound = 500;

/**
 * Calls plain services. Repeatable calls are retried like any; all others go through the ledger, which lets a key run
 * at most once.
 */
export class ServiceCaller {
    constructor(private readonly options: ServiceCallerOptions) {}

    async call(call: types.ServiceCall, signal: AbortSignal): Promise<CallOutcome> {
        const fleet = this.options.directory.tryGetFleet();
        if (fleet === undefined) {
            return core.createFailure(refusals.createNoNote());
        }
        const service = fleet.services.find(candidate => candidate.id === call.service);
        if (service === undefined) {
            return core.createFailure(refusals.createServiceUnknown(call.service));
        }
        const route = routes.tryGetRoute(service, call.method, call.path);
        if (route === undefined) {
            return core.createFailure(refusals.createServiceUnknown(`${call.service}${call.path}`));
        }
        const admitted = await this.admit(fleet, service, call, signal);
        if (!admitted.ok) {
            return core.createFailure(admitted.refusal);
        }
        const startedAt = this.options.clock.now();
        const leave = (): void => admitted.value.leave(this.options.clock.now() - startedAt);
        if (route.safety === core.CallSafety.Idempotent) {
            return this.options.sender.sendRepeatable(service, call, signal).finally(leave);
        }
        // A call that is not repeatable runs to its end, and is recorded, whether or not its caller still waits.
        const task = this.runOnce({ service, route, call }).finally(leave);
        this.options.runBehind(task);
        return this.waitWithin(task, call, signal);
    }

    /** Before the ledger: a call that is refused for lack of a place costs no write. */
    private admit(
        fleet: core.FleetDescription,
        service: core.ServiceDescription,
        call: types.ServiceCall,
        signal: AbortSignal,
    ): Promise<core.Outcome<admissionDesk.Ticket>> {
        const caller = fleet.callers.find(candidate => candidate.id === call.caller);
        this.options.retryBudget.onRequest();
        return this.options.admission.enter(
            {
                queue: `service/${service.id}/${call.requestClass}`,
                caller: call.caller,
                weight: caller?.weight ?? 1,
                cost: 1,
                deadlineAt: call.deadlineAt,
                getLimit: () => this.options.sender.getLimit(service, call.requestClass),
            },
            signal,
        );
    }

    private async runOnce(target: callSender.CallTarget): Promise<CallOutcome> {
        const { call } = target;
        const request: work.CallRequest = {
            caller: call.caller,
            key: call.key,
            service: call.service,
            fingerprint: createFingerprint(call),
        };
        const begun = await this.options.ledger.begin(request);
        switch (begun.kind) {
            case work.BeginKind.Started:
                return this.sendStarted(target, begun.record);
            case work.BeginKind.Finished:
                return core.createSuccess(begun.result);
            case work.BeginKind.InFlight:
                return this.waitForOther(target);
            case work.BeginKind.Orphaned:
                return this.recover(target, begun.record);
            case work.BeginKind.KeyReused:
                return core.createFailure(refusals.createKeyReused());
            case work.BeginKind.OutcomeUnknown:
                return core.createFailure(refusals.createOutcomeUnknown());
            case work.BeginKind.Unavailable:
                return core.createFailure(refusals.createKeyValueDown());
        }
    }

    private async sendStarted(target: callSender.CallTarget, record: work.CallRecord): Promise<CallOutcome> {
        const isAllowed = (): boolean => this.options.ledger.isSendAllowed(record);
        const sent = await this.options.sender.sendOnce(target, isAllowed);
        switch (sent.kind) {
            case callSender.SentKind.Answered:
                return this.finish(target.call, record, sent.response);
            case callSender.SentKind.NotSent:
                // Freed before the refusal is given: a caller that comes back at once must be able to start it.
                await this.options.ledger.release(record);
                return core.createFailure(sent.refusal);
            case callSender.SentKind.MayHaveRun:
                return this.settle(target, record, sent.upstream);
        }
    }

    /** The sender of the recorded attempt is gone. Which upstream it had chosen is not known. */
    private async recover(target: callSender.CallTarget, orphan: work.CallRecord): Promise<CallOutcome> {
        const record = await this.options.ledger.takeOver(orphan);
        return record === undefined ? this.waitForOther(target) : this.settle(target, record, undefined);
    }

    /** The call may have run: find out, or send it again where that is harmless, or give it up for good. */
    private async settle(
        target: callSender.CallTarget,
        record: work.CallRecord,
        upstream: core.UpstreamId | undefined,
    ): Promise<CallOutcome> {
        const settled = await callRecovery.settle(target, upstream, this.options.sender, this.options.clock);
        if (settled.kind === callRecovery.SettledKind.Answered) {
            return this.finish(target.call, record, settled.response);
        }
        if (settled.kind === callRecovery.SettledKind.DidNotRun && record.attempt < MaximumAttempts) {
            // A new start of the same call: of two instances that both heard the denial, the ledger lets one have it.
            const fresh = await this.options.ledger.takeOver(record);
            return fresh === undefined ? this.waitForOther(target) : this.sendStarted(target, fresh);
        }
        await this.options.ledger.markOutcomeUnknown(record);
        return core.createFailure(refusals.createOutcomeUnknown());
    }

    private async finish(
        call: types.ServiceCall,
        record: work.CallRecord,
        response: upstreams.ServiceResponse,
    ): Promise<CallOutcome> {
        await this.options.ledger.finish(record, response, RecordingBound);
        return core.createSuccess(response);
    }

    private async waitForOther(target: callSender.CallTarget): Promise<CallOutcome> {
        const { call } = target;
        const controller = new AbortController();
        const rest = Math.max(0, call.deadlineAt - this.options.clock.now());
        const stop = this.options.clock.schedule(rest, () => controller.abort());
        try {
            const record = await this.options.ledger.waitForResult(call, controller.signal);
            if (record?.result !== undefined) {
                return core.createSuccess(record.result);
            }
            if (record?.state === work.CallState.Started && !controller.signal.aborted) {
                // Its instance is gone: whoever begins it now is told that it is orphaned, and settles it.
                return await this.runOnce(target);
            }
            return core.createFailure(
                record?.state === work.CallState.OutcomeUnknown
                    ? refusals.createOutcomeUnknown()
                    : refusals.createCallInFlight(),
            );
        }
        finally {
            stop();
        }
    }

    /** Answers in time even while the call itself goes on. */
    private waitWithin(task: Promise<CallOutcome>, call: types.ServiceCall, signal: AbortSignal): Promise<CallOutcome> {
        return new Promise((resolve, reject) => {
            const giveUp = (): void => {
                stop();
                signal.removeEventListener("abort", giveUp);
                resolve(core.createFailure(refusals.createCallInFlight()));
            };
            const rest = Math.max(0, call.deadlineAt - this.options.clock.now());
            const stop = this.options.clock.schedule(rest, giveUp);
            signal.addEventListener("abort", giveUp, { once: true });
            task.finally(() => {
                stop();
                signal.removeEventListener("abort", giveUp);
            }).then(resolve, reject);
        });
    }
}

/** The same key with another method, path or body is another call. */
function createFingerprint(call: types.ServiceCall): string {
    const hash = crypto.createHash("sha256");
    hash.update(JSON.stringify([call.service, call.method, call.path]));
    hash.update(call.body ?? "");
    return hash.digest("hex");
}
