import type * as fastify from "fastify";

/**
 * Writes server-sent events to one caller, with back-pressure: a slow caller delays only its own stream and buffers
 * little.
 */
export class EventStream {
    private readonly response: fastify.FastifyReply["raw"];
    private pending = "";
    private isFull = false;

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
        if (this.pending === "") {
            // Collect everything that is written in this turn, since a system call for each token is a third of the
            // cost.
            process.nextTick(() => this.flush());
        }
        this.pending += `data: ${text}\n\n`;
        if (this.isFull) {
            await waitForDrain(this.response);
        }
    }

    end(): void {
        this.flush();
        this.response.end();
    }

    private flush(): void {
        if (this.pending === "" || this.response.destroyed) {
            return;
        }
        const text = this.pending;
        this.pending = "";
        this.isFull = !this.response.write(text);
        if (this.isFull) {
            this.response.once("drain", () => (this.isFull = false));
        }
    }
}

/** Creates a signal that aborts when the caller disconnects before the answer is complete, which cancels the work. */
export function createDisconnectSignal(reply: fastify.FastifyReply): AbortSignal {
    const controller = new AbortController();
    reply.raw.once("close", () => {
        if (!reply.raw.writableFinished) {
            controller.abort();
        }
    });
    return controller.signal;
}

/** Waits for `drain` or `close`. The response of a caller that disconnects never drains. */
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
