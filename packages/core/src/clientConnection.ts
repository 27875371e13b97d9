import type * as net from "node:net";

type ConnectCallback = (...result: [error: null, socket: net.Socket] | [error: Error, socket: null]) => void;
type Connector<TOptions> = (options: TOptions, callback: ConnectCallback) => void;

/** A connection on which an HTTP client receives answers. */
export class ClientConnection {
    /** The connection from which data was read last. HTTP clients parse data in the same call in which they read it. */
    private static lastRead: ClientConnection | undefined;
    private readonly readSocket: (size?: number) => unknown;
    private isPaused = false;

    private constructor(private readonly socket: net.Socket) {
        this.readSocket = socket.read.bind(socket);
        socket.read = size => this.read(size);
    }

    /** Follows what is read from a new socket. */
    static track(socket: net.Socket): void {
        new ClientConnection(socket);
    }

    /** Returns the connection of the answer that is being parsed. Call only when an HTTP client reports received data. */
    static getParsed(): ClientConnection | undefined {
        return ClientConnection.lastRead;
    }

    /**
     * Whether the connection was reset. Call when it has ended, and before this process destroys it. Node.js reports a reset that
     * arrives together with data as a regular end. After a regular end the remote address can still be read, after a reset it can't.
     */
    wasReset(): boolean {
        return this.socket.remoteAddress === undefined;
    }

    /** Calls the listener once the connection is closed. */
    onClose(listener: () => void): void {
        this.socket.once("close", listener);
    }

    /**
     * Withholds received data from the HTTP client until `resume`. A paused HTTP parser would throw an exception that nobody handles
     * if the connection ended meanwhile; a connection whose data isn't read doesn't end.
     */
    pause(): void {
        this.isPaused = true;
    }

    resume(): void {
        if (!this.isPaused) {
            return;
        }
        this.isPaused = false;
        // Not at once, since the parser may be the caller.
        process.nextTick(() => this.socket.emit("readable"));
    }

    private read(size: number | undefined): unknown {
        // With size 0, the runtime fills its buffer and returns no data.
        if (this.isPaused && size !== 0) {
            // eslint-disable-next-line no-restricted-syntax -- the value with which a stream says that it has no data
            return null;
        }
        const data = this.readSocket(size);
        if (data) {
            ClientConnection.lastRead = this;
        }
        return data;
    }
}

/** Makes `ClientConnection.getParsed` work for HTTP clients that use the returned connector. */
export function trackConnections<TOptions>(connect: Connector<TOptions>): Connector<TOptions> {
    return (options, callback) =>
        connect(options, (...result) => {
            const socket = result[1];
            if (socket) {
                ClientConnection.track(socket);
            }
            callback(...result);
        });
}
