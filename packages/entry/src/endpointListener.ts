import * as http from "node:http";
import * as net from "node:net";
import type * as fastify from "fastify";

/** How long a caller may take to send its request's headers. A slower one would occupy a connection for nothing. */
const HeadersTimeoutMilliseconds = 10_000;
/**
 * Longer than balancers keep idle connections, so that they close them first and no request arrives on a closing one.
 */
const KeepAliveTimeoutMilliseconds = 75_000;

/**
 * Interval at which a stopping instance gives up the answers that have ended but aren't sent. A caller that reads nothing
 * would hold it up for ever.
 */
const SendingMilliseconds = 10_000;

/**
 * Listens on an address before its endpoint exists. The instance's description needs the port, and the parts behind the
 * endpoint need the description. Until an endpoint is attached, every request is answered with 503.
 */
export class EndpointListener implements AsyncDisposable {
    private endpoint: fastify.FastifyInstance | undefined;
    /** Answers that are not completely sent. */
    private readonly unsent = new Set<http.ServerResponse>();
    private isClosing = false;
    private onAllSent: () => void = () => undefined;

    private constructor(private readonly server: http.Server) {
        server.on("request", (request, response) => this.route(request, response));
    }

    static async listen(host: string, port: number): Promise<EndpointListener> {
        const server = http.createServer({
            headersTimeout: HeadersTimeoutMilliseconds,
            keepAliveTimeout: KeepAliveTimeoutMilliseconds,
        });
        const listener = new EndpointListener(server);
        await new Promise<void>((resolve, reject) => {
            server.once("error", reject);
            server.listen(port, host, () => resolve());
        });
        return listener;
    }

    getPort(): number {
        return (this.server.address() as net.AddressInfo).port;
    }

    async attach(endpoint: fastify.FastifyInstance): Promise<void> {
        await endpoint.ready();
        this.endpoint = endpoint;
    }

    /** Stops accepting connections and resolves when the last answer has been sent. */
    async [Symbol.asyncDispose](): Promise<void> {
        this.isClosing = true;
        // The method of `http.Server` also closes connections whose answer has ended but is not sent yet.
        const closed = new Promise<void>(resolve => net.Server.prototype.close.call(this.server, () => resolve()));
        const limit = setInterval(() => this.stopSending(), SendingMilliseconds);
        if (this.unsent.size > 0) {
            await new Promise<void>(resolve => (this.onAllSent = resolve));
        }
        this.server.close();
        await closed;
        clearInterval(limit);
        await this.endpoint?.close();
    }

    private stopSending(): void {
        [...this.unsent].filter(response => response.writableEnded).forEach(response => response.destroy());
    }

    private route(request: http.IncomingMessage, response: http.ServerResponse): void {
        this.unsent.add(response);
        response.once("close", () => {
            this.unsent.delete(response);
            if (this.unsent.size === 0) {
                this.onAllSent();
            }
        });
        if (this.isClosing) {
            response.shouldKeepAlive = false;
        }
        if (this.endpoint === undefined) {
            response.writeHead(503, { "retry-after": "1" }).end();
            return;
        }
        this.endpoint.routing(request, response);
    }
}
