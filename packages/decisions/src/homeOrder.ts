import type * as core from "@boragedale/core";

/** The number of free slots that a coordinator reported. */
interface FreeSlotHint {
    readonly free: number;
    readonly at: core.MonotonicMilliseconds;
}

/** A coordinator that could be asked for a slot. */
export interface CoordinatorCandidate {
    readonly id: core.InstanceId;
    readonly isNear: boolean;
    /** Speed of its engines relative to others. Absent: 1. */
    readonly relativeSpeed?: number;
}

/**
 * How long a hint is used: about half of the time for which a request holds a slot. After that, as many slots have been
 * taken and freed as the hint counted.
 */
const HintExpiryMilliseconds = 300;
/**
 * How long a coordinator that didn't answer is skipped. It is stopped, slow or unreachable, and requests that ask it
 * wait in vain until it is removed from the instance list.
 */
const NoAnswerMilliseconds = 1_000;
/**
 * Score of a coordinator without a recent hint: lower than with a hint of free slots, higher than with a hint that
 * there are none.
 */
const UnknownScore = 0.5;
/**
 * Bonus for the same data centre: reaching another one takes a millisecond or two, and a coordinator without a free
 * slot costs another round trip.
 */
const SameDataCentreScore = 0.2;
const TieBreakSpread = 0.15;
/**
 * Weight of the engines' speed: a coordinator of engines at 1.6 is asked before others, unless it reported that it had
 * no free slot.
 */
const SpeedScore = 0.3;
const HighestSpeedDifference = 0.8;

/**
 * Orders the coordinators that are asked for a slot.
 *
 * A burst may arrive at one instance whose own upstreams are full, while others have free slots. Without an order, full
 * coordinators would be asked over and over, and requests would wait for coordinators that don't answer; each such
 * attempt costs the request a round trip.
 */
export class CoordinatorOrder {
    private readonly hints = new Map<core.InstanceId, FreeSlotHint>();
    private readonly skippedUntil = new Map<core.InstanceId, core.MonotonicMilliseconds>();

    constructor(private readonly random: () => number) {}

    recordFreeSlots(coordinator: core.InstanceId, free: number, now: core.MonotonicMilliseconds): void {
        this.hints.set(coordinator, { free, at: now });
        this.skippedUntil.delete(coordinator);
    }

    recordNoAnswer(coordinator: core.InstanceId, now: core.MonotonicMilliseconds): void {
        this.skippedUntil.set(coordinator, now + NoAnswerMilliseconds);
    }

    /** Whether the coordinator reported free slots a moment ago. */
    hasFreeSlots(coordinator: core.InstanceId, now: core.MonotonicMilliseconds): boolean {
        const hint = this.hints.get(coordinator);
        return hint !== undefined && hint.free > 0 && now - hint.at <= HintExpiryMilliseconds;
    }

    remove(coordinator: core.InstanceId): void {
        this.hints.delete(coordinator);
        this.skippedUntil.delete(coordinator);
    }

    /** Returns the coordinators worth asking, best first, without those that recently didn't answer. */
    rank(coordinators: readonly CoordinatorCandidate[], now: core.MonotonicMilliseconds): readonly core.InstanceId[] {
        return coordinators
            .filter(coordinator => (this.skippedUntil.get(coordinator.id) ?? -Infinity) <= now)
            .map(coordinator => ({ id: coordinator.id, score: this.score(coordinator, now) }))
            .sort((left, right) => right.score - left.score)
            .map(({ id }) => id);
    }

    private score(coordinator: CoordinatorCandidate, now: core.MonotonicMilliseconds): number {
        const hint = this.hints.get(coordinator.id);
        const isFresh = hint !== undefined && now - hint.at <= HintExpiryMilliseconds;
        const known = isFresh ? Math.min(1, hint.free) : UnknownScore;
        const speed = Math.min(HighestSpeedDifference, (coordinator.relativeSpeed ?? 1) - 1) * SpeedScore;
        return known + speed + (coordinator.isNear ? SameDataCentreScore : 0) + this.random() * TieBreakSpread;
    }
}
