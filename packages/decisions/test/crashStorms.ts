import * as decisions from "@boragedale/decisions";

/** Plays loads in virtual time on upstreams that crash, in series, for reasons which no request causes. */

export interface StormOptions {
    readonly seed: number;
    /** Upstreams of the service. */
    readonly upstreams: number;
    /** Share of the upstreams that crash at each moment; 0: one. */
    readonly crashShare: number;
    readonly crashGapMilliseconds: number;
    readonly restartMilliseconds: number;
    /** Number of crash moments, from 4 s on; 0: no such crashes. */
    readonly crashes: number;
    /** Requests per second with a part that crashes each upstream, from 6 s on; 0: none. */
    readonly guiltyPerSecond: number;
    /** When a peer reports a frequent sound part as guilty. */
    readonly falseVerdictAt?: number;
}

export interface StormOutcome {
    readonly sent: number;
    readonly refusedSound: number;
    /** The longest time in which each request with one sound part was refused. */
    readonly longestRefusalMilliseconds: number;
    readonly blamed: readonly string[];
    /** Crashes that the guilty part caused. */
    readonly guiltyCrashes: number;
    /** Crashes by the guilty part that were sent later than `ContactMilliseconds` after its third one. */
    readonly lateGuiltyCrashes: number;
    /** Whether requests with the guilty part are refused at the end. */
    readonly isGuiltyRefused: boolean;
}

interface Running {
    readonly id: string;
    readonly prompt: decisions.PromptRequest;
    readonly gateway: number;
    readonly upstream: number;
    readonly sentAt: number;
    readonly attempt: number;
    isAnswered: boolean;
}

/** From the users' pages: the time after the third crash from which further ones count. */
const ContactMilliseconds = 3_000;
const FirstStormAt = 4_000;
const FirstGuiltyAt = 6_000;
const EndAt = 30_000;
const Step = 5;
const EventMilliseconds = 40;
const AnswerEvents = 20;
const FirstEventMilliseconds = 120;
/** A gateway notices that its connections broke within this time. */
const NoticeMilliseconds = 20;
const GuiltyPart = "guilty";
const FalselyBlamedPart = "first-0";

export function createRandom(seed: number): () => number {
    let state = seed;
    return () => {
        state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0;
        return state / 0x1_0000_0000;
    };
}

/** One gateway's knowledge of requests in progress; the detector is common, as every member hears of each crash. */
class Storm {
    readonly detector = new decisions.CrashingPartDetector();
    private readonly trials = new decisions.QuarantineTrials(decisions.PartTrialDelays);
    /** The parts of which requests are trials, by request id. */
    private readonly trialParts = new Map<string, string>();
    private readonly random: () => number;
    private readonly inProgress = [new decisions.PartsInProgress(), new decisions.PartsInProgress()];
    private readonly downUntil: number[];
    private readonly incarnations: number[];
    private running: Running[] = [];
    private readonly scheduled: { readonly at: number; readonly action: () => void }[] = [];
    private now = 0;
    private nextId = 0;
    private sent = 0;
    private refusedSound = 0;
    private readonly refusedSince = new Map<string, number>();
    private longestRefusal = 0;
    private readonly blamed = new Set<string>();
    private readonly guiltyCrashTimes: number[] = [];
    private lateGuiltyCrashes = 0;

    constructor(private readonly options: StormOptions) {
        this.random = createRandom(options.seed * 7_919 + 13);
        this.downUntil = new Array<number>(options.upstreams).fill(0);
        this.incarnations = new Array<number>(options.upstreams).fill(0);
    }

