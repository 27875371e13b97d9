import type * as core from "@boragedale/core";
import type * as jobRecords from "./jobRecords.js";

export interface JobCandidate {
    readonly id: string;
    readonly caller: core.CallerId;
    readonly createdAt: core.WallMilliseconds;
    readonly deadlineAt: core.WallMilliseconds;
}

/** A job is urgent in the last fifth of its time, at most in its last five minutes. */
const UrgentShare = 0.2;
const UrgentMilliseconds = 300_000;

/**
 * Chooses whose batch work goes next. Made for many callers with jobs of very different sizes: by deadline alone, a
 * caller with one huge early job would keep everybody else's at a standstill for hours. So callers take turns, each
 * with its earliest deadline; jobs near their deadline go before all turns, since their lateness can't be made up.
 */
export class JobSelection {
    private turn = 0;
    private readonly lastTurns = new Map<core.CallerId, number>();

    choose<T extends JobCandidate>(candidates: readonly T[], now: core.WallMilliseconds): T | undefined {
        const urgent = candidates.filter(candidate => isUrgent(candidate, now));
        const chosen = urgent.length > 0 ? getFirst(urgent, isEarlier) : this.chooseByTurn(candidates);
        if (chosen !== undefined) {
            this.lastTurns.delete(chosen.caller);
            this.lastTurns.set(chosen.caller, ++this.turn);
        }
        return chosen;
    }

    private chooseByTurn<T extends JobCandidate>(candidates: readonly T[]): T | undefined {
        return getFirst(candidates, (left, right) => {
            const leftTurn = this.lastTurns.get(left.caller) ?? 0;
            const rightTurn = this.lastTurns.get(right.caller) ?? 0;
            return leftTurn === rightTurn ? isEarlier(left, right) : leftTurn < rightTurn;
        });
    }
}

export function toCandidate(record: jobRecords.JobRecord): JobCandidate {
    const { id, caller, createdAt, deadlineAt } = record;
    return { id, caller, createdAt, deadlineAt };
}

function isUrgent(candidate: JobCandidate, now: core.WallMilliseconds): boolean {
    const whole = candidate.deadlineAt - candidate.createdAt;
    return candidate.deadlineAt - now < Math.min(UrgentShare * whole, UrgentMilliseconds);
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
