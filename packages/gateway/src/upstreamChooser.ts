import type * as core from "@boragedale/core";
import * as decisions from "@boragedale/decisions";
import type * as channelDirectory from "./channelDirectory.js";
import type * as crashWatch from "./crashWatch.js";
import type * as fleetView from "./fleetView.js";
import * as onlinePlacement from "./onlinePlacement.js";
import * as requestProgress from "./requestProgress.js";
import type * as softwareVersions from "./softwareVersions.js";
import type * as slotSharing from "./slotSharing.js";
import * as types from "./types.js";
import type * as upstreamRestarts from "./upstreamRestarts.js";

/** Dependencies of `UpstreamChooser`. */
export interface UpstreamChooserParts {
    readonly view: fleetView.FleetView;
    readonly channels: channelDirectory.Channels;
    readonly slots: slotSharing.SlotSharing;
    readonly crashWatch: crashWatch.CrashWatch;
    readonly softwareVersions: softwareVersions.SoftwareVersions;
    readonly restarts: upstreamRestarts.UpstreamRestarts;
    readonly clock: core.Clock;
    readonly random: () => number;
}

export enum PlacementOutcomeKind {
    Found = "Found",
    /** No upstream may or can serve the request now. */
    Refused = "Refused",
    /** The caller disconnected or the deadline passed while a slot was requested. */
    Unwanted = "Unwanted",
}

/** Why a request gets no upstream. */
export interface PlacementRefusal {
    readonly kind: PlacementOutcomeKind.Refused;
    readonly reason: types.RefusalReason;
    readonly retryAfterMilliseconds: number | undefined;
    /** For the log. */
    readonly detail: string;
}

/** An upstream that may serve the request, as the choice of a slot sees it. */
type Candidate = types.UpstreamEntry & decisions.SlotCandidate;

export type PlacementOutcome =
    | { readonly kind: PlacementOutcomeKind.Found; readonly placement: requestProgress.Placement }
    | PlacementRefusal
    | { readonly kind: PlacementOutcomeKind.Unwanted };

export interface FindOptions {
    /** Whether an upstream is only wanted if the request would start there within its latency target or shortly after. */
    readonly mustStartSoon?: boolean;
    /** Whether the request still needs an upstream. Asked while it waits for a slot. */
    readonly isWanted?: () => boolean;
}

interface ChooseOptions extends FindOptions {
    readonly isRefusable: boolean;
}

/** Time for which an unreachable upstream is avoided. A crashed upstream restarts within seconds. */
export const UnreachablePenaltyMilliseconds = 1_000;
/** Estimated time that a request occupies a slot, until durations have been recorded. */
const InitialServiceMilliseconds = 800;
/** Estimated time to the first event. */
const ExpectedFirstAnswerMilliseconds = 70;
/** Weight of a new duration in the moving average. */
const MeanWeight = 0.1;
/** Retry delay given to callers if no upstream is known or reachable. */
const NoUpstreamRetryMilliseconds = 500;
/** Choices made for one attempt, if the chosen upstreams change while their slots are requested. */
const MaximumChoices = 3;

/** Chooses the upstream for the next attempt of an online request, and requests a slot there. */
export class UpstreamChooser {
    private readonly meanServiceMilliseconds = new Map<string, number>();
    /** Mean time from sending a request to its first event, by service. */
    private readonly meanFirstMilliseconds = new Map<string, number>();

    constructor(private readonly parts: UpstreamChooserParts) {}

    /**
     * Why the request must not be sent: it crashes upstreams, by itself or by a part of its prompt. With `mayTry`, a trial of
     * its quarantine is requested, and undefined is returned if it was granted.
     */
    async tryGetQuarantine(progress: requestProgress.Progress, mayTry: boolean): Promise<PlacementRefusal | undefined> {
        const { crashWatch, clock } = this.parts;
        const { prompt, fingerprint } = progress;
        if (!crashWatch.isQuarantined(() => prompt) || (mayTry && (await crashWatch.tryBeginTrial(prompt)))) {
            return undefined;
        }
        const suspicion = crashWatch.suspects.getDecision(fingerprint, clock.now());
        if (suspicion.verdict === decisions.SuspectVerdict.Quarantined) {
            const { retryAfterMilliseconds, deaths } = suspicion;
            return refuseQuarantined(
                crashWatch.getRetryAfter(prompt, retryAfterMilliseconds),
                `${deaths} upstreams crashed`,
            );
        }
        const guilty = crashWatch.tryGetQuarantined(prompt.parts);
        if (guilty === undefined) {
            return undefined;
        }
        const retryAfterMilliseconds = crashWatch.getRetryAfter(prompt, guilty.remainingMilliseconds);
        return refuseQuarantined(retryAfterMilliseconds, `prompt part ${guilty.part}`);
    }

