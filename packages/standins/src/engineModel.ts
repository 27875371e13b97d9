import * as core from "@boragedale/core";

/** Speed and capacity of the modelled engine. `timeScale` multiplies all step times. */
export interface EngineModelOptions {
    /** Maximum number of sequences that run concurrently; the rest wait in order of arrival. */
    readonly slots: number;
    /** Duration of a decoding step with nothing running, in milliseconds. */
    readonly baseStepMilliseconds: number;
    /** Time that each running sequence adds to a step, in milliseconds. */
    readonly sequenceMilliseconds: number;
    /** Time that each uncached prompt token adds to the step that admits it, in milliseconds. */
    readonly prefillMilliseconds: number;
    /** Factor on all step times; below 1 makes tests and demos faster. */
    readonly timeScale: number;
    /** Capacity of the prefix cache, in prompt tokens. */
    readonly cacheTokens: number;
    /** Age of the data in a load report, in milliseconds. */
    readonly loadLagMilliseconds: number;
}

export const DefaultEngineModelOptions: EngineModelOptions = {
    slots: 16,
    baseStepMilliseconds: 12,
    sequenceMilliseconds: 0.5,
    prefillMilliseconds: 0.05,
    timeScale: 1,
    cacheTokens: 65_536,
    loadLagMilliseconds: 500,
};

/** One sequence to generate. */
export interface Sequence {
    /** Words of the prompt, without the text to resume after. */
    readonly prompt: readonly string[];
    /** Number of words that an earlier run generated and that this one continues. */
    readonly resumed: number;
    /** Number of words in the whole answer, including the resumed ones. */
    readonly length: number;
    readonly onToken: (text: string) => void;
    readonly onFinish: () => void;
}

interface SequenceState {
    readonly sequence: Sequence;
    readonly seed: number;
    next: number;
}

interface LoadSample {
    readonly at: core.MonotonicMilliseconds;
    readonly running: number;
    readonly waiting: number;
    readonly cacheUsage: number;
}

/**
 * Simulates continuous batching on a clock: each step emits one token for every running sequence and takes longer the
 * more sequences run. A token depends only on the prompt and its position, so that tests can compare a resumed answer
 * with an uninterrupted one.
 */
export class EngineModel {
    /** Additional factor on the step time, to simulate a slow engine. */
    slowdown = 1;
    private readonly waiting: SequenceState[] = [];
    private readonly running = new Set<SequenceState>();
    private readonly cache: PrefixCache;
    private samples: LoadSample[];
    private isStepping = false;
    private nextStepAt = 0;

    constructor(
        private readonly clock: core.Clock,
        private readonly options: EngineModelOptions,
    ) {
        this.cache = new PrefixCache(options.cacheTokens);
        this.samples = [{ at: -Infinity, running: 0, waiting: 0, cacheUsage: 0 }];
    }

    /** Enqueues a sequence; the returned function cancels it. */
    submit(sequence: Sequence): () => void {
        const entry: SequenceState = { sequence, seed: hashWords(sequence.prompt), next: sequence.resumed };
        this.waiting.push(entry);
        this.recordLoad();
        if (!this.isStepping) {
            this.isStepping = true;
            this.nextStepAt = this.clock.now();
            this.scheduleStep(this.admit());
        }
        return () => this.cancel(entry);
    }

    /** Number of the prompt's tokens that are in the prefix cache now. */
    getCachedTokens(prompt: readonly string[]): number {
        return this.cache.getCachedTokens(prompt);
    }

    /** The load as it was `loadLagMilliseconds` ago, since the load reports of a real engine lag. */
    readLoad(): { running: number; waiting: number; cacheUsage: number; ageMilliseconds: number } {
        const visibleUntil = this.clock.now() - this.options.loadLagMilliseconds;
        const visible = this.samples.filter(sample => sample.at <= visibleUntil);
        this.samples = this.samples.slice(Math.max(0, visible.length - 1));
        const { running, waiting, cacheUsage } = core.Debug.checkDefined(this.samples[0], "a load sample");
        return { running, waiting, cacheUsage, ageMilliseconds: this.options.loadLagMilliseconds };
    }

    /** Current number of running and waiting sequences, without lag. */
    getInFlight(): number {
        return this.running.size + this.waiting.length;
    }

    /** Drops all sequences and the cache, as a restart does. */
    reset(): void {
        this.waiting.length = 0;
        this.running.clear();
        this.cache.clear();
        this.recordLoad();
    }

    private cancel(entry: SequenceState): void {
        const index = this.waiting.indexOf(entry);
        if (index >= 0) {
            this.waiting.splice(index, 1);
        }
        this.running.delete(entry);
        this.recordLoad();
    }