    play(): StormOutcome {
        const { crashes, crashGapMilliseconds, guiltyPerSecond } = this.options;
        for (let index = 0; index < crashes; index++) {
            const at = FirstStormAt + index * crashGapMilliseconds * (0.8 + 0.4 * this.random());
            this.schedule(at, () => this.crashSome());
        }
        this.schedule(this.options.falseVerdictAt ?? Infinity, () => {
            this.detector.quarantine(FalselyBlamedPart, decisions.PartQuarantineMilliseconds, this.now);
            this.trials.begin(FalselyBlamedPart, 0, this.now);
        });
        for (this.now = 0; this.now < EndAt; this.now += Step) {
            this.runScheduled();
            this.advanceAnswers();
            this.startSound();
            if (this.now > FirstGuiltyAt && this.random() < (guiltyPerSecond * Step) / 1_000) {
                this.send(["first-0", GuiltyPart], 0);
            }
        }
        for (const since of this.refusedSince.values()) {
            this.longestRefusal = Math.max(this.longestRefusal, this.now - since);
        }
        return {
            sent: this.sent,
            refusedSound: this.refusedSound,
            longestRefusalMilliseconds: this.longestRefusal,
            blamed: [...this.blamed],
            guiltyCrashes: this.guiltyCrashTimes.length,
            lateGuiltyCrashes: this.lateGuiltyCrashes,
            isGuiltyRefused: this.detector.tryGetQuarantined([GuiltyPart], this.now) !== undefined,
        };
    }

    private schedule(at: number, action: () => void): void {
        this.scheduled.push({ at, action });
        this.scheduled.sort((left, right) => left.at - right.at);
    }

    private runScheduled(): void {
        while (this.scheduled[0] !== undefined && this.scheduled[0].at <= this.now) {
            this.scheduled.shift()!.action();
        }
    }

    /** Parts that are frequent, of uneven frequency, rare, new, in bursts of one customer, and of items only. */
    private startSound(): void {
        if (this.random() < (30 * Step) / 1_000) {
            const first = `first-${Math.floor(this.random() * 2)}`;
            this.send([first, `second-${Math.floor(this.random() * 5)}`], 0);
        }
        if (this.random() < (8 * Step) / 1_000) {
            this.send([`first-${Math.floor(this.random() ** 2 * 6)}`, `rare-${Math.floor(this.random() * 60)}`], 0);
        }
        if (this.random() < (2 * Step) / 1_000) {
            this.send(["first-1", `new-${Math.floor(this.now / 700)}`], 0);
        }
        if (this.now % 1_500 === 0) {
            for (let index = 0; index < 8; index++) {
                this.send([`customer-${this.now}`, "burst"], 0);
            }
        }
        if (this.now % 400 === 0) {
            this.send(["items", `batch-${Math.floor(this.now / 5_000)}`], 0);
        }
    }

    private send(parts: readonly string[], attempt: number, id = `r${this.nextId++}`): void {
        this.sent++;
        if (this.refuse(parts, id)) {
            return;
        }
        const gateway = Math.floor(this.random() * this.inProgress.length);
        const up = this.downUntil.flatMap((until, index) => (until <= this.now ? [index] : []));
        const upstream = up[Math.floor(this.random() * up.length)];
        if (upstream === undefined) {
            if (attempt < 3) {
                this.schedule(this.now + 300, () => this.send(parts, attempt + 1, id));
            }
            return;
        }
        const prompt = { id, fingerprint: id, parts };
        this.inProgress[gateway]!.onSent(this.getName(upstream), prompt, this.now);
        const request = { id, prompt, gateway, upstream, sentAt: this.now, attempt, isAnswered: false };
        this.running.push(request);
        if (parts.includes(GuiltyPart)) {
            const thirdAt = this.guiltyCrashTimes[2] ?? Infinity;
            const isLate = this.now > thirdAt + ContactMilliseconds;
            this.schedule(this.now + 60 + this.random() * 60, () => {
                if (this.running.includes(request)) {
                    this.guiltyCrashTimes.push(this.now);
                    this.lateGuiltyCrashes += isLate ? 1 : 0;
                    this.crash(upstream, 400);
                }
            });
        }
    }

    private refuse(parts: readonly string[], id: string): boolean {
        const quarantined = this.detector.tryGetQuarantined(parts, this.now);
        const found = this.tryBeginTrial(quarantined?.part, id) ? undefined : quarantined;
        for (const part of parts) {
            const since = this.refusedSince.get(part);
            if (found?.part === part) {
                this.refusedSince.set(part, since ?? this.now);
            }
            else if (since !== undefined && found === undefined) {
                this.longestRefusal = Math.max(this.longestRefusal, this.now - since);
                this.refusedSince.delete(part);
            }
        }
        if (found === undefined || found.part === GuiltyPart) {
            this.refusedSince.delete(GuiltyPart);
            return found !== undefined;
        }
        this.refusedSound++;
        this.blamed.add(found.part);
        return true;
    }