    /** Chooses an upstream, if possible one that has not been tried, and requests a slot there. */
    async find(progress: requestProgress.Progress, options: FindOptions = {}): Promise<PlacementOutcome> {
        for (let choices = 0; choices < MaximumChoices; choices++) {
            const outcome = await this.choosePlacement(progress, options);
            if (outcome.kind !== PlacementOutcomeKind.Found) {
                return outcome;
            }
            const isOtherProcess = await this.isOtherProcess(progress, outcome.placement.upstream);
            const upstream = this.tryGetCurrent(progress, outcome.placement.upstream);
            if (upstream !== undefined && !isOtherProcess) {
                return { kind: outcome.kind, placement: { ...outcome.placement, upstream } };
            }
            this.returnSlot(outcome.placement);
        }
        return refuseNoUpstream("the chosen upstreams changed while their slots were requested");
    }

    /**
     * The present entry of an upstream that was chosen a while ago; undefined if it may no longer serve the request. It may
     * have begun to drain, or have restarted under its id with another software version.
     */
    tryGetCurrent(
        progress: requestProgress.Progress,
        { id, service }: types.UpstreamEntry,
    ): types.UpstreamEntry | undefined {
        const { streamVersion } = progress;
        const entry = this.parts.view.tryGetUsable(id, this.parts.clock.now());
        const isSuitable =
            entry?.service === service && (streamVersion ?? entry.softwareVersion) === entry.softwareVersion;
        return isSuitable ? entry : undefined;
    }

    /** Whether a stream continues and the upstream has restarted since its entry was written, maybe at another version. */
    private async isOtherProcess(
        { streamVersion }: requestProgress.Progress,
        upstream: types.UpstreamEntry,
    ): Promise<boolean> {
        return streamVersion !== undefined && (await this.parts.restarts.hasRestarted(upstream));
    }

    private async choosePlacement(progress: requestProgress.Progress, options: FindOptions): Promise<PlacementOutcome> {
        const { request } = progress;
        const isRefusable = options.mustStartSoon === true || requestProgress.isRefusable(progress);
        const quarantine = await this.tryGetQuarantine(progress, options.mustStartSoon !== true);
        if (quarantine !== undefined) {
            return quarantine;
        }
        const now = this.parts.clock.now();
        const service = requestProgress.tryGetService(request);
        const usable = service === undefined ? [] : this.getUsable(progress, service, now);
        const candidates = this.listCandidates(progress, usable, now);
        if (service === undefined || candidates.length === 0) {
            const version = progress.streamVersion === undefined ? "" : `, version: ${progress.streamVersion}`;
            return refuseNoUpstream(`service: ${service ?? "none"}${version}`);
        }
        const outcome = await this.choose(progress, service, candidates, { ...options, isRefusable });
        if (outcome.kind === onlinePlacement.OnlineOutcomeKind.Refused) {
            if (progress.isCallerDisconnected || progress.isTimedOut) {
                return { kind: PlacementOutcomeKind.Unwanted };
            }
            const { expectedWaitMilliseconds } = outcome;
            return createRefusal(
                types.RefusalReason.Overloaded,
                decisions.getOnlineRetryAfter(expectedWaitMilliseconds, this.parts.random),
                `expected wait of ${Math.round(expectedWaitMilliseconds)} ms, ${candidates.length} candidates`,
            );
        }
        const choice = outcome.kind === onlinePlacement.OnlineOutcomeKind.Chosen ? outcome.choice : undefined;
        const chosen = candidates.find(candidate => candidate.id === choice?.id);
        if (choice === undefined || chosen === undefined) {
            return refuseNoUpstream(`service: ${service}`);
        }
        const verdict = decisions.decideOnlineAdmission(
            {
                waiting: choice.waiting,
                slots: chosen.slots,
                serviceMilliseconds: this.meanServiceMilliseconds.get(service) ?? InitialServiceMilliseconds,
                firstAnswerMilliseconds: ExpectedFirstAnswerMilliseconds,
                latencyTargetMilliseconds: request.route.latencyTargetMilliseconds,
                remainingMilliseconds: request.deadline - now,
            },
            this.parts.random,
        );
        if (!verdict.isAdmitted && isRefusable) {
            return createRefusal(
                types.RefusalReason.Overloaded,
                verdict.retryAfterMilliseconds,
                `${choice.waiting} requests wait at ${chosen.id}, ${candidates.length} candidates`,
            );
        }
        if (choice.yielder !== undefined) {
            this.parts.slots.requestYield(choice.id, choice.yielder);
        }
        progress.knownUpstreams = usable.length;
        progress.estimatedUse = this.parts.slots.slotTable.getTotal(chosen.id);
        return {
            kind: PlacementOutcomeKind.Found,
            placement: { upstream: chosen, isCounted: choice.isCounted },
        };
    }

    /** Gives back the slot of a placement that isn't used. */
    returnSlot(placement: requestProgress.Placement | undefined): void {
        if (placement?.isCounted === true) {
            this.parts.slots.returnSlot(placement.upstream.id);
        }
    }

