import type * as net from "node:net";

type ConnectCallback = (...result: [error: null, socket: net.Socket] | [error: Error, socket: null]) => void;
type Connector<TOptions> = (options: TOptions, callback: ConnectCallback) => void;

/** Whether a connection limits the bytes that are no part of an answer's body. */
export enum FramingLimit {
    /** For clients that don't report the bodies that they receive. */
    None = "None",
    /** For clients that call `noteBody` and `noteAnswered`. */
    Enforced = "Enforced",
}

/**
 * Maximum size of what is received besides bodies: heads, informational responses, chunk sizes and extensions, trailers, line ends
 * between answers. HTTP parsers limit only some of these, so that a peer could send the others without end. A head has at most 16 KiB.
 */
const MaximumFramingBytes = 65_536;
/** Bytes of framing that each byte of a body allows in addition: a chunk of one byte has about six. */
const FramingBytesPerBodyByte = 16;
/**
 * Size of the largest usual head, and of the pieces in which an HTTP client gets what comes beyond it. Where a head exceeds the client's
 * limit, it goes on to the end of the piece and creates an error for each field, which takes a hundred times as long as parsing it.
 */
const UsualHeadBytes = 8_192;
const SmallPieceBytes = 256;
/** HTTP clients end only the request in progress when a connection fails with this code, not those that wait for one. */
const ConnectionErrorCode = "UND_ERR_SOCKET";

/** A connection on which an HTTP client receives answers. */
export class ClientConnection {
    /** The connection from which data was read last. HTTP clients parse data in the same call in which they read it. */
    private static lastRead: ClientConnection | undefined;
    private readonly readSocket: (size?: number) => unknown;
    private isPaused = false;
    /** Bytes received that were not reported as part of a body, less those that the bodies allow. */
    private framingBytes = 0;

    private constructor(
        private readonly socket: net.Socket,
        private readonly framingLimit: FramingLimit,
    ) {
        this.readSocket = socket.read.bind(socket);
        socket.read = size => this.read(size);
    }

    /** Follows what is read from a new socket. */
    static track(socket: net.Socket, framingLimit: FramingLimit): void {
        new ClientConnection(socket, framingLimit);
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

    /** Call for each part of a body, as it is received. */
    noteBody(bytes: number): void {
        this.framingBytes = Math.max(0, this.framingBytes - bytes * (1 + FramingBytesPerBodyByte));
    }

    /** Call when an answer is complete. */
    noteAnswered(): void {
        this.framingBytes = 0;
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
        // With size 0, the runtime fills its buffer and returns no data. A socket that the client has destroyed still returns what it has.
        if ((this.isPaused && size !== 0) || this.socket.destroyed) {
            // eslint-disable-next-line no-restricted-syntax -- the value with which a stream says that it has no data
            return null;
        }
        // What was read before has been parsed by now, so its bodies have been reported.
        if (this.framingLimit === FramingLimit.Enforced && this.framingBytes > MaximumFramingBytes) {
            const error = new Error(`${this.framingBytes} bytes that are no part of a body`);
            this.socket.destroy(Object.assign(error, { code: ConnectionErrorCode }));
            // eslint-disable-next-line no-restricted-syntax -- the value with which a stream says that it has no data
            return null;
        }
        const data = this.readSocket(size ?? this.getPieceSize());
        if (data) {
            ClientConnection.lastRead = this;
            this.framingBytes += (data as Buffer).length;
        }
        return data;
    }

    /** Returns undefined if all that has been received may be read at once. */
    private getPieceSize(): number | undefined {
        const available = this.socket.readableLength;
        if (this.framingLimit === FramingLimit.None || available === 0) {
            return undefined;
        }
        return Math.min(available, Math.max(SmallPieceBytes, UsualHeadBytes - this.framingBytes));
    }
}

/** Makes `ClientConnection.getParsed` work for HTTP clients that use the returned connector. */
export function trackConnections<TOptions>(
    connect: Connector<TOptions>,
    framingLimit = FramingLimit.None,
): Connector<TOptions> {
    return (options, callback) =>
        connect(options, (...result) => {
            const socket = result[1];
            if (socket) {
                ClientConnection.track(socket, framingLimit);
            }
            callback(...result);
        });
}
