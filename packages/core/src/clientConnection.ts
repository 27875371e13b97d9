import type * as net from "node:net";

type ConnectCallback = (...result: [error: null, socket: net.Socket] | [error: Error, socket: null]) => void;
type Connector<TOptions> = (options: TOptions, callback: ConnectCallback) => void;

/** A connection on which an HTTP client receives answers. */
export class ClientConnection {
    /** The connection from which data was read last. HTTP clients parse data in the same call in which they read it. */
    private static lastRead: ClientConnection | undefined;
    private readonly readSocket: (size?: number) => unknown;

    constructor(private readonly socket: net.Socket) {
        this.readSocket = socket.read.bind(socket);
        socket.read = size => this.read(size);
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

    private read(size: number | undefined): unknown {
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
                new ClientConnection(socket);
            }
            callback(...result);
        });
}
