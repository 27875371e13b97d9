import type * as types from "./types.js";
import * as messages from "./messages.js";

/** Why a request was refused. The values are stable: callers receive them as `error.code`. */
export enum RefusalKind {
    NotAuthorized = "not_authorized",
    BodyInvalid = "body_invalid",
    BodyTooLarge = "body_too_large",
    NotFound = "not_found",
    ModelUnknown = "model_unknown",
    Overloaded = "overloaded",
    DeadlineUnreachable = "deadline_unreachable",
    DeadlinePassed = "deadline_passed",
    UpstreamFailed = "upstream_failed",
    KeyValueDown = "key_value_service_down",
    KeyReused = "idempotency_key_reused",
    CallInFlight = "call_in_flight",
    OutcomeUnknown = "outcome_unknown",
    Quarantined = "quarantined",
    InstanceLeaving = "instance_leaving",
    NoNoteInForce = "no_note_in_force",
    JobStateConflict = "job_state_conflict",
    InternalDefect = "internal_defect",
}

/** The final response to a request that is refused or has failed. It is sent as soon as that is known, without delay. */
export interface Refusal {
    readonly kind: RefusalKind;
    readonly text: string;
    /** `NotRun` only if nothing can have reached an upstream. */
    readonly certainty: types.RunCertainty;
    /** Time after which to retry, in milliseconds; absent if a retry would not help. */
    readonly retryAfterMilliseconds?: number;
}

/** Either a value or a refusal. */
export type Outcome<T> = { readonly ok: true; readonly value: T } | { readonly ok: false; readonly refusal: Refusal };

export interface RefusalOptions {
    readonly kind: RefusalKind;
    readonly message: messages.Message;
    readonly values?: readonly messages.Value[];
    readonly certainty: types.RunCertainty;
    readonly retryAfterMilliseconds?: number;
}

export function createRefusal(options: RefusalOptions): Refusal {
    return {
        kind: options.kind,
        text: messages.formatMessage(options.message, ...(options.values ?? [])),
        certainty: options.certainty,
        retryAfterMilliseconds: options.retryAfterMilliseconds,
    };
}

export function createSuccess<T>(value: T): Outcome<T> {
    return { ok: true, value };
}

export function createFailure<T>(refusal: Refusal): Outcome<T> {
    return { ok: false, refusal };
}
