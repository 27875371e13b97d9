import * as core from "@boragedale/core";
import type * as jobInput from "./jobInput.js";
import type * as types from "./types.js";

/** Creates the refusals of requests for files and jobs. */

const RetryAfterMilliseconds = 2_000;
const MaximumReportedFindings = 5;

export function createUnavailable<T>(certainty: core.RunCertainty = core.RunCertainty.NotRun): core.Outcome<T> {
    return core.createFailure(
        core.createRefusal({
            kind: core.RefusalKind.KeyValueDown,
            message: core.messages.KeyValueDown,
            certainty,
            retryAfterMilliseconds: RetryAfterMilliseconds,
        }),
    );
}

export function createNotFound<T>(kind: string, id: string): core.Outcome<T> {
    return core.createFailure(
        core.createRefusal({
            kind: core.RefusalKind.NotFound,
            message: core.messages.NotFound,
            values: [kind, id],
            certainty: core.RunCertainty.NotRun,
        }),
    );
}

export function createStateConflict<T>(state: types.JobState, action: string): core.Outcome<T> {
    return core.createFailure(
        core.createRefusal({
            kind: core.RefusalKind.JobStateConflict,
            message: core.messages.JobStateConflict,
            values: [state, action],
            certainty: core.RunCertainty.NotRun,
        }),
    );
}

export function createInputInvalid<T>(findings: readonly jobInput.InputFinding[]): core.Outcome<T> {
    const texts = findings
        .slice(0, MaximumReportedFindings)
        .map(finding => core.messages.formatMessage(core.messages.JobInputInvalid, finding.line, finding.text));
    return core.createFailure({
        kind: core.RefusalKind.BodyInvalid,
        text: texts.join("; "),
        certainty: core.RunCertainty.NotRun,
    });
}

export function createKeyReused<T>(): core.Outcome<T> {
    return core.createFailure(
        core.createRefusal({
            kind: core.RefusalKind.KeyReused,
            message: core.messages.KeyReused,
            certainty: core.RunCertainty.NotRun,
        }),
    );
}
