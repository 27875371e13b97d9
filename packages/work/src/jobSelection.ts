import type * as core from "@boragedale/core";
import type * as jobRecords from "./jobRecords.js";

export interface JobCandidate {
    readonly id: string;
    readonly caller: core.CallerId;
    readonly createdAt: core.WallMilliseconds;
    readonly deadlineAt: core.WallMilliseconds;
}

/** A job is urgent in the last fifth of its time, but at most in the last five minutes. */
const UrgentShare = 0.2;
const UrgentMilliseconds = 300_000;

/**
 * Selects the job whose chunks or items are processed next. Ordered by deadline alone, one caller's huge early job
 * would block the jobs of all other callers for hours. Callers are therefore served round-robin, each with its job of
 * the earliest deadline. Jobs close to their deadline are selected first, since a missed deadline can't be made up for.
 */
export class JobSelection {
    private lastTurn = 0;
    private readonly lastTurnByCaller = new Map<core.CallerId, number>();

    choose<T extends JobCandidate>(candidates: readonly T[], now: core.WallMilliseconds): T | undefined {
        const urgent = candidates.filter(candidate => isUrgent(candidate, now));
        const chosen = urgent.length > 0 ? getFirst(urgent, isEarlier) : this.chooseByTurn(candidates);
        if (chosen !== undefined) {
            this.lastTurnByCaller.delete(chosen.caller);
            this.lastTurnByCaller.set(chosen.caller, ++this.lastTurn);
        }
        return chosen;
    }

    private chooseByTurn<T extends JobCandidate>(candidates: readonly T[]): T | undefined {
        return getFirst(candidates, (left, right) => {
            const leftTurn = this.lastTurnByCaller.get(left.caller) ?? 0;
            const rightTurn = this.lastTurnByCaller.get(right.caller) ?? 0;
            return leftTurn === rightTurn ? isEarlier(left, right) : leftTurn < rightTurn;
        });
    }
}

export function toCandidate(record: jobRecords.JobRecord): JobCandidate {
    const { id, caller, createdAt, deadlineAt } = record;
    return { id, caller, createdAt, deadlineAt };
}

function isUrgent(candidate: JobCandidate, now: core.WallMilliseconds): boolean {
    const duration = candidate.deadlineAt - candidate.createdAt;
    return candidate.deadlineAt - now < Math.min(UrgentShare * duration, UrgentMilliseconds);
}

function isEarlier(left: JobCandidate, right: JobCandidate): boolean {
    return left.deadlineAt === right.deadlineAt ? left.id < right.id : left.deadlineAt < right.deadlineAt;
}

function getFirst<T>(values: readonly T[], isBefore: (left: T, right: T) => boolean): T | undefined {
    let first: T | undefined;
    for (const value of values) {
        if (first === undefined || isBefore(value, first)) {
            first = value;
        }
    }
    return first;
}
