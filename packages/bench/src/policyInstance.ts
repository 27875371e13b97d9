import * as core from "@boragedale/core";
import * as decisions from "@boragedale/decisions";
import * as batchCoordinator from "./batchCoordinator.js";
import * as fleets from "./fleet.js";
import type * as workload from "./workload.js";

/** One-way network delay between instances. */
export const PeerDelayMilliseconds = 1.5;
/** Minimum intervals between reports of online work to the coordinator while it rises, is unchanged, or falls. */
const RisingPressureMilliseconds = 5;
const UnchangedPressureMilliseconds = 500;
const FallingPressureMilliseconds = 100;
/** Interval between reads of the engines' load, and the age of what they report. */
const LoadReportIntervalMilliseconds = 500;
const LoadReportAgeMilliseconds = 100;

interface OnlineRequest {
    readonly arrival: workload.OnlineArrival;
    readonly tried: Set<string>;
    attempts: number;
    generated: number;
    admittedAt: number;
    hasFirstToken: boolean;
}

interface ReportedPressure {
    inFlight: number;
    at: number;
}

/** Delivers a message to a peer after `PeerDelayMilliseconds`, if the peer is still live. */
export type SendToPeer = (to: string, deliver: (instance: PolicyInstance) => void) => void;

/** One simulated instance: the real decisions, and a model of the dispatcher that connects them. */
export class PolicyInstance implements batchCoordinator.CoordinatorInstance {
    readonly placement: decisions.Placement;
    readonly suspects = new decisions.SuspectRegistry();
    readonly candidates: readonly decisions.PlacementCandidate[];
    isLive = true;
    private readonly queue: decisions.AdmissionQueue<OnlineRequest>;
    private readonly retries = new decisions.RetryBudget();
    private readonly coordinator: batchCoordinator.BatchCoordinator;
    private readonly reportedPressures = new Map<string, ReportedPressure>();
    private readonly unplacedRequests = new Set<OnlineRequest>();
    private view: readonly string[];
    private reportedAt = 0;

    constructor(
        readonly id: string,
        instances: readonly string[],
        private readonly context: fleets.RunContext,
        private readonly sendToPeer: SendToPeer,
        private readonly resend: (arrival: workload.OnlineArrival) => void,
    ) {
        const random = (): number => context.random.next();
        this.view = instances;
        this.placement = new decisions.Placement({ random });
        this.placement.setSharingInstanceCount(instances.length);
        this.queue = new decisions.AdmissionQueue({
            limit: 1,
            expectedMillisecondsPerCost: 25,
            expectedCost: 80,
            random,
        });
        this.candidates = context.engines.map(engine => ({
            id: engine.id,
            dataCentre: "one",
            role: core.UpstreamRole.Mixed,
            models: ["model"],
            concurrency: 64,
            isLeaving: false,
        }));
        this.coordinator = new batchCoordinator.BatchCoordinator(this, context);
        this.coordinator.setView(this.view, 0);
    }

    receive(arrival: workload.OnlineArrival): void {
        const now = this.context.simulation.now();
        this.context.measures.onOffered(core.RequestClass.Online, arrival.caller, arrival.outputTokens);
        this.retries.onRequest();
        const request: OnlineRequest = {
            arrival,
            tried: new Set(),
            attempts: 0,
            generated: 0,
            admittedAt: now,
            hasFirstToken: false,
        };
        if (this.suspects.getDecision(arrival.id, now).verdict === decisions.SuspectVerdict.Quarantined) {
            this.context.measures.onRefused();
            this.resend(arrival);
            return;
        }
        this.updateLimit(now);
        const decision = this.queue.offer(
            {
                value: request,
                caller: arrival.caller,
                weight: 1,
                cost: arrival.outputTokens,
                deadlineAt: fleets.getDeadline(arrival),
            },
            now,
        );
        if (decision.kind === decisions.AdmissionKind.Admitted) {
            this.send(request);
        }
        else if (decision.kind === decisions.AdmissionKind.Refused) {
            this.context.measures.onRefused();
        }
    }

