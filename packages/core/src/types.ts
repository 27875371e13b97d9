/**
 * Types shared by all packages. The terms instance, data centre, caller, upstream and release note are defined in
 * docs/GLOSSARY.md.
 */

/** Name of an instance, unique in the fleet. */
export type InstanceId = string;
/** Name of a data centre, as used in the settings and the instance list. */
export type DataCentre = string;
/** Name of a caller, as listed in the release note. */
export type CallerId = string;
/** Name of an upstream (model engine or plain service), as listed in the release note. */
export type UpstreamId = string;
/** Name of a model, as used in callers' requests. */
export type ModelId = string;
/** Number of a release note. The note in force is the accepted one with the highest number. */
export type Generation = number;
/** Milliseconds on a monotonic clock; only differences are meaningful. */
export type MonotonicMilliseconds = number;
/** Milliseconds since the Unix epoch. For display and retention only, because the wall clock can be adjusted. */
export type WallMilliseconds = number;

/** Urgency class of a request. Batch work must not delay online work at any stage of processing. */
export enum RequestClass {
    Online = "Online",
    Batch = "Batch",
}

/** Kind of an upstream: a model engine or a plain service. */
export enum UpstreamKind {
    Engine = "Engine",
    Service = "Service",
}

/** Request classes that an upstream serves according to the release note. */
export enum UpstreamRole {
    Online = "Online",
    Batch = "Batch",
    Mixed = "Mixed",
}

/** Lifecycle state of an upstream or an instance. */
export enum LifecycleState {
    Live = "Live",
    Leaving = "Leaving",
    Gone = "Gone",
}

/** Address of an upstream, taken from the release note joined with the instance list. */
export interface UpstreamAddress {
    readonly id: UpstreamId;
    readonly kind: UpstreamKind;
    /** Base URL, such as `http://127.0.0.1:8000`. */
    readonly url: string;
    readonly dataCentre: DataCentre;
}

/** An entry of the platform's instance list. The list may be out of date, so entries are only hints. */
export interface InstanceDescription {
    readonly id: InstanceId;
    readonly dataCentre: DataCentre;
    readonly state: LifecycleState;
    /** Base URL of the caller endpoint. */
    readonly callerUrl: string;
    /** WebSocket URL of the peer endpoint. */
    readonly peerUrl: string;
    /** Base URL of the operator endpoint. */
    readonly operatorUrl: string;
}

/** How a call to a plain service may be handled when its outcome is not known, according to the release note. */
export enum CallSafety {
    /** May run any number of times. */
    Idempotent = "Idempotent",
    /** The service discards duplicates with the same key, so that resending is safe. */
    Deduplicated = "Deduplicated",
    /** The service can be asked whether the call with a key has run. */
    Askable = "Askable",
    /** May run at most once, and the service can't be asked: an unknown outcome stays unknown. */
    AtMostOnce = "AtMostOnce",
}

/** Whether a refused or failed request may have had an effect. */
export enum RunCertainty {
    /** Nothing was sent to an upstream, so that resending is safe. */
    NotRun = "NotRun",
    /** The request may have run, completely or in part. */
    MayHaveRun = "MayHaveRun",
}
