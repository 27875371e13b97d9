import * as http from "node:http";
import type * as types from "./types.js";
import type * as wire from "./wire.js";

/** Ends the connection of an incomplete answer so that its caller notices. */
export function breakOff(response: http.ServerResponse): void {
    if (response.headersSent && !response.chunkedEncoding) {
        // HTTP/1.0 has no chunks: for such a caller, an answer without a length is complete when its connection is closed.
        response.socket?.resetAndDestroy();
    }
    response.destroy();
}

/** Sends a refusal, or breaks the answer off if it has already been started. */
export function sendRefusal(
    callerWire: wire.CallerWire,
    response: http.ServerResponse,
    refusal: types.GatewayRefusal,
): void {
    if (response.headersSent || response.destroyed) {
        breakOff(response);
        return;
    }
    const answer = callerWire.createRefusal(refusal);
    response.writeHead(answer.status, http.STATUS_CODES[answer.status], [
        ...answer.headers,
        "Content-Length",
        String(Buffer.byteLength(answer.body)),
    ]);
    response.end(answer.body);
}
