import * as gateway from "@boragedale/gateway";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as scenes from "./callerServerScenes.js";

const suite = uvu.suite("callerRefusals");

/** The scenes' limit on a body. */
const BodyLimit = 1_000_000;
/** More than the operating system buffers for a connection, so that the caller still sends when it is refused. */
const ExcessBytes = 14_680_064;
const ChunkBytes = 65_536;

function countAnswers(received: string): number {
    return received.split("HTTP/1.1 ").length - 1;
}

function getBody(received: string): string {
    return received.slice(received.indexOf("\r\n\r\n") + 4);
}

function getDefects({ log }: scenes.ServerScene): unknown[] {
    return log.events.filter(({ event }) => event === gateway.GatewayEvent.Defect).map(({ fields }) => fields["text"]);
}

async function startServer(): Promise<scenes.ServerScene> {
    return scenes.startServer((request, response) => scenes.answerWith(response, `answer to ${request.body.length}`));
}

/** Sends a chunked body of this length without reading the answer meanwhile. */
async function sendChunks(caller: scenes.RawCaller, bytes: number): Promise<void> {
    caller.socket.pause();
    caller.socket.write("POST /a/x HTTP/1.1\r\nHost: host\r\nTransfer-Encoding: chunked\r\n\r\n");
    const chunk = `${ChunkBytes.toString(16)}\r\n${"x".repeat(ChunkBytes)}\r\n`;
    for (let sent = 0; sent < bytes; sent += ChunkBytes) {
        await new Promise<void>(resolve => caller.socket.write(chunk, () => resolve()));
    }
    await new Promise<void>(resolve => caller.socket.write("0\r\n\r\n", () => resolve()));
    caller.socket.resume();
}

// Guards against a request that is routed by one host and read by others under another one (RFC 9112, 3.2).
suite("a request with several hosts is refused as invalid, and the next one is answered", async () => {
    await using scene = await startServer();
    const caller = await scene.connect();
    caller.socket.write("GET /a/x HTTP/1.1\r\nHost: host\r\nHost: other\r\n\r\n");
    caller.socket.write("GET /a/x HTTP/1.1\r\nHost: host\r\n\r\n");
    await caller.receiveText("answer to 0");
    assert.match(caller.getReceived(), new RegExp(gateway.RefusalReason.RequestInvalid));
    assert.is(countAnswers(caller.getReceived()), 2);
    assert.is(scene.forwarded.length, 1);
});

// Guards against a caller that asks for a tunnel and whose connection ends without an answer.
suite("a request for a tunnel is answered as not implemented", async () => {
    await using scene = await startServer();
    const caller = await scene.connect();
    caller.socket.write("CONNECT host:443 HTTP/1.1\r\nHost: host:443\r\n\r\n");
    await caller.waitUntilClosed();
    assert.match(caller.getReceived(), /^HTTP\/1\.1 501 /);
    assert.is(scene.forwarded.length, 0);
});

// Guards against a caller behind a proxy whose requests name the host in their target, and get a 404 (RFC 9112, 3.2.2).
suite("a request whose target names the host is routed by it and forwarded without it", async () => {
    await using scene = await startServer();
    const caller = await scene.connect();
    caller.socket.write("GET http://host/a/x?y=1 HTTP/1.1\r\nhost: other\r\nX-Other: z\r\n\r\n");
    await caller.receiveText("answer to 0");
    const raw = scene.forwarded[0]?.raw;
    assert.equal([raw?.target, raw?.host], ["/a/x?y=1", "host"]);
    assert.equal(raw?.rawHeaders, ["host", "host", "X-Other", "z"]);
});

// Guards against an answer to a request for a tunnel that overtakes the answer to the request before it.
suite("a request for a tunnel is answered after the request before it", async () => {
    await using scene = await startServer();
    const caller = await scene.connect();
    caller.socket.write("GET /a/x HTTP/1.1\r\nHost: host\r\n\r\nCONNECT host:443 HTTP/1.1\r\nHost: host:443\r\n\r\n");
    await caller.waitUntilClosed();
    assert.match(caller.getReceived(), /^HTTP\/1\.1 200 [^]*answer to 0[^]*HTTP\/1\.1 501 /);
});

// Guards against a connection that is reset, with the refusal on it, while the caller still sends its body.
suite("a caller that sends a body over the limit in chunks receives the refusal", async () => {
    await using scene = await startServer();
    const caller = await scene.connect();
    await sendChunks(caller, BodyLimit + ExcessBytes);
    await caller.waitUntilClosed();
    assert.is(getBody(caller.getReceived()), gateway.RefusalReason.BodyTooLarge);
    assert.is(caller.error, undefined);
});

suite("a caller that announces a body over the limit receives the refusal", async () => {
    await using scene = await startServer();
    const caller = await scene.connect();
    caller.socket.pause();
    caller.send("/a/x", [`Content-Length: ${ExcessBytes}`]);
    await new Promise<void>(resolve => caller.socket.write("x".repeat(ExcessBytes), () => resolve()));
    caller.socket.resume();
    await caller.waitUntilClosed();
    assert.is(getBody(caller.getReceived()), gateway.RefusalReason.BodyTooLarge);
    assert.is(caller.error, undefined);
});

