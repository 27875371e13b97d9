import type * as core from "@boragedale/core";
import * as telemetry from "@boragedale/telemetry";
import type * as eventLog from "./eventLog.js";

/** Links that open, and close when idle, are no news in a large fleet. */
const UnloggedEvents: ReadonlySet<telemetry.events.EventDefinition> = new Set([
    telemetry.events.PeerConnected,
    telemetry.events.PeerLost,
]);

/** Passes the events of the peer network on to the log of the process. */
export class PeerTelemetry extends telemetry.Telemetry {
    constructor(
        instance: core.InstanceId,
        clock: core.Clock,
        private readonly log: eventLog.EventLog,
    ) {
        super({ instance, logLevel: "silent" }, clock);
    }

    override record(definition: telemetry.events.EventDefinition, subject: telemetry.EventSubject = {}): void {
        if (!UnloggedEvents.has(definition)) {
            this.log.record(definition, { text: subject.text });
        }
    }
}
