import * as net from "node:net";
import * as gateway from "@boragedale/gateway";
import * as uvu from "uvu";
import * as assert from "uvu/assert";

const suite = uvu.suite("brokenAnswers");

/** Starts an upstream that calls `answer` when a request arrives, and sends it one request. Resolves to how the exchange ends. */
async function exchange(answer: (socket: net.Socket) => void): Promise<string> {
    const server = net.createServer(socket => {
        socket.on("error", () => undefined);
        socket.once("data", () => answer(socket));
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const address = `127.0.0.1:${(server.address() as net.AddressInfo).port}`;
    await using channel = new gateway.UpstreamChannel({
        address,
        connectTimeoutMilliseconds: 1_000,
        maximumConnections: 1,
    });
    const end = await new Promise<string>(resolve => {
        channel.start(
            { method: "GET", target: "/x", headers: ["Host", "h"], body: undefined },
            {
                onSent: () => undefined,
                onHeaders: () => undefined,
                onData: () => true,
                onComplete: () => resolve("complete"),
                onFailure: failure => resolve(failure.kind),
            },
        );
    });
    server.close();
    return end;
}

// Guards against an answer without length or chunks that is taken as complete because its connection was reset right after the data.
suite("a reset that arrives together with the last data is reported as a broken exchange", async () => {
    const headers = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";
    for (const body of ["", "half", "id: 0\ndata: a\n\n"]) {
        const end = await exchange(socket => {
            socket.write(headers + body);
            socket.resetAndDestroy();
        });
        assert.is(end, gateway.ExchangeFailureKind.Broken, JSON.stringify(body));
    }
});

suite.run();
