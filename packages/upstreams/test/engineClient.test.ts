import * as assert from "node:assert/strict";
import type * as net from "node:net";
import * as uvu from "uvu";
import * as core from "@boragedale/core";
import * as upstreams from "@boragedale/upstreams";
import * as fixtures from "./fixtures.js";

const suite = uvu.suite("HttpEngineClient");

suite("streams an answer and asks for its usage", async () => {
    let asked: Record<string, unknown> = {};
    await using server = await fixtures.startServer(({ request, response, body }) => {
        asked = JSON.parse(body) as Record<string, unknown>;
        const id = String(request.headers["x-request-id"]);
        response.writeHead(200);
        response.end(
            fixtures.formatToken(id, "a cot ") + fixtures.formatToken(id, "is free") + fixtures.formatEnd(id, 2),
        );
    });
    await using client = fixtures.createEngineClient(server.url);
    const events = await fixtures.collect(client.run(fixtures.createEngineRequest(), fixtures.neverAborted));
    assert.equal(fixtures.joinTokens(events), "a cot is free");
    assert.deepEqual(events.at(-1), {
        kind: upstreams.EngineEventKind.Finished,
        reason: "stop",
        usage: { promptTokens: 3, completionTokens: 2, cachedTokens: 0 },
    });
    assert.deepEqual([asked.stream, asked.model], [true, "model-1"]);
});

suite("resumes after the delivered text and reduces the caller's token limit by it", async () => {
    let asked: Record<string, unknown> = {};
    await using server = await fixtures.startServer(({ response, body }) => {
        asked = JSON.parse(body) as Record<string, unknown>;
        response.writeHead(200);
        response.end(fixtures.formatEnd("request-1", 0));
    });
    await using client = fixtures.createEngineClient(server.url);
    const body = { messages: [{ role: "user", content: "hello" }], max_tokens: 10 };
    const request = fixtures.createEngineRequest({ body, resumeAfter: { text: "so far", tokens: 4 } });
    await fixtures.collect(client.run(request, fixtures.neverAborted));
    assert.equal(asked.max_tokens, 6);
    assert.equal(asked.continue_final_message, true);
    assert.deepEqual((asked.messages as unknown[]).at(-1), { role: "assistant", content: "so far" });

    const whole = fixtures.createEngineRequest({ body, resumeAfter: { text: "all of it", tokens: 10 } });
    const events = await fixtures.collect(client.run(whole, fixtures.neverAborted));
    assert.equal(events[0]?.kind, upstreams.EngineEventKind.Finished);
});

suite("maps the status to a busy, rejected or broken request", async () => {
    let status = 0;
    await using server = await fixtures.startServer(({ response }) => {
        response.writeHead(status);
        response.end("why");
    });
    await using client = fixtures.createEngineClient(server.url);
    const expected: readonly [number, upstreams.EngineFailureKind][] = [
        [400, upstreams.EngineFailureKind.Rejected],
        [429, upstreams.EngineFailureKind.Busy],
        [503, upstreams.EngineFailureKind.Busy],
        [500, upstreams.EngineFailureKind.Broken],
    ];
    for (const [given, kind] of expected) {
        status = given;
        const events = await fixtures.collect(client.run(fixtures.createEngineRequest(), fixtures.neverAborted));
        assert.equal(fixtures.getFailureKind(events), kind);
    }
});

suite("reports a request as not sent only if no byte can have been sent", async () => {
    // A refused connection may be reported as not sent. If the engine read the request and failed without an answer,
    // the request may have run and must be reported as broken.
    await using closed = fixtures.createEngineClient(await fixtures.getClosedUrl());
    const refused = await fixtures.collect(closed.run(fixtures.createEngineRequest(), fixtures.neverAborted));
    assert.equal(fixtures.getFailureKind(refused), upstreams.EngineFailureKind.NotSent);

    await using server = await fixtures.startServer(({ request }) => request.socket.destroy());
    await using client = fixtures.createEngineClient(server.url);
    const died = await fixtures.collect(client.run(fixtures.createEngineRequest(), fixtures.neverAborted));
    assert.equal(fixtures.getFailureKind(died), upstreams.EngineFailureKind.Broken);
});