    private tryBeginTrial(part: string | undefined, id: string): boolean {
        if (part === undefined || !this.trials.decide(part, this.now).isGranted) {
            return false;
        }
        this.trialParts.set(id, part);
        return true;
    }

    private advanceAnswers(): void {
        for (const request of this.running) {
            const age = this.now - request.sentAt;
            const isGuilty = request.prompt.parts.includes(GuiltyPart);
            if (!isGuilty && !request.isAnswered && age >= FirstEventMilliseconds + 3 * EventMilliseconds) {
                request.isAnswered = true;
                this.inProgress[request.gateway]!.remove(this.getName(request.upstream), request.id);
                this.detector.recordAnswered(request.prompt.parts, this.now);
                request.prompt.parts.forEach(part => this.trials.end(part));
            }
        }
        const doneAt = this.now - FirstEventMilliseconds - AnswerEvents * EventMilliseconds;
        this.running = this.running.filter(request => request.sentAt > doneAt);
    }

    /** Crashes some upstreams within a few milliseconds. */
    private crashSome(): void {
        const { upstreams, crashShare, restartMilliseconds } = this.options;
        const count = Math.max(1, Math.round(upstreams * crashShare));
        const chosen = [...new Array(upstreams).keys()].sort(() => this.random() - 0.5).slice(0, count);
        chosen.forEach(upstream => this.crash(upstream, restartMilliseconds));
    }

    private crash(upstream: number, restartMilliseconds: number): void {
        if (this.downUntil[upstream]! > this.now) {
            return;
        }
        this.downUntil[upstream] = this.now + restartMilliseconds;
        const name = this.getName(upstream);
        this.incarnations[upstream]!++;
        const lost = this.running.filter(request => request.upstream === upstream);
        this.running = this.running.filter(request => request.upstream !== upstream);
        for (const [gateway, inProgress] of this.inProgress.entries()) {
            const own = lost.filter(request => request.gateway === gateway);
            if (own.length === 0) {
                continue;
            }
            this.schedule(this.now + this.random() * NoticeMilliseconds, () => {
                const guilty = this.detector.recordCrash(
                    { upstream: name, parts: inProgress.list(name, this.now) },
                    this.now,
                );
                if (guilty !== undefined) {
                    this.trials.begin(guilty.part, 0, this.now);
                }
                if (guilty !== undefined && guilty.part !== GuiltyPart) {
                    this.blamed.add(guilty.part);
                }
                for (const { id } of own) {
                    const part = this.trialParts.get(id);
                    if (part !== undefined) {
                        this.trials.recordFailure(part, this.trials.getFailures(part) + 1, this.now);
                    }
                }
                for (const { id, prompt, attempt } of own) {
                    inProgress.remove(name, id);
                    if (attempt < 1) {
                        this.schedule(this.now + 5, () => this.send(prompt.parts, attempt + 1, id));
                    }
                }
            });
        }
    }

    private getName(upstream: number): string {
        return `${upstream}@${this.incarnations[upstream]}`;
    }
}

export function playStorm(options: StormOptions): StormOutcome {
    return new Storm(options).play();
}

/** Series of crashes of one to all upstreams: 60 fixed combinations. */
export function createStorms(): readonly Omit<StormOptions, "guiltyPerSecond">[] {
    const storms: Omit<StormOptions, "guiltyPerSecond">[] = [];
    for (let seed = 1; seed <= 60; seed++) {
        const random = createRandom(seed);
        random();
        const pick = <T>(values: readonly T[]): T => values[Math.floor(random() * values.length)]!;
        storms.push({
            seed,
            upstreams: pick([4, 6, 13]),
            crashShare: [0, 1 / 3, 0.5, 1][seed % 4]!,
            crashGapMilliseconds: pick([300, 600, 900, 1_300, 2_000]),
            restartMilliseconds: pick([300, 400, 700, 1_500, 5_000]),
            crashes: pick([3, 5, 9, 14]),
        });
    }
    return storms;
}