suite("a caller that announces a body over the limit receives the refusal before it sends the body", async () => {
    await using scene = await startServer();
    const caller = await scene.connect();
    caller.send("/a/x", [`Content-Length: ${ExcessBytes}`]);
    const received = await caller.receiveText(gateway.RefusalReason.BodyTooLarge);
    assert.match(received, "Connection: close");
});

// Guards against the same reset when the bodies that are being read fill the buffers.
suite("a caller whose body does not fit the buffers receives the refusal", async () => {
    await using scene = await startServer();
    scene.configure({ bodyBytes: 1_000_000_000 });
    const caller = await scene.connect();
    await sendChunks(caller, 67_108_864 + ExcessBytes);
    await caller.waitUntilClosed();
    assert.is(getBody(caller.getReceived()), gateway.RefusalReason.Overloaded);
    assert.is(caller.error, undefined);
});

for (const { framing, headers, body } of [
    { framing: "a length", headers: ["Content-Length: 4"], body: "body" },
    { framing: "chunks", headers: ["Transfer-Encoding: chunked"], body: "4\r\nbody\r\n0\r\n\r\n" },
]) {
    // Guards against a refusal that closes the caller's kept connection: a request's body has never arrived when its headers are read.
    suite(`a refusal of a request with ${framing} keeps the connection`, async () => {
        await using scene = await startServer();
        const caller = await scene.connect();
        caller.send("/none/x", headers, body);
        caller.send("/a/x", headers, body);
        const received = await caller.receiveText("answer to 4");
        assert.is(countAnswers(received), 2);
        assert.not.match(received, "Connection: close");
        assert.is(caller.isClosed, false);
    });

    suite(`a request with ${framing} is refused before its body has arrived`, async () => {
        await using scene = await startServer();
        const caller = await scene.connect();
        caller.send("/none/x", headers);
        await caller.receiveText(gateway.RefusalReason.NoRoute);
        caller.socket.write(body);
        caller.send("/a/x", headers, body);
        await caller.receiveText("answer to 4");
        assert.is(countAnswers(caller.getReceived()), 2);
    });
}

suite("a refusal of a request without a body keeps the connection", async () => {
    await using scene = await startServer();
    const caller = await scene.connect();
    caller.send("/none/x", [], "", "GET");
    caller.send("/a/x", [], "", "GET");
    await caller.receiveText("answer to 0");
    assert.is(countAnswers(caller.getReceived()), 2);
});

// Guards against callers that keep a connection by never sending the rest of their body.
suite("a connection whose refused body does not arrive in time is closed", async () => {
    await using scene = await startServer();
    const caller = await scene.connect();
    caller.send("/none/x", ["Content-Length: 4"]);
    await caller.receiveText(gateway.RefusalReason.NoRoute);
    await scene.clock.advance(3_000);
    await caller.waitUntilClosed();
    assert.is(caller.error, undefined);
    await scenes.waitUntil(() => scene.server.getInProgressCount() === 0);
});

// Guards against a caller that gets no answer because of a defect of the gateway. The request may have run before it failed.
suite("a request that fails by a defect is answered as a failed upstream", async () => {
    await using scene = await scenes.startServer(() => {
        throw new Error("a defect");
    });
    const caller = await scene.connect();
    caller.send("/a/x", ["Content-Length: 4"], "body");
    assert.match(await caller.receiveText(gateway.RefusalReason.UpstreamFailed), "UpstreamFailed");
    caller.clear();
    caller.send("/none/x", ["Content-Length: 4"], "body");
    assert.match(await caller.receiveText(gateway.RefusalReason.NoRoute), "NoRoute");
    assert.equal(getDefects(scene), ["Error: a defect"]);
});

// Guards against a part of an answer that looks complete.
suite("an answer that is cut off by a defect is not complete", async () => {
    await using scene = await scenes.startServer((request, response) => {
        response.writeHead(200, { "Content-Length": 100 });
        response.write("part");
        throw new Error("a defect");
    });
    const caller = await scene.connect();
    caller.send("/a/x", ["Content-Length: 0"]);
    await caller.waitUntilClosed();
    assert.ok(countAnswers(caller.getReceived()) <= 1 && getBody(caller.getReceived()).length < 100);
});

suite("an answer that is ended before a defect is sent completely", async () => {
    const body = "x".repeat(10_000_000);
    await using scene = await scenes.startServer((request, response) => {
        scenes.answerWith(response, body);
        throw new Error("a defect");
    });
    const caller = await scene.connect();
    caller.send("/a/x", ["Content-Length: 0"]);
    await caller.receive(() => caller.receivedBytes > body.length);
    assert.ok(caller.receivedBytes > body.length);
});

// Guards against a caller that waits for ever because a path of the gateway ends without an answer.
suite("a request that ends without an answer is answered as a failed upstream", async () => {
    await using scene = await scenes.startServer(() => undefined);
    const caller = await scene.connect();
    caller.send("/a/x", ["Content-Length: 0"]);
    assert.match(await caller.receiveText(gateway.RefusalReason.UpstreamFailed), "UpstreamFailed");
    assert.equal(getDefects(scene), ["Error: assertion failed: a request ended without an answer"]);
});

suite.run();
