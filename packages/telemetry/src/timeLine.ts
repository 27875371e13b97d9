import type * as core from "@boragedale/core";
import type * as events from "./events.js";

/** What an event refers to, as far as known. */
export interface EventSubject {
    readonly request?: string;
    readonly job?: string;
    readonly upstream?: core.UpstreamId;
    readonly caller?: core.CallerId;
    readonly generation?: core.Generation;
    readonly text?: string;
}

/** An event as returned by the operator endpoint. */
export interface TimeLineEvent extends EventSubject {
    readonly instance: core.InstanceId;
    /** Lamport timestamp: an event has a lower one than the events that it causes, also on other instances. */
    readonly logicalTime: number;
    readonly wallTime: core.WallMilliseconds;
    readonly number: number;
    readonly name: string;
}

/** Selects events: those that match all given fields. */
export interface TimeLineFilter {
    readonly request?: string;
    readonly job?: string;
    readonly upstream?: core.UpstreamId;
    readonly generation?: core.Generation;
    readonly number?: number;
}

/**
 * A ring buffer of events with a Lamport clock. Wall clocks of instances differ by more than the duration of a request, so
 * sorting by them could show a response before its request.
 */
export class TimeLine {
    private readonly ring: (TimeLineEvent | undefined)[];
    private nextIndex = 0;
    private logicalTime = 0;

    constructor(
        private readonly instance: core.InstanceId,
        private readonly clock: core.Clock,
        capacity = 4_096,
    ) {
        this.ring = new Array<TimeLineEvent | undefined>(capacity).fill(undefined);
    }

    /** Returns the logical time to send with an outgoing message. */
    getLogicalTime(): number {
        return this.logicalTime;
    }

    /** Advances the clock to the logical time of an incoming message, so that later events sort after its sending. */
    observe(logicalTime: number): void {
        this.logicalTime = Math.max(this.logicalTime, logicalTime);
    }

    record(definition: events.EventDefinition, subject: EventSubject): TimeLineEvent {
        this.logicalTime++;
        const event: TimeLineEvent = {
            ...subject,
            instance: this.instance,
            logicalTime: this.logicalTime,
            wallTime: this.clock.wallNow(),
            number: definition.number,
            name: definition.name,
        };
        this.ring[this.nextIndex] = event;
        this.nextIndex = (this.nextIndex + 1) % this.ring.length;
        return event;
    }

    read(filter: TimeLineFilter = {}): readonly TimeLineEvent[] {
        const ordered = [...this.ring.slice(this.nextIndex), ...this.ring.slice(0, this.nextIndex)];
        return ordered.filter(event => event !== undefined).filter(event => matchesFilter(event, filter));
    }
}

/** Merges the events of several instances in causal order; ties are broken by wall time, then by instance. */
export function mergeTimeLines(lines: readonly (readonly TimeLineEvent[])[]): readonly TimeLineEvent[] {
    return lines.flat().sort(compareEvents);
}

export function matchesFilter(event: TimeLineEvent, filter: TimeLineFilter): boolean {
    return (
        (filter.request === undefined || event.request === filter.request) &&
        (filter.job === undefined || event.job === filter.job) &&
        (filter.upstream === undefined || event.upstream === filter.upstream) &&
        (filter.generation === undefined || event.generation === filter.generation) &&
        (filter.number === undefined || event.number === filter.number)
    );
}

function compareEvents(left: TimeLineEvent, right: TimeLineEvent): number {
    return (
        left.logicalTime - right.logicalTime ||
        left.wallTime - right.wallTime ||
        (left.instance < right.instance ? -1 : left.instance > right.instance ? 1 : 0)
    );
}
