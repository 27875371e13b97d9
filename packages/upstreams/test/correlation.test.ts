import * as assert from "node:assert/strict";
import type * as http from "node:http";
import * as fastCheck from "fast-check";
import * as uvu from "uvu";
import * as core from "@boragedale/core";
import * as upstreams from "@boragedale/upstreams";
import * as completionStream from "../src/completionStream.js";
import * as fixtures from "./fixtures.js";

const suite = uvu.suite("correlation");

suite("drops every line of another request, wherever the chunks are split", () => {
    // A caller must see only its own answer. Lines of other requests (mixed up by an engine or a middlebox, or late
    // lines of a cancelled attempt) are interleaved, and chunks may be split anywhere, even within a multi-byte
    // character.
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
            feedInChunks(stream, Buffer.from(wire + fixtures.formatEnd("request-1.a", 1)), cuts);
            const own = lines.filter(each => each.owner === "request-1.a");
            assert.equal(text, own.map(each => each.text).join(""));
            assert.equal(foreign, lines.length - own.length);
            assert.equal(stream.hasEnded(), true);
            assert.notEqual(stream.tryGetFinish(), undefined);
        },
    );
    fastCheck.assert(property, { seed: 7, numRuns: 300 });
});

suite("ignores the end of another request's answer", () => {
    const stream = new completionStream.CompletionStream("request-1", {
        onToken: () => undefined,
        onError: error => assert.fail(error),
        onForeignLine: () => undefined,
    });
    stream.feed(Buffer.from(fixtures.formatToken("request-1", "one") + fixtures.formatEnd("request-2", 1)));
    assert.equal(stream.tryGetFinish(), undefined);
});

suite("gives each caller its own answer when answers are late, out of order and interleaved", async () => {
    // Twenty requests run at once. The engine answers them in another order, alternating token by token, and also
    // writes each line into the stream of another request. Every caller must still get its own text.
    const random = { seed: 3 };
    const open = new Map<string, http.ServerResponse>();
    await using server = await fixtures.startServer(({ request, response }) => {
        open.set(String(request.headers["x-request-id"]), response);
        response.writeHead(200);
        if (open.size === 20) {
            answerInterleaved(open, random);
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

suite("sends online requests on other connections than batch streams", async () => {
    // Thirty batch streams use their connections for as long as they run. An online request that waited in the same
    // pool would get its first token after the last token of a batch item, so it gets a connection of its own.
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

function feedInChunks(stream: completionStream.CompletionStream, bytes: Uint8Array, cuts: readonly number[]): void {
    let start = 0;
    for (let index = 0; start < bytes.length; index++) {
        const length = cuts[index % cuts.length] ?? 1;
        stream.feed(bytes.subarray(start, start + length));
        start += length;
    }
}

function answerInterleaved(open: ReadonlyMap<string, http.ServerResponse>, random: { seed: number }): void {
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

/** Shuffles with a seeded generator, so that every run is the same. */
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
