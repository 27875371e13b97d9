import http from "node:http";

/**
 * A small stand-in of the platform's store: keys with revisions, leases, watches and conditional transactions, as PROTOCOL.md
 * describes them. `onWrite` may lose the answer of a write call; it returns how the call is treated:
 * undefined (done and answered) or { lateMilliseconds } (done later if its condition still holds then, and not answered).
 */
export class Store {
    constructor(record) {
        this.record = record;
        this.items = new Map();
        this.history = [];
        this.revision = 100;
        this.leases = new Map();
        this.nextLease = 1;
        this.waiters = new Set();
        this.onWrite = () => undefined;
        /** Called with the path and query of each call of a machine. */
        this.onCall = () => undefined;
        this.doors = [];
    }

    /** Opens an address of the store. With one for each machine, the store can turn away single machines. */
    async open() {
        const door = { isTurnedAway: false };
        door.server = http.createServer((request, response) => void this.serve(door, request, response));
        await new Promise(resolve => door.server.listen(0, "127.0.0.1", resolve));
        door.address = `127.0.0.1:${door.server.address().port}`;
        this.doors.push(door);
        return door;
    }

    /** Rejects all calls at this address with 503 from now on, and cuts the watches that wait there. */
    turnAway(door) {
        door.isTurnedAway = true;
        door.server.closeAllConnections();
    }

    close() {
        for (const { server } of this.doors) {
            server.close();
            server.closeAllConnections();
        }
        this.leases.forEach(lease => clearTimeout(lease.timer));
    }

    put(key, value) {
        this.commit([{ Key: key, Value: Buffer.from(JSON.stringify(value)).toString("base64"), Lease: 0 }], []);
    }

    has(key) {
        return this.items.has(key);
    }

    keys(prefix) {
        return [...this.items.keys()].filter(key => key.startsWith(prefix));
    }

    commit(puts, deletes) {
        this.revision++;
        for (const { Key, Value, Lease } of puts) {
            const known = this.items.get(Key);
            const Created = known?.Created ?? this.revision;
            const item = { Key, Value, Rev: this.revision, Created, Lease: Lease ?? 0 };
            this.items.set(Key, item);
            this.history.push(item);
        }
        for (const Key of deletes) {
            if (this.items.delete(Key)) {
                this.history.push({ Key, Rev: this.revision, Tombstone: true });
            }
        }
        [...this.waiters].forEach(waiter => waiter());
    }

    transact({ Expect = [], Puts = [], Delete = [] }) {
        const fails = Expect.some(({ Key, Rev }) => (this.items.get(Key)?.Rev ?? 0) !== Rev);
        if (fails) {
            const items = Expect.flatMap(({ Key }) => this.items.get(Key) ?? []);
            return { status: 412, body: { Items: items, StoreRevision: this.revision } };
        }
        if (Puts.some(({ Lease }) => Lease !== 0 && Lease !== undefined && !this.leases.has(Number(Lease)))) {
            return { status: 404, body: {} };
        }
        this.commit(
            Puts.map(put => ({ ...put, Lease: Number(put.Lease ?? 0) })),
            Delete,
        );
        return { status: 200, body: { Rev: this.revision } };
    }

    startLease(id, milliseconds) {
        clearTimeout(this.leases.get(id)?.timer);
        this.leases.set(id, { milliseconds, timer: setTimeout(() => this.endLease(id), milliseconds) });
    }

    endLease(id) {
        if (!this.leases.delete(id)) {
            return false;
        }
        const keys = [...this.items.values()].filter(item => item.Lease === id).map(item => item.Key);
        if (keys.length > 0) {
            this.record(`store: lease ${id} ended, its keys are removed: ${keys.join(" ")}`);
            this.commit([], keys);
        }
        return true;
    }

    async serve(door, request, response) {
        const url = new URL(request.url, "http://store");
        const chunks = [];
        for await (const chunk of request) {
            chunks.push(chunk);
        }
        this.onCall(door, request.url);
        if (door.isTurnedAway) {
            send(response, 503, {});
            return;
        }
        const body = chunks.length === 0 ? {} : JSON.parse(Buffer.concat(chunks).toString());
        const path = url.pathname;
        switch (`${request.method} ${path}`) {
            case "GET /boragedale/kv-key": {
                const item = this.items.get(url.searchParams.get("Key"));
                send(response, item === undefined ? 404 : 200, { ...item, StoreRevision: this.revision });
                return;
            }
            case "GET /boragedale/kv-range": {
                const prefix = url.searchParams.get("Prefix") ?? "";
                const keys = this.keys(prefix).sort();
                const items = keys.map(key => this.items.get(key));
                send(response, 200, { Items: items, HasMore: false, StoreRevision: this.revision });
                return;
            }
            case "GET /boragedale/kv-watch":
                await this.watch(url, response);
                return;
            case "POST /boragedale/kv-txn": {
                const how = this.onWrite("txn", body);
                if (how !== undefined) {
                    setTimeout(() => {
                        const late = this.transact(body);
                        this.record(`store: the unanswered write is done late: ${late.status} ${describe(body)}`);
                    }, how.lateMilliseconds);
                    // A channel on which an answer is lost returns nothing further.
                    this.record(`store: loses the answer of a write: ${describe(body)}`);
                    return;
                }
                const outcome = this.transact(body);
                send(response, outcome.status, outcome.body);
                return;
            }
            case "POST /boragedale/kv-lease": {
                this.onWrite("lease", body);
                const id = this.nextLease++;
                this.startLease(id, body.TtlMs);
                send(response, 200, { Lease: id, TtlMs: body.TtlMs });
                return;
            }
        }
        const id = Number(path.slice(path.lastIndexOf("/") + 1));
        if (request.method === "POST" && path.startsWith("/boragedale/kv-keep/")) {
            const lease = this.leases.get(id);
            if (lease !== undefined) {
                this.startLease(id, lease.milliseconds);
            }
            send(response, lease === undefined ? 404 : 200, {});
            return;
        }
        if (request.method === "DELETE" && path.startsWith("/boragedale/kv-lease-end/")) {
            send(response, this.endLease(id) ? 200 : 404, {});
            return;
        }
        send(response, 404, {});
    }

    async watch(url, response) {
        const prefix = url.searchParams.get("Prefix") ?? "";
        const after = Number(url.searchParams.get("After"));
        const until = Date.now() + Number(url.searchParams.get("WaitMs"));
        for (;;) {
            const events = this.history.filter(event => event.Rev > after && event.Key.startsWith(prefix));
            if (events.length > 0 || Date.now() >= until || response.destroyed) {
                send(response, 200, { events, StoreRevision: this.revision });
                return;
            }
            await new Promise(resolve => {
                const wake = () => {
                    clearTimeout(timer);
                    this.waiters.delete(wake);
                    resolve();
                };
                const timer = setTimeout(wake, Math.max(0, until - Date.now()));
                this.waiters.add(wake);
            });
        }
    }
}

function describe({ Expect = [], Puts = [], Delete = [] }) {
    const expect = Expect.map(({ Key, Rev }) => `${Key}@${Rev}`).join(" ");
    const puts = Puts.map(({ Key, Lease }) => `${Key} (lease ${Lease})`).join(" ");
    return `expect [${expect}] put [${puts}] delete [${Delete.join(" ")}]`;
}

function send(response, status, body) {
    const text = JSON.stringify(body);
    response.writeHead(status, { "Content-Type": "application/json", "Content-Length": Buffer.byteLength(text) });
    response.end(text);
}
