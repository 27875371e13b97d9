import * as core from "@boragedale/core";
import * as gateway from "@boragedale/gateway";
import * as telemetry from "@boragedale/telemetry";
import bunyan from "bunyan";
import sonicBoom from "sonic-boom";
import * as customerLabels from "./customerLabels.js";

/** Maximum bytes buffered while standard output is not being read. Further lines are dropped and counted. */
const MaxBufferedBytes = 1_048_576;
/** Lines are buffered up to this size, because a system call for each line would cost more than creating it. */
const MinWriteBytes = 8_192;
const FlushIntervalMilliseconds = 250;
/** Maximum lines per event and second. Further lines are counted and reported in a single line. */
const MaxLinesPerSecond = 200;

const OnlineWaitMetric = "boragedale_online_wait_seconds";

const GatewayEvents: Readonly<Record<gateway.GatewayEvent, telemetry.events.EventDefinition>> = {
    [gateway.GatewayEvent.StoreLost]: telemetry.events.StoreLost,
    [gateway.GatewayEvent.StoreRegained]: telemetry.events.StoreRegained,
    [gateway.GatewayEvent.StoreReturned]: telemetry.events.StoreReturned,
    [gateway.GatewayEvent.ConfigurationTaken]: telemetry.events.ConfigurationTaken,
    [gateway.GatewayEvent.UpstreamDied]: telemetry.events.UpstreamDied,
    [gateway.GatewayEvent.PartQuarantined]: telemetry.events.PartQuarantined,
    [gateway.GatewayEvent.RequestQuarantined]: telemetry.events.GatewayRequestQuarantined,
    [gateway.GatewayEvent.QuarantineTrialStarted]: telemetry.events.QuarantineTrialStarted,
    [gateway.GatewayEvent.QuarantineTrialEnded]: telemetry.events.QuarantineTrialEnded,
    [gateway.GatewayEvent.QuarantineEnded]: telemetry.events.QuarantineEnded,
    [gateway.GatewayEvent.ItemHeld]: telemetry.events.ItemHeld,
    [gateway.GatewayEvent.StreamVersionResolved]: telemetry.events.StreamVersionResolved,
    [gateway.GatewayEvent.UpstreamChanged]: telemetry.events.UpstreamChanged,
    [gateway.GatewayEvent.EntryUnusable]: telemetry.events.RegistryEntryUnusable,
    [gateway.GatewayEvent.MemberRegistered]: telemetry.events.MemberRegistered,
    [gateway.GatewayEvent.WatchDutyChanged]: telemetry.events.WatchDutyChanged,
    [gateway.GatewayEvent.RegistryAsked]: telemetry.events.RegistryAsked,
    [gateway.GatewayEvent.MembersChanged]: telemetry.events.MembersChanged,
    [gateway.GatewayEvent.HomeSilent]: telemetry.events.HomeSilent,
    [gateway.GatewayEvent.UpstreamAvoided]: telemetry.events.UpstreamAvoided,
    [gateway.GatewayEvent.SilentUpstreamKept]: telemetry.events.SilentUpstreamKept,
    [gateway.GatewayEvent.EngineExcluded]: telemetry.events.EngineExcluded,
    [gateway.GatewayEvent.EngineReturned]: telemetry.events.EngineReturned,
    [gateway.GatewayEvent.SubmissionAccepted]: telemetry.events.SubmissionAccepted,
    [gateway.GatewayEvent.SubmissionRefused]: telemetry.events.SubmissionRefused,
    [gateway.GatewayEvent.SubmissionTakenOver]: telemetry.events.SubmissionTakenOver,
    [gateway.GatewayEvent.SubmissionLost]: telemetry.events.SubmissionLost,
    [gateway.GatewayEvent.SubmissionEnded]: telemetry.events.SubmissionEnded,
    [gateway.GatewayEvent.ResultsListed]: telemetry.events.ResultsListed,
    [gateway.GatewayEvent.ItemRetried]: telemetry.events.ItemRetried,
    [gateway.GatewayEvent.ItemGivenUp]: telemetry.events.ItemGivenUp,
    [gateway.GatewayEvent.ItemStarted]: telemetry.events.ItemStarted,
    [gateway.GatewayEvent.ItemCompleted]: telemetry.events.ItemCompleted,
    [gateway.GatewayEvent.ItemYielded]: telemetry.events.ItemYielded,
    [gateway.GatewayEvent.RequestUnroutable]: telemetry.events.GatewayUnroutable,
    [gateway.GatewayEvent.RequestUnauthorized]: telemetry.events.GatewayUnauthorized,
    [gateway.GatewayEvent.QuotaExceeded]: telemetry.events.GatewayQuotaExceeded,
    [gateway.GatewayEvent.Defect]: telemetry.events.InternalDefect,
};

