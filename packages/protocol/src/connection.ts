import type * as core from "@boragedale/core";
import type * as websocket from "ws";

/** Most messages that wait to be read; a peer that floods is closed rather than filling the memory. */
const LongestQueue = 10_000;

/**
 * One WebSocket as a sequence of binary messages, so that the task of a connection reads it in a loop. Disposal ends
 * the socket at once: a silent peer would never answer an orderly close.
 */
export class Connection implements AsyncDisposable {
    private readonly queue: Uint8Array[] = [];
    private wake: () => void = () => undefined;
    private isOver = false;
    bytesReceived = 0;
    bytesSent = 0;

    constructor(private readonly socket: websocket.WebSocket) {
        socket.on("message", (data, isBinary) => this.accept(data, isBinary));
        socket.on("close", () => this.finish());
        // An error is always followed by a close; without a listener it would end the process.
        socket.on("error", () => undefined);
    }

    isOpen(): boolean {
        return !this.isOver && this.socket.readyState === this.socket.OPEN;
    }

    send(bytes: Uint8Array): boolean {
        if (!this.isOpen()) {
            return false;
        }
        this.bytesSent += bytes.byteLength;
        this.socket.send(bytes);
        return true;
    }

    /** Bytes that the socket has not yet taken. */
    getBacklog(): number {
        return this.socket.bufferedAmount;
    }

    /** Waits until the socket is open; false when it closed instead. */
    async waitForOpen(): Promise<boolean> {
        if (this.socket.readyState === this.socket.CONNECTING) {
            await new Promise<void>(resolve => {
                this.socket.once("open", () => resolve());
                this.socket.once("close", () => resolve());
            });
        }
        return this.isOpen();
    }

    /** The next message; undefined once the connection is over. */
    async read(): Promise<Uint8Array | undefined> {
        while (this.queue.length === 0 && !this.isOver) {
            await new Promise<void>(resolve => {
                this.wake = resolve;
            });
        }
        return this.queue.shift();
    }

    /** The next message, or undefined when none came in time. */
    async readWithin(milliseconds: number, clock: core.Clock): Promise<Uint8Array | undefined> {
        const stop = clock.schedule(milliseconds, () => this.abandon());
        try {
            return await this.read();
        }
        finally {
            stop();
        }
    }

    /** Gives the connection up without waiting for the other end. */
    abandon(): void {
        this.finish();
        this.socket.terminate();
    }

    async [Symbol.asyncDispose](): Promise<void> {
        this.abandon();
    }

    private accept(data: websocket.RawData, isBinary: boolean): void {
        if (!isBinary || this.queue.length >= LongestQueue || Array.isArray(data)) {
            this.abandon();
            return;
        }
        const bytes = data instanceof ArrayBuffer ? new Uint8Array(data) : data;
        this.bytesReceived += bytes.byteLength;
        this.queue.push(bytes);
        this.wake();
    }

    private finish(): void {
        this.isOver = true;
        this.wake();
    }
}
