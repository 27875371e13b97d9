import type * as http from "node:http";
import type * as core from "@boragedale/core";
import * as crashWatch from "./crashWatch.js";
import * as eventSplitter from "./eventSplitter.js";
import type * as engineMeter from "./engineMeter.js";
import * as rawHeaderList from "./rawHeaders.js";
import * as upstreamExchange from "./upstreamExchange.js";
import type * as wire from "./wire.js";

/** Outcome of one attempt at one upstream. */
export enum AttemptOutcomeKind {
    /** The complete answer was sent to the caller. */
    Delivered = "Delivered",
    /** The upstream answered with a server error, which has not been sent to the caller yet. */
    Failed = "Failed",
    /** The upstream proved that it did not run the request. */
    NotRun = "NotRun",
    /** Another upstream answers at the address. It did not run the request. */
    Misdirected = "Misdirected",
    /** No connection was established. */
    NotSent = "NotSent",
    /** The connection broke or the answer was invalid. The request may have run. */
    Lost = "Lost",
    /** No data arrived for longer than a working upstream takes. */
    Silent = "Silent",
    /** The gateway stopped the attempt, because the caller disconnected or the deadline passed. */
    Stopped = "Stopped",
}

/** A completely buffered answer. */
export interface BufferedAnswer {
    readonly status: number;
    readonly statusText: string;
    readonly headers: string[];
    readonly body: Buffer;
}

export type AttemptOutcome =
    | { readonly kind: AttemptOutcomeKind.Failed; readonly answer: BufferedAnswer }
    | { readonly kind: Exclude<AttemptOutcomeKind, AttemptOutcomeKind.Failed>; readonly text: string };

/** What an attempt has received of an answer. */
export interface ReceivedAnswer {
    readonly framing: core.BodyFraming;
    readonly bytes: number;
    /** Complete events; undefined if the answer is not a stream. */
    readonly events: number | undefined;
}

/** What has been sent to the caller so far, over all attempts of a request. */
export interface Delivery {
    readonly response: http.ServerResponse;
    isStarted: boolean;
    /** Id of the last event that the caller had before this request; undefined if it continues no stream. */
    readonly continuedAfter: number | undefined;
    /** Id of the last event sent to the caller. */
    lastEventId: number | undefined;
    firstByteAt: number | undefined;
}

/** Dependencies and callbacks of an `AnswerRelay`. */
export interface RelayOptions {
    readonly wire: wire.CallerWire;
    readonly delivery: Delivery;
    readonly attemptId: string;
    readonly isStream: boolean;
    readonly now: () => number;
    readonly onSent: () => void;
    readonly onProgress: () => void;
    /** Called before the first byte of the answer is sent to the caller. */
    readonly onStarted: () => void;
    /** Called once when the stream of this attempt has `crashWatch.BeginningEvents` events. */
    readonly onPastBeginning: () => void;
    /** Measures the times between the events of a stream; undefined if they are not needed. */
    readonly meter?: engineMeter.StreamMeter | undefined;
}

/**
 * Maximum size of a body that is buffered until it is complete. As long as the caller has received nothing, a request whose
 * answer breaks off can be repeated.
 */
const MaximumBufferedBytes = 262_144;
/** Maximum size of a refusal's body that is read on, so that the connection can be kept: those of sound upstreams are short. */
const MaximumRefusalBytes = 65_536;

/** Relays an upstream's answer to the caller, or determines why it can't be relayed. */
export class AnswerRelay implements upstreamExchange.ExchangeHandler {
    readonly outcome: Promise<AttemptOutcome>;
    private exchange: upstreamExchange.RunningExchange | undefined;
    private resolveOutcome: (outcome: AttemptOutcome) => void = () => undefined;
    private hasOutcome = false;
    private hasEnded = false;
    private status = 0;
    private statusText = "";
    private headers: string[] = [];
    private isUnbuffered = false;
    private buffered: Buffer[] = [];
    private bufferedBytes = 0;
    private splitter: eventSplitter.EventSplitter | undefined;
    private receivedBytes = 0;
    private isPastBeginning = false;
    private waitsForCaller = false;

    constructor(private readonly options: RelayOptions) {
        this.outcome = new Promise(resolve => (this.resolveOutcome = resolve));
    }

    attach(exchange: upstreamExchange.RunningExchange): void {
        this.exchange = exchange;
        if (this.hasOutcome) {
            exchange.abort();
        }
    }

    /** Stops the attempt. */
    stop(kind: AttemptOutcomeKind.Stopped | AttemptOutcomeKind.Silent, text: string): void {
        this.settle({ kind, text });
        this.exchange?.abort();
    }

