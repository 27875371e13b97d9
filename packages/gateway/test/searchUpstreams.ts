import * as core from "@boragedale/core";
import * as gateway from "@boragedale/gateway";
import * as fixtures from "./fixtures.js";

/** Upstreams in virtual time that fall silent and go on, are full, slow to begin, break streams off or leave. */

/** A service of upstreams that answer with streams. All others answer with one body. */
export const EngineServices: readonly string[] = ["engines-a", "engines-b"];

/** One run of a request at an upstream. */
export interface UpstreamRun {
    readonly attempt: string;
    readonly upstream: string;
    readonly startedAt: number;
    /** When the gateway ended the run; undefined if it didn't. */
    abortedAt: number | undefined;
    /** Whether the upstream itself broke the run off, or its connection fell silent for good. */
    isBroken: boolean;
}

export interface SimulatedUpstream {
    readonly id: string;
    readonly service: string;
    readonly softwareVersion: string;
    readonly eventMilliseconds: number;
    readonly firstMilliseconds: number;
    /** Until this time no connection of the upstream sends or accepts data. */
    silentUntil: number;
    /** Whether connections can be established while it is silent. */
    acceptsWhileSilent: boolean;
    isFull: boolean;
    hasLeft: boolean;
    running: number;
}

/** Probabilities of faults of single runs. */
export interface RunFaults {
    readonly breaks: number;
    readonly silencesForGood: number;
    readonly slowFirstEvents: number;
}

const Slots = 8;
/** Requests that an upstream queues beyond its slots before it refuses. */
const QueueLength = 2;
const ConnectTimeoutMilliseconds = 400;
const SlowFirstMilliseconds = 1_200;

/** Number of events in the answer to a prompt. */
export function countEvents(prompt: string): number {
    return 8 + (Buffer.from(prompt).reduce((sum, byte) => sum * 31 + byte, 7) % 32);
}

export function createPlainAnswer(prompt: string): string {
    return `answer to ${prompt}`;
}

export class SimulatedUpstreams extends gateway.Channels {
    readonly upstreams = new Map<string, SimulatedUpstream>();
    readonly runs: UpstreamRun[] = [];
    /** Exceptions of handlers, which the HTTP client swallows. */
    readonly defects: string[] = [];

    constructor(
        readonly clock: core.Clock,
        readonly random: () => number,
        readonly faults: RunFaults,
    ) {
        super();
    }

    override get(entry: gateway.UpstreamEntry): gateway.Channel {
        return new SimulatedChannel(this, core.Debug.checkDefined(this.upstreams.get(entry.id), "it has started"));
    }

    override hasIdleConnection(): boolean {
        return true;
    }
}

class SimulatedChannel extends gateway.Channel {
    constructor(
        private readonly owner: SimulatedUpstreams,
        private readonly upstream: SimulatedUpstream,
    ) {
        super();
    }

    override replaceConnections(): void {}

    override hasIdleConnection(): boolean {
        return true;
    }

    override start(request: gateway.ExchangeRequest, handler: gateway.ExchangeHandler): gateway.RunningExchange {
        const exchange = new SimulatedExchange(this.owner, this.upstream, request, handler);
        exchange.connect();
        return exchange;
    }
}

class SimulatedExchange implements gateway.RunningExchange {
    private readonly attempt: string;
    private readonly prompt: string;
    private run: UpstreamRun | undefined;
    private isOver = false;
    private isPaused = false;
    private isSilentForGood = false;
    private stopTimer: () => void = () => undefined;
    private next: number;
    private readonly first: number;
    private answersFrom = 0;
    private breaksAt = Infinity;

    constructor(
        private readonly owner: SimulatedUpstreams,
        private readonly upstream: SimulatedUpstream,
        request: gateway.ExchangeRequest,
        private readonly handler: gateway.ExchangeHandler,
    ) {
        this.attempt = fixtures.findHeader(request.headers, "attempt") ?? "";
        this.prompt = request.body?.toString() ?? "";
        const last = fixtures.findHeader(request.headers, "last");
        this.first = last === undefined ? 0 : Number(last) + 1;
        this.next = this.first;
    }

    connect(): void {
        const { upstream, owner } = this;
        const silence = upstream.silentUntil - owner.clock.now();
        const isRefused =
            upstream.hasLeft ||
            (!upstream.acceptsWhileSilent && silence > ConnectTimeoutMilliseconds && owner.random() < 0.5);
        if (isRefused) {
            const text = upstream.hasLeft ? "refused" : "connect timeout";
            this.after(upstream.hasLeft ? 1 : ConnectTimeoutMilliseconds, () =>
                this.fail(gateway.ExchangeFailureKind.NotSent, text),
            );
            return;
        }
        this.after(1, () => {
            this.call(() => this.handler.onSent());
            this.whenHeard(() => this.arrive());
        });
    }

