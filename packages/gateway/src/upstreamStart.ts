import * as crypto from "node:crypto";
import type * as core from "@boragedale/core";
import type * as channelDirectory from "./channelDirectory.js";
import type * as types from "./types.js";
import type * as upstreamExchange from "./upstreamExchange.js";
import type * as wire from "./wire.js";

/** Reads from an upstream itself when its process started. */
export abstract class StartReader {
    /** Returns undefined if the upstream gives no start in time. */
    abstract read(upstream: types.UpstreamEntry): Promise<core.WallMilliseconds | undefined>;
}

export interface ChannelStartReaderParts {
    readonly channels: channelDirectory.Channels;
    readonly wire: wire.CallerWire;
    readonly clock: core.Clock;
}

/** An upstream answers within a few milliseconds. The caller of a broken stream waits for the answer. */
const AnswerTimeoutMilliseconds = 150;
/** An answer is about a kilobyte long, more with many runs. A longer one is not read to its end. */
const MaximumAnswerBytes = 65_536;

/** Asks over the upstream's channel, which a connection of an earlier process can't be part of for long. */
export class ChannelStartReader extends StartReader {
    constructor(private readonly parts: ChannelStartReaderParts) {
        super();
    }

    override async read(upstream: types.UpstreamEntry): Promise<core.WallMilliseconds | undefined> {
        const { wire: callerWire, channels, clock } = this.parts;
        const question = callerWire.createStartQuestion(upstream);
        if (question === undefined) {
            return undefined;
        }
        return new Promise(resolve => {
            const answer = new StartAnswer(callerWire, resolve);
            const exchange = channels.get(upstream).start(
                {
                    // Only distinguishes the exchanges; it isn't sent.
                    attemptId: crypto.randomUUID(),
                    method: "GET",
                    target: question.target,
                    headers: [...question.headers],
                    body: undefined,
                },
                answer,
            );
            const stopTimer = clock.schedule(AnswerTimeoutMilliseconds, () => answer.finish(undefined));
            answer.onFinished = () => {
                stopTimer();
                exchange.abort();
            };
            if (answer.isFinished) {
                answer.onFinished();
            }
        });
    }
}

class StartAnswer implements upstreamExchange.ExchangeHandler {
    isFinished = false;
    onFinished: () => void = () => undefined;
    private status = 0;
    private readonly chunks: Buffer[] = [];
    private bytes = 0;

    constructor(
        private readonly callerWire: wire.CallerWire,
        private readonly resolve: (start: core.WallMilliseconds | undefined) => void,
    ) {}

    onSent(): void {}

    onHeaders(status: number, rawHeaders: string[]): void {
        this.status = status;
        // A late second answer to an earlier request on this connection.
        if (this.callerWire.readAnswer(status, rawHeaders).attemptId !== undefined) {
            this.finish(undefined);
        }
    }

    onData(data: Buffer): boolean {
        this.bytes += data.length;
        if (this.bytes > MaximumAnswerBytes) {
            this.finish(undefined);
        }
        else {
            this.chunks.push(data);
        }
        return true;
    }

    onComplete(): void {
        this.finish(this.status === 200 ? this.callerWire.tryReadStart(Buffer.concat(this.chunks)) : undefined);
    }

    onFailure(): void {
        this.finish(undefined);
    }

    finish(start: core.WallMilliseconds | undefined): void {
        if (!this.isFinished) {
            this.isFinished = true;
            this.resolve(start);
            this.onFinished();
        }
    }
}
