import bunyan from "bunyan";
import type * as core from "@boragedale/core";
import type * as events from "./events.js";
import * as metrics from "./metrics.js";
import * as timeLine from "./timeLine.js";

export interface TelemetrySettings {
    readonly instance: core.InstanceId;
    readonly logLevel: "debug" | "info" | "warn" | "error" | "silent";
}

/** Records events in the log, the time line and the metrics. */
export class Telemetry {
    readonly timeLine: timeLine.TimeLine;
    readonly metrics = new metrics.Metrics();
    private readonly logger: bunyan | undefined;

    constructor(settings: TelemetrySettings, clock: core.Clock) {
        this.timeLine = new timeLine.TimeLine(settings.instance, clock);
        this.logger =
            settings.logLevel === "silent"
                ? undefined
                : bunyan.createLogger({
                      name: "boragedale",
                      instance: settings.instance,
                      level: settings.logLevel,
                      stream: process.stderr,
                  });
    }

    record(definition: events.EventDefinition, subject: timeLine.EventSubject = {}): void {
        this.timeLine.record(definition, subject);
        this.metrics.count("boragedale_events_total", { event: definition.name });
        this.logger?.[definition.level]({ event: definition.number, ...subject }, definition.name);
    }
}