    abort(): void {
        if (this.isOver) {
            return;
        }
        if (this.run !== undefined) {
            this.run.abortedAt = this.owner.clock.now();
        }
        this.fail(gateway.ExchangeFailureKind.Aborted, "stopped");
    }

    resume(): void {
        if (this.isPaused) {
            this.isPaused = false;
            this.after(1, () => this.continueAnswer());
        }
    }

    private arrive(): void {
        const { upstream, owner } = this;
        if (upstream.isFull || upstream.running >= Slots + QueueLength) {
            const headers = ["attempt", this.attempt, "not-run", "1"];
            this.call(() => this.handler.onHeaders(503, headers, ""));
            this.complete();
            return;
        }
        upstream.running++;
        const now = owner.clock.now();
        this.run = {
            attempt: this.attempt,
            upstream: upstream.id,
            startedAt: now,
            abortedAt: undefined,
            isBroken: false,
        };
        owner.runs.push(this.run);
        const isSlow = owner.random() < owner.faults.slowFirstEvents;
        this.answersFrom = now + (isSlow ? SlowFirstMilliseconds : upstream.firstMilliseconds);
        if (owner.random() < owner.faults.breaks) {
            this.breaksAt = this.first + Math.floor(owner.random() * 10);
        }
        if (owner.random() < owner.faults.silencesForGood) {
            this.run.isBroken = true;
            this.isSilentForGood = true;
            return;
        }
        this.after(this.answersFrom - now, () => this.whenHeard(() => this.begin()));
    }

    private begin(): void {
        const headers = ["attempt", this.attempt, "stamp", "x", "Transfer-Encoding", "chunked"];
        this.call(() => this.handler.onHeaders(200, headers, ""));
        if (!EngineServices.includes(this.upstream.service)) {
            if (this.breaksAt < Infinity) {
                this.send(createPlainAnswer(this.prompt).slice(0, 5));
                this.breakOff();
                return;
            }
            this.send(createPlainAnswer(this.prompt));
            this.complete();
            return;
        }
        this.continueAnswer();
    }

    /** Sends the events that are due. While the upstream is silent, it makes events and sends them afterwards. */
    private continueAnswer(): void {
        const now = this.owner.clock.now();
        const { eventMilliseconds, service, softwareVersion } = this.upstream;
        const total = countEvents(this.prompt);
        let text = "";
        for (
            ;
            this.next < total && this.answersFrom + (this.next - this.first) * eventMilliseconds <= now;
            this.next++
        ) {
            if (this.next >= this.breaksAt) {
                this.send(`${text}id: ${this.next}\nda`);
                this.breakOff();
                return;
            }
            text += `id: ${this.next}\ndata: ${service}/${softwareVersion}/${this.prompt}/${this.next}\n\n`;
        }
        if (text !== "" && !this.send(text)) {
            this.isPaused = true;
            return;
        }
        if (this.next >= total) {
            this.complete();
            return;
        }
        const dueAt = this.answersFrom + (this.next - this.first) * eventMilliseconds;
        this.after(dueAt - now, () => this.whenHeard(() => this.continueAnswer()));
    }

    private breakOff(): void {
        if (this.run !== undefined) {
            this.run.isBroken = true;
        }
        this.fail(gateway.ExchangeFailureKind.Broken, "reset");
    }

    /** Runs an action when the upstream is not silent. */
    private whenHeard(action: () => void): void {
        const silence = this.upstream.silentUntil - this.owner.clock.now();
        if (silence > 0) {
            this.after(silence, () => this.whenHeard(action));
            return;
        }
        action();
    }

    private send(text: string): boolean {
        let mayContinue = true;
        this.call(() => (mayContinue = this.handler.onData(Buffer.from(text))));
        return mayContinue;
    }

    private complete(): void {
        if (!this.isOver) {
            this.finish();
            this.call(() => this.handler.onComplete());
        }
    }

    private fail(kind: gateway.ExchangeFailureKind, text: string): void {
        if (!this.isOver) {
            this.finish();
            this.handler.onFailure({ kind, text });
        }
    }

    private finish(): void {
        this.isOver = true;
        this.stopTimer();
        if (this.run !== undefined) {
            this.upstream.running--;
        }
    }

    /** Calls the handler as the HTTP client does, which swallows exceptions and ends the exchange. */
    private call(action: () => void): void {
        try {
            action();
        }
        catch (error) {
            this.owner.defects.push(`${this.attempt} at ${this.upstream.id}: ${String(error)}`);
            this.fail(gateway.ExchangeFailureKind.Broken, String(error));
        }
    }

    private after(milliseconds: number, action: () => void): void {
        this.stopTimer = this.owner.clock.schedule(milliseconds, () => {
            if (!this.isOver && !this.isSilentForGood) {
                action();
            }
        });
    }
}
