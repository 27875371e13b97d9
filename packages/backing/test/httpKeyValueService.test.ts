import * as net from "node:net";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as backing from "@boragedale/backing";
import * as standins from "@boragedale/standins";

const suite = uvu.suite("key-value service over HTTP");

interface Fixture extends AsyncDisposable {
    readonly standin: standins.KeyValueStandin;
    readonly client: backing.HttpKeyValueService;
}

async function createFixture(options: Partial<backing.HttpKeyValueOptions> = {}): Promise<Fixture> {
    const standin = await standins.createKeyValueStandin();
    const client = new backing.HttpKeyValueService({ url: standin.url, watchRetryMilliseconds: 1, ...options });
    return {
        standin,
        client,
        [Symbol.asyncDispose]: async () => {
            await client[Symbol.asyncDispose]();
            await standin[Symbol.asyncDispose]();
        },
    };
}

function createSwap(key: string, expectedRevision: number, value: string | undefined): backing.SwapRequest {
    const bytes = value === undefined ? undefined : Buffer.from(value);
    return { key, expectedRevision, value: bytes, purpose: backing.CallPurpose.Note };
}

function getFailureKind(result: backing.KeyValueResult<unknown>): backing.KeyValueFailureKind | undefined {
    return result.ok ? undefined : result.failure.kind;
}

async function checkWritten(client: backing.KeyValueService, key: string, text: string): Promise<void> {
    const read = await client.get(key, backing.CallPurpose.Read);
    assert.ok(read.ok);
    assert.is(Buffer.from(read.value?.value ?? "").toString(), text);
}

suite("of two writers with the same expected revision, one fails and gets the other's entry", async () => {
    await using fixture = await createFixture();
    const { client } = fixture;
    const first = await client.compareAndSwap(createSwap("note", 0, "a"));
    const second = await client.compareAndSwap(createSwap("note", 0, "b"));
    assert.ok(first.ok && first.value.swapped);
    assert.ok(second.ok && !second.value.swapped);
    assert.is(second.value.current?.revision, first.value.revision);
    await checkWritten(client, "note", "a");
});

suite("a deleted key is absent and can be created again", async () => {
    await using fixture = await createFixture();
    const { client } = fixture;
    const made = await client.compareAndSwap(createSwap("key", 0, "a"));
    assert.ok(made.ok && made.value.swapped);
    await client.compareAndSwap(createSwap("key", made.value.revision, undefined));
    const read = await client.get("key");
    assert.ok(read.ok && read.value === undefined);
    const again = await client.compareAndSwap(createSwap("key", 0, "b"));
    assert.ok(again.ok && again.value.swapped);
});

suite("a prefix is listed in pages", async () => {
    await using fixture = await createFixture();
    const { client } = fixture;
    for (const key of ["a/1", "a/2", "a/3", "b/1"]) {
        await client.compareAndSwap(createSwap(key, 0, key));
    }
    const request = { prefix: "a/", limit: 2, purpose: backing.CallPurpose.Read };
    const first = await client.list(request);
    const second = await client.list({ ...request, after: "a/2" });
    assert.ok(first.ok && second.ok);
    assert.equal(
        [...first.value, ...second.value].map(entry => entry.key),
        ["a/1", "a/2", "a/3"],
    );
    const everything = await client.list({ ...request, prefix: "", limit: 10 });
    assert.is(everything.ok && everything.value.length, 4);
});

// A writer's connection breaks after its write took effect. The result must be ReplyLost, not Unavailable: a writer that
// believed that nothing was written would write again, and its own booking would be refused as another writer's.
suite("a write whose reply is lost is not reported as not written", async () => {
    await using fixture = await createFixture();
    const { client, standin } = fixture;
    standin.faults.lostReplies = 1;
    const lost = await client.compareAndSwap(createSwap("key", 0, "a"));
    assert.is(getFailureKind(lost), backing.KeyValueFailureKind.ReplyLost);
    await checkWritten(client, "key", "a");
});

// The service accepts the connection and never answers. After the timeout a write fails as ReplyLost, since the request
// was sent. A read fails as Unavailable, since it can safely be repeated.
suite("a call to a service that never answers ends with the timeout", async () => {
    await using fixture = await createFixture({ timeoutMilliseconds: 50 });
    const { client, standin } = fixture;
    standin.faults.isSilent = true;
    const write = await client.compareAndSwap(createSwap("key", 0, "a"));
    assert.is(getFailureKind(write), backing.KeyValueFailureKind.ReplyLost);
    assert.is(getFailureKind(await client.get("key")), backing.KeyValueFailureKind.Unavailable);
    standin.faults.isSilent = false;
    assert.ok((await client.get("key")).ok);
});

// The service refuses connections or reports that it has no leader. The write fails as Unavailable: no byte of it was
// sent, or it was refused before it was proposed. So the caller may be told that its request did not run.
suite("a write to a service that is down is reported as not written", async () => {
    await using fixture = await createFixture();
    const { client, standin } = fixture;
    standin.faults.isDown = true;
    const refused = await client.compareAndSwap(createSwap("key", 0, "a"));
    assert.is(getFailureKind(refused), backing.KeyValueFailureKind.Unavailable);
    const closedPort = await getClosedPort();
    await using unreachable = new backing.HttpKeyValueService({ url: `http://127.0.0.1:${closedPort}` });
    const unsent = await unreachable.compareAndSwap(createSwap("key", 0, "a"));
    assert.is(getFailureKind(unsent), backing.KeyValueFailureKind.Unavailable);
});

