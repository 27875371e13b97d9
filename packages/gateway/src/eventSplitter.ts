/** A whole event of a stream: its bytes as they came, and its id where it has one. */
export interface EventPiece {
    readonly bytes: Buffer;
    readonly id: number | undefined;
}

const LineFeed = 0x0a;
const CarriageReturn = 0x0d;
/** An event without an end is no event stream; more than this is never buffered. */
const LargestEventBytes = 1_048_576;

/**
 * Cuts a byte stream into events and keeps their bytes as they are. A parser library gives decoded fields, which can't be
 * turned back into the same bytes; callers are owed the upstream's own. Only whole events leave, so that a stream that
 * breaks in the middle of one can go on at another upstream.
 */
export class EventSplitter {
    private rest: Buffer = Buffer.alloc(0);

    /** Whole events in what has come so far; undefined where it can't be an event stream. */
    push(data: Buffer): EventPiece[] | undefined {
        let buffer = this.rest.length === 0 ? data : Buffer.concat([this.rest, data]);
        const pieces: EventPiece[] = [];
        for (let end = findEnd(buffer); end > 0; end = findEnd(buffer)) {
            const bytes = buffer.subarray(0, end);
            pieces.push({ bytes, id: tryReadId(bytes) });
            buffer = buffer.subarray(end);
        }
        this.rest = buffer;
        return buffer.length > LargestEventBytes ? undefined : pieces;
    }

    /** Bytes after the last whole event. */
    getRest(): Buffer {
        return this.rest;
    }
}

/** Index after the blank line that ends the first event; 0 without one. */
function findEnd(buffer: Buffer): number {
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
