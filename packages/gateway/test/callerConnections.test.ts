import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as scenes from "./callerServerScenes.js";

const suite = uvu.suite("callerConnections");

/** More than the operating system buffers for a connection, so that part of it waits in the process. */
const LargeBody = Buffer.alloc(30_000_000, "x");

interface UnsentAnswer {
    readonly scene: scenes.ServerScene;
    /** Reads the rest and returns the length of the body received. */
    readonly readRest: () => Promise<number>;
    /** Closes the connection instead. */
    readonly leave: () => void;
}

/** Has a server end a large answer whose caller does not read. */
async function leaveUnsent(): Promise<UnsentAnswer> {
    const ended = scenes.createGate();
    const scene = await scenes.startServer((request, response) => {
        scenes.answerWith(response, LargeBody);
        ended.open();
    });
    const caller = await scene.connect();
    caller.socket.pause();
    caller.send("/a/large", ["Content-Length: 0"]);
    await ended.opened;
    const readRest = async (): Promise<number> => {
        caller.socket.resume();
        const head = await caller.receiveText("\r\n\r\n");
        const headBytes = head.indexOf("\r\n\r\n") + 4;
        await caller.receive(() => caller.receivedBytes >= headBytes + LargeBody.length);
        return caller.receivedBytes - headBytes;
    };
    return { scene, readRest, leave: () => caller.socket.destroy() };
}

/** Time of the first connection's idle timer; 0 if it has none. */
function getIdleTimeout(scene: scenes.ServerScene): number {
    return scene.sockets[0]?.timeout ?? 0;
}

// Guards against a caller that reads slowly and gets part of its answer because the gateway drains: Node takes a connection as
// idle when its response has been ended, although bytes of it still wait in the process.
suite("a connection whose answer is not sent completely is not closed as idle", async () => {
    const unsent = await leaveUnsent();
    await using scene = unsent.scene;
    scene.server.server.closeIdleConnections();
    assert.is(await unsent.readRest(), LargeBody.length);
});

// Guards against a process that exits, and cuts the answer off, because it takes the request as finished.
suite("a request is in progress until its answer is sent completely", async () => {
    const unsent = await leaveUnsent();
    await using scene = unsent.scene;
    await scenes.runEventLoop();
    assert.is(scene.server.getInProgressCount(), 1);
    await unsent.readRest();
    await scenes.waitUntil(() => scene.server.getInProgressCount() === 0);
});

suite("a request whose caller leaves before its answer is sent is no longer in progress", async () => {
    const unsent = await leaveUnsent();
    await using scene = unsent.scene;
    unsent.leave();
    await scenes.waitUntil(() => scene.server.getInProgressCount() === 0);
});

// Guards against requests that are forwarded until their deadline although their caller has left: a response that waits behind
// another one on its connection gets no event from Node.
suite("pipelined requests whose caller leaves end", async () => {
    const closed: string[] = [];
    await using scene = await scenes.startServer(async (request, response) => {
        await new Promise<void>(resolve => response.once("close", resolve));
        closed.push(request.raw.target);
    });
    const caller = await scene.connect();
    const targets = ["/a/1", "/a/2", "/a/3"];
    targets.forEach(target => caller.send(target, ["Content-Length: 0"]));
    await scenes.waitUntil(() => scene.forwarded.length === targets.length);
    assert.is(scene.server.getInProgressCount(), targets.length);
    caller.socket.destroy();
    await scenes.waitUntil(() => scene.server.getInProgressCount() === 0);
    assert.equal(closed, targets);
});

// Guards against the same cut by `server.close()`, which closes idle connections itself.
suite("an answer is sent completely after the server has stopped listening", async () => {
    const unsent = await leaveUnsent();
    await using scene = unsent.scene;
    scene.server.startClosing();
    assert.is(await unsent.readRest(), LargeBody.length);
});

// Guards against a caller that sends its next request on a connection that is closed right after the answer, unannounced.
suite("an answer that starts after the server has stopped listening announces the end of its connection", async () => {
    const gate = scenes.createGate();
    await using scene = await scenes.startServer(async (request, response) => {
        await gate.opened;
        scenes.answerWith(response, "answer");
    });
    const caller = await scene.connect();
    caller.send("/a/x", ["Content-Length: 0"]);
    await scenes.waitUntil(() => scene.forwarded.length === 1);
    scene.server.startClosing();
    gate.open();
    const received = await caller.receiveText("answer");
    assert.match(received, "Connection: close");
    assert.match(received, "answer");
    await caller.waitUntilClosed();
    assert.is(caller.error, undefined);
});

// Guards against pipelined requests that are lost because the answer to an earlier one ends the connection.
suite("pipelined requests are all answered after the server has stopped listening", async () => {
    const gate = scenes.createGate();
    await using scene = await scenes.startServer(async (request, response) => {
        await gate.opened;
        scenes.answerWith(response, `answer ${request.raw.target}.`);
    });
    const caller = await scene.connect();
    const targets = ["/a/1", "/a/2"];
    targets.forEach(target => caller.send(target, ["Content-Length: 0"]));
    await scenes.waitUntil(() => scene.forwarded.length === targets.length);
    scene.server.startClosing();
    gate.open();
    await caller.waitUntilClosed();
    targets.forEach(target => assert.match(caller.getReceived(), `answer ${target}.`));
});

