import * as gateway from "@boragedale/gateway";
import * as uvu from "uvu";
import * as assert from "uvu/assert";

const suite = uvu.suite("bodyFraming");

suite("chunks go before a length, and without both the body ends with the connection", () => {
    const { Length, Chunked, Close } = gateway.BodyFraming;
    const cases: readonly (readonly [gateway.BodyFraming, number, readonly string[]])[] = [
        [Length, 200, ["Content-Length", "10"]],
        [Chunked, 200, ["transfer-encoding", "Chunked"]],
        [Chunked, 200, ["Content-Length", "10", "Transfer-Encoding", "gzip, chunked"]],
        [Close, 200, ["Content-Length", "10", "Transfer-Encoding", "gzip"]],
        [Close, 200, ["Transfer-Encoding", "unchunked"]],
        [Close, 200, ["Connection", "close"]],
        [Length, 204, ["Connection", "close"]],
    ];
    for (const [framing, status, rawHeaders] of cases) {
        assert.is(gateway.getBodyFraming(status, rawHeaders), framing, rawHeaders.join(" "));
    }
});

suite.run();
