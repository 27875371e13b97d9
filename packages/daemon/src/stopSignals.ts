import type * as events from "node:events";

/**
 * Resolves when the process is to stop. Further signals of the kind that the platform sends have no effect: without a
 * listener, one of them would end the process in the middle of its stop. An operator at a terminal can still end it at
 * once with a second SIGINT.
 */
export async function waitForStop(signals: events.EventEmitter): Promise<void> {
    await new Promise<void>(resolve => {
        signals.on("SIGTERM", () => resolve());
        signals.once("SIGINT", () => resolve());
    });
}