suite("aborts a silent stream and stops using the idle connections of its pool", async () => {
    // The engine sends one token, then a middlebox drops the state of the connection: nothing arrives and nothing is
    // closed. Only the missing token reveals the failure. The next request must not use an idle connection of the same
    // pool, since that one has probably failed too.
    const clock = new core.VirtualClock();
    const sockets: net.Socket[] = [];
    let answerFirst: () => void = () => undefined;
    await using server = await fixtures.startServer(({ request, response }) => {
        sockets.push(request.socket);
        const answer = (): void => void response.end(fixtures.formatEnd("request-1", 1));
        response.writeHead(200);
        response.write(fixtures.formatToken("request-1", "one"));
        if (sockets.length === 1) {
            answerFirst = answer;
        }
        else if (sockets.length === 3) {
            answer();
        }
    });
    await using client = fixtures.createEngineClient(server.url, clock, { interTokenMilliseconds: 400 });
    const run = (): AsyncIterable<upstreams.EngineEvent> =>
        client.run(fixtures.createEngineRequest(), fixtures.neverAborted);
    const first = fixtures.collect(run());
    const silent: upstreams.EngineEvent[] = [];
    const reading = (async () => {
        for await (const event of run()) {
            silent.push(event);
        }
    })();
    await fixtures.waitUntil(() => silent.length === 2);
    answerFirst();
    await first;
    await clock.advance(399);
    assert.equal(silent.length, 2);
    await clock.advance(20_000);
    await reading;
    assert.equal(fixtures.getFailureKind(silent), upstreams.EngineFailureKind.Silent);
    assert.equal(fixtures.joinTokens(await fixtures.collect(run())), "one");
    assert.equal(new Set(sockets).size, 3);
});

suite("closes the connection when the caller disconnects", async () => {
    // Otherwise the request of a disconnected caller would occupy a slot in the engine's batch until its answer ends.
    let isClosed = false;
    await using server = await fixtures.startServer(({ response }) => {
        response.on("close", () => (isClosed = true));
        response.writeHead(200);
        response.write(fixtures.formatToken("request-1", "one"));
    });
    await using client = fixtures.createEngineClient(server.url);
    const controller = new AbortController();
    const kinds: upstreams.EngineEventKind[] = [];
    for await (const event of client.run(fixtures.createEngineRequest(), controller.signal)) {
        kinds.push(event.kind);
        if (event.kind === upstreams.EngineEventKind.Token) {
            controller.abort();
        }
    }
    await fixtures.waitUntil(() => isClosed);
    assert.equal(kinds.at(-1), upstreams.EngineEventKind.Failed);
});

// Guards against a process that ends because an engine closed the connection of an answer that a caller read slowly.
suite("delivers an answer whose connection ends while reading is paused", async () => {
    const lines = fixtures.formatToken("request-1", "x".repeat(1_000)).repeat(20) + fixtures.formatEnd("request-1", 20);
    await using server = await fixtures.startServer(({ request }) => {
        request.socket.end(`HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n${lines}`);
    });
    await using client = fixtures.createEngineClient(server.url);
    const iterator = client.run(fixtures.createEngineRequest(), fixtures.neverAborted)[Symbol.asyncIterator]();
    await iterator.next();
    await new Promise(resolve => setTimeout(resolve, 30));
    let received = 0;
    let last: upstreams.EngineEvent | undefined;
    for (let next = await iterator.next(); next.done !== true; next = await iterator.next()) {
        last = next.value;
        received += last.kind === upstreams.EngineEventKind.Token ? last.tokens : 0;
    }
    assert.equal(received, 20);
    assert.equal(last?.kind, upstreams.EngineEventKind.Finished);
});

suite("applies backpressure to the engine when the caller reads slowly", async () => {
    // A caller reads nothing while its engine sends megabytes. Without a limit the answer would fill the memory of this
    // process, and enough such callers would crash the instance.
    const line = fixtures.formatToken("request-1", "x".repeat(1_000));
    let sent = 0;
    let isDone = false;
    await using server = await fixtures.startServer(({ response }) => {
        response.writeHead(200);
        const write = (): void => {
            while (sent < 40_000) {
                sent++;
                if (!response.write(line)) {
                    response.once("drain", write);
                    return;
                }
            }
            isDone = true;
            response.end(fixtures.formatEnd("request-1", sent));
        };
        write();
    });
    await using client = fixtures.createEngineClient(server.url);
    const iterator = client.run(fixtures.createEngineRequest(), fixtures.neverAborted)[Symbol.asyncIterator]();
    await iterator.next();
    await fixtures.waitUntilStable(() => sent);
    assert.equal(isDone, false);
    let received = 0;
    for (let next = await iterator.next(); next.done !== true; next = await iterator.next()) {
        received += next.value.kind === upstreams.EngineEventKind.Token ? next.value.tokens : 0;
    }
    assert.equal(received, 40_000);
});

suite.run();
