import type * as core from "@boragedale/core";
import type * as events from "./events.js";

/** What an event belongs to. Filled as far as it is known. */
export interface EventSubject {
    readonly request?: string;
    readonly job?: string;
    readonly upstream?: core.UpstreamId;
    readonly caller?: core.CallerId;
    readonly generation?: core.Generation;
    readonly text?: string;
}

/** One event, as the operator face gives it out. */
export interface TimeLineEvent extends EventSubject {
    readonly instance: core.InstanceId;
    /** Logical time: an event that another one caused, even over a peer link, has a lower one. */
    readonly logicalTime: number;
    readonly wallTime: core.WallMilliseconds;
    readonly number: number;
    readonly name: string;
}

/** Which events are wanted. */
export interface TimeLineFilter {
    readonly request?: string;
    readonly job?: string;
    readonly upstream?: core.UpstreamId;
    readonly generation?: core.Generation;
    readonly number?: number;
}

/**
 * A bounded ring of events. It carries a Lamport clock: wall clocks of instances differ by more than a request takes,
 * so sorting by them would show an answer before its question.
 */
export class TimeLine {
    private readonly ring: (TimeLineEvent | undefined)[];
    private nextSlot = 0;
    private logicalTime = 0;

    constructor(
        private readonly instance: core.InstanceId,
        private readonly clock: core.Clock,
        capacity = 4_096,
    ) {
        this.ring = new Array<TimeLineEvent | undefined>(capacity).fill(undefined);
    }

    /** The logical time to put on an outgoing message. */
    getLogicalTime(): number {
        return this.logicalTime;
    }

    /** Notes the logical time of an incoming message, so that what it causes sorts after what sent it. */
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
        this.ring[this.nextSlot] = event;
        this.nextSlot = (this.nextSlot + 1) % this.ring.length;
        return event;
    }

    read(filter: TimeLineFilter = {}): readonly TimeLineEvent[] {
        const ordered = [...this.ring.slice(this.nextSlot), ...this.ring.slice(0, this.nextSlot)];
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