    /** Moves waiting sequences into free slots; returns the number of uncached prompt tokens to compute for them. */
    private admit(): number {
        let uncachedTokens = 0;
        while (this.running.size < this.options.slots && this.waiting.length > 0) {
            const entry = core.Debug.checkDefined(this.waiting.shift(), "a waiting sequence");
            this.running.add(entry);
            const { prompt } = entry.sequence;
            uncachedTokens += prompt.length + entry.next - this.cache.getCachedTokens(prompt);
            this.cache.add(prompt);
        }
        this.recordLoad();
        return uncachedTokens;
    }

    private scheduleStep(uncachedTokens: number): void {
        const { baseStepMilliseconds, sequenceMilliseconds, prefillMilliseconds, timeScale } = this.options;
        const decode = baseStepMilliseconds + sequenceMilliseconds * this.running.size;
        this.nextStepAt += (decode + prefillMilliseconds * uncachedTokens) * timeScale * this.slowdown;
        if (this.nextStepAt <= this.clock.now()) {
            // A timer can't be shorter than a millisecond, so overdue steps run without one.
            queueMicrotask(() => this.step());
            return;
        }
        this.clock.schedule(this.nextStepAt - this.clock.now(), () => this.step());
    }

    private step(): void {
        for (const entry of [...this.running]) {
            this.emit(entry);
        }
        const uncachedTokens = this.admit();
        if (this.running.size === 0) {
            this.isStepping = false;
            return;
        }
        this.scheduleStep(uncachedTokens);
    }

    private emit(entry: SequenceState): void {
        const { sequence } = entry;
        if (entry.next < sequence.length) {
            sequence.onToken(createToken(entry.seed, entry.next));
            entry.next++;
        }
        if (entry.next >= sequence.length && this.running.delete(entry)) {
            sequence.onFinish();
        }
    }

    private recordLoad(): void {
        const cacheUsage = this.cache.getUsage();
        this.samples.push({
            at: this.clock.now(),
            running: this.running.size,
            waiting: this.waiting.length,
            cacheUsage,
        });
        if (this.samples.length > 10_000) {
            this.samples.splice(0, 5_000);
        }
    }
}

const BlockTokens = 16;

/** A cache of prompt prefixes in whole blocks, which evicts the least recently used block first. */
class PrefixCache {
    private readonly blocks = new Map<number, true>();
    private readonly limit: number;

    constructor(tokens: number) {
        this.limit = Math.floor(tokens / BlockTokens);
    }

    getCachedTokens(prompt: readonly string[]): number {
        const keys = createBlockKeys(prompt);
        const missing = keys.findIndex(key => !this.blocks.has(key));
        return (missing < 0 ? keys.length : missing) * BlockTokens;
    }

    add(prompt: readonly string[]): void {
        for (const key of createBlockKeys(prompt)) {
            this.blocks.delete(key);
            this.blocks.set(key, true);
        }
        for (const oldest of this.blocks.keys()) {
            if (this.blocks.size <= this.limit) {
                break;
            }
            this.blocks.delete(oldest);
        }
    }

    getUsage(): number {
        return this.limit === 0 ? 0 : this.blocks.size / this.limit;
    }

    clear(): void {
        this.blocks.clear();
    }
}

/** A block's key hashes all words up to its end, so a block matches only after the same prefix. */
function createBlockKeys(prompt: readonly string[]): readonly number[] {
    const keys: number[] = [];
    let hash = 0;
    for (let end = BlockTokens; end <= prompt.length; end += BlockTokens) {
        hash = hashWords(prompt.slice(end - BlockTokens, end), hash);
        keys.push(hash);
    }
    return keys;
}

const Words = ["ash", "birch", "cedar", "dale", "elm", "fern", "grove", "heath", "iris", "juniper", "kelp", "larch"];

/** Text of the token at `index`. Concatenated, the tokens of an answer form words separated by single spaces. */
function createToken(seed: number, index: number): string {
    const word = Words[hashWords([String(index)], seed) % Words.length] ?? "";
    return index === 0 ? word : ` ${word}`;
}

/** Splits text into the words that count as tokens. */
export function splitWords(text: string): readonly string[] {
    return text.split(/\s+/).filter(word => word !== "");
}

/** FNV-1a hash of the words; `seed` is mixed into the initial value. */
export function hashWords(words: readonly string[], seed = 0): number {
    let hash = 2_166_136_261 ^ seed;
    for (const word of words) {
        for (let index = 0; index < word.length; index++) {
            hash = Math.imul(hash ^ word.charCodeAt(index), 16_777_619);
        }
        hash = Math.imul(hash ^ 32, 16_777_619);
    }
    return hash >>> 0;
}
