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
    /** The server's answer to all requests from now on. */
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

// A proxy between us and the service answers in its place, with any JSON or other text. No call may throw or accept this
// as an answer: if an empty object were read as "absent", a booking that the ledger holds as started would run again.
suite("an answer that is not the service's is rejected", async () => {
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

// A load balancer times out on a write that it has forwarded, or the service on one that it has proposed. The result must
// be ReplyLost: the write may still take effect, so "not run" could be false. A write that was refused is Unavailable.
suite("the failure kind follows from whether the write can have taken effect", async () => {
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

suite("a value of the maximum size is read completely", async () => {
    await using fixture = await createFixture();
    await using client = new backing.HttpKeyValueService({ url: fixture.url });
    const value = Buffer.alloc(backing.MaximumValueBytes, 7);
    const kvs = [{ key: "a2V5", value: value.toString("base64"), mod_revision: "5" }];
    fixture.answer.body = JSON.stringify({ header: {}, kvs });
    const read = await client.get("key");
    assert.ok(read.ok && read.value !== undefined);
    assert.is(Buffer.compare(read.value.value, value), 0);
});

suite("an invalid line of the instance list doesn't hide the others", async () => {
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
