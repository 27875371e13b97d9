import * as assert from "node:assert/strict";
import * as uvu from "uvu";
import * as core from "@boragedale/core";
import * as upstreams from "@boragedale/upstreams";
import * as fixtures from "./fixtures.js";

const suite = uvu.suite("HttpServiceClient");

suite("passes a call on with its key and returns the whole answer", async () => {
    let key: string | undefined;
    await using server = await fixtures.startServer(({ request, response }) => {
        key = request.headers["idempotency-key"] as string;
        response.writeHead(201, { "content-type": "text/plain", "x-booking": "7" });
        response.end("booked");
    });
    await using client = fixtures.createServiceClient(server.url);
    const outcome = await client.call(fixtures.createServiceRequest(), fixtures.neverAborted);
    assert.ok(outcome.ok);
    assert.equal(key, "key-1");
    assert.equal(outcome.response.status, 201);
    assert.equal(outcome.response.headers["x-booking"], "7");
    assert.equal(outcome.response.headers["transfer-encoding"], undefined);
    assert.equal(Buffer.from(outcome.response.body).toString(), "booked");
});

suite("says not sent only where no byte can have left", async () => {
    // A family whose booking was read by a server that then died must not be told "not run": it may be booked.
    await using closed = fixtures.createServiceClient(await fixtures.getClosedUrl());
    const refused = await closed.call(fixtures.createServiceRequest(), fixtures.neverAborted);
    assert.ok(!refused.ok && refused.kind === upstreams.ServiceFailureKind.NotSent);

    await using server = await fixtures.startServer(({ request }) => request.socket.destroy());
    await using client = fixtures.createServiceClient(server.url);
    const died = await client.call(fixtures.createServiceRequest(), fixtures.neverAborted);
    assert.ok(!died.ok && died.kind === upstreams.ServiceFailureKind.MayHaveRun);
});

suite("doesn't put a call that can't be sent twice on a connection that lay idle", async () => {
    // The connection of the first call goes silent while idle. A second call put on it would be lost, with nobody
    // knowing whether it ran. Within the window the connection is used again; after it a new one is opened.
    const clock = new core.VirtualClock();
    await using server = await fixtures.startServer(({ response }) => response.end("booked"));
    await using client = fixtures.createServiceClient(server.url, clock, { idleMilliseconds: 2_000 });
    await client.call(fixtures.createServiceRequest(), fixtures.neverAborted);
    await client.call(fixtures.createServiceRequest(), fixtures.neverAborted);
    assert.equal(server.getConnectionCount(), 1);
    await clock.advance(2_001);
    await client.call(fixtures.createServiceRequest(), fixtures.neverAborted);
    assert.equal(server.getConnectionCount(), 2);
});

suite("asks what became of a key", async () => {
    await using server = await fixtures.startServer(({ request, response }) => {
        if (request.url === "/outcomes/ran") {
            response.end(JSON.stringify({ status: 201, headers: { a: "b" }, body: btoa("booked") }));
            return;
        }
        response.writeHead(request.url === "/outcomes/absent" ? 404 : 500);
        response.end();
    });
    await using client = fixtures.createServiceClient(server.url);
    const ran = await client.ask("/outcomes/ran");
    assert.ok(ran.kind === upstreams.AskOutcomeKind.Ran);
    assert.equal(Buffer.from(ran.response.body).toString(), "booked");
    assert.equal((await client.ask("/outcomes/absent")).kind, upstreams.AskOutcomeKind.DidNotRun);
    assert.equal((await client.ask("/outcomes/other")).kind, upstreams.AskOutcomeKind.NoAnswer);
});

suite.run();
