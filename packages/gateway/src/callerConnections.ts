import * as http from "node:http";
import type * as net from "node:net";

/** Serves a request and never rejects. */
export type ServeRequest = (request: http.IncomingMessage, response: http.ServerResponse) => Promise<void>;

/** State of an open connection. */
interface CallerConnection {
    /** Responses that are not sent completely, or whose requests have not been read completely. */
    readonly inProgress: Set<http.ServerResponse>;
    /** Bytes received up to the end of the last request. Bytes beyond it belong to a request that is arriving. */
    requestBytes: number;
    /** Called when the connection has closed. */
    readonly closeListeners: Set<() => void>;
}

/**
 * An HTTP server that knows which connections are idle. To Node, a connection is idle as soon as its response has been ended,
 * even while the caller reads slowly and most of the answer still waits in the process; closing it cuts the answer off.
 */
export class CallerHttpServer extends http.Server {
    private readonly openConnections = new Map<net.Socket, CallerConnection>();
    private inProgress = 0;

    constructor(
        options: http.ServerOptions,
        private readonly serveRequest: ServeRequest,
    ) {
        super(options);
        this.on("connection", (socket: net.Socket) => this.addConnection(socket));
        this.on("timeout", (socket: net.Socket) => this.closeIfIdle([socket]));
        this.on("request", (request, response) => void this.serveUntilSent(request, response));
    }

    /** Number of requests that are being served or whose answers are not sent completely. */
    getInProgressCount(): number {
        return this.inProgress;
    }

    /** Closes the connections without a request. Node calls this when the server stops listening. */
    override closeIdleConnections(): void {
        this.closeIfIdle([...this.openConnections.keys()]);
    }

    /**
     * Closes those of the connections that are idle. Waits for the next but one iteration of the event loop, so that a request
     * that has arrived, but has not been read yet, is answered instead of reset.
     */
    private closeIfIdle(sockets: readonly net.Socket[]): void {
        const idle = sockets.filter(socket => this.isIdle(socket));
        setImmediate(() => {
            setImmediate(() => idle.filter(socket => this.isIdle(socket)).forEach(socket => socket.destroy()));
        });
    }

    private isIdle(socket: net.Socket): boolean {
        const connection = this.openConnections.get(socket);
        return connection?.inProgress.size === 0 && socket.bytesRead === connection.requestBytes;
    }

    private addConnection(socket: net.Socket): void {
        const connection = {
            inProgress: new Set<http.ServerResponse>(),
            requestBytes: 0,
            closeListeners: new Set<() => void>(),
        };
        this.openConnections.set(socket, connection);
        socket.once("close", () => {
            this.openConnections.delete(socket);
            connection.closeListeners.forEach(listener => listener());
            process.nextTick(() => connection.inProgress.forEach(closeUnassigned));
        });
    }

    private async serveUntilSent(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
        const connection = this.openConnections.get(request.socket);
        const sent = connection === undefined ? undefined : waitUntilSent(connection, request, response);
        connection?.inProgress.add(response);
        this.inProgress++;
        await Promise.all([this.serveRequest(request, response), sent]);
        this.inProgress--;
        connection?.inProgress.delete(response);
    }
}

/**
 * Closes a response that waits behind another one on a connection that has closed. Node does so only for the response that
 * was being sent; the request of any other would be forwarded to the end although its caller has left.
 */
function closeUnassigned(response: http.ServerResponse): void {
    if (!response.closed) {
        response.destroy();
        response.emit("close");
    }
}

/** Resolves when the request has been read and its answer handed to the operating system, or when the connection has closed. */
async function waitUntilSent(
    connection: CallerConnection,
    request: http.IncomingMessage,
    response: http.ServerResponse,
): Promise<void> {
    const { socket } = request;
    request.once("end", () => (connection.requestBytes = socket.bytesRead));
    await new Promise<void>(resolve => {
        let pending = 2;
        const release = (): void => {
            pending--;
            if (pending === 0) {
                end();
            }
        };
        const end = (): void => {
            connection.closeListeners.delete(end);
            resolve();
        };
        connection.closeListeners.add(end);
        request.once("close", release);
        response.once("close", release);
    });
}