interface LineCount {
    second: number;
    written: number;
    suppressed: number;
}

/**
 * Writes numbered, structured log lines to standard output and counts the events in the metrics. Writes are asynchronous, and
 * both the buffer and the rate of lines are bounded.
 */
export class EventLog extends gateway.GatewayLog implements AsyncDisposable {
    readonly metrics = new telemetry.Metrics();
    private readonly destination: sonicBoom.SonicBoom;
    private readonly logger: bunyan | undefined;
    private readonly lineCounts = new Map<string, LineCount>();
    private readonly flushTimer: NodeJS.Timeout;
    private readonly customerLabels = new customerLabels.CustomerLabels(released =>
        this.metrics.mergeDurations(
            OnlineWaitMetric,
            { customer: released },
            { customer: customerLabels.OtherCustomers },
        ),
    );
    private dropped = 0;

    constructor(
        private readonly clock: core.Clock,
        instance: core.InstanceId,
        level: "debug" | "info" | "warn" | "error" | "silent",
    ) {
        super();
        this.destination = new sonicBoom.SonicBoom({
            fd: 1,
            sync: false,
            minLength: MinWriteBytes,
            maxLength: MaxBufferedBytes,
        });
        this.destination.on("drop", () => this.dropped++);
        this.destination.on("error", () => this.dropped++);
        this.flushTimer = setInterval(() => this.destination.flush(), FlushIntervalMilliseconds);
        this.flushTimer.unref();
        this.logger =
            level === "silent"
                ? undefined
                : bunyan.createLogger({
                      name: "boragedale",
                      instance,
                      level,
                      stream: this.destination as unknown as NodeJS.WritableStream,
                  });
    }

    record(definition: telemetry.events.EventDefinition, fields: gateway.LogFields): void {
        this.metrics.count("boragedale_events_total", { event: definition.name });
        if (this.countLine(definition)) {
            this.logger?.[definition.level]({ event: definition.number, ...fields }, definition.name);
        }
    }

    override finished(
        request: gateway.LoggedRequest,
        text: string,
        upstream: core.UpstreamId,
        progress: gateway.LoggedProgress,
    ): void {
        const now = this.clock.now();
        const firstAt = progress.delivery.firstByteAt;
        const labels = { route: request.route.name };
        this.metrics.count("boragedale_requests_total", { ...labels, outcome: text });
        this.metrics.recordDuration("boragedale_request_seconds", labels, now - request.arrivedAt);
        if (firstAt !== undefined) {
            this.metrics.recordDuration("boragedale_first_byte_seconds", labels, firstAt - request.arrivedAt);
        }
        this.record(telemetry.events.GatewayAnswered, {
            request: request.head.attemptId,
            route: request.route.name,
            ...describeContinuation(request),
            upstream,
            version: progress.upstreamVersion,
            text,
            milliseconds: Math.round(now - request.arrivedAt),
            firstMilliseconds: firstAt === undefined ? undefined : Math.round(firstAt - request.arrivedAt),
            ...this.recordWait(request, progress),
            sends: progress.sends,
            ...progress.received,
            online: progress.estimatedUse.online,
            batch: progress.estimatedUse.batch,
        });
    }

