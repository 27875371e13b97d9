import * as core from "@boragedale/core";

/** How fast the modelled engine is, and how much it holds. Times are before `timeScale`. */
export interface EngineModelOptions {
    /** Sequences that run at once; the rest wait in order of arrival. */
    readonly slots: number;
    /** Time of a decoding step with nothing running, in milliseconds. */
    readonly baseStepMilliseconds: number;
    /** What each running sequence adds to a step, in milliseconds. */
    readonly sequenceMilliseconds: number;
    /** What each prompt token that is not cached adds to the step that admits it, in milliseconds. */
    readonly prefillMilliseconds: number;
    /** Factor on all times; under 1 makes tests and demos faster. */
    readonly timeScale: number;
    /** Prompt tokens that the prefix cache holds. */
    readonly cacheTokens: number;
    /** Age of what the load report shows, in milliseconds. */
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
    /** Words of the prompt, the text to resume after not among them. */
    readonly prompt: readonly string[];
    /** Words that an earlier run generated and that this one goes on after. */
    readonly resumed: number;
    /** Words of the whole answer, the resumed ones among them. */
    readonly length: number;
    readonly onToken: (text: string) => void;
    readonly onFinish: () => void;
}

interface Running {
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
 * Continuous batching on a clock: each step gives every running sequence one token and takes longer the more of them
 * run. Tokens depend on the prompt and their position alone, so a resumed answer can be compared with a whole one.
 */
export class EngineModel {
    /** Factor on the step time, for a test that makes the engine slow. */
    slowdown = 1;
    private readonly waiting: Running[] = [];
    private readonly running = new Set<Running>();
    private readonly cache: PrefixCache;
    private samples: LoadSample[];
    private isStepping = false;
    private stepsDueAt = 0;

    constructor(
        private readonly clock: core.Clock,
        private readonly options: EngineModelOptions,
    ) {
        this.cache = new PrefixCache(options.cacheTokens);
        this.samples = [{ at: -Infinity, running: 0, waiting: 0, cacheUsage: 0 }];
    }

    /** Takes a sequence in; the returned function cancels it. */
    submit(sequence: Sequence): () => void {
        const entry: Running = { sequence, seed: hashWords(sequence.prompt), next: sequence.resumed };
        this.waiting.push(entry);
        this.noteLoad();
        if (!this.isStepping) {
            this.isStepping = true;
            this.stepsDueAt = this.clock.now();
            this.scheduleStep(this.admit());
        }
        return () => this.cancel(entry);
    }

    /** Prompt tokens of a prompt that the cache would give back now. */
    getCachedTokens(prompt: readonly string[]): number {
        return this.cache.getCachedTokens(prompt);
    }

    /** The load as it was some time ago, since reports of a real engine lag. */
    readLoad(): { running: number; waiting: number; cacheUsage: number; ageMilliseconds: number } {
        const seenUntil = this.clock.now() - this.options.loadLagMilliseconds;
        const seen = this.samples.filter(sample => sample.at <= seenUntil);
        this.samples = this.samples.slice(Math.max(0, seen.length - 1));
        const { running, waiting, cacheUsage } = core.Debug.checkDefined(this.samples[0], "a load sample");
        return { running, waiting, cacheUsage, ageMilliseconds: this.options.loadLagMilliseconds };
    }

    /** Number of sequences inside, without lag. */
    getInFlight(): number {
        return this.running.size + this.waiting.length;
    }

    /** Forgets every sequence and the cache, as a restart does. */
    reset(): void {
        this.waiting.length = 0;
        this.running.clear();
        this.cache.clear();
        this.noteLoad();
    }

    private cancel(entry: Running): void {
        const index = this.waiting.indexOf(entry);
        if (index >= 0) {
            this.waiting.splice(index, 1);
        }
        this.running.delete(entry);
        this.noteLoad();
    }

    /** Moves waiting sequences into free slots; returns the prompt tokens that must be computed for them. */
    private admit(): number {
        let computed = 0;
        while (this.running.size < this.options.slots && this.waiting.length > 0) {
            const entry = core.Debug.checkDefined(this.waiting.shift(), "a waiting sequence");
            this.running.add(entry);
            const { prompt } = entry.sequence;
            computed += prompt.length + entry.next - this.cache.getCachedTokens(prompt);
            this.cache.add(prompt);
        }
        this.noteLoad();
        return computed;
    }

    private scheduleStep(computed: number): void {
        const { baseStepMilliseconds, sequenceMilliseconds, prefillMilliseconds, timeScale } = this.options;
        const decode = baseStepMilliseconds + sequenceMilliseconds * this.running.size;
        this.stepsDueAt += (decode + prefillMilliseconds * computed) * timeScale * this.slowdown;
        if (this.stepsDueAt <= this.clock.now()) {
            // A timer can't be shorter than a millisecond; steps that are overdue run in one go.
            queueMicrotask(() => this.step());
            return;
        }
        this.clock.schedule(this.stepsDueAt - this.clock.now(), () => this.step());
    }

    private step(): void {
        for (const entry of [...this.running]) {
            this.emit(entry);
        }
        const computed = this.admit();
        if (this.running.size === 0) {
            this.isStepping = false;
            return;
        }
        this.scheduleStep(computed);
    }

    private emit(entry: Running): void {
        const { sequence } = entry;
        if (entry.next < sequence.length) {
            sequence.onToken(createToken(entry.seed, entry.next));
            entry.next++;
        }
        if (entry.next >= sequence.length && this.running.delete(entry)) {
            sequence.onFinish();
        }
    }

    private noteLoad(): void {
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

/** Whole blocks of prompt prefixes, least recently used out first. */
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

/** A block's key covers all words before it, so a block counts only behind the same beginning. */
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

/** Text of the token at `index`; joined, the tokens of an answer are words with one space between. */
function createToken(seed: number, index: number): string {
    const word = Words[hashWords([String(index)], seed) % Words.length] ?? "";
    return index === 0 ? word : ` ${word}`;
}

/** Splits text into the words that count as tokens. */
export function splitWords(text: string): readonly string[] {
    return text.split(/\s+/).filter(word => word !== "");
}

/** FNV-1a over the words, from `seed` on. */
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
