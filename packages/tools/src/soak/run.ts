import * as timers from "node:timers/promises";
import * as core from "@boragedale/core";
import * as batchCaller from "./batchCaller.js";
import * as plan from "./plan.js";
import * as site from "./site.js";
import * as streamCaller from "./streamCaller.js";
import * as verdict from "./verdict.js";

export interface SoakResult {
    readonly streams: number;
    readonly ends: Readonly<Record<verdict.StreamEnd, number>>;
    /** Streams that were continued at least once. */
    readonly continued: number;
    /** Refused attempts to continue a stream, although an upstream of its version was ready. */
    readonly refusedThoughReady: number;
    /** Streams that were refused to the end, although an upstream of their version was ready at the last refusal. */
    readonly lostThoughReady: number;
    /** Answers other than 200, 503 and 429, by status. */
    readonly otherStatuses: Readonly<Record<string, number>>;
    readonly batch: batchCaller.BatchResult;
    /** Number of streams and batch items with each kind of violation. */
    readonly violations: Readonly<Record<string, number>>;
    readonly stories: readonly string[];
}

/** Carries out a plan over real gateway processes, and judges what the callers saw. */
export async function runPlan(
    planned: plan.SoakPlan,
    seed: number,
    logFolder: string | undefined,
): Promise<SoakResult> {
    await using stack = new core.DisposalStack();
    const environment = await site.Site.start(planned, logFolder, stack);
    await waitUntilServing(environment);
    const random = plan.createRandom(seed + 1);
    using callers = new streamCaller.StreamCallers(environment, planned.callerMilliseconds, random);
    const steps = planned.steps.map(async step => {
        await timers.setTimeout(step.at);
        await environment.carryOut(step);
    });
    const batch = batchCaller.runBatch(environment, planned.batchItems, random);
    const streams = planned.streams.map(async stream => ({ stream, attempts: await callers.run(stream) }));
    const [seen, batchResult] = await Promise.all([Promise.all(streams), batch, ...steps]);
    await Promise.all(environment.gateways.map(gateway => gateway.waitUntilSettled()));
    return summarize(seen, batchResult);
}

/** Waits until every gateway reports that it is ready. */
async function waitUntilServing(environment: site.Site): Promise<void> {
    for (const { readinessAddress } of environment.gateways) {
        for (;;) {
            const answer = await fetch(`http://${readinessAddress}/`).catch(() => undefined);
            await answer?.arrayBuffer();
            if (answer?.status === 200) {
                break;
            }
            await timers.setTimeout(50);
        }
    }
}

interface SeenStream {
    readonly stream: plan.PlannedStream;
    readonly attempts: readonly verdict.SeenAttempt[];
}

function summarize(seen: readonly SeenStream[], batch: batchCaller.BatchResult): SoakResult {
    const ends = { [verdict.StreamEnd.Whole]: 0, [verdict.StreamEnd.Refused]: 0, [verdict.StreamEnd.Broken]: 0 };
    const violations: Record<string, number> = {};
    const otherStatuses: Record<string, number> = {};
    const stories: string[] = [];
    let continued = 0;
    let refusedThoughReady = 0;
    let lostThoughReady = 0;
    for (const { stream, attempts } of seen) {
        const judged = verdict.judgeStream(attempts, stream.events);
        ends[judged.end]++;
        continued += judged.continued > 0 ? 1 : 0;
        refusedThoughReady += judged.refusedThoughReady;
        const isLost = judged.end === verdict.StreamEnd.Refused && attempts.at(-1)?.isVersionReady === true;
        lostThoughReady += isLost ? 1 : 0;
        attempts
            .filter(({ status }) => ![0, 200, 429, 503].includes(status))
            .forEach(({ status }) => (otherStatuses[status] = (otherStatuses[status] ?? 0) + 1));
        new Set(judged.violations).forEach(kind => (violations[kind] = (violations[kind] ?? 0) + 1));
        if (judged.violations.length > 0 || isLost) {
            const kinds = [...new Set(judged.violations)].join(", ");
            stories.push(`${stream.name} ${kinds || judged.end}: ${attempts.map(describeAttempt).join(" | ")}`);
        }
    }
    batch.violations.forEach(kind => (violations[`item: ${kind}`] = (violations[`item: ${kind}`] ?? 0) + 1));
    const counts = { continued, refusedThoughReady, lostThoughReady };
    return { streams: seen.length, ends, ...counts, otherStatuses, batch, violations, stories };
}

function describeAttempt(attempt: verdict.SeenAttempt): string {
    const { gateway, startedAt, endedAt, status, isComplete, isVersionReady } = attempt;
    const { events } = verdict.parseEvents(status === 200 ? attempt.text : "");
    const first = events[0];
    const last = events.at(-1);
    const range = first === undefined ? "" : ` ${first.softwareVersion}:${first.number}`;
    const end = last === undefined ? "" : `-${last.softwareVersion}:${last.number}`;
    const notes = `${isComplete ? " complete" : ""}${isVersionReady ? " version ready" : ""}`;
    return `${startedAt}-${endedAt} gateway-${gateway} ${status}${range}${end}${notes}`;
}
