import * as crypto from "node:crypto";
import * as core from "@boragedale/core";
import type * as decisions from "@boragedale/decisions";
import type * as telemetry from "@boragedale/telemetry";
import type * as upstreams from "@boragedale/upstreams";
import * as work from "@boragedale/work";
import type * as admissionController from "./admissionController.js";
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
    readonly admission: admissionController.AdmissionController;
    readonly retryBudget: decisions.RetryBudget;
    /** Tracks a task that may continue after its caller got an answer. A graceful stop waits for it. */
    readonly runInBackground: (task: Promise<unknown>) => void;
}

type CallOutcome = core.Outcome<upstreams.ServiceResponse>;

/** Number of starts of one call, including the first. If the service denies all of them, the outcome is unknown. */
const MaximumAttempts = 4;

/** How long an answer waits until its outcome is recorded. */
const RecordingTimeoutMilliseconds = 500;

/**
 * Calls plain services. Repeatable calls are simply retried. All others go through the ledger, which allows a key to
 * run at most once.
 */
export class ServiceCaller {
    constructor(private readonly options: ServiceCallerOptions) {}

    async call(call: types.ServiceCall, signal: AbortSignal): Promise<CallOutcome> {
        const fleet = this.options.directory.tryGetFleet();
        if (fleet === undefined) {
            return core.createFailure(refusals.createNoReleaseNote());
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
        const releaseTicket = (): void => admitted.value.release(this.options.clock.now() - startedAt);
        if (route.safety === core.CallSafety.Idempotent) {
            return this.options.sender.sendRepeatable(service, call, signal).finally(releaseTicket);
        }
        // A call that isn't repeatable runs to its end and is recorded, even if its caller no longer waits.
        const task = this.runOnce({ service, route, call }).finally(releaseTicket);
        this.options.runInBackground(task);
        return this.waitUntilDeadline(task, call, signal);
    }

    /** Runs before the ledger, so that a call that is refused for lack of a slot costs no write. */
    private admit(
        fleet: core.FleetDescription,
        service: core.ServiceDescription,
        call: types.ServiceCall,
        signal: AbortSignal,
    ): Promise<core.Outcome<admissionController.AdmissionTicket>> {
        const caller = fleet.callers.find(candidate => candidate.id === call.caller);
        this.options.retryBudget.onRequest();
        return this.options.admission.admit(
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
                return this.waitForOtherRun(target);
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
                // Release the key before the refusal is sent, so that an immediate retry of the caller can start the
                // call.
                await this.options.ledger.release(record);
                return core.createFailure(sent.refusal);
            case callSender.SentKind.MayHaveRun:
                return this.settle(target, record, sent.upstream);
        }
    }

    /** Recovers a call whose sending instance has been removed. The upstream that it was sent to is unknown. */
    private async recover(target: callSender.CallTarget, orphan: work.CallRecord): Promise<CallOutcome> {
        const record = await this.options.ledger.takeOver(orphan);
        return record === undefined ? this.waitForOtherRun(target) : this.settle(target, record, undefined);
    }

    /** Settles a call that may have run: determines its outcome, sends it again if safe, or marks it as unknown. */
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
            // Start the call again. If two instances received the denial, the ledger lets only one of them take over.
            const fresh = await this.options.ledger.takeOver(record);
            return fresh === undefined ? this.waitForOtherRun(target) : this.sendStarted(target, fresh);
        }
        await this.options.ledger.markOutcomeUnknown(record);
        return core.createFailure(refusals.createOutcomeUnknown());
    }

    private async finish(
        call: types.ServiceCall,
        record: work.CallRecord,
        response: upstreams.ServiceResponse,
    ): Promise<CallOutcome> {
        await this.options.ledger.finish(record, response, RecordingTimeoutMilliseconds);
        return core.createSuccess(response);
    }

    private async waitForOtherRun(target: callSender.CallTarget): Promise<CallOutcome> {
        const { call } = target;
        const controller = new AbortController();
        const remaining = Math.max(0, call.deadlineAt - this.options.clock.now());
        const stop = this.options.clock.schedule(remaining, () => controller.abort());
        try {
            const record = await this.options.ledger.waitForResult(call, controller.signal);
            if (record?.result !== undefined) {
                return core.createSuccess(record.result);
            }
            if (record?.state === work.CallState.Started && !controller.signal.aborted) {
                // Its instance has been removed. Beginning the call again returns it as orphaned, and it is settled.
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

    /** Answers at the deadline or when the caller disconnects, even if the call itself continues. */
    private waitUntilDeadline(
        task: Promise<CallOutcome>,
        call: types.ServiceCall,
        signal: AbortSignal,
    ): Promise<CallOutcome> {
        return new Promise((resolve, reject) => {
            const giveUp = (): void => {
                stop();
                signal.removeEventListener("abort", giveUp);
                resolve(core.createFailure(refusals.createCallInFlight()));
            };
            const remaining = Math.max(0, call.deadlineAt - this.options.clock.now());
            const stop = this.options.clock.schedule(remaining, giveUp);
            signal.addEventListener("abort", giveUp, { once: true });
            task.finally(() => {
                stop();
                signal.removeEventListener("abort", giveUp);
            }).then(resolve, reject);
        });
    }
}

/**
 * Hashes what identifies a call beside its key. Reusing a key with another service, method, path or body is refused.
 */
function createFingerprint(call: types.ServiceCall): string {
    const hash = crypto.createHash("sha256");
    hash.update(JSON.stringify([call.service, call.method, call.path]));
    hash.update(call.body ?? "");
    return hash.digest("hex");
}
