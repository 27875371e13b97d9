import * as http from "node:http";
import type * as net from "node:net";
import type * as fastify from "fastify";

/** Longest time that a caller may take to send its request's headers; a slower one holds a connection for nothing. */
const HeadersTimeoutMilliseconds = 10_000;
/** Longer than balancers keep idle connections, so that they close them and no request meets a closing one. */
const KeepAliveTimeoutMilliseconds = 75_000;

/**
 * A listening address that exists before the face behind it: the instance's description needs the port, and the parts
 * behind the face need the description. Until a face is attached it answers 503.
 */
export class FaceListener implements AsyncDisposable {
    private face: fastify.FastifyInstance | undefined;

    private constructor(private readonly server: http.Server) {
        server.on("request", (request, response) => this.route(request, response));
    }

    static async listen(host: string, port: number): Promise<FaceListener> {
        const server = http.createServer({
            headersTimeout: HeadersTimeoutMilliseconds,
            keepAliveTimeout: KeepAliveTimeoutMilliseconds,
        });
        const listener = new FaceListener(server);
        await new Promise<void>((resolve, reject) => {
            server.once("error", reject);
            server.listen(port, host, () => resolve());
        });
        return listener;
    }

    getPort(): number {
        return (this.server.address() as net.AddressInfo).port;
    }

    async attach(face: fastify.FastifyInstance): Promise<void> {
        await face.ready();
        this.face = face;
    }

    /** Takes no new connections and returns when the last answer was sent. */
    async [Symbol.asyncDispose](): Promise<void> {
        const closed = new Promise<void>(resolve => this.server.close(() => resolve()));
        this.server.closeIdleConnections();
        await closed;
        await this.face?.close();
    }

    private route(request: http.IncomingMessage, response: http.ServerResponse): void {
        if (this.face === undefined) {
            response.writeHead(503, { "retry-after": "1" }).end();
            return;
        }
        this.face.routing(request, response);
    }
}
