import type * as hardLoadBatch from "./hardLoadBatch.js";
import * as hardLoadOnline from "./hardLoadOnline.js";
import type * as simulatedNetwork from "./simulatedNetwork.js";

/** What the requests of a group of customers got. Requests above a customer's limit aren't counted as requests. */
export interface OnlineMeasures {
    readonly count: number;
    readonly inTime: number;
    readonly late: number;
    readonly refused: number;
    /** Without a first event or a last refusal at the end of the play. */
    readonly unanswered: number;
    /** Requests above the limit, which the customer's token bucket refused. */
    readonly overLimit: number;
    /** Time to the first event of answered requests, in milliseconds, from the caller's first attempt. */
    readonly p50: number;
    readonly p99: number;
}

export interface BatchMeasures extends hardLoadBatch.BatchCounts {
    readonly items: number;
    readonly finished: number;
    /** Items whose due time was within the play. */
    readonly due: number;
    /** Those of them that finished after it or not at all. */
    readonly late: number;
}

export interface EngineWork {
    readonly upstream: string;
    /** Work relative to the engine's usual speed. */
    readonly milliseconds: number;
}

export interface HardLoadResult {
    readonly all: OnlineMeasures;
    /** The customer that sends too much; without requests if there is none. */
    readonly hot: OnlineMeasures;
    readonly others: OnlineMeasures;
    /** Requests of the others that arrived while the hot customer sent too much; none if there is no such customer. */
    readonly othersMeanwhile: OnlineMeasures;
    readonly batch: BatchMeasures;
    /** Work of each engine relative to its speed and to the mean. */
    readonly relativeWork: ReadonlyMap<string, number>;
    readonly busiest: number;
    /** Control messages and bytes per second, sent and received: of the mean and of the busiest instance. */
    readonly messages: number;
    readonly bytes: number;
    readonly mostBytes: number;
}

export interface Observations {
    readonly requests: readonly hardLoadOnline.OnlineRequest[];
    readonly hotCustomer: string | undefined;
    readonly hotFrom: number;
    readonly hotUntil: number;
    readonly overLimit: number;
    readonly hotOverLimit: number;
    readonly items: readonly hardLoadBatch.BatchItem[];
    readonly counts: hardLoadBatch.BatchCounts;
    readonly work: readonly EngineWork[];
    readonly traffic: readonly simulatedNetwork.Traffic[];
    readonly now: number;
}

export function createResult(seen: Observations): HardLoadResult {
    const { requests, hotCustomer, items, now } = seen;
    const perSecond = (value: number): number => (value / now) * 1_000;
    const due = items.filter(item => item.dueAt <= now);
    const meanWork = mean(seen.work.map(({ milliseconds }) => milliseconds));
    const relativeWork = new Map(
        seen.work.map(({ upstream, milliseconds }) => [upstream, milliseconds / Math.max(1, meanWork)]),
    );
    const isHot = (request: hardLoadOnline.OnlineRequest): boolean => request.customer === hotCustomer;
    const others = requests.filter(request => !isHot(request));
    const isMeanwhile = ({ arrivedAt }: hardLoadOnline.OnlineRequest): boolean =>
        hotCustomer !== undefined && arrivedAt >= seen.hotFrom && arrivedAt < seen.hotUntil;
    const hotOverLimit = hotCustomer === undefined ? 0 : seen.hotOverLimit;
    return {
        all: measure(requests, seen.overLimit),
        hot: measure(requests.filter(isHot), hotOverLimit),
        others: measure(others, seen.overLimit - hotOverLimit),
        othersMeanwhile: measure(others.filter(isMeanwhile), 0),
        batch: {
            ...seen.counts,
            items: items.length,
            finished: items.filter(item => item.finishedAt !== undefined).length,
            due: due.length,
            late: due.filter(item => (item.finishedAt ?? Infinity) > item.dueAt).length,
        },
        relativeWork,
        busiest: Math.max(...relativeWork.values()),
        messages: perSecond(mean(seen.traffic.map(traffic => traffic.messages))),
        bytes: perSecond(mean(seen.traffic.map(traffic => traffic.bytes))),
        mostBytes: perSecond(Math.max(...seen.traffic.map(traffic => traffic.bytes))),
    };
}

/** Formats the result as one line for each group of requests, and one for batch, engines and messages. */
export function formatResult(result: HardLoadResult): string {
    const { all, hot, others, othersMeanwhile, batch } = result;
    const groups = Object.entries({ all, hot, others, "others while hot": othersMeanwhile }).filter(
        ([, { count }]) => count > 0,
    );
    const percent = (part: number, count: number): string => `${((part / Math.max(1, count)) * 100).toFixed(1)}%`;
    return [
        ...groups.map(([name, one]) =>
            [
                `  ${name.padEnd(16)} ${one.count} requests`,
                `in time ${percent(one.inTime, one.count)}`,
                `late ${percent(one.late, one.count)}`,
                `refused ${percent(one.refused, one.count)}`,
                `unanswered ${one.unanswered}`,
                `over limit ${one.overLimit}`,
                `first event p50 ${one.p50.toFixed(0)} ms, p99 ${one.p99.toFixed(0)} ms`,
            ].join(", "),
        ),
        [
            `  batch  ${batch.items} items`,
            `${batch.finished} finished`,
            `${batch.due} due`,
            `${batch.late} late`,
            `${batch.started} runs started`,
            `${batch.preempted} preempted`,
            `${batch.resumed} resumed`,
        ].join(", "),
        [
            `  busiest engine ${result.busiest.toFixed(2)} of the mean`,
            `${result.messages.toFixed(0)} messages/s`,
            `${result.bytes.toFixed(0)} B/s`,
            `${result.mostBytes.toFixed(0)} B/s at most`,
        ].join(", "),
    ].join("\n");
}

function measure(requests: readonly hardLoadOnline.OnlineRequest[], overLimit: number): OnlineMeasures {
    const waits = requests
        .flatMap(({ firstEventAt, arrivedAt }) => (firstEventAt === undefined ? [] : [firstEventAt - arrivedAt]))
        .sort((left, right) => left - right);
    const inTime = waits.filter(wait => wait <= hardLoadOnline.LatencyTargetMilliseconds).length;
    return {
        count: requests.length,
        inTime,
        late: waits.length - inTime,
        refused: requests.filter(request => request.isRefused).length,
        unanswered: requests.filter(request => !request.isRefused && request.firstEventAt === undefined).length,
        overLimit,
        p50: getQuantile(waits, 0.5),
        p99: getQuantile(waits, 0.99),
    };
}

function mean(values: readonly number[]): number {
    return values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);
}

function getQuantile(sorted: readonly number[], quantile: number): number {
    return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * quantile))] ?? 0;
}
