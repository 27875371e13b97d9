/**
 * The vocabulary that every package shares. Words of the brief (instance, data centre, caller, upstream, release
 * note) are kept; everything else uses the field's standard terms. docs/GLOSSARY.md maps the two.
 */

/** Name of one entry instance, unique in the fleet. */
export type InstanceId = string;
/** Name of a data centre, as the settings and the instance list give it. */
export type DataCentre = string;
/** Name of a caller, as the release note lists it. */
export type CallerId = string;
/** Name of an upstream (model engine or plain service), as the release note lists it. */
export type UpstreamId = string;
/** Name of a model, as callers ask for it. */
export type ModelId = string;
/** Number of a release note; the note in force has the highest one accepted. */
export type Generation = number;
/** Milliseconds on a monotonic clock; only differences mean anything. */
export type MonotonicMilliseconds = number;
/** Milliseconds since the Unix epoch; steps with the wall clock, so it is for display and retention only. */
export type WallMilliseconds = number;

/** How urgent a request is. Batch work never delays online work, at any point of the way. */
export enum RequestClass {
    Online = "Online",
    Batch = "Batch",
}

/** What kind of program an upstream is. */
export enum UpstreamKind {
    Engine = "Engine",
    Service = "Service",
}

/** Which classes an upstream serves, as the release note says. */
export enum UpstreamRole {
    Online = "Online",
    Batch = "Batch",
    Mixed = "Mixed",
}

/** Where an upstream or an instance stands in its life. */
export enum LifeState {
    Live = "Live",
    Leaving = "Leaving",
    Gone = "Gone",
}

/** Where an upstream can be reached. Source: the release note, joined with the instance list. */
export interface UpstreamAddress {
    readonly id: UpstreamId;
    readonly kind: UpstreamKind;
    /** Base URL, such as `http://127.0.0.1:8000`. */
    readonly url: string;
    readonly dataCentre: DataCentre;
}

/** One line of the platform's instance list. The list lags: treat it as a hint. */
export interface InstanceDescription {
    readonly id: InstanceId;
    readonly dataCentre: DataCentre;
    readonly state: LifeState;
    /** Base URL of the caller face. */
    readonly callerUrl: string;
    /** WebSocket URL of the peer face. */
    readonly peerUrl: string;
    /** Base URL of the operator face. */
    readonly operatorUrl: string;
}

/** How a plain service's call may be treated when its outcome is not known. Source: the release note. */
export enum CallSafety {
    /** May run any number of times. */
    Idempotent = "Idempotent",
    /** The service drops duplicates that carry the same key: resending is safe. */
    Deduplicated = "Deduplicated",
    /** The service can be asked whether a key has run. */
    Askable = "Askable",
    /** May run at most once and can't be asked: an unknown outcome stays unknown. */
    AtMostOnce = "AtMostOnce",
}

/** Whether a refused or failed request may have had an effect. */
export enum RunCertainty {
    /** Nothing was sent upstream: sending it again is safe. */
    NotRun = "NotRun",
    /** It may have run, wholly or in part. */
    MayHaveRun = "MayHaveRun",
}
