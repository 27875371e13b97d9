import * as core from "@boragedale/core";

/** Retry delay when no better estimate is known. */
const DefaultRetryAfterMilliseconds = 1_000;
/** Retry delay while the key-value service is down. Its outages rarely end sooner. */
const KeyValueRetryAfterMilliseconds = 2_000;

export function createNoReleaseNote(): core.Refusal {
    return core.createRefusal({
        kind: core.RefusalKind.NoNoteInForce,
        message: core.messages.NoNoteInForce,
        certainty: core.RunCertainty.NotRun,
        retryAfterMilliseconds: DefaultRetryAfterMilliseconds,
    });
}

export function createModelUnknown(model: core.ModelId): core.Refusal {
    return core.createRefusal({
        kind: core.RefusalKind.ModelUnknown,
        message: core.messages.ModelUnknown,
        values: [model],
        certainty: core.RunCertainty.NotRun,
    });
}

export function createServiceUnknown(service: string): core.Refusal {
    return core.createRefusal({
        kind: core.RefusalKind.NotFound,
        message: core.messages.ServiceUnknown,
        values: [service],
        certainty: core.RunCertainty.NotRun,
    });
}

export function createOverloaded(
    certainty: core.RunCertainty,
    retryAfterMilliseconds = DefaultRetryAfterMilliseconds,
): core.Refusal {
    return core.createRefusal({
        kind: core.RefusalKind.Overloaded,
        message: certainty === core.RunCertainty.NotRun ? core.messages.Overloaded : core.messages.UpstreamFailed,
        values: certainty === core.RunCertainty.NotRun ? [retryAfterMilliseconds] : ["no other upstream is free"],
        certainty,
        retryAfterMilliseconds,
    });
}

export function createBodyInvalid(text: string, certainty: core.RunCertainty): core.Refusal {
    return core.createRefusal({
        kind: core.RefusalKind.BodyInvalid,
        message: core.messages.BodyInvalid,
        values: [text],
        certainty,
    });
}

export function createUpstreamFailed(text: string, certainty: core.RunCertainty): core.Refusal {
    return core.createRefusal({
        kind: core.RefusalKind.UpstreamFailed,
        message: core.messages.UpstreamFailed,
        values: [text],
        certainty,
        retryAfterMilliseconds: DefaultRetryAfterMilliseconds,
    });
}

export function createDeadlinePassed(certainty: core.RunCertainty): core.Refusal {
    return core.createRefusal({
        kind: core.RefusalKind.DeadlinePassed,
        message: core.messages.DeadlinePassed,
        certainty,
        retryAfterMilliseconds: DefaultRetryAfterMilliseconds,
    });
}

export function createLeaving(): core.Refusal {
    return core.createRefusal({
        kind: core.RefusalKind.InstanceLeaving,
        message: core.messages.InstanceLeaving,
        certainty: core.RunCertainty.NotRun,
        retryAfterMilliseconds: 0,
    });
}

export function createKeyReused(): core.Refusal {
    return core.createRefusal({
        kind: core.RefusalKind.KeyReused,
        message: core.messages.KeyReused,
        certainty: core.RunCertainty.NotRun,
    });
}

export function createCallInFlight(): core.Refusal {
    return core.createRefusal({
        kind: core.RefusalKind.CallInFlight,
        message: core.messages.CallInFlight,
        certainty: core.RunCertainty.MayHaveRun,
        retryAfterMilliseconds: DefaultRetryAfterMilliseconds,
    });
}

export function createOutcomeUnknown(): core.Refusal {
    return core.createRefusal({
        kind: core.RefusalKind.OutcomeUnknown,
        message: core.messages.OutcomeUnknown,
        certainty: core.RunCertainty.MayHaveRun,
    });
}

export function createKeyValueDown(): core.Refusal {
    return core.createRefusal({
        kind: core.RefusalKind.KeyValueDown,
        message: core.messages.KeyValueDown,
        certainty: core.RunCertainty.NotRun,
        retryAfterMilliseconds: KeyValueRetryAfterMilliseconds,
    });
}

export function createQuarantined(
    deaths: number,
    retryAfterMilliseconds: number,
    certainty: core.RunCertainty,
): core.Refusal {
    const isUnsent = certainty === core.RunCertainty.NotRun;
    return core.createRefusal({
        kind: core.RefusalKind.Quarantined,
        message: isUnsent ? core.messages.Quarantined : core.messages.UpstreamFailed,
        values: [isUnsent ? deaths : `this request ended ${deaths} upstreams and is quarantined`],
        certainty,
        retryAfterMilliseconds,
    });
}
