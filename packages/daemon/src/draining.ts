import type * as core from "@boragedale/core";
import type * as gateway from "@boragedale/gateway";

/** Minimum time that the process keeps serving after the load balancer has stopped sending, for requests in transit. */
const InTransitRequestMilliseconds = 1_000;
/** Time before the kill at which the process exits, ending the requests that are still in progress. */
const StopMarginMilliseconds = 400;
const StopPollMilliseconds = 50;
/** Time before the exit at which the deadline of a request passes, for its refusal to reach the caller. */
const RefusalMilliseconds = 200;

/** What a stop waits for. */
export interface DrainParts {
    readonly clock: core.Clock;
    readonly server: Pick<
        gateway.CallerServer,
        "limitDeadlines" | "startClosing" | "closeIdleConnections" | "hasIdleConnections" | "getInProgressCount"
    >;
    readonly submissions: Pick<gateway.SubmissionService, "getActiveCount">;
}

/** Times of a stop. */
export interface DrainTimes {
    /** Time from the signal to the kill. */
    readonly graceMilliseconds: number;
    /** Time until the load balancer has stopped sending. */
    readonly balancerMilliseconds: number;
}

/** Serves requests while the load balancer still sends them, then until the last one has ended or the grace period is over. */
export async function drain({ clock, server, submissions }: DrainParts, times: DrainTimes): Promise<void> {
    const { graceMilliseconds, balancerMilliseconds } = times;
    const startedAt = clock.now();
    const latestExitAt = startedAt + graceMilliseconds - StopMarginMilliseconds;
    server.limitDeadlines(latestExitAt - RefusalMilliseconds);
    await clock.sleep(balancerMilliseconds);
    server.startClosing();
    const shortestMilliseconds = balancerMilliseconds + Math.min(InTransitRequestMilliseconds, balancerMilliseconds);
    // Requests may still arrive on kept connections, so both conditions must hold at the same time. Idle connections are closed
    // before the exit, which would cut off a request that arrives meanwhile.
    const isBusy = (): boolean =>
        clock.now() - startedAt <= shortestMilliseconds ||
        server.getInProgressCount() > 0 ||
        server.hasIdleConnections() ||
        submissions.getActiveCount() > 0;
    while (clock.now() < latestExitAt && isBusy()) {
        server.closeIdleConnections();
        await clock.sleep(StopPollMilliseconds);
    }
}
