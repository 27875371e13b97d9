import type * as core from "@boragedale/core";
import type * as decisions from "@boragedale/decisions";

/** Sums of the times that were measured at one engine. */
class TimeSums {
    eventMilliseconds = 0;
    events = 0;
    firstEventMilliseconds = 0;
    firstEvents = 0;

    add(other: TimeSums, factor: number): void {
        this.eventMilliseconds += other.eventMilliseconds / factor;
        this.events += other.events;
        this.firstEventMilliseconds += other.firstEventMilliseconds / factor;
        this.firstEvents += other.firstEvents;
    }

    scale(factor: number): void {
        this.eventMilliseconds *= factor;
        this.events *= factor;
        this.firstEventMilliseconds *= factor;
        this.firstEvents *= factor;
    }

    /** The means, divided by a factor. */
    toSample(factor = 1): decisions.SpeedSample {
        return {
            eventMilliseconds: this.events === 0 ? 0 : this.eventMilliseconds / this.events / factor,
            firstEventMilliseconds:
                this.firstEvents === 0 ? 0 : this.firstEventMilliseconds / this.firstEvents / factor,
            events: Math.max(this.events, this.firstEvents),
        };
    }
}

/** What this member measures at one engine. */
export class EngineMeter {
    /** Since the last collection. */
    readonly sums = new TimeSums();
    /** Since the last notice, without the part that is attributed to this member itself. */
    readonly pending = new TimeSums();
    /** Mean time per event of the last collection as a multiple of the engine's usual time. */
    ratio = 1;
    ratioAt: core.MonotonicMilliseconds = -Infinity;
    /** Time per event in the last notice. */
    sentMilliseconds = 0;
    sentAt: core.MonotonicMilliseconds = -Infinity;
    rowIntervalMilliseconds = 0;
    coordinator: core.InstanceId | undefined;
    isOwnReported = false;

    constructor(
        readonly upstream: core.UpstreamId,
        readonly service: string,
    ) {}
}

/** Is told of measured times. */
export interface MeasuringListener {
    /** Called with a meter that has its first time since the last collection. */
    readonly noteMeasured: (meter: EngineMeter) => void;
    readonly collectIfDue: (now: core.MonotonicMilliseconds) => void;
}

/** Measures the times between the events of one stream. */
export class StreamMeter {
    private lastAt: core.MonotonicMilliseconds | undefined;

    constructor(
        private readonly listener: MeasuringListener,
        private readonly meter: EngineMeter,
        private readonly startedAt: core.MonotonicMilliseconds,
    ) {}

    /**
     * Records that `count` events arrived together. Their mean is right even if this process was stopped while they
     * arrived.
     */
    onEvents(count: number, now: core.MonotonicMilliseconds): void {
        const { sums } = this.meter;
        if (sums.events === 0 && sums.firstEvents === 0) {
            this.listener.noteMeasured(this.meter);
        }
        if (this.lastAt === undefined) {
            sums.firstEventMilliseconds += now - this.startedAt;
            sums.firstEvents++;
        }
        else {
            sums.eventMilliseconds += now - this.lastAt;
            sums.events += count;
        }
        this.lastAt = now;
        this.listener.collectIfDue(now);
    }

    /** Excludes the time since the last event, because the caller read slowly and the stream was paused. */
    onResumed(now: core.MonotonicMilliseconds): void {
        this.lastAt = now;
    }
}
