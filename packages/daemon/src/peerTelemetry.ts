import type * as core from "@boragedale/core";
import * as telemetry from "@boragedale/telemetry";
import type * as eventLog from "./eventLog.js";

/** Passes the events of the peer network on to the log of the process, but for the links that open as they should. */
export class PeerTelemetry extends telemetry.Telemetry {
    constructor(
        instance: core.InstanceId,
        clock: core.Clock,
        private readonly log: eventLog.EventLog,
    ) {
        super({ instance, logLevel: "silent" }, clock);
    }

    override record(definition: telemetry.events.EventDefinition, subject: telemetry.EventSubject = {}): void {
        if (definition !== telemetry.events.PeerConnected) {
            this.log.record(definition, { text: subject.text });
        }
    }
}
