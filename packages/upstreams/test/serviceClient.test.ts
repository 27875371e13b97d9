import * as assert from "node:assert/strict";
import * as uvu from "uvu";
import * as core from "@boragedale/core";
import * as upstreams from "@boragedale/upstreams";
import * as fixtures from "./fixtures.js";

const suite = uvu.suite("HttpServiceClient");

suite("forwards a call with its key and returns the complete answer", async () => {
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

suite("reports a call as not sent only if no byte can have been sent", async () => {
    // A server reads a booking and then fails. The call must not be reported as not sent, since the booking may have
    // been made.
    await using closed = fixtures.createServiceClient(await fixtures.getClosedUrl());
    const refused = await closed.call(fixtures.createServiceRequest(), fixtures.neverAborted);
    assert.ok(!refused.ok && refused.kind === upstreams.ServiceFailureKind.NotSent);

    await using server = await fixtures.startServer(({ request }) => request.socket.destroy());
    await using client = fixtures.createServiceClient(server.url);
    const died = await client.call(fixtures.createServiceRequest(), fixtures.neverAborted);
    assert.ok(!died.ok && died.kind === upstreams.ServiceFailureKind.MayHaveRun);
});

suite("doesn't send a call that can't be repeated on a connection that was idle for too long", async () => {
    // An idle connection may fail silently. A call on it would be lost, and it would be unknown whether the call ran.
    // Within the time limit the connection is reused; afterwards a new one is opened.
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

// Guards against half of an answer that a caller takes as complete because its connection was reset right after the data.
suite("doesn't take an answer without a length for complete if its connection is reset", async () => {
    await using server = await fixtures.startServer(({ request }) => {
        request.socket.write("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf");
        request.socket.resetAndDestroy();
    });
    await using client = fixtures.createServiceClient(server.url);
    for (const needsProvedConnection of [false, true]) {
        const request = { ...fixtures.createServiceRequest(), needsProvedConnection };
        const outcome = await client.call(request, fixtures.neverAborted);
        assert.ok(!outcome.ok && outcome.kind === upstreams.ServiceFailureKind.MayHaveRun);
    }
});

suite("returns the outcome of a call by its key", async () => {
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
