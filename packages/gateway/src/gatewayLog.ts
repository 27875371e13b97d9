import type * as core from "@boragedale/core";
import type * as answerRelay from "./answerRelay.js";
import type * as types from "./types.js";

/** Properties of a request that log lines use. */
export interface LoggedRequest {
    readonly head: types.RequestHead;
    readonly route: types.Route;
    readonly arrivedAt: core.MonotonicMilliseconds;
    /** Name of the customer; undefined if the request needed no key. */
    readonly customer?: string | undefined;
}

/** State of a request that log lines use: attempts so far, and delivery to the caller. */
export interface LoggedProgress {
    readonly runs: number;
    readonly sends: number;
    /** Time spent waiting for a slot; undefined where requests wait in the engines' own queues. */
    readonly waitMilliseconds?: number | undefined;
    readonly delivery: { readonly firstByteAt: number | undefined };
    /** What the last attempt received of an answer; undefined without headers. */
    readonly received?: answerRelay.ReceivedAnswer | undefined;
    /** Software version of the last attempt's upstream; undefined before the first attempt. */
    readonly upstreamVersion?: string | undefined;
    /** Estimated number of requests at the upstream at the time it was chosen. */
    readonly estimatedUse: { readonly online: number; readonly batch: number };
}

/** Fields of a log line, other than the event's number and name. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Receives the gateway's decisions and their reasons. The daemon implements it with log, counters and histograms. */
export abstract class GatewayLog {
    abstract finished(request: LoggedRequest, text: string, upstream: core.UpstreamId, progress: LoggedProgress): void;
    abstract refused(
        request: LoggedRequest,
        reason: types.RefusalReason,
        detail: string,
        progress: LoggedProgress,
    ): void;
    abstract attemptEnded(
        request: LoggedRequest,
        upstream: core.UpstreamId,
        outcome: string,
        text: string,
        isRepeated: boolean,
        progress: LoggedProgress,
    ): void;
    /** Logs any other event. */
    abstract recordEvent(event: GatewayEvent, fields: LogFields): void;
}

/** Events of the gateway other than those of a request. Their numbers are in the telemetry catalogue. */
export enum GatewayEvent {
    StoreLost = "StoreLost",
    StoreRegained = "StoreRegained",
    StoreReturned = "StoreReturned",
    ConfigurationTaken = "ConfigurationTaken",
    UpstreamDied = "UpstreamDied",
    PartQuarantined = "PartQuarantined",
    RequestQuarantined = "RequestQuarantined",
    QuarantineTrialStarted = "QuarantineTrialStarted",
    QuarantineTrialEnded = "QuarantineTrialEnded",
    QuarantineEnded = "QuarantineEnded",
    ItemHeld = "ItemHeld",
    UpstreamChanged = "UpstreamChanged",
    EntryUnusable = "EntryUnusable",
    MemberRegistered = "MemberRegistered",
    WatchDutyChanged = "WatchDutyChanged",
    RegistryAsked = "RegistryAsked",
    MembersChanged = "MembersChanged",
    HomeSilent = "HomeSilent",
    UpstreamAvoided = "UpstreamAvoided",
    SilentUpstreamKept = "SilentUpstreamKept",
    StreamVersionResolved = "StreamVersionResolved",
    EngineExcluded = "EngineExcluded",
    EngineReturned = "EngineReturned",
    SubmissionAccepted = "SubmissionAccepted",
    SubmissionRefused = "SubmissionRefused",
    SubmissionTakenOver = "SubmissionTakenOver",
    SubmissionLost = "SubmissionLost",
    SubmissionEnded = "SubmissionEnded",
    ResultsListed = "ResultsListed",
    ItemRetried = "ItemRetried",
    ItemGivenUp = "ItemGivenUp",
    ItemStarted = "ItemStarted",
    ItemCompleted = "ItemCompleted",
    ItemYielded = "ItemYielded",
    RequestUnroutable = "RequestUnroutable",
    RequestUnauthorized = "RequestUnauthorized",
    QuotaExceeded = "QuotaExceeded",
    Defect = "Defect",
}
