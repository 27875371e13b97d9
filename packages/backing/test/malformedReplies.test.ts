import * as http from "node:http";
import type * as net from "node:net";
import * as fc from "fast-check";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as core from "@boragedale/core";
import * as backing from "@boragedale/backing";

const suite = uvu.suite("malformed replies");

interface Answer {
    status: number;
    body: string;
}

interface Fixture extends AsyncDisposable {
    readonly url: string;
    /** What the server answers from now on. */
    readonly answer: Answer;
}

async function createFixture(): Promise<Fixture> {
    const answer: Answer = { status: 200, body: "" };
    const server = http.createServer((...[, response]) => response.writeHead(answer.status).end(answer.body));
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return {
        url: `http://127.0.0.1:${(server.address() as net.AddressInfo).port}`,
        answer,
        [Symbol.asyncDispose]: async () => {
            server.closeAllConnections();
            await new Promise(resolve => server.close(resolve));
        },
    };
}

const swap: backing.SwapRequest = {
    key: "key",
    expectedRevision: 0,
    value: Buffer.from("a"),
    purpose: backing.CallPurpose.Ledger,
};

function getKind(result: backing.KeyValueResult<unknown>): string {
    return result.ok ? "ok" : result.failure.kind;
}

// Something between us and the service answers in its place, with any JSON or none. No call throws, and none takes it
// for an answer: an empty object read as "absent" would let a booking run again that the ledger holds as started.
suite("what is no answer of the service is taken for none", async () => {
    await using fixture = await createFixture();
    await using client = new backing.HttpKeyValueService({ url: fixture.url });
    const members = ["kvs", "header", "succeeded", "responses", "ID", "result", "TTL"];
    const shape = fc.dictionary(fc.constantFrom(...members), fc.jsonValue(), { maxKeys: 4 });
    const body = fc.oneof(
        fc.string(),
        fc.json(),
        fc.constant("{}"),
        shape.map(value => JSON.stringify(value)),
    );
    const property = fc.asyncProperty(body, async text => {
        fixture.answer.body = text;
        const hasHeader = /"header":\{/.test(text);
        const written = await client.compareAndSwap(swap);
        const read = await client.get("key");
        const granted = await client.grantLease(1_000);
        const kept = await client.keepLeaseAlive("1");
        if (!hasHeader) {
            assert.is(getKind(written), backing.KeyValueFailureKind.ReplyLost);
            assert.is(getKind(read), backing.KeyValueFailureKind.Unavailable);
            assert.is(getKind(granted), backing.KeyValueFailureKind.ReplyLost);
            assert.is(getKind(kept), backing.KeyValueFailureKind.Unavailable);
        }
    });
    await fc.assert(property, { seed: 20_261, numRuns: 200 });
});

// A balancer gives up on a write that it has passed on, or the service on one that it has proposed. The writer is told
// ReplyLost: the write may take effect later, so "not run" would be a guess. A refusal as it stands is Unavailable.
suite("a status tells whether the write can have taken effect", async () => {
    await using fixture = await createFixture();
    await using client = new backing.HttpKeyValueService({ url: fixture.url });
    const { Unavailable, ReplyLost, Throttled } = backing.KeyValueFailureKind;
    const cases: readonly (readonly [number, string, backing.KeyValueFailureKind])[] = [
        [400, "etcdserver: request is too large", Unavailable],
        [404, "etcdserver: requested lease not found", Unavailable],
        [408, "", ReplyLost],
        [429, "", Throttled],
        [502, "", ReplyLost],
        [503, "etcdserver: request timed out", ReplyLost],
        [503, "etcdserver: no leader", Unavailable],
        [200, "", ReplyLost],
    ];
    for (const [status, body, kind] of cases) {
        Object.assign(fixture.answer, { status, body });
        assert.is(getKind(await client.compareAndSwap(swap)), kind, `${status} ${body}`);
    }
});

suite("a value of the largest size comes through", async () => {
    await using fixture = await createFixture();
    await using client = new backing.HttpKeyValueService({ url: fixture.url });
    const value = Buffer.alloc(backing.MaximumValueBytes, 7);
    const kvs = [{ key: "a2V5", value: value.toString("base64"), mod_revision: "5" }];
    fixture.answer.body = JSON.stringify({ header: {}, kvs });
    const read = await client.get("key");
    assert.ok(read.ok && read.value !== undefined);
    assert.is(Buffer.compare(read.value.value, value), 0);
});

suite("a line of the instance list that can't be read hides no other", async () => {
    await using fixture = await createFixture();
    await using list = new backing.HttpInstanceList({ url: fixture.url });
    const urls = { callerUrl: "http://c", peerUrl: "ws://p", operatorUrl: "http://o" };
    const instance = { id: "a", dataCentre: "d", state: core.LifecycleState.Live, ...urls };
    fixture.answer.body = JSON.stringify({ instances: [{ id: 7 }, "b", { ...instance, state: "Odd" }, instance] });
    assert.equal(await list.tryRead(), [instance]);
    for (const body of ["", "[]", "{}", '{"instances":{}}']) {
        fixture.answer.body = body;
        assert.is(await list.tryRead(), undefined);
    }
});

suite.run();
