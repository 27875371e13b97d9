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

/** Responses behind which another request has arrived on the same connection. */
const followed = new WeakSet<http.ServerResponse>();

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
        this.on("connect", (request, socket) => void this.refuseTunnel(socket as net.Socket));
        this.on("request", (request, response) => void this.serveUntilSent(request, response));
    }

    /** Number of requests that are being served or whose answers are not sent completely. */
    getInProgressCount(): number {
        return this.inProgress;
    }

    /**
     * Sets the time after which idle connections are closed. Connections that are idle now stay open at least that long too:
     * callers go by the new limit. None closes sooner than was announced to its caller.
     */
    setIdleTimeout(milliseconds: number): void {
        this.keepAliveTimeout = milliseconds;
        [...this.openConnections.keys()].forEach(socket => extendIdleTimer(socket, milliseconds));
    }

    /**
     * Stops accepting connections. Those with requests in progress are closed after their last answer, which says so unless it has
     * started; the callers would send further requests on them otherwise, which would be reset.
     */
    startClosing(): void {
        this.openConnections.forEach(({ inProgress }) => {
            const last = [...inProgress].at(-1);
            if (last?.headersSent === false) {
                last.shouldKeepAlive = false;
            }
        });
        this.close();
    }

    /** Closes the connections without a request. Node calls this when the server stops listening. */
    override closeIdleConnections(): void {
        this.closeIfIdle([...this.openConnections.keys()]);
    }

    hasIdleConnections(): boolean {
        return [...this.openConnections.keys()].some(socket => this.isIdle(socket));
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

    /** Answers a request for a tunnel, once the requests before it on the connection have been answered. */
    private async refuseTunnel(socket: net.Socket): Promise<void> {
        socket.on("error", () => undefined);
        const inProgress = this.openConnections.get(socket)?.inProgress ?? [];
        await Promise.all(
            [...inProgress].map(async response => new Promise<void>(resolve => response.once("close", resolve))),
        );
        socket.end("HTTP/1.1 501 Not Implemented\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
    }

    private async serveUntilSent(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
        // Node takes the socket from a request that ends early.
        const { socket } = request;
        const connection = this.openConnections.get(socket);
        if (connection !== undefined && !keepsOpen(connection)) {
            // An answer before this one closes the connection, so that this one could not be sent (RFC 9112, 9.6).
            request.resume();
            return;
        }
        const sent = connection === undefined ? undefined : waitUntilSent(connection, request, response);
        const announcedMilliseconds = this.keepAliveTimeout;
        // Node announces the limit as it is when a request arrives, and starts the timer with the limit at this event.
        response.once("finish", () => extendIdleTimer(socket, announcedMilliseconds));
        connection?.inProgress.add(response);
        this.inProgress++;
        await Promise.all([this.serveRequest(request, response), sent]);
        this.inProgress--;
        connection?.inProgress.delete(response);
    }
}

/**
 * Lets the connection stay open after the requests in progress, since another one has arrived. Returns false if an answer
 * has already announced that it closes the connection.
 */
function keepsOpen({ inProgress }: CallerConnection): boolean {
    for (const response of inProgress) {
        if (!response.shouldKeepAlive && response.headersSent) {
            return false;
        }
        response.shouldKeepAlive = true;
        followed.add(response);
    }
    return true;
}

/** Closes the connection after this answer, unless another request has arrived on it, whose answer would be lost. */
export function closeAfter(response: http.ServerResponse): void {
    if (!followed.has(response)) {
        response.shouldKeepAlive = false;
    }
}

/** Restarts the connection's idle timer with a longer time, if it is running with a shorter one. */
function extendIdleTimer(socket: net.Socket, milliseconds: number): void {
    const { timeout = 0 } = socket;
    if (timeout > 0 && timeout < milliseconds) {
        socket.setTimeout(milliseconds);
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
