import type * as http from "node:http";
import type * as core from "@boragedale/core";

export enum BodyOutcomeKind {
    Complete = "Complete",
    /** The body is longer than its limit. */
    TooLarge = "TooLarge",
    /** The bodies that are being read at the same time fill the buffers. */
    BuffersFull = "BuffersFull",
    /** The caller disconnected before it had sent the complete body. */
    Disconnected = "Disconnected",
}

export type BodyOutcome =
    | { readonly kind: BodyOutcomeKind.Complete; readonly body: Buffer }
    | { readonly kind: Exclude<BodyOutcomeKind, BodyOutcomeKind.Complete> };

/**
 * Bounds on what is read of a refused body. A connection that is closed while the caller still sends is reset, and the refusal
 * may be lost with it; but a caller that never ends must not keep the connection.
 */
export const MaximumDiscardedBytes = 16_777_216;
const MaximumDiscardMilliseconds = 3_000;

/** Reads bodies up to a limit on the total size of those that are being read. */
export class BodyReader {
    private bufferedBytes = 0;

    constructor(private readonly maximumBufferedBytes: number) {}

    /** Reads the body of a request. Leaves the connection open if the body exceeds a limit, so that a refusal can be sent. */
    async read(request: http.IncomingMessage, limit: number): Promise<BodyOutcome> {
        const chunks: Buffer[] = [];
        let bytes = 0;
        const kind = await consume(request, chunk => {
            bytes += chunk.length;
            this.bufferedBytes += chunk.length;
            chunks.push(chunk);
            if (bytes > limit) {
                return BodyOutcomeKind.TooLarge;
            }
            return this.bufferedBytes > this.maximumBufferedBytes ? BodyOutcomeKind.BuffersFull : undefined;
        });
        this.bufferedBytes -= bytes;
        if (kind !== BodyOutcomeKind.Complete) {
            return { kind };
        }
        return { kind, body: chunks.length === 1 && chunks[0] !== undefined ? chunks[0] : Buffer.concat(chunks) };
    }
}

/** Reads the rest of a refused request's body and discards it. Returns false if it is too long or does not arrive in time. */
export async function discardBody(request: http.IncomingMessage, clock: core.Clock): Promise<boolean> {
    let bytes = 0;
    let stopTimer: () => void = () => undefined;
    const late = new Promise<BodyOutcomeKind>(resolve => {
        stopTimer = clock.schedule(MaximumDiscardMilliseconds, () => resolve(BodyOutcomeKind.TooLarge));
    });
    const read = consume(request, chunk => {
        bytes += chunk.length;
        return bytes > MaximumDiscardedBytes ? BodyOutcomeKind.TooLarge : undefined;
    });
    const kind = await Promise.race([read, late]);
    stopTimer();
    return kind === BodyOutcomeKind.Complete;
}

/** Whether the body of the request has not arrived completely. That is so whenever the headers of a request with a body arrive. */
export function hasBodyToCome(request: http.IncomingMessage): boolean {
    const { headers } = request;
    const hasBody = headers["transfer-encoding"] !== undefined || getAnnouncedBytes(request) > 0;
    return hasBody && !request.complete;
}

/** Length of the body according to its header; 0 if there is none. */
export function getAnnouncedBytes({ headers }: http.IncomingMessage): number {
    return Number(headers["content-length"] ?? 0);
}

/**
 * Reads a request until its end, or until `onChunk` returns a reason to stop. Unlike leaving a `for await` loop, stopping
 * doesn't destroy the request, which would reset the connection before the caller has an answer.
 */
async function consume(
    request: http.IncomingMessage,
    onChunk: (chunk: Buffer) => BodyOutcomeKind | undefined,
): Promise<BodyOutcomeKind> {
    if (request.destroyed || request.readableEnded) {
        return request.readableEnded ? BodyOutcomeKind.Complete : BodyOutcomeKind.Disconnected;
    }
    return new Promise(resolve => {
        const stop = (kind: BodyOutcomeKind): void => {
            request.off("data", onData);
            request.off("end", onEnd);
            request.off("close", onClose);
            resolve(kind);
        };
        const onData = (chunk: Buffer): void => {
            const reason = onChunk(chunk);
            if (reason !== undefined) {
                stop(reason);
            }
        };
        const onEnd = (): void => stop(BodyOutcomeKind.Complete);
        const onClose = (): void => stop(BodyOutcomeKind.Disconnected);
        request.on("data", onData);
        request.on("end", onEnd);
        request.on("close", onClose);
    });
}
