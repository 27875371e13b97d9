import * as assert from "node:assert/strict";
import type * as http from "node:http";
import * as fastCheck from "fast-check";
import * as uvu from "uvu";
import * as core from "@boragedale/core";
import * as upstreams from "@boragedale/upstreams";
import * as completionStream from "../src/completionStream.js";
import * as fixtures from "./fixtures.js";

const suite = uvu.suite("correlation");

suite("drops every line of another request, wherever the pieces are cut", () => {
    // The caller must see its own answer and nothing else. Lines of other requests (mixed up by an engine or a middlebox,
    // or late ones of an attempt that was given up) come between, and the network cuts the bytes anywhere, also within a
    // letter of several bytes.
    const line = fastCheck.record({
        owner: fastCheck.constantFrom("request-1.a", "request-1.b", "request-2.a", ""),
        text: fastCheck.string({ unit: "grapheme", minLength: 1, maxLength: 8 }),
    });
    const property = fastCheck.property(
        fastCheck.array(line, { maxLength: 30 }),
        fastCheck.array(fastCheck.integer({ min: 1, max: 40 }), { minLength: 1 }),
        (lines, cuts) => {
            let text = "";
            let foreign = 0;
            const stream = new completionStream.CompletionStream("request-1.a", {
                onToken: token => (text += token),
                onError: error => assert.fail(error),
                onForeignLine: () => foreign++,
            });
            const wire = lines.map(each => fixtures.formatToken(each.owner, each.text)).join("");
            feedInPieces(stream, Buffer.from(wire + fixtures.formatEnd("request-1.a", 1)), cuts);
            const own = lines.filter(each => each.owner === "request-1.a");
            assert.equal(text, own.map(each => each.text).join(""));
            assert.equal(foreign, lines.length - own.length);
            assert.equal(stream.hasEnded(), true);
            assert.notEqual(stream.tryGetFinish(), undefined);
        },
    );
    fastCheck.assert(property, { seed: 7, numRuns: 300 });
});

suite("doesn't take another request's end for its own", () => {
    const stream = new completionStream.CompletionStream("request-1", {
        onToken: () => undefined,
        onError: error => assert.fail(error),
        onForeignLine: () => undefined,
    });
    stream.feed(Buffer.from(fixtures.formatToken("request-1", "one") + fixtures.formatEnd("request-2", 1)));
    assert.equal(stream.tryGetFinish(), undefined);
});

suite("gives each of many callers its own answer when answers come late and out of order", async () => {
    // Twenty requests run at once. The engine answers them in another order, token by token in turns, each line also sent
    // into the stream of the request before: every caller still gets its own text.
    const random = { seed: 3 };
    const open = new Map<string, http.ServerResponse>();
    await using server = await fixtures.startServer(({ request, response }) => {
        open.set(String(request.headers["x-request-id"]), response);
        response.writeHead(200);
        if (open.size === 20) {
            answerMixedUp(open, random);
        }
    });
    await using client = fixtures.createEngineClient(server.url);
    const ids = Array.from({ length: 20 }, (...[, index]: [unknown, number]) => `request-${index}`);
    const answers = await Promise.all(
        ids.map(id => fixtures.collect(client.run(fixtures.createEngineRequest({ id }), fixtures.neverAborted))),
    );
    answers.forEach((events, index) => {
        const expected = Array.from({ length: 10 }, (...[, token]: [unknown, number]) => `${ids[index]}:${token} `);
        assert.equal(fixtures.joinTokens(events), expected.join(""));
        assert.equal(events.at(-1)?.kind, upstreams.EngineEventKind.Finished);
    });
});

suite("keeps online requests off the connections of batch streams", async () => {
    // Thirty batch streams hold their connections for as long as they run. An online request that waited in the same pool
    // would have its first token after a batch item's last; it gets a connection of its own at once.
    const clock = new core.SystemClock();
    await using server = await fixtures.startServer(({ request, response }) => {
        response.writeHead(200);
        const id = String(request.headers["x-request-id"]);
        response.write(fixtures.formatToken(id, "one"));
        if (id === "online") {
            response.end(fixtures.formatEnd(id, 1));
        }
    });
    await using batch = fixtures.createEngineClient(server.url, clock);
    await using online = fixtures.createEngineClient(server.url, clock);
    const controller = new AbortController();
    const streams = Array.from({ length: 30 }, (...[, index]: [unknown, number]) =>
        fixtures.collect(batch.run(fixtures.createEngineRequest({ id: `batch-${index}` }), controller.signal)),
    );
    const events = await fixtures.collect(
        online.run(fixtures.createEngineRequest({ id: "online" }), fixtures.neverAborted),
    );
    assert.equal(fixtures.joinTokens(events), "one");
    controller.abort();
    await Promise.all(streams);
});

function feedInPieces(stream: completionStream.CompletionStream, bytes: Uint8Array, cuts: readonly number[]): void {
    let start = 0;
    for (let index = 0; start < bytes.length; index++) {
        const length = cuts[index % cuts.length] ?? 1;
        stream.feed(bytes.subarray(start, start + length));
        start += length;
    }
}

function answerMixedUp(open: ReadonlyMap<string, http.ServerResponse>, random: { seed: number }): void {
    const ids = [...open.keys()];
    for (let token = 0; token < 10; token++) {
        for (const [position, id] of shuffle(ids, random).entries()) {
            const line = fixtures.formatToken(id, `${id}:${token} `);
            open.get(id)?.write(line);
            open.get(ids[(position + 1) % ids.length] ?? "")?.write(
                id === ids[(position + 1) % ids.length] ? "" : line,
            );
        }
    }
    for (const id of shuffle(ids, random)) {
        open.get(id)?.end(fixtures.formatEnd(id, 10));
    }
}

/** A small generator of a fixed sequence: the run is the same every time. */
function shuffle(ids: readonly string[], random: { seed: number }): string[] {
    return ids
        .map(id => {
            random.seed = (random.seed * 1_103_515_245 + 12_345) % 2_147_483_648;
            return { id, rank: random.seed };
        })
        .sort((left, right) => left.rank - right.rank)
        .map(entry => entry.id);
}

suite.run();
