import http from "node:http";

/** The way of a request to the server and of its answer back, between two zones. */
const LinkMilliseconds = 3;
/** From a rejection at a peak until a slot is free. */
const FreedMilliseconds = 2;

/**
 * A small stand-in of a plain server, as PROTOCOL.md describes it: it works on `slots` requests at once and rejects the others with
 * 503 and `Boragedale-Not-Run`. It serves one request at a time on a channel. While `garbles` is set, it sends a second copy of an
 * answer late: at the point where the next answer on that channel is expected. It does so for at most `garbledShare` of its answers.
 */
export class AppServer {
    constructor(record, { id, service, slots, workMilliseconds, garbledShare }) {
        Object.assign(this, { record, id, service, slots, workMilliseconds, garbledShare });
        this.garbles = false;
        /** Answers given, and how many of them were spoiled, since it began to garble. */
        this.answers = 0;
        this.garbled = 0;
        this.running = 0;
        this.fullUntil = 0;
        /** Ids of the requests that this server began to work on, in order. */
        this.runs = [];
        this.owed = new Map();
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

    /** Its slots are held by other work, as at a peak, until shortly after it has rejected a request, and for this time at most. */
    holdSlots(milliseconds) {
        this.fullUntil = performance.now() + milliseconds;
    }

    startGarbling() {
        this.garbles = true;
        this.answers = 0;
        this.garbled = 0;
        this.record(`${this.id}: begins to garble`);
    }

    stopGarbling() {
        this.garbles = false;
        this.owed.clear();
        this.record(`${this.id}: stops to garble: ${this.garbled} of ${this.answers} answers`);
    }

    close() {
        this.server.close();
        this.server.closeAllConnections();
    }

    async serve(request, response) {
        for await (const chunk of request) {
            void chunk;
        }
        await new Promise(resolve => setTimeout(resolve, LinkMilliseconds));
        const { socket } = request;
        const id = request.headers["boragedale-attempt-id"] ?? "";
        const owed = this.owed.get(socket);
        if (owed !== undefined) {
            this.owed.delete(socket);
            this.record(`${this.id}: sends the 503 of ${owed.id} again, late, where the answer to ${id} is expected`);
            socket.write(owed.text);
        }
        const target = request.headers["boragedale-target-instance"];
        if (target !== undefined && target !== this.id) {
            this.answer(response, 421, id, { "Boragedale-Not-Run": "1" }, "");
            return;
        }
        if (this.running >= this.slots || performance.now() < this.fullUntil) {
            this.reject(socket, response, id);
            return;
        }
        this.running++;
        this.runs.push(id);
        this.record(`${this.id}: begins to run ${id}`);
        await new Promise(resolve => setTimeout(resolve, this.workMilliseconds));
        this.running--;
        this.answer(response, 200, id, { "Boragedale-Response-Stamp": `${this.id}.${id}` }, `done ${id}`);
    }

    reject(socket, response, id) {
        this.record(`${this.id}: rejects ${id} as full, not run`);
        this.fullUntil = Math.min(this.fullUntil, performance.now() + FreedMilliseconds);
        if (this.garbles && this.garbled + 1 <= this.garbledShare * this.answers) {
            this.garbled++;
            const lines = [
                "HTTP/1.1 503 Service Unavailable",
                `Boragedale-Attempt-Id: ${id}`,
                "Boragedale-Not-Run: 1",
                "Content-Length: 0",
            ];
            this.owed.set(socket, { id, text: lines.join("\r\n") + "\r\n\r\n" });
            socket.once("close", () => this.owed.delete(socket));
        }
        this.answer(response, 503, id, { "Boragedale-Not-Run": "1" }, "");
    }

    answer(response, status, id, headers, text) {
        this.answers++;
        response.writeHead(status, {
            "Boragedale-Attempt-Id": id,
            ...headers,
            "Content-Length": Buffer.byteLength(text),
        });
        response.end(text);
    }
}
