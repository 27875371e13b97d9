import * as core from "@boragedale/core";

/** A complete event of a stream: its bytes as received, and its id if it has one. */
export interface RawEvent {
    readonly bytes: Buffer;
    readonly id: number | undefined;
}

const NoBytes = Buffer.alloc(0);
const LineFeed = 0x0a;
const CarriageReturn = 0x0d;
/**
 * Maximum size of an event. A stream with a longer one is rejected as not an event stream, which bounds the buffer: an upstream may send
 * one without end. Events carry a few tokens each.
 */
const MaximumEventBytes = 262_144;
/** Maximum size of successive events without content, such as comments. Of empty ones, this many bytes are thousands of events. */
const MaximumBytesWithoutContent = 16_384;
/** Length of the longest beginning of a blank line: a line feed and a carriage return. */
const BlankLinePrefixBytes = 2;

/**
 * Splits a byte stream into events without changing their bytes, since callers must receive exactly what the upstream sent. A
 * parser library returns decoded fields, which can't be encoded to the same bytes again. Only complete events are returned, so
 * that a stream that breaks within an event can be continued at another upstream.
 */
export class EventSplitter {
    /** Begins with the bytes after the last complete event. Grows by doubling, since copying them with each arrival would be slow. */
    private held: Buffer = NoBytes;
    private heldBytes = 0;
    private bytesWithoutContent = 0;
    private eventCount = 0;

    /** Returns the events that `data` completes, or undefined if the data is not an event stream. */
    push(data: Buffer): RawEvent[] | undefined {
        const events: RawEvent[] = [];
        let buffer = data;
        for (let end = this.findFirstEnd(buffer); end > 0; end = findEventEnd(buffer)) {
            // Most often the network delivers exactly one event, which needs no partial view.
            const isWhole = end === buffer.length;
            const bytes = this.takeHeld(isWhole ? buffer : buffer.subarray(0, end));
            const event = { bytes, id: tryReadId(bytes) };
            this.bytesWithoutContent = hasEventContent(event) ? 0 : this.bytesWithoutContent + bytes.length;
            events.push(event);
            buffer = isWhole ? NoBytes : buffer.subarray(end);
        }
        this.hold(buffer);
        this.eventCount += events.length;
        return this.heldBytes > MaximumEventBytes || this.bytesWithoutContent > MaximumBytesWithoutContent
            ? undefined
            : events;
    }

    /** Bytes after the last complete event. */
    getRemainder(): Buffer {
        return this.held.subarray(0, this.heldBytes);
    }

    /** Number of complete events. */
    getEventCount(): number {
        return this.eventCount;
    }

    /** Returns why a stream that ends now was broken off; undefined if it is complete. */
    tryGetBreakReason(framing: core.BodyFraming): string | undefined {
        if (this.heldBytes > 0) {
            return "ended within an event";
        }
        // The connection of an upstream that is killed closes as regularly as after the last event.
        return framing === core.BodyFraming.Close && this.eventCount === 0
            ? "closed before the first event"
            : undefined;
    }

    /** Returns the index in `data` after the blank line that ends the event whose beginning is held, or 0 if there is none. */
    private findFirstEnd(data: Buffer): number {
        if (this.heldBytes === 0) {
            return findEventEnd(data);
        }
        // A blank line may have begun in the bytes that are held.
        const tail = this.held.subarray(Math.max(0, this.heldBytes - BlankLinePrefixBytes), this.heldBytes);
        const end = findEventEnd(Buffer.concat([tail, data]));
        return end === 0 ? 0 : end - tail.length;
    }

    private takeHeld(last: Buffer): Buffer {
        if (this.heldBytes === 0) {
            return last;
        }
        const bytes = Buffer.concat([this.held.subarray(0, this.heldBytes), last]);
        this.held = NoBytes;
        this.heldBytes = 0;
        return bytes;
    }

    private hold(rest: Buffer): void {
        const length = this.heldBytes + rest.length;
        if (length > this.held.length) {
            const grown = Buffer.alloc(Math.max(length, this.held.length * 2));
            this.held.copy(grown, 0, 0, this.heldBytes);
            this.held = grown;
        }
        rest.copy(this.held, this.heldBytes);
        this.heldBytes = length;
    }
}

/** Whether the event carries the answer forward. Others, such as empty ones and comments, may come without end. */
export function hasEventContent({ bytes, id }: RawEvent): boolean {
    return id !== undefined || bytes.includes("data");
}

/** Returns the index after the blank line that ends the first event, or 0 if there is none. */
function findEventEnd(buffer: Buffer): number {
    for (let index = buffer.indexOf(LineFeed); index >= 0; index = buffer.indexOf(LineFeed, index + 1)) {
        if (buffer[index + 1] === LineFeed) {
            return index + 2;
        }
        if (buffer[index + 1] === CarriageReturn && buffer[index + 2] === LineFeed) {
            return index + 3;
        }
    }
    return 0;
}

/** Reads the id from the first line that has one. Decodes only that line, since events are long and ids short. */
function tryReadId(bytes: Buffer): number | undefined {
    let start = 0;
    for (let end = bytes.indexOf(LineFeed); end >= 0; end = bytes.indexOf(LineFeed, start)) {
        // The characters of "id:".
        if (bytes[start] === 0x69 && bytes[start + 1] === 0x64 && bytes[start + 2] === 0x3a) {
            const id = Number(bytes.toString("latin1", start + 3, end).trim());
            return Number.isSafeInteger(id) ? id : undefined;
        }
        start = end + 1;
    }
    return undefined;
}
