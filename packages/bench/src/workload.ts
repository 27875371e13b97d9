import * as random from "./random.js";

/** One online request as its caller makes it. */
export interface OnlineArrival {
    readonly id: string;
    readonly at: number;
    readonly caller: string;
    /** From 0 up to 1: which instance the platform's balancer chose. */
    readonly balance: number;
    readonly prefix: string;
    readonly prefixTokens: number;
    readonly ownTokens: number;
    readonly outputTokens: number;
    readonly crashesEngine: boolean;
    /** How often the caller has sent it again. */
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

/** Part of the run with one rate. */
export interface LoadPhase {
    readonly milliseconds: number;
    /** Online requests a second over the whole fleet. */
    readonly rate: number;
}

export interface OnlineLoad {
    /** Repeated until the run's end. */
    readonly phases: readonly LoadPhase[];
    /** Each caller's part of the requests; they need not add up to 1. */
    readonly callerShares: readonly number[];
    /** Part of the requests that begin with the same prefix. */
    readonly hotPrefixShare: number;
    /** Means of the lengths, each with its part. */
    readonly outputs: readonly { readonly tokens: number; readonly share: number }[];
    /** When a request that crashes engines comes in. */
    readonly crashingRequestAt?: number;
}

export interface BatchLoad {
    readonly callers: number;
    readonly outputs: readonly { readonly tokens: number; readonly share: number }[];
}

/** Online prompts: a shared beginning (instructions, a form) and the caller's own text. */
const PrefixCount = 120;
const PrefixTokens = 700;
const OwnTokens = 200;
/** Batch prompts: the job's instructions and one item. */
const BatchPrefixTokens = 500;
const BatchOwnTokens = 150;

/** All online requests of a run, in order. The same seed gives the same ones to each policy. */
export function createArrivals(load: OnlineLoad, milliseconds: number, seed: number): readonly OnlineArrival[] {
    const source = new random.Random(seed);
    const arrivals: OnlineArrival[] = [];
    let phaseStart = 0;
    for (let index = 0; phaseStart < milliseconds; index++) {
        const phase = load.phases[index % load.phases.length]!;
        const end = Math.min(milliseconds, phaseStart + phase.milliseconds);
        if (phase.rate > 0) {
            let at = phaseStart + source.exponential(1_000 / phase.rate);
            while (at < end) {
                arrivals.push(createArrival(load, at, arrivals.length, source));
                at += source.exponential(1_000 / phase.rate);
            }
        }
        phaseStart += phase.milliseconds;
    }
    return markCrashing(arrivals, load.crashingRequestAt);
}

/** An endless line of items for one batch caller. */
export class BatchSource {
    private readonly source: random.Random;
    private made = 0;

    constructor(
        private readonly load: BatchLoad,
        private readonly caller: string,
        seed: number,
    ) {
        this.source = new random.Random(seed);
    }

    next(): BatchItem {
        const outputs = this.load.outputs;
        const output = outputs[this.source.pick(outputs.map(entry => entry.share))]!;
        return {
            id: `${this.caller}/${this.made++}`,
            caller: this.caller,
            prefix: `job/${this.caller}`,
            prefixTokens: BatchPrefixTokens,
            ownTokens: this.source.tokens(BatchOwnTokens),
            outputTokens: this.source.tokens(output.tokens),
            deadlineAt: 3_600_000,
        };
    }
}

/** Mean tokens of a mix of lengths. */
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

/** Makes the first request from `at` on the one that crashes engines. */
function markCrashing(arrivals: readonly OnlineArrival[], at: number | undefined): readonly OnlineArrival[] {
    const index = at === undefined ? -1 : arrivals.findIndex(arrival => arrival.at >= at);
    return arrivals.map((arrival, position) => (position === index ? { ...arrival, crashesEngine: true } : arrival));
}

function createArrival(load: OnlineLoad, at: number, index: number, source: random.Random): OnlineArrival {
    const output = load.outputs[source.pick(load.outputs.map(entry => entry.share))]!;
    const isHot = source.next() < load.hotPrefixShare;
    return {
        id: `online/${index}`,
        at,
        caller: `caller-${source.pick(load.callerShares)}`,
        balance: source.next(),
        prefix: isHot ? "prefix/hot" : `prefix/${pickPrefix(source)}`,
        prefixTokens: PrefixTokens,
        ownTokens: source.tokens(OwnTokens),
        outputTokens: source.tokens(output.tokens),
        crashesEngine: false,
        resends: 0,
    };
}

/** Prefixes are used unevenly: the square of an even draw makes low numbers frequent. */
function pickPrefix(source: random.Random): number {
    return Math.floor(source.next() ** 2 * PrefixCount);
}
