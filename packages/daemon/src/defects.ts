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
