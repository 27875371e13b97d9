import * as random from "./random.js";

/** One online request as its caller sends it. */
export interface OnlineArrival {
    readonly id: string;
    readonly at: number;
    readonly caller: string;
    /** From 0 up to but excluding 1; determines the instance that the platform's load balancer chooses. */
    readonly balancerDraw: number;
    readonly prefix: string;
    readonly prefixTokens: number;
    readonly ownTokens: number;
    readonly outputTokens: number;
    readonly crashesEngine: boolean;
    /** How many times the caller has resent it. */
    readonly resends: number;
}

/** One batch item. */
export interface BatchItem {
    readonly id: string;
    readonly caller: string;
    readonly prefix: string;
    readonly prefixTokens: number;
    readonly ownTokens: number;
    readonly outputTokens: number;
    readonly deadlineAt: number;
}

/** Part of the run with a constant request rate. */
export interface LoadPhase {
    readonly milliseconds: number;
    /** Online requests per second over the whole fleet. */
    readonly requestsPerSecond: number;
}

export interface OnlineLoad {
    /** Repeated until the end of the run. */
    readonly phases: readonly LoadPhase[];
    /** Each caller's share of the requests; the shares needn't add up to 1. */
    readonly callerShares: readonly number[];
    /** Share of the requests that begin with the same prefix. */
    readonly hotPrefixShare: number;
    /** Mean output lengths, each with its share of the requests. */
    readonly outputs: readonly { readonly tokens: number; readonly share: number }[];
    /** Time at which a request that crashes engines arrives. */
    readonly crashingRequestAt?: number;
}

export interface BatchLoad {
    readonly callers: number;
    readonly outputs: readonly { readonly tokens: number; readonly share: number }[];
}

/** Online prompts: a shared prefix (instructions, a template) and the caller's own text. */
const PrefixCount = 120;
const PrefixTokens = 700;
const OwnTokens = 200;
/** Batch prompts: the job's instructions and one item. */
const BatchPrefixTokens = 500;
const BatchOwnTokens = 150;

/** All online requests of a run, in order. With the same seed, each policy gets the same requests. */
export function createArrivals(load: OnlineLoad, milliseconds: number, seed: number): readonly OnlineArrival[] {
    const source = new random.Random(seed);
    const arrivals: OnlineArrival[] = [];
    let phaseStart = 0;
    for (let index = 0; phaseStart < milliseconds; index++) {
        const phase = load.phases[index % load.phases.length]!;
        const end = Math.min(milliseconds, phaseStart + phase.milliseconds);
        if (phase.requestsPerSecond > 0) {
            let at = phaseStart + source.nextExponential(1_000 / phase.requestsPerSecond);
            while (at < end) {
                arrivals.push(createArrival(load, at, arrivals.length, source));
                at += source.nextExponential(1_000 / phase.requestsPerSecond);
            }
        }
        phaseStart += phase.milliseconds;
    }
    return markCrashingRequest(arrivals, load.crashingRequestAt);
}

/** An endless supply of items for one batch caller. */
export class BatchSource {
    private readonly source: random.Random;
    private createdItems = 0;

    constructor(
        private readonly load: BatchLoad,
        private readonly caller: string,
        seed: number,
    ) {
        this.source = new random.Random(seed);
    }

    next(): BatchItem {
        const outputs = this.load.outputs;
        const output = outputs[this.source.pickWeighted(outputs.map(entry => entry.share))]!;
        return {
            id: `${this.caller}/${this.createdItems++}`,
            caller: this.caller,
            prefix: `job/${this.caller}`,
            prefixTokens: BatchPrefixTokens,
            ownTokens: this.source.nextTokenCount(BatchOwnTokens),
            outputTokens: this.source.nextTokenCount(output.tokens),
            deadlineAt: 3_600_000,
        };
    }
}

/** Mean number of tokens over a mix of output lengths. */
export function getMeanTokens(outputs: readonly { readonly tokens: number; readonly share: number }[]): number {
    const shares = outputs.reduce((sum, output) => sum + output.share, 0);
    return outputs.reduce((sum, output) => sum + output.tokens * output.share, 0) / shares;
}

export function getMeanBatchPromptTokens(): number {
    return BatchOwnTokens;
}

export function getMeanOnlinePromptTokens(): number {
    return OwnTokens;
}

/** Marks the first request at or after `at` as the one that crashes engines. */
function markCrashingRequest(arrivals: readonly OnlineArrival[], at: number | undefined): readonly OnlineArrival[] {
    const index = at === undefined ? -1 : arrivals.findIndex(arrival => arrival.at >= at);
    return arrivals.map((arrival, position) => (position === index ? { ...arrival, crashesEngine: true } : arrival));
}

function createArrival(load: OnlineLoad, at: number, index: number, source: random.Random): OnlineArrival {
    const output = load.outputs[source.pickWeighted(load.outputs.map(entry => entry.share))]!;
    const usesHotPrefix = source.next() < load.hotPrefixShare;
    return {
        id: `online/${index}`,
        at,
        caller: `caller-${source.pickWeighted(load.callerShares)}`,
        balancerDraw: source.next(),
        prefix: usesHotPrefix ? "prefix/hot" : `prefix/${pickPrefix(source)}`,
        prefixTokens: PrefixTokens,
        ownTokens: source.nextTokenCount(OwnTokens),
        outputTokens: source.nextTokenCount(output.tokens),
        crashesEngine: false,
        resends: 0,
    };
}

/** Prefixes are used unevenly: squaring a uniform draw favours low numbers. */
function pickPrefix(source: random.Random): number {
    return Math.floor(source.next() ** 2 * PrefixCount);
}
