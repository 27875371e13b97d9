import type * as events from "node:events";
import * as gateway from "@boragedale/gateway";

/**
 * Logs rejections that nothing handles. By default they end the process and with it all its requests, although the defect
 * concerns only the task that was rejected.
 */
export function logUnhandledRejections(process: events.EventEmitter, log: gateway.GatewayLog): void {
    process.on("unhandledRejection", (reason: unknown) => {
        const text = reason instanceof Error ? (reason.stack ?? reason.message) : String(reason);
        log.recordEvent(gateway.GatewayEvent.Defect, { text });
    });
}

/**
 * Writes the exception that is about to end the process, one frame a line. The runtime's own report begins with the source
 * line, which in the bundle is the whole program, so that the message is cut off where lines are limited.
 */
export function writeFatalError(error: unknown, write: (text: string) => void): void {
    write(`fatal: ${error instanceof Error ? (error.stack ?? error.message) : String(error)}\n`);
}