    /** Whether the outcome is determined. */
    isSettled(): boolean {
        return this.hasOutcome;
    }

    /** Closes the connection if the answer goes on although its outcome is determined. */
    stopReading(): void {
        if (!this.hasEnded) {
            this.exchange?.abort();
        }
    }

    /** Whether the answer goes on although its outcome is determined. */
    isReadingOn(): boolean {
        return this.hasOutcome && !this.hasEnded;
    }

    /** Whether no data is read from the upstream because the caller reads slowly. */
    isWaitingForCaller(): boolean {
        return this.waitsForCaller;
    }

    /** Returns undefined if no headers have arrived. */
    getReceived(): ReceivedAnswer | undefined {
        if (this.status === 0) {
            return undefined;
        }
        return {
            framing: rawHeaderList.getBodyFraming(this.status, this.headers),
            bytes: this.receivedBytes,
            events: this.splitter?.getEventCount(),
        };
    }

    onSent(): void {
        this.options.onSent();
    }

    onHeaders(status: number, rawHeaders: string[], statusText: string): void {
        if (this.hasOutcome) {
            return;
        }
        const head = this.options.wire.readAnswer(status, rawHeaders);
        this.status = status;
        this.statusText = statusText;
        this.headers = rawHeaders;
        const isSuccess = status >= 200 && status < 300;
        const isForOtherAttempt = head.attemptId !== undefined && head.attemptId !== this.options.attemptId;
        const isUnverified = isSuccess && (!head.isStamped || head.attemptId === undefined || head.isEncoded);
        if (isForOtherAttempt || isUnverified) {
            // A late second answer to an earlier request on this connection, or data that the upstream did not send.
            this.fail(isForOtherAttempt ? "an answer to another request" : "an answer without proof");
            return;
        }
        if (head.isNotRun) {
            // The headers prove it. The rest is read so that the connection can be kept.
            const kind = head.isMisdirected ? AttemptOutcomeKind.Misdirected : AttemptOutcomeKind.NotRun;
            this.settle({ kind, text: `status ${status}` });
            return;
        }
        if (isSuccess && this.options.isStream) {
            this.splitter = new eventSplitter.EventSplitter();
        }
        this.options.onProgress();
    }

    onData(data: Buffer): boolean {
        this.receivedBytes += data.length;
        if (this.hasOutcome) {
            if (this.receivedBytes > MaximumRefusalBytes) {
                this.stopReading();
            }
            return true;
        }
        if (this.splitter !== undefined) {
            return this.relayEvents(this.splitter, data);
        }
        const isFailure = this.status >= 500;
        if (!isFailure) {
            this.options.onProgress();
        }
        if (this.isUnbuffered) {
            return this.write(data);
        }
        this.buffered.push(data);
        this.bufferedBytes += data.length;
        if (this.bufferedBytes > MaximumBufferedBytes) {
            // A failure can't be held until its end, and neither can an answer that would follow what the caller has of another one.
            if (isFailure || this.options.delivery.isStarted) {
                this.buffered = [];
                this.fail(`status ${this.status} with a body of more than ${MaximumBufferedBytes} bytes`);
                return true;
            }
            this.isUnbuffered = true;
            const body = Buffer.concat(this.buffered);
            this.buffered = [];
            this.start();
            return this.write(body);
        }
        return true;
    }

    onComplete(): void {
        this.hasEnded = true;
        if (this.hasOutcome) {
            return;
        }
        if (this.splitter !== undefined) {
            this.completeStream(this.splitter);
            return;
        }
        const answer = {
            status: this.status,
            statusText: this.statusText,
            headers: this.headers,
            body: Buffer.concat(this.buffered),
        };
        // The answer to the request for the rest of a stream can't be passed on in place of that rest.
        const isOtherAnswer = this.options.delivery.isStarted && !this.isUnbuffered;
        if (this.status >= 500 || isOtherAnswer) {
            this.settle({ kind: AttemptOutcomeKind.Failed, answer });
            return;
        }
        if (this.isUnbuffered) {
            this.options.delivery.response.end();
        }
        else {
            this.options.onStarted();
            deliverBuffered(this.options.wire, this.options.delivery, answer);
        }
        this.settle({ kind: AttemptOutcomeKind.Delivered, text: `status ${this.status}` });
    }

