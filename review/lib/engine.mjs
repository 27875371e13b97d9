import http from "node:http";

/**
 * A small stand-in of a model server: streams events with ids, resumes after `Last-Event-Id`, works on `slots` requests at once
 * and rejects the others as not run, stops when the channel closes, and answers 421 for another server.
 */
export class Engine {
    constructor(record, { id, service, slots, events, eventMilliseconds }) {
        Object.assign(this, { record, id, service, slots, events, eventMilliseconds });
        this.running = 0;
        this.runs = [];
        this.server = http.createServer((request, response) => void this.serve(request, response));
        this.server.keepAliveTimeout = 20_000;
    }

    async listen(store) {
        await new Promise(resolve => this.server.listen(0, "127.0.0.1", resolve));
        this.address = `127.0.0.1:${this.server.address().port}`;
        store.put(`servers/${this.id}`, {
            Service: this.service,
            Addr: this.address,
            Zone: "zone-a",
            Version: "v1",
            Slots: this.slots,
            State: "ready",
            ColdLeftMs: 0,
            Seq: 1,
            born: Date.now(),
        });
    }

    close() {
        this.server.close();
        this.server.closeAllConnections();
    }

    async serve(request, response) {
        for await (const chunk of request) {
            void chunk;
        }
        const id = request.headers["boragedale-attempt-id"] ?? "";
        const echo = { "Boragedale-Attempt-Id": id };
        const target = request.headers["boragedale-target-instance"];
        if (target !== undefined && target !== this.id) {
            response.writeHead(421, { ...echo, "Boragedale-Not-Run": "1", "Content-Length": 0 }).end();
            return;
        }
        if (this.running >= this.slots) {
            this.record(`${this.id}: rejects ${id} as full`);
            response.writeHead(503, { ...echo, "Boragedale-Not-Run": "1", "Content-Length": 0 }).end();
            return;
        }
        this.running++;
        const after = Number(request.headers["last-event-id"] ?? 0);
        this.runs.push({ id, at: Date.now() });
        this.record(`${this.id}: begins ${id} after event ${after}`);
        response.writeHead(200, {
            ...echo,
            "Boragedale-Response-Stamp": `${this.id}.${id}`,
            "Content-Type": "text/event-stream",
        });
        for (let event = after + 1; event <= this.events && !response.destroyed; event++) {
            await new Promise(resolve => setTimeout(resolve, this.eventMilliseconds));
            response.write(`id: ${event}\ndata: ${id} token ${event}\n\n`);
        }
        this.running--;
        this.record(`${this.id}: ${response.destroyed ? "the sender ended" : "completes"} ${id}`);
        response.end();
    }
}

/** The text of an item or stream that an engine has run whole. */
export function getWholeText(id, events) {
    return Array.from({ length: events }, (_, index) => `${id} token ${index + 1}`).join("\n");
}
