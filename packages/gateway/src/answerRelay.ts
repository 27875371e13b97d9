import type * as http from "node:http";
import * as eventSplitter from "./eventSplitter.js";
import * as upstreamExchange from "./upstreamExchange.js";
import type * as wire from "./wire.js";

/** What came of one attempt at one upstream. */
export enum AttemptOutcomeKind {
    /** The answer is with the caller, whole. */
    Delivered = "Delivered",
    /** An answer that says that the upstream failed; not passed on yet. */
    Failed = "Failed",
    NotRun = "NotRun",
    NotSent = "NotSent",
    /** Broken off, or no answer to this request: it may have run. */
    Lost = "Lost",
    /** No sign of life for longer than an upstream that works takes. */
    Silent = "Silent",
    /** This side stopped: the caller left or the deadline passed. */
    Stopped = "Stopped",
}

export interface HeldAnswer {
    readonly status: number;
    readonly statusText: string;
    readonly headers: string[];
    readonly body: Buffer;
}

export type AttemptOutcome =
    | { readonly kind: AttemptOutcomeKind.Failed; readonly answer: HeldAnswer }
    | { readonly kind: Exclude<AttemptOutcomeKind, AttemptOutcomeKind.Failed>; readonly text: string };

/** What the caller has got so far, over all attempts of one request. */
export interface Delivery {
    readonly response: http.ServerResponse;
    isStarted: boolean;
    /** Id of the last event that the caller has. */
    lastEventId: number | undefined;
    firstByteAt: number | undefined;
}

export interface RelayOptions {
    readonly wire: wire.CallerWire;
    readonly delivery: Delivery;
    readonly attemptId: string;
    readonly isStream: boolean;
    readonly now: () => number;
    readonly onSent: () => void;
    readonly onProgress: () => void;
}

/**
 * Bodies up to this many bytes are held until they are whole, so that a request whose answer breaks off can be repeated
 * without the caller seeing a part.
 */
const LargestHeldBytes = 262_144;

/** Passes one upstream's answer on to the caller, or finds out why it can't be. */
export class AnswerRelay implements upstreamExchange.ExchangeHandler {
    readonly outcome: Promise<AttemptOutcome>;
    private exchange: upstreamExchange.RunningExchange | undefined;
    private resolveOutcome: (outcome: AttemptOutcome) => void = () => undefined;
    private isSettled = false;
    private status = 0;
    private statusText = "";
    private headers: string[] = [];
    private isNotRun = false;
    private isPassedThrough = false;
    private held: Buffer[] = [];
    private heldBytes = 0;
    private splitter: eventSplitter.EventSplitter | undefined;

    constructor(private readonly options: RelayOptions) {
        this.outcome = new Promise(resolve => (this.resolveOutcome = resolve));
    }

    attach(exchange: upstreamExchange.RunningExchange): void {
        this.exchange = exchange;
        if (this.isSettled) {
            exchange.abort();
        }
    }

    /** Ends the attempt from this side. */
    stop(kind: AttemptOutcomeKind.Stopped | AttemptOutcomeKind.Silent, text: string): void {
        this.settle({ kind, text });
        this.exchange?.abort();
    }

    onSent(): void {
        this.options.onSent();
    }

    onHeaders(status: number, rawHeaders: string[], statusText: string): void {
        if (this.isSettled) {
            return;
        }
        const head = this.options.wire.readAnswer(status, rawHeaders);
        this.status = status;
        this.statusText = statusText;
        this.headers = rawHeaders;
        this.isNotRun = head.isNotRun;
        const isSuccess = status >= 200 && status < 300;
        const isForeign = head.attemptId !== undefined && head.attemptId !== this.options.attemptId;
        const isUnproved = isSuccess && (!head.isStamped || head.attemptId === undefined || head.isEncoded);
        if (isForeign || isUnproved) {
            // A late second answer to an earlier request on this connection, or bytes that are no answer of the upstream.
            this.lose(isForeign ? "an answer to another request" : "an answer without proof");
            return;
        }
        if (isSuccess && this.options.isStream) {
            this.splitter = new eventSplitter.EventSplitter();
        }
        this.options.onProgress();
    }

