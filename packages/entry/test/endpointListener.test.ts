import * as assert from "node:assert/strict";
import * as http from "node:http";
import type * as fastify from "fastify";
import * as uvu from "uvu";
import * as endpointListener from "../src/endpointListener.js";

const suite = uvu.suite("endpointListener");

/** More than the buffers of the two sockets hold. */
const LargeBytes = 32_000_000;

// Guards against answers that lose their end when an instance stops before a slow caller has read them.
suite("an answer that its caller reads slowly is sent completely before the connections are closed", async () => {
    const listener = await endpointListener.EndpointListener.listen("127.0.0.1", 0);
    const endpoint = {
        ready: async () => undefined,
        close: async () => undefined,
        routing: (request: http.IncomingMessage, response: http.ServerResponse) => {
            request.resume();
            response.end(Buffer.alloc(LargeBytes));
        },
    };
    await listener.attach(endpoint as unknown as fastify.FastifyInstance);
    const response = await new Promise<http.IncomingMessage>((resolve, reject) => {
        http.get({ port: listener.getPort(), host: "127.0.0.1" }, resolve).once("error", reject);
    });
    const disposed = listener[Symbol.asyncDispose]();
    await new Promise(resolve => setImmediate(resolve));
    let bytes = 0;
    response.on("data", (chunk: Buffer) => (bytes += chunk.length));
    response.on("error", () => undefined);
    await new Promise<void>(resolve => response.once("close", resolve));
    await disposed;
    assert.equal(bytes, LargeBytes);
    assert.equal(response.complete, true);
});

suite.run();
