/** A complete event of a stream: its bytes as received, and its id if it has one. */
export interface RawEvent {
    readonly bytes: Buffer;
    readonly id: number | undefined;
}

const LineFeed = 0x0a;
const CarriageReturn = 0x0d;
/** Maximum size of an event. A stream with a longer one is rejected as not an event stream, which bounds the buffer. */
const MaximumEventBytes = 1_048_576;

/**
 * Splits a byte stream into events without changing their bytes, since callers must receive exactly what the upstream sent. A
 * parser library returns decoded fields, which can't be encoded to the same bytes again. Only complete events are returned, so
 * that a stream that breaks within an event can be continued at another upstream.
 */
export class EventSplitter {
    private remainder: Buffer = Buffer.alloc(0);

    /** Returns the events that `data` completes, or undefined if the data is not an event stream. */
    push(data: Buffer): RawEvent[] | undefined {
        let buffer = this.remainder.length === 0 ? data : Buffer.concat([this.remainder, data]);
        const events: RawEvent[] = [];
        for (let end = findEventEnd(buffer); end > 0; end = findEventEnd(buffer)) {
            const bytes = buffer.subarray(0, end);
            events.push({ bytes, id: tryReadId(bytes) });
            buffer = buffer.subarray(end);
        }
        this.remainder = buffer;
        return buffer.length > MaximumEventBytes ? undefined : events;
    }

    /** Bytes after the last complete event. */
    getRemainder(): Buffer {
        return this.remainder;
    }
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

function tryReadId(bytes: Buffer): number | undefined {
    for (const line of bytes.toString("latin1").split("\n")) {
        if (line.startsWith("id:")) {
            const id = Number(line.slice(3).trim());
            return Number.isSafeInteger(id) ? id : undefined;
        }
    }
    return undefined;
}
