import type * as core from "@boragedale/core";

/** The reply of one instance to the question which generation it has in force. */
export interface GenerationAnswer {
    readonly instance: core.InstanceId;
    /** Undefined when the instance did not answer. */
    readonly generation: core.Generation | undefined;
    /** Since when the instance has had that generation, or since when it has not answered. */
    readonly since: core.WallMilliseconds;
}

/** Whether a note is in force on every live instance, and which instances have not confirmed it. */
export interface NoteAdoptionReport {
    readonly generation: core.Generation;
    /** True only when every live instance confirmed this generation or a higher one. */
    readonly isInForce: boolean;
    /** Live instances that have an older note or did not answer. */
    readonly missing: readonly GenerationAnswer[];
}

/**
 * Combines the answers of all instances. A live instance that did not answer counts as missing, since it may still
 * serve its callers by the old note.
 */
export function createNoteAdoptionReport(
    generation: core.Generation,
    live: readonly core.InstanceDescription[],
    answers: readonly GenerationAnswer[],
    now: core.WallMilliseconds,
): NoteAdoptionReport {
    const byInstance = new Map(answers.map(answer => [answer.instance, answer]));
    const missing = live
        .map(({ id }) => byInstance.get(id) ?? { instance: id, generation: undefined, since: now })
        .filter(answer => answer.generation === undefined || answer.generation < generation);
    return { generation, isInForce: missing.length === 0, missing };
}
