import type * as core from "@boragedale/core";
import type * as types from "./types.js";

/** What a line about a request needs; the forwarder's own state fits. */
export interface LoggedRequest {
    readonly head: types.RequestHead;
    readonly route: types.Route;
    readonly arrivedAt: core.MonotonicMilliseconds;
}

export interface LoggedProgress {
    readonly runs: number;
    readonly sends: number;
    readonly delivery: { readonly firstByteAt: number | undefined };
    /** Requests that were believed to be at the upstream when it was chosen. */
    readonly believed: { readonly online: number; readonly batch: number };
}

/** Fields of a log line besides its number and name. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Where the gateway tells what it decides and why; the daemon binds it to log, counters and histograms. */
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
    ): void;
    /** Anything else that changes what this instance believes. */
    abstract note(event: GatewayEvent, fields: LogFields): void;
}

/** Events of the gateway besides those of a request; the numbers stand in the telemetry catalogue. */
export enum GatewayEvent {
    StoreLost = "StoreLost",
    StoreRegained = "StoreRegained",
    StoreReturned = "StoreReturned",
    ConfigurationTaken = "ConfigurationTaken",
    UpstreamDied = "UpstreamDied",
    UpstreamChanged = "UpstreamChanged",
    EntryUnusable = "EntryUnusable",
    MemberRegistered = "MemberRegistered",
    WatchDutyChanged = "WatchDutyChanged",
    RegistryAsked = "RegistryAsked",
    MembersChanged = "MembersChanged",
    HomeSilent = "HomeSilent",
    UpstreamAvoided = "UpstreamAvoided",
    SubmissionAccepted = "SubmissionAccepted",
    SubmissionRefused = "SubmissionRefused",
    SubmissionTakenOver = "SubmissionTakenOver",
    SubmissionLost = "SubmissionLost",
    SubmissionEnded = "SubmissionEnded",
    ResultsListed = "ResultsListed",
    ItemRetried = "ItemRetried",
    ItemGivenUp = "ItemGivenUp",
    ItemStarted = "ItemStarted",
    ItemYielded = "ItemYielded",
    RequestUnroutable = "RequestUnroutable",
    RequestUnauthorized = "RequestUnauthorized",
    QuotaExceeded = "QuotaExceeded",
    Defect = "Defect",
}
