import type * as core from "@boragedale/core";

/** Whether a quarantined request may be sent as a trial. */
export interface TrialDecision {
    readonly isGranted: boolean;
    /** Trials that have failed so far. */
    readonly failures: number;
    /** Time until the next trial may be granted. */
    readonly waitMilliseconds: number;
}

interface Schedule {
    failures: number;
    dueAt: core.MonotonicMilliseconds;
    /** The same for requests that were accepted to be run later. */
    owedDueAt: core.MonotonicMilliseconds;
    changedAt: core.MonotonicMilliseconds;
}

/**
 * Times from a verdict on a prompt part, and from each failed trial, to the next trial. The first ones are short, because a false
 * verdict stops many requests at once. The platform allows three requests with a guilty part to be sent later than three
 * seconds after its third crash; two trials leave one for a trial whose outcome gets lost with its gateway.
 */
export const PartTrialDelays: readonly number[] = [1_000, 2_000, 10 * 60_000];
/** The same for a single request, which has already been in progress at three crashes and stops no others. */
export const RequestTrialDelays: readonly number[] = [8_000, 20_000, 15 * 60_000];
/**
 * Longest time to the next trial for requests that were accepted to be run later. They may not be refused, so a false verdict, whose
 * trials may have met crashes of another cause, must not stop them for longer once upstreams are well.
 */
const LongestOwedDelayMilliseconds = 4_000;
/** Time for a granted trial to be sent and answered beyond its beginning. Without an outcome, the next trial may follow. */
export const TrialMilliseconds = 2_000;
/** Time for which failed trials are remembered, which is longer than any delay. */
const MemoryMilliseconds = 60 * 60_000;

/**
 * Decides when a quarantined request or prompt part is tried again.
 *
 * A verdict stops all requests that could refute it. If it is false, because upstreams crashed for other reasons, they would be
 * refused for many minutes with all upstreams well. So one request is sent from time to time: its answer ends the quarantine, and
 * a crash puts off the next trial for longer. One member decides for the fleet, since each trial of a guilty part takes
 * down an upstream with the answers of a dozen others. Pure: time is passed in.
 */
export class QuarantineTrials {
    private readonly schedules = new Map<string, Schedule>();

    constructor(private readonly delays: readonly number[]) {}

    /** Call for each quarantine that becomes known, with the trials that have failed. Calls for a known one change nothing. */
    begin(name: string, failures: number, now: core.MonotonicMilliseconds): void {
        const known = this.schedules.get(name);
        if (known === undefined || failures > known.failures || known.dueAt + TrialMilliseconds < now) {
            this.set(name, Math.max(failures, known?.failures ?? 0), now);
        }
    }

    /** Time until a trial is due; undefined if the quarantine isn't known here. */
    tryGetWait(name: string, now: core.MonotonicMilliseconds, isOwed = false): number | undefined {
        const known = this.schedules.get(name);
        return known === undefined ? undefined : getWait(known, now, isOwed);
    }

    getFailures(name: string): number {
        return this.schedules.get(name)?.failures ?? 0;
    }

    /** Grants a trial if one is due and no other is running. A quarantine that isn't known yet has its first delay ahead. */
    decide(name: string, now: core.MonotonicMilliseconds, isOwed = false): TrialDecision {
        const known = this.schedules.get(name) ?? this.set(name, 0, now);
        const waitMilliseconds = getWait(known, now, isOwed);
        if (waitMilliseconds > 0) {
            return { isGranted: false, failures: known.failures, waitMilliseconds };
        }
        known.dueAt = Math.max(known.dueAt, now + TrialMilliseconds);
        known.owedDueAt = Math.max(known.owedDueAt, now + TrialMilliseconds);
        return { isGranted: true, failures: known.failures, waitMilliseconds: TrialMilliseconds };
    }

    /** Call when the deciding member has not granted a trial. */
    postpone(name: string, milliseconds: number, now: core.MonotonicMilliseconds, isOwed = false): void {
        const known = this.schedules.get(name);
        if (known === undefined) {
            return;
        }
        if (isOwed) {
            known.owedDueAt = Math.max(known.owedDueAt, now + milliseconds);
        }
        else {
            known.dueAt = Math.max(known.dueAt, now + milliseconds);
        }
    }

    /** Call when a trial has failed, here or at another member. `failures` includes it. */
    recordFailure(name: string, failures: number, now: core.MonotonicMilliseconds): void {
        if (failures > this.getFailures(name)) {
            this.set(name, failures, now);
        }
    }

    /** The quarantine has ended. */
    end(name: string): void {
        this.schedules.delete(name);
    }

    private set(name: string, failures: number, now: core.MonotonicMilliseconds): Schedule {
        this.schedules.forEach(({ changedAt }, other) => {
            if (now - changedAt >= MemoryMilliseconds) {
                this.schedules.delete(other);
            }
        });
        const delay = this.delays[Math.min(failures, this.delays.length - 1)] ?? 0;
        const owedDelay = Math.min(delay, LongestOwedDelayMilliseconds);
        const schedule = { failures, dueAt: now + delay, owedDueAt: now + owedDelay, changedAt: now };
        this.schedules.set(name, schedule);
        return schedule;
    }
}

function getWait({ dueAt, owedDueAt }: Schedule, now: core.MonotonicMilliseconds, isOwed: boolean): number {
    return Math.max(0, (isOwed ? owedDueAt : dueAt) - now);
}
