import * as http from "node:http";
import type * as net from "node:net";

/**
 * A model engine that does nothing but send tokens, so that its own cost hardly contributes to the measurements of an
 * instance in front of it. The text of each token is the time at which it was sent. `gap` in the request body is the
 * pause between two tokens in milliseconds: 0 sends one token in each turn of the event loop, -1 sends all at once.
 */

interface CompletionBody {
    readonly model: string;
    readonly max_tokens: number;
    readonly gap: number;
}

/** The state that the fleet last ordered. It is reported as the current state, so that a rollout completes at once. */
let orderedState: { readonly models: unknown; readonly role: unknown; readonly fencing: unknown } = {
    models: [],
    role: "Mixed",
    fencing: 0,
};

const server = http.createServer((request, response) => {
    const pieces: Buffer[] = [];
    request.on("data", (piece: Buffer) => pieces.push(piece));
    request.on("end", () => answer(request, response, Buffer.concat(pieces).toString("utf8")));
});
server.keepAliveTimeout = 60_000;
server.listen(0, "127.0.0.1", () => {
    const { port } = server.address() as net.AddressInfo;
    console.log(JSON.stringify({ url: `http://127.0.0.1:${port}` }));
});

function answer(request: http.IncomingMessage, response: http.ServerResponse, body: string): void {
    switch (request.url) {
        case "/v1/chat/completions":
            streamTokens(String(request.headers["x-request-id"]), JSON.parse(body) as CompletionBody, response);
            break;
        case "/order":
            orderedState = JSON.parse(body) as typeof orderedState;
            response.writeHead(202);
            response.end("{}");
            break;
        case "/load":
            response.end(JSON.stringify({ running: 0, waiting: 0, cacheUsage: 0, ageMilliseconds: 0 }));
            break;
        default:
            response.end(JSON.stringify({ ...orderedState, isLoading: false, isLeaving: false }));
    }
}

function streamTokens(id: string, body: CompletionBody, response: http.ServerResponse): void {
    response.writeHead(200, { "content-type": "text/event-stream" });
    let sent = 0;
    const sendNext = (): void => {
        if (response.destroyed) {
            return;
        }
        const hasRoom = response.write(formatToken(id));
        sent++;
        if (sent >= body.max_tokens) {
            response.end(formatEnd(id, sent));
        }
        else if (!hasRoom) {
            response.once("drain", sendNext);
        }
        else if (body.gap > 0) {
            setTimeout(sendNext, body.gap);
        }
        else {
            setImmediate(sendNext);
        }
    };
    if (body.gap < 0) {
        response.end(formatToken(id).repeat(body.max_tokens) + formatEnd(id, body.max_tokens));
    }
    else {
        sendNext();
    }
}

function formatToken(id: string): string {
    const time = (performance.timeOrigin + performance.now()).toFixed(3);
    return `data: {"id":"${id}","object":"chat.completion.chunk","choices":[{"index":0,"delta":{"content":"${time} "}}]}\n\n`;
}

function formatEnd(id: string, tokens: number): string {
    const finish = { id, choices: [{ index: 0, delta: {}, finish_reason: "stop" }] };
    const usage = { id, choices: [], usage: { prompt_tokens: 3, completion_tokens: tokens } };
    return `data: ${JSON.stringify(finish)}\n\ndata: ${JSON.stringify(usage)}\n\ndata: [DONE]\n\n`;
}
