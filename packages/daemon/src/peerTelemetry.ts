import type * as core from "@boragedale/core";
import * as telemetry from "@boragedale/telemetry";
import type * as eventLog from "./eventLog.js";

/** Events that are not logged, because in a large fleet links are constantly opened and closed when idle. */
const UnloggedEvents: ReadonlySet<telemetry.events.EventDefinition> = new Set([
    telemetry.events.PeerConnected,
    telemetry.events.PeerLost,
]);

/** Forwards the events of the peer network to the log of the process. */
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
