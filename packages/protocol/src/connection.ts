import type * as core from "@boragedale/core";
import type * as websocket from "ws";

/** Maximum number of unread messages. The connection is closed beyond it, so that a flooding peer can't exhaust memory. */
const MaxQueuedMessages = 10_000;

/**
 * A WebSocket as a sequence of binary messages that can be read in a loop. Disposal terminates the socket at once, because
 * an unresponsive peer would never complete a closing handshake.
 */
export class Connection implements AsyncDisposable {
    private readonly queue: Uint8Array[] = [];
    private wakeReader: () => void = () => undefined;
    private isClosed = false;
    bytesReceived = 0;
    bytesSent = 0;

    constructor(private readonly socket: websocket.WebSocket) {
        socket.on("message", (data, isBinary) => this.enqueue(data, isBinary));
        socket.on("close", () => this.markClosed());
        // An error is always followed by a close event. Without a listener it would end the process.
        socket.on("error", () => undefined);
    }

    isOpen(): boolean {
        return !this.isClosed && this.socket.readyState === this.socket.OPEN;
    }

    send(bytes: Uint8Array): boolean {
        if (!this.isOpen()) {
            return false;
        }
        this.bytesSent += bytes.byteLength;
        this.socket.send(bytes);
        return true;
    }

    /** Number of bytes that are queued but not yet written to the network. */
    getBufferedBytes(): number {
        return this.socket.bufferedAmount;
    }

    /**
     * Waits until the socket is open. If it isn't in time, terminates it and returns false: the library's own timeout is for silence,
     * and begins anew with all that arrives.
     */
    async waitForOpen(milliseconds: number, clock: core.Clock): Promise<boolean> {
        if (this.socket.readyState === this.socket.CONNECTING) {
            const stop = clock.schedule(milliseconds, () => this.terminate());
            await new Promise<void>(resolve => {
                this.socket.once("open", () => resolve());
                this.socket.once("close", () => resolve());
            });
            stop();
        }
        return this.isOpen();
    }

    /** Returns the next message, or undefined once the connection is closed. */
    async read(): Promise<Uint8Array | undefined> {
        while (this.queue.length === 0 && !this.isClosed) {
            await new Promise<void>(resolve => {
                this.wakeReader = resolve;
            });
        }
        return this.queue.shift();
    }

    /** Returns the next message. If none arrives in time, terminates the connection and returns undefined. */
    async readWithin(milliseconds: number, clock: core.Clock): Promise<Uint8Array | undefined> {
        const stop = clock.schedule(milliseconds, () => this.terminate());
        try {
            return await this.read();
        }
        finally {
            stop();
        }
    }

    /** Closes the connection without waiting for the peer. */
    terminate(): void {
        this.markClosed();
        this.socket.terminate();
    }

    async [Symbol.asyncDispose](): Promise<void> {
        this.terminate();
    }

    private enqueue(data: websocket.RawData, isBinary: boolean): void {
        if (!isBinary || this.queue.length >= MaxQueuedMessages || Array.isArray(data)) {
            this.terminate();
            return;
        }
        const bytes = data instanceof ArrayBuffer ? new Uint8Array(data) : data;
        this.bytesReceived += bytes.byteLength;
        this.queue.push(bytes);
        this.wakeReader();
    }

    private markClosed(): void {
        this.isClosed = true;
        this.wakeReader();
    }
}
