import type * as fastify from "fastify";

/** Server-sent events to one caller, with back-pressure: a slow caller holds up its own stream and buffers little. */
export class EventStream {
    private readonly response: fastify.FastifyReply["raw"];

    constructor(reply: fastify.FastifyReply) {
        reply.hijack();
        this.response = reply.raw;
        this.response.writeHead(200, {
            "content-type": "text/event-stream",
            "cache-control": "no-cache",
            "x-accel-buffering": "no",
        });
    }

    async write(data: object): Promise<void> {
        await this.writeText(JSON.stringify(data));
    }

    async writeText(text: string): Promise<void> {
        if (this.response.destroyed) {
            return;
        }
        if (!this.response.write(`data: ${text}\n\n`)) {
            await waitForDrain(this.response);
        }
    }

    end(): void {
        this.response.end();
    }
}

/** Aborted when the caller's connection ends before the answer does: the work is cancelled at the engine. */
export function createDisconnectSignal(reply: fastify.FastifyReply): AbortSignal {
    const controller = new AbortController();
    reply.raw.once("close", () => {
        if (!reply.raw.writableFinished) {
            controller.abort();
        }
    });
    return controller.signal;
}

/** A caller that goes away never drains; without the second event the stream's task would wait for good. */
async function waitForDrain(response: fastify.FastifyReply["raw"]): Promise<void> {
    await new Promise<void>(resolve => {
        const finish = (): void => {
            response.off("drain", finish);
            response.off("close", finish);
            resolve();
        };
        response.on("drain", finish);
        response.on("close", finish);
    });
}