    tick(): void {
        if (!this.isLive) {
            return;
        }
        const now = this.context.simulation.now();
        this.dispatchQueued();
        for (const request of [...this.unplacedRequests]) {
            this.send(request);
        }
        if (now - this.reportedAt >= LoadReportIntervalMilliseconds) {
            this.readReports(now);
        }
        for (const engine of this.context.engines) {
            this.reportPressure(engine.id);
        }
        this.coordinator.tick();
    }

    stop(): void {
        this.isLive = false;
        this.coordinator.stop();
    }

    removeInstance(id: string): void {
        this.view = this.view.filter(instance => instance !== id);
        this.placement.setSharingInstanceCount(this.view.length);
        this.coordinator.setView(this.view, this.context.simulation.now());
    }

    getCoordinator(upstream: string): string | undefined {
        return decisions.rendezvous(`home/${upstream}`, this.view);
    }

    onPressure(upstream: string, pressure: decisions.OnlinePressure): void {
        const report = this.coordinator.onPressure(upstream, pressure);
        this.sendToPeer(pressure.instance, instance => instance.onCoordinatorReport(upstream, report));
    }

    onCoordinatorReport(upstream: string, report: batchCoordinator.CoordinatorReport): void {
        const now = this.context.simulation.now();
        this.placement.onOnlineTotal(upstream, report.inFlight, now, report.fastestGap);
    }

    /** Reports to the peers which requests were running on an upstream when it crashed. */
    onUpstreamDied(upstream: string): void {
        const reports = this.suspects.onUpstreamDied(upstream, this.context.simulation.now());
        for (const peer of this.view.filter(instance => instance !== this.id)) {
            for (const report of reports) {
                this.sendToPeer(peer, instance => instance.suspects.merge(report, this.context.simulation.now()));
            }
        }
    }

    private updateLimit(now: number): void {
        const limit = this.placement.getCapacity("model", core.RequestClass.Online, this.candidates, now);
        this.queue.setLimit(limit);
    }

    private dispatchQueued(): void {
        const now = this.context.simulation.now();
        this.updateLimit(now);
        for (const expired of this.queue.expire(now)) {
            this.context.measures.onExpired();
            this.unplacedRequests.delete(expired.value);
        }
        const isLocal = (request: OnlineRequest): boolean =>
            this.placement.hasPrefixReplicaAvailable(createPlacementRequest(request), this.candidates, now);
        for (let item = this.queue.take(now, isLocal); item !== undefined; item = this.queue.take(now, isLocal)) {
            item.value.admittedAt = now;
            this.send(item.value);
        }
    }

    private send(request: OnlineRequest): void {
        const { arrival } = request;
        const now = this.context.simulation.now();
        this.unplacedRequests.delete(request);
        const verdict = this.suspects.getDecision(arrival.id, now).verdict;
        if (verdict === decisions.SuspectVerdict.Quarantined || now > fleets.getDeadline(arrival)) {
            this.fail(request);
            return;
        }
        const allowed =
            verdict === decisions.SuspectVerdict.Usual
                ? this.candidates
                : this.candidates.filter(candidate => this.suspects.maySend(arrival.id, candidate.id, now));
        const decision = this.placement.choose(createPlacementRequest(request), allowed, now);
        if (decision.kind === decisions.PlacementKind.None) {
            // A suspect waits for an upstream that runs no other suspect; any other request waits for a slot.
            this.unplacedRequests.add(request);
            return;
        }
        this.submit(request, decision.upstream, now);
    }

