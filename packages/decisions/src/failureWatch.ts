import type * as core from "@boragedale/core";

/**
 * How many of the latest request outcomes are considered for each upstream, and how many failures among them cause it
 * to be avoided.
 */
const RecentOutcomeCount = 8;
const FailuresToAvoid = 2;
/**
 * First and longest time for which an upstream is avoided. A partially failing upstream fails for seconds and receives
 * two requests at each return, so that doubling the time limits them to a handful.
 */
const InitialAvoidMilliseconds = 1_000;
const MaximumAvoidMilliseconds = 8_000;
/**
 * Largest fraction of a service's upstreams that are avoided at a time. If more of them seem to fail, the cause is
 * elsewhere (a wrong configuration, requests that fail everywhere), and avoiding them would only overload the others.
 */
const MaximumAvoidedFraction = 0.3;

interface OutcomeRecord {
    /** The latest outcomes, oldest first; true for a failure. */
    readonly outcomes: boolean[];
    avoidedUntil: core.MonotonicMilliseconds;
    nextAvoidMilliseconds: number;
}

/**
 * Finds upstreams that fail some of their requests, by the outcomes of the requests.
 *
 * An upstream may answer with errors, break off or hang while its health probe succeeds. An upstream that fails at once
 * always has the most free slots, so that choosing by free slots sends it more than its share, and most of these
 * requests may not be sent again. Of 600 streams over eight engines, one of which answers with errors for ten seconds,
 * 400 fail without this class and fewer than twelve with it (failureWatch.test.ts).
 */
export class FailureWatch {
    private readonly records = new Map<core.UpstreamId, OutcomeRecord>();

    /**
     * Records the outcome of a request. Returns the time until which the upstream is to be avoided if this outcome
     * causes it to be avoided; `upstreamCount` is the number of upstreams of the service.
     */
    recordOutcome(
        upstream: core.UpstreamId,
        isFailure: boolean,
        upstreamCount: number,
        now: core.MonotonicMilliseconds,
    ): core.MonotonicMilliseconds | undefined {
        const record = this.getRecord(upstream);
        record.outcomes.push(isFailure);
        if (record.outcomes.length > RecentOutcomeCount) {
            record.outcomes.shift();
        }
        if (record.outcomes.length === RecentOutcomeCount && !record.outcomes.includes(true)) {
            record.nextAvoidMilliseconds = InitialAvoidMilliseconds;
        }
        const failures = record.outcomes.filter(hasFailed => hasFailed).length;
        if (
            !isFailure ||
            failures < FailuresToAvoid ||
            record.avoidedUntil > now ||
            !this.canAvoidAnother(upstreamCount, now)
        ) {
            return undefined;
        }
        record.avoidedUntil = now + record.nextAvoidMilliseconds;
        record.nextAvoidMilliseconds = Math.min(MaximumAvoidMilliseconds, record.nextAvoidMilliseconds * 2);
        record.outcomes.length = 0;
        return record.avoidedUntil;
    }

    private canAvoidAnother(upstreamCount: number, now: core.MonotonicMilliseconds): boolean {
        const avoided = [...this.records.values()].filter(record => record.avoidedUntil > now).length;
        return avoided + 1 <= Math.max(1, upstreamCount * MaximumAvoidedFraction);
    }

    private getRecord(upstream: core.UpstreamId): OutcomeRecord {
        let record = this.records.get(upstream);
        if (record === undefined) {
            record = { outcomes: [], avoidedUntil: -Infinity, nextAvoidMilliseconds: InitialAvoidMilliseconds };
            this.records.set(upstream, record);
        }
        return record;
    }
}
