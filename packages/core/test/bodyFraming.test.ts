import * as core from "@boragedale/core";
import * as uvu from "uvu";
import * as assert from "uvu/assert";

const suite = uvu.suite("bodyFraming");

suite("chunks go before a length, and without both the body ends with the connection", () => {
    const { Length, Chunked, Close } = core.BodyFraming;
    const cases: readonly (readonly [core.BodyFraming, number, Readonly<Record<string, string>>])[] = [
        [Length, 200, { "content-length": "10" }],
        [Chunked, 200, { "transfer-encoding": "Chunked" }],
        [Chunked, 200, { "content-length": "10", "transfer-encoding": "gzip, chunked" }],
        [Close, 200, { "content-length": "10", "transfer-encoding": "gzip" }],
        [Close, 200, { "transfer-encoding": "unchunked" }],
        [Close, 200, { connection: "close" }],
        [Length, 204, { connection: "close" }],
    ];
    for (const [framing, status, headers] of cases) {
        assert.is(
            core.getBodyFraming(status, name => headers[name]),
            framing,
            JSON.stringify(headers),
        );
    }
});

suite.run();
