import * as http from "node:http";
import type * as core from "@boragedale/core";
import * as callerConnections from "./callerConnections.js";
import * as requestBodies from "./requestBodies.js";
import * as types from "./types.js";
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
    response.end(writeHead(callerWire, response, refusal));
}

/** A refusal of a request whose body may not have been read. */
export interface UnreadRefusal {
    readonly request: http.IncomingMessage;
    readonly response: http.ServerResponse;
    readonly refusal: types.GatewayRefusal;
    /** Whether the connection may be used again if the rest of the body arrives in time. */
    readonly keepsConnection: boolean;
}

/**
 * Sends a refusal at once, and then reads the rest of the request's body, within bounds, before the connection is used again or
 * closed. A connection that is closed while the caller still sends is reset, and the refusal may be lost with it.
 */
export async function sendUnreadRefusal(
    callerWire: wire.CallerWire,
    { request, response, refusal, keepsConnection }: UnreadRefusal,
    clock: core.Clock,
): Promise<void> {
    if (!requestBodies.hasBodyToCome(request) || response.headersSent || response.destroyed) {
        request.resume();
        sendRefusal(callerWire, response, refusal);
        return;
    }
    const { socket } = request;
    response.shouldKeepAlive &&= keepsConnection;
    // The announced length tells the caller that the answer is complete, although it is ended later.
    response.write(writeHead(callerWire, response, refusal));
    const isRead = await requestBodies.discardBody(request, clock);
    if (!isRead) {
        response.once("finish", () => socket.destroySoon());
    }
    response.end();
}

/** Writes the head of a refusal and returns its body. */
function writeHead(callerWire: wire.CallerWire, response: http.ServerResponse, refusal: types.GatewayRefusal): string {
    if (refusal.reason === types.RefusalReason.Stopping) {
        // The caller's next request would be refused too.
        callerConnections.closeAfter(response);
    }
    const answer = callerWire.createRefusal(refusal);
    response.writeHead(answer.status, http.STATUS_CODES[answer.status], [
        ...answer.headers,
        "Content-Length",
        String(Buffer.byteLength(answer.body)),
    ]);
    return answer.body;
}