    /** Records how long an answered request occupied its slot. */
    recordDuration(service: string, milliseconds: number): void {
        this.parts.slots.recordServiceTime(service, milliseconds);
        recordMean(this.meanServiceMilliseconds, service, milliseconds);
    }

    /** Records the time from sending a request to its first event. */
    recordFirstAnswer(service: string, milliseconds: number): void {
        recordMean(this.meanFirstMilliseconds, service, milliseconds);
    }

    /** The upstreams that may be given new work; if a stream continues, only those of the software version that began it. */
    private getUsable(
        progress: requestProgress.Progress,
        service: string,
        now: core.MonotonicMilliseconds,
    ): readonly fleetView.KnownUpstream[] {
        const { streamVersion, request } = progress;
        const usable = this.parts.view.getUsable(service, now);
        if (streamVersion === undefined) {
            const isStream = request.route.kind === types.RouteKind.Stream;
            return isStream ? this.parts.softwareVersions.selectForNewStreams(usable) : usable;
        }
        const sameVersion = usable.filter(
            ({ entry }) => entry.softwareVersion === streamVersion && !this.parts.restarts.isKnownRestarted(entry),
        );
        progress.isVersionBound = sameVersion.length < usable.length;
        return sameVersion;
    }

    private listCandidates(
        progress: requestProgress.Progress,
        usable: readonly fleetView.KnownUpstream[],
        now: core.MonotonicMilliseconds,
    ): readonly Candidate[] {
        const { crashWatch, channels } = this.parts;
        const untried = usable.filter(upstream => !progress.tried.has(upstream.entry.id));
        const preferred = (untried.length > 0 ? untried : usable).map(upstream => upstream.entry);
        // A suspect request avoids upstreams that run other suspects, so that the next crash can be attributed to one of them.
        const distinguishable = preferred.filter(entry =>
            crashWatch.suspects.maySend(progress.fingerprint, entry.id, now),
        );
        return (distinguishable.length > 0 ? distinguishable : preferred).map(entry => ({
            ...entry,
            hasIdleConnection: channels.hasIdleConnection(entry),
        }));
    }

    /** Chooses a slot. Where coordinators order waiting requests, the request may wait for it. */
    private async choose(
        progress: requestProgress.Progress,
        service: string,
        candidates: readonly decisions.SlotCandidate[],
        { isRefusable, isWanted = () => true }: ChooseOptions,
    ): Promise<onlinePlacement.OnlineOutcome> {
        const { slots, clock } = this.parts;
        if (!slots.ordersOnline(service)) {
            const choice = await slots.chooseOnline(service, candidates);
            return choice === undefined
                ? { kind: onlinePlacement.OnlineOutcomeKind.None }
                : { kind: onlinePlacement.OnlineOutcomeKind.Chosen, choice };
        }
        const { request } = progress;
        const { route } = request;
        const startedAt = clock.now();
        const remainingMilliseconds = request.deadline - startedAt;
        const waitMilliseconds = decisions.getMaximumOnlineWait({
            elapsedMilliseconds: startedAt - request.arrivedAt,
            firstAnswerMilliseconds: this.meanFirstMilliseconds.get(service) ?? ExpectedFirstAnswerMilliseconds,
            latencyTargetMilliseconds: route.latencyTargetMilliseconds,
            givenMilliseconds: request.deadline - request.arrivedAt,
            remainingMilliseconds,
            timeoutMilliseconds: route.timeoutMilliseconds,
            hasAttempts: progress.sends > 0,
        });
        const outcome = await slots.placeOnline(service, candidates, {
            share: request.customer ?? `route/${route.name}`,
            weight: request.weight ?? 1,
            priority: request.priority ?? route.priority,
            remainingMilliseconds,
            waitMilliseconds,
            isRefusable,
            isWanted: () => !progress.isCallerDisconnected && !progress.isTimedOut && isWanted(),
        });
        progress.waitMilliseconds = (progress.waitMilliseconds ?? 0) + clock.now() - startedAt;
        return outcome;
    }
}

function createRefusal(
    reason: types.RefusalReason,
    retryAfterMilliseconds: number | undefined,
    detail: string,
): PlacementRefusal {
    return { kind: PlacementOutcomeKind.Refused, reason, retryAfterMilliseconds, detail };
}

function refuseQuarantined(retryAfterMilliseconds: number, detail: string): PlacementRefusal {
    return createRefusal(types.RefusalReason.Quarantined, retryAfterMilliseconds, detail);
}

function refuseNoUpstream(detail: string): PlacementRefusal {
    return createRefusal(types.RefusalReason.NoUpstream, NoUpstreamRetryMilliseconds, detail);
}

function recordMean(means: Map<string, number>, service: string, milliseconds: number): void {
    const mean = means.get(service);
    means.set(service, mean === undefined ? milliseconds : mean + (milliseconds - mean) * MeanWeight);
}