    onFailure(failure: upstreamExchange.ExchangeFailure): void {
        this.hasEnded = true;
        switch (failure.kind) {
            case upstreamExchange.ExchangeFailureKind.NotSent:
                this.settle({ kind: AttemptOutcomeKind.NotSent, text: failure.text });
                return;
            case upstreamExchange.ExchangeFailureKind.Broken:
                this.settle({ kind: AttemptOutcomeKind.Lost, text: failure.text });
                return;
            case upstreamExchange.ExchangeFailureKind.Aborted:
                this.settle({ kind: AttemptOutcomeKind.Stopped, text: failure.text });
                return;
        }
    }

    private relayEvents(splitter: eventSplitter.EventSplitter, data: Buffer): boolean {
        const events = splitter.push(data);
        if (events === undefined) {
            this.fail("not an event stream");
            return true;
        }
        if (events.some(eventSplitter.hasEventContent)) {
            this.options.onProgress();
        }
        if (events.length > 0) {
            this.notePastBeginning(splitter);
            this.options.meter?.onEvents(events.length, this.options.now());
        }
        const delivery = this.options.delivery;
        const accepted: Buffer[] = [];
        for (const event of events) {
            const previous = delivery.lastEventId ?? delivery.continuedAfter;
            const isGap = event.id !== undefined && previous !== undefined && event.id !== previous + 1;
            if (isGap) {
                this.writeAll(accepted);
                this.fail(`event ${event.id} follows event ${previous}`);
                return true;
            }
            delivery.lastEventId = event.id ?? delivery.lastEventId;
            accepted.push(event.bytes);
        }
        return this.writeAll(accepted);
    }

    private notePastBeginning(splitter: eventSplitter.EventSplitter): void {
        if (!this.isPastBeginning && splitter.getEventCount() >= crashWatch.BeginningEvents) {
            this.isPastBeginning = true;
            this.options.onPastBeginning();
        }
    }

    private completeStream(splitter: eventSplitter.EventSplitter): void {
        const breakReason = splitter.tryGetBreakReason(rawHeaderList.getBodyFraming(this.status, this.headers));
        if (breakReason !== undefined) {
            this.fail(breakReason);
            return;
        }
        this.start();
        this.options.delivery.response.end();
        this.settle({ kind: AttemptOutcomeKind.Delivered, text: `status ${this.status}` });
    }

    private writeAll(chunks: readonly Buffer[]): boolean {
        if (chunks.length === 0) {
            return true;
        }
        this.start();
        return this.write(chunks.length === 1 && chunks[0] !== undefined ? chunks[0] : Buffer.concat(chunks));
    }

    private start(): void {
        const delivery = this.options.delivery;
        if (delivery.isStarted) {
            return;
        }
        delivery.isStarted = true;
        delivery.firstByteAt ??= this.options.now();
        this.options.onStarted();
        const headers = this.options.wire.createReturnHeaders(this.headers);
        // A stream may continue at another upstream, so the length that the first one announces may be wrong.
        delivery.response.writeHead(
            this.status,
            this.statusText,
            this.options.isStream ? dropContentLength(headers) : headers,
        );
    }

    private write(data: Buffer): boolean {
        const response = this.options.delivery.response;
        if (response.write(data)) {
            return true;
        }
        this.waitsForCaller = true;
        response.once("drain", () => {
            this.waitsForCaller = false;
            if (!this.hasOutcome) {
                this.options.onProgress();
            }
            this.options.meter?.onResumed(this.options.now());
            this.exchange?.resume();
        });
        return false;
    }

    private fail(text: string): void {
        this.settle({ kind: AttemptOutcomeKind.Lost, text });
        this.exchange?.abort();
    }

    private settle(outcome: AttemptOutcome): void {
        if (!this.hasOutcome) {
            this.hasOutcome = true;
            this.resolveOutcome(outcome);
        }
    }
}

/** Sends a buffered answer to the caller. */
export function deliverBuffered(callerWire: wire.CallerWire, delivery: Delivery, answer: BufferedAnswer): void {
    delivery.isStarted = true;
    const headers = dropContentLength(callerWire.createReturnHeaders(answer.headers));
    const hasBody = answer.status !== 204 && answer.status !== 304;
    if (hasBody) {
        headers.push("Content-Length", String(answer.body.length));
    }
    delivery.response.writeHead(answer.status, answer.statusText, headers);
    delivery.response.end(hasBody ? answer.body : undefined);
}

function dropContentLength(headers: readonly string[]): string[] {
    const kept: string[] = [];
    for (let index = 0; index + 1 < headers.length; index += 2) {
        if (headers[index]?.toLowerCase() !== "content-length") {
            kept.push(headers[index] ?? "", headers[index + 1] ?? "");
        }
    }
    return kept;
}