suite("idle connections are closed", async () => {
    await using scene = await scenes.startServer((request, response) => scenes.answerWith(response, "answer"));
    const [unused, used] = [await scene.connect(), await scene.connect()];
    used.send("/a/x", ["Content-Length: 4"], "body");
    await used.receiveText("answer");
    scene.server.server.closeIdleConnections();
    await Promise.all([unused.waitUntilClosed(), used.waitUntilClosed()]);
    assert.equal([unused.error, used.error], [undefined, undefined]);
});

// Guards against a reset of a request that has arrived, but that the event loop has not read yet.
suite("a connection with a request that has arrived is not closed as idle", async () => {
    await using scene = await scenes.startServer((request, response) => scenes.answerWith(response, "answer"));
    const caller = await scene.connect();
    caller.send("/a/x", ["Content-Length: 0"]);
    await caller.receiveText("answer");
    caller.clear();
    caller.send("/a/x", ["Content-Length: 0"]);
    scene.server.server.closeIdleConnections();
    assert.match(await caller.receiveText("answer"), "answer");
});

// Guards against the same reset by the idle timer, which runs before arrived data is read where the process was held up.
suite("a connection with a request that has arrived is not closed by its idle timer", async () => {
    await using scene = await scenes.startServer((request, response) => scenes.answerWith(response, "answer"));
    const caller = await scene.connect();
    caller.send("/a/x", ["Content-Length: 0"]);
    await caller.receiveText("answer");
    caller.clear();
    caller.send("/a/x", ["Content-Length: 0"]);
    scene.sockets[0]?.emit("timeout");
    assert.match(await caller.receiveText("answer"), "answer");
});

suite("an idle connection is closed by its idle timer", async () => {
    await using scene = await scenes.startServer((request, response) => scenes.answerWith(response, "answer"));
    const caller = await scene.connect();
    caller.send("/a/x", ["Content-Length: 0"]);
    await caller.receiveText("answer");
    scene.sockets[0]?.emit("timeout");
    await caller.waitUntilClosed();
    assert.is(caller.error, undefined);
});

// Guards against a kept connection that closes sooner than announced on it, because the limit has been lowered meanwhile.
suite("a connection stays open as long as announced on it after the limit has been lowered", async () => {
    const gate = scenes.createGate();
    await using scene = await scenes.startServer(async (request, response) => {
        await gate.opened;
        scenes.answerWith(response, "answer");
    });
    const caller = await scene.connect();
    caller.send("/a/x", ["Content-Length: 0"]);
    await scenes.waitUntil(() => scene.forwarded.length === 1);
    scene.configure({ idleTimeoutMilliseconds: 5_000 });
    gate.open();
    assert.match(await caller.receiveText("answer"), "Keep-Alive: timeout=15");
    await scenes.waitUntil(() => scene.server.getInProgressCount() === 0);
    assert.ok(getIdleTimeout(scene) >= 15_000);
    caller.clear();
    caller.send("/a/x", ["Content-Length: 0"]);
    assert.match(await caller.receiveText("answer"), "Keep-Alive: timeout=5");
    await scenes.waitUntil(() => scene.server.getInProgressCount() === 0);
    const later = getIdleTimeout(scene);
    assert.ok(later >= 5_000 && later < 15_000);
});

// Guards against a reset of callers that reuse their connections for as long as the new limit allows.
suite("an idle connection stays open as long as a limit that has been raised meanwhile", async () => {
    await using scene = await scenes.startServer((request, response) => scenes.answerWith(response, "answer"));
    scene.configure({ idleTimeoutMilliseconds: 5_000 });
    const idle = await scene.connect();
    idle.send("/a/x", ["Content-Length: 0"]);
    await idle.receiveText("answer");
    await scenes.waitUntil(() => scene.server.getInProgressCount() === 0);
    scene.configure({ idleTimeoutMilliseconds: 15_000 });
    assert.ok(getIdleTimeout(scene) >= 15_000);
    scene.configure({ idleTimeoutMilliseconds: 5_000 });
    assert.ok(getIdleTimeout(scene) >= 15_000);
});

suite("a connection without a request has no idle timer after the limit has been raised", async () => {
    await using scene = await scenes.startServer(() => undefined);
    await scene.connect();
    await scenes.waitUntil(() => scene.sockets.length === 1);
    scene.configure({ idleTimeoutMilliseconds: 30_000 });
    assert.is(getIdleTimeout(scene), 0);
});

// Guards against an idle timer that cuts off a request in progress.
suite("a connection with a request in progress has no idle timer after the limit has been raised", async () => {
    const gate = scenes.createGate();
    await using scene = await scenes.startServer(async (request, response) => {
        await gate.opened;
        scenes.answerWith(response, "answer");
    });
    const caller = await scene.connect();
    caller.send("/a/x", ["Content-Length: 0"]);
    await scenes.waitUntil(() => scene.forwarded.length === 1);
    scene.configure({ idleTimeoutMilliseconds: 30_000 });
    assert.is(getIdleTimeout(scene), 0);
    gate.open();
    await caller.receiveText("answer");
    await scenes.waitUntil(() => scene.server.getInProgressCount() === 0);
    assert.ok(getIdleTimeout(scene) >= 30_000);
});

suite.run();