suite("a write over the service's rate is throttled, with a retry time", async () => {
    await using fixture = await createFixture();
    const { client, standin } = fixture;
    standin.faults.writesPerSecond = 1;
    const results = [];
    for (let index = 0; index < 3; index++) {
        results.push(await client.compareAndSwap(createSwap(`key${index}`, 0, "a")));
    }
    const throttled = results.find(result => !result.ok);
    assert.is(throttled && getFailureKind(throttled), backing.KeyValueFailureKind.Throttled);
    assert.ok(throttled?.ok === false && (throttled.failure.retryAfterMilliseconds ?? 0) > 0);
});

suite("an entry is deleted when its lease ends", async () => {
    await using fixture = await createFixture();
    const { client } = fixture;
    const lease = await client.grantLease(10_000);
    assert.ok(lease.ok);
    await client.compareAndSwap({ ...createSwap("slot", 0, "x"), lease: lease.value });
    assert.equal(await client.keepLeaseAlive(lease.value), { ok: true, value: true });
    await client.revokeLease(lease.value);
    assert.equal(await client.keepLeaseAlive(lease.value), { ok: true, value: false });
    const read = await client.get("slot");
    assert.ok(read.ok && read.value === undefined);
    const late = await client.compareAndSwap({ ...createSwap("slot", 0, "x"), lease: lease.value });
    assert.is(getFailureKind(late), backing.KeyValueFailureKind.Unavailable);
});

// A watch's connection breaks, and changes are made before it is reopened. The reader must get these changes, once and in
// order: the new connection starts after the last revision that was received.
suite("a watch whose connection broke continues after the last received revision", async () => {
    await using fixture = await createFixture();
    const { client, standin } = fixture;
    await using watch = openWatch(client, 0);
    await client.compareAndSwap(createSwap("a", 0, "1"));
    assert.equal(await watch.next(), "Changed a");
    standin.breakWatches();
    await client.compareAndSwap(createSwap("b", 0, "1"));
    await client.compareAndSwap(createSwap("b", 2, undefined));
    assert.equal([await watch.next(), await watch.next()], ["Changed b", "Removed b"]);
});

// The watch's connection stops delivering data without an error, while new connections work. The service sends progress
// notifications, so a connection without any data is replaced by a new one, and the reader gets the next change.
suite("a watch whose connection receives no data continues on a new connection", async () => {
    await using fixture = await createFixture({ watchSilenceMilliseconds: 1_500 });
    const { client, standin } = fixture;
    await using watch = openWatch(client, 0);
    await client.compareAndSwap(createSwap("a", 0, "1"));
    assert.equal(await watch.next(), "Changed a");
    standin.silenceConnections();
    const writer = new backing.HttpKeyValueService({ url: standin.url });
    await writer.compareAndSwap(createSwap("b", 0, "1"));
    await writer[Symbol.asyncDispose]();
    assert.equal(await watch.next(), "Changed b");
});

// The service discards old changes while the reader is disconnected. The reader must get a gap event, so that it lists
// the prefix again. Otherwise a removed entry would stay in its memory forever.
suite("a watch that starts before the compacted revision begins with a gap", async () => {
    await using fixture = await createFixture();
    const { client, standin } = fixture;
    await client.compareAndSwap(createSwap("a", 0, "1"));
    standin.service.compact();
    await client.compareAndSwap(createSwap("b", 0, "1"));
    await using watch = openWatch(client, 0);
    assert.is(await watch.next(), "Gap 2");
    await client.compareAndSwap(createSwap("c", 0, "1"));
    assert.is(await watch.next(), "Changed c");
});

interface OpenWatch extends AsyncDisposable {
    readonly next: () => Promise<string>;
}

function openWatch(client: backing.KeyValueService, afterRevision: number): OpenWatch {
    const controller = new AbortController();
    const events = client.watch({ prefix: "", afterRevision, signal: controller.signal })[Symbol.asyncIterator]();
    return {
        next: async () => {
            const event = await Promise.race([events.next(), waitLongerThanAnyEvent()]);
            return event === undefined ? "nothing" : formatEvent(event.value as backing.WatchEvent);
        },
        [Symbol.asyncDispose]: async () => {
            controller.abort();
            await events.return?.();
        },
    };
}

/** Makes a test fail instead of hanging. No test depends on how long an event takes within this time. */
async function waitLongerThanAnyEvent(): Promise<undefined> {
    await new Promise(resolve => setTimeout(resolve, 10_000).unref());
}

function formatEvent(event: backing.WatchEvent): string {
    switch (event.kind) {
        case backing.WatchEventKind.Changed:
            return `${event.kind} ${event.entry.key}`;
        case backing.WatchEventKind.Removed:
            return `${event.kind} ${event.key}`;
        case backing.WatchEventKind.Gap:
            return `${event.kind} ${event.revision}`;
    }
}

async function getClosedPort(): Promise<number> {
    const server = net.createServer();
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address() as net.AddressInfo;
    await new Promise(resolve => server.close(resolve));
    return port;
}

suite.run();