    onData(data: Buffer): boolean {
        if (this.isSettled) {
            return true;
        }
        this.options.onProgress();
        if (this.splitter !== undefined) {
            return this.passEvents(this.splitter, data);
        }
        if (this.isPassedThrough) {
            return this.write(data);
        }
        this.held.push(data);
        this.heldBytes += data.length;
        const isSuccess = this.status >= 200 && this.status < 300;
        if (this.heldBytes > LargestHeldBytes && isSuccess) {
            this.isPassedThrough = true;
            const body = Buffer.concat(this.held);
            this.held = [];
            this.start();
            return this.write(body);
        }
        return true;
    }

    onComplete(): void {
        if (this.isSettled) {
            return;
        }
        if (this.isNotRun) {
            this.settle({ kind: AttemptOutcomeKind.NotRun, text: `status ${this.status}` });
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
            body: Buffer.concat(this.held),
        };
        if (this.status >= 500) {
            this.settle({ kind: AttemptOutcomeKind.Failed, answer });
            return;
        }
        if (this.isPassedThrough) {
            this.options.delivery.response.end();
        }
        else {
            deliverHeld(this.options.wire, this.options.delivery, answer);
        }
        this.settle({ kind: AttemptOutcomeKind.Delivered, text: `status ${this.status}` });
    }

    onFailure(failure: upstreamExchange.ExchangeFailure): void {
        switch (failure.kind) {
            case upstreamExchange.ExchangeFailureKind.NotSent:
                this.settle({ kind: AttemptOutcomeKind.NotSent, text: failure.text });
                return;
            case upstreamExchange.ExchangeFailureKind.Broken:
                // A proof that it was not run holds also where the rest of that answer is cut off.
                this.settle({
                    kind: this.isNotRun ? AttemptOutcomeKind.NotRun : AttemptOutcomeKind.Lost,
                    text: failure.text,
                });
                return;
            case upstreamExchange.ExchangeFailureKind.Aborted:
                this.settle({ kind: AttemptOutcomeKind.Stopped, text: failure.text });
                return;
        }
    }

    private passEvents(splitter: eventSplitter.EventSplitter, data: Buffer): boolean {
        const pieces = splitter.push(data);
        if (pieces === undefined) {
            this.lose("no event stream");
            return true;
        }
        const delivery = this.options.delivery;
        const passed: Buffer[] = [];
        for (const piece of pieces) {
            const isGap =
                piece.id !== undefined && delivery.lastEventId !== undefined && piece.id !== delivery.lastEventId + 1;
            if (isGap) {
                this.writeAll(passed);
                this.lose(`event ${piece.id} after ${delivery.lastEventId}`);
                return true;
            }
            delivery.lastEventId = piece.id ?? delivery.lastEventId;
            passed.push(piece.bytes);
        }
        return this.writeAll(passed);
    }

    private completeStream(splitter: eventSplitter.EventSplitter): void {
        if (splitter.getRest().length > 0) {
            this.lose("ended within an event");
            return;
        }
        this.start();
        this.options.delivery.response.end();
        this.settle({ kind: AttemptOutcomeKind.Delivered, text: `status ${this.status}` });
    }

    private writeAll(pieces: readonly Buffer[]): boolean {
        if (pieces.length === 0) {
            return true;
        }
        this.start();
        return this.write(pieces.length === 1 && pieces[0] !== undefined ? pieces[0] : Buffer.concat(pieces));
    }

    private start(): void {
        const delivery = this.options.delivery;
        if (delivery.isStarted) {
            return;
        }
        delivery.isStarted = true;
        delivery.firstByteAt ??= this.options.now();
        const headers = this.options.wire.createReturnHeaders(this.headers);
        // A stream may go on at another upstream, so its length is not the first one's to say.
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
        response.once("drain", () => this.exchange?.resume());
        return false;
    }

    private lose(text: string): void {
        this.settle({ kind: AttemptOutcomeKind.Lost, text });
        this.exchange?.abort();
    }

    private settle(outcome: AttemptOutcome): void {
        if (!this.isSettled) {
            this.isSettled = true;
            this.resolveOutcome(outcome);
        }
    }
}

/** Gives the caller an answer that was held back whole. */
export function deliverHeld(callerWire: wire.CallerWire, delivery: Delivery, answer: HeldAnswer): void {
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