    override refused(
        request: gateway.LoggedRequest,
        reason: gateway.RefusalReason,
        detail: string,
        progress: gateway.LoggedProgress,
    ): void {
        this.metrics.count("boragedale_requests_total", { route: request.route.name, outcome: reason });
        this.record(telemetry.events.GatewayRefused, {
            request: request.head.attemptId,
            route: request.route.name,
            ...describeContinuation(request),
            reason,
            detail,
            milliseconds: Math.round(this.clock.now() - request.arrivedAt),
            ...this.recordWait(request, progress),
            sends: progress.sends,
            runs: progress.runs,
            hasBegun: progress.delivery.firstByteAt !== undefined,
        });
    }

    override attemptEnded(
        request: gateway.LoggedRequest,
        upstream: core.UpstreamId,
        outcome: string,
        text: string,
        isRepeated: boolean,
        progress: gateway.LoggedProgress,
    ): void {
        this.metrics.count("boragedale_attempts_failed_total", { route: request.route.name, outcome });
        this.record(telemetry.events.GatewayAttemptFailed, {
            request: request.head.attemptId,
            ...describeContinuation(request),
            upstream,
            version: progress.upstreamVersion,
            outcome,
            text,
            isRepeated,
            ...progress.received,
        });
    }

    override recordEvent(event: gateway.GatewayEvent, fields: gateway.LogFields): void {
        this.record(GatewayEvents[event], fields);
    }

    /** Records that the settings file was read again. */
    recordReload(changed: readonly string[], findings: readonly core.Finding[]): void {
        this.record(telemetry.events.SettingsReloaded, {
            changed: changed.join(","),
            findings: findings.map(finding => core.formatFinding(finding)).join("; "),
        });
    }

    async [Symbol.asyncDispose](): Promise<void> {
        clearInterval(this.flushTimer);
        await new Promise<void>(resolve => {
            this.destination.once("close", resolve);
            this.destination.once("error", () => resolve());
            this.destination.end();
        });
    }

    /** Records the wait for a slot by customer, and returns the fields of the request's line that tell it. */
    private recordWait(request: gateway.LoggedRequest, progress: gateway.LoggedProgress): gateway.LogFields {
        const { customer } = request;
        const { waitMilliseconds } = progress;
        if (waitMilliseconds === undefined) {
            return { customer };
        }
        const label = customer === undefined ? customerLabels.NoCustomer : this.customerLabels.getLabel(customer);
        this.metrics.recordDuration(OnlineWaitMetric, { customer: label }, waitMilliseconds);
        return { customer, waitMilliseconds: Math.round(waitMilliseconds) };
    }

    private countLine(definition: telemetry.events.EventDefinition): boolean {
        const second = Math.floor(this.clock.now() / 1_000);
        const lineCount = this.lineCounts.get(definition.name) ?? { second, written: 0, suppressed: 0 };
        this.lineCounts.set(definition.name, lineCount);
        if (lineCount.second !== second) {
            if (lineCount.suppressed > 0) {
                const fields = { event: telemetry.events.LinesSuppressed.number, of: definition.number };
                this.logger?.warn({ ...fields, count: lineCount.suppressed, dropped: this.dropped }, "LinesSuppressed");
            }
            lineCount.second = second;
            lineCount.written = 0;
            lineCount.suppressed = 0;
        }
        lineCount.written++;
        if (lineCount.written > MaxLinesPerSecond) {
            lineCount.suppressed++;
            return false;
        }
        return true;
    }
}

/** The fields of a request that continues a stream: the attempt that brought the first event, and the last event received. */
function describeContinuation(request: gateway.LoggedRequest): gateway.LogFields {
    const { firstAttemptId, lastEventId } = request.head;
    return { resumes: firstAttemptId, after: lastEventId };
}
