import type * as core from "@boragedale/core";

/** What one instance said when it was asked for the generation it has in force. */
export interface ForceAnswer {
    readonly instance: core.InstanceId;
    /** Undefined when it did not answer. */
    readonly generation: core.Generation | undefined;
    /** Since when it has that generation, or since when it has not answered. */
    readonly since: core.WallMilliseconds;
}

/** Whether a note is in force, and who keeps it from being so. */
export interface ForceReport {
    readonly generation: core.Generation;
    /** True only when every live instance confirmed the generation or a higher one. */
    readonly isInForce: boolean;
    /** Live instances that have an older note or did not answer. */
    readonly missing: readonly ForceAnswer[];
}

/**
 * Puts the answers of all instances together. An instance that is live and silent counts as missing: saying "in
 * force" without it would be a guess, and the callers behind it might be served by the old note.
 */
export function createForceReport(
    generation: core.Generation,
    live: readonly core.InstanceDescription[],
    answers: readonly ForceAnswer[],
    now: core.WallMilliseconds,
): ForceReport {
    const byInstance = new Map(answers.map(answer => [answer.instance, answer]));
    const missing = live
        .map(({ id }) => byInstance.get(id) ?? { instance: id, generation: undefined, since: now })
        .filter(answer => answer.generation === undefined || answer.generation < generation);
    return { generation, isInForce: missing.length === 0, missing };
}