    private submit(request: OnlineRequest, upstream: string, now: number): void {
        const { arrival } = request;
        const { simulation, measures } = this.context;
        const id = `${arrival.id}/${arrival.resends}/${request.attempts++}`;
        const engine = this.context.engines.find(candidate => candidate.id === upstream)!;
        this.placement.onSent(id, upstream, core.RequestClass.Online, now);
        this.suspects.onSent(id, arrival.id, upstream, now);
        this.reportPressure(upstream);
        simulation.schedule(fleets.UpstreamDelayMilliseconds, () =>
            engine.submit(
                { ...arrival, id, requestClass: core.RequestClass.Online, resumedTokens: request.generated },
                {
                    onFirstToken: () => {
                        this.placement.onFirstToken(id, simulation.now());
                        if (!request.hasFirstToken) {
                            request.hasFirstToken = true;
                            const at = simulation.now() + fleets.UpstreamDelayMilliseconds;
                            measures.onFirstToken(core.RequestClass.Online, at - arrival.at);
                        }
                    },
                    onProgress: (tokens, milliseconds) => {
                        request.generated += tokens;
                        if (milliseconds > 0) {
                            this.placement.onProgress(id, tokens, milliseconds, simulation.now());
                        }
                    },
                    onFinished: () => this.finish(request, id, upstream),
                    onFailed: hasRun => this.onFailed(request, id, upstream, hasRun),
                },
            ),
        );
    }

    private finish(request: OnlineRequest, id: string, upstream: string): void {
        const { arrival } = request;
        const now = this.context.simulation.now();
        this.placement.onFinished(id);
        this.suspects.onFinished(id, upstream);
        this.queue.complete(arrival.outputTokens, now - request.admittedAt);
        const isInTime = now <= fleets.getDeadline(arrival);
        this.context.measures.onFinished(core.RequestClass.Online, arrival.caller, arrival.outputTokens, isInTime);
        this.dispatchQueued();
        this.reportPressure(upstream);
    }

    private onFailed(request: OnlineRequest, id: string, upstream: string, hasRun: boolean): void {
        const now = this.context.simulation.now();
        if (hasRun) {
            this.onUpstreamDied(upstream);
        }
        else {
            this.suspects.onAbandoned(id, upstream);
        }
        this.placement.onFailed(id, decisions.SendFailure.Died, now);
        request.tried.add(upstream);
        if (this.retries.tryTake()) {
            this.send(request);
        }
        else {
            this.fail(request);
        }
    }

    private fail(request: OnlineRequest): void {
        this.queue.complete(request.arrival.outputTokens, undefined);
        this.context.measures.onFailed(core.RequestClass.Online);
        this.resend(request.arrival);
    }

    private readReports(now: number): void {
        this.reportedAt = now;
        this.coordinator.readReports(LoadReportAgeMilliseconds);
        for (const engine of this.context.engines.filter(candidate => candidate.isAlive)) {
            const { waiting } = engine.getLoad();
            this.placement.onLoadReport(engine.id, { waiting, ageMilliseconds: LoadReportAgeMilliseconds }, now);
        }
    }

    /** Reports this instance's online work on an upstream to its coordinator; increases are reported most promptly. */
    private reportPressure(upstream: string): void {
        const now = this.context.simulation.now();
        const inFlight = this.placement.getOnlineInFlight(upstream);
        const reported = this.reportedPressures.get(upstream) ?? { inFlight: 0, at: -Infinity };
        const interval =
            inFlight > reported.inFlight
                ? RisingPressureMilliseconds
                : inFlight < reported.inFlight
                  ? FallingPressureMilliseconds
                  : UnchangedPressureMilliseconds;
        if (now - reported.at < interval) {
            return;
        }
        this.reportedPressures.set(upstream, { inFlight, at: now });
        const coordinatorId = this.getCoordinator(upstream);
        const pressure = this.placement.createPressure(this.id, upstream, now);
        if (coordinatorId === this.id) {
            this.onCoordinatorReport(upstream, this.coordinator.onPressure(upstream, pressure));
        }
        else if (coordinatorId !== undefined) {
            this.sendToPeer(coordinatorId, instance => instance.onPressure(upstream, pressure));
        }
    }
}

function createPlacementRequest(request: OnlineRequest): decisions.PlacementRequest {
    return {
        model: "model",
        prefixHash: request.arrival.prefix,
        requestClass: core.RequestClass.Online,
        exclude: request.tried,
    };
}
