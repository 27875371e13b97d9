import * as crypto from "node:crypto";

/**
 * A record on disk: length of the payload (4 bytes, little endian), sequence number (8 bytes), digest of both and the
 * payload (16 bytes), payload. The sequence number allows a record to be rejected that remains from an earlier use of the
 * same file position.
 */
export interface SpoolRecord {
    /** Increases by one from record to record. */
    readonly sequence: number;
    readonly payload: Uint8Array;
}

export interface DecodedRecords {
    readonly records: readonly SpoolRecord[];
    /** Bytes up to the end of the last complete record; what follows is incomplete or damaged. */
    readonly wholeBytes: number;
}

const LengthBytes = 4;
const SequenceBytes = 8;
/** Half of a SHA-256, which is enough to detect incomplete writes; it isn't meant to withstand an attacker. */
const DigestBytes = 16;
export const RecordHeaderBytes = LengthBytes + SequenceBytes + DigestBytes;

export function encodeRecord(record: SpoolRecord): Buffer {
    const bytes = Buffer.alloc(RecordHeaderBytes + record.payload.byteLength);
    bytes.writeUInt32LE(record.payload.byteLength, 0);
    bytes.writeBigUInt64LE(BigInt(record.sequence), LengthBytes);
    bytes.set(record.payload, RecordHeaderBytes);
    bytes.set(computeDigest(bytes), LengthBytes + SequenceBytes);
    return bytes;
}

/** Reads records, the first with sequence number `firstSequence`, up to the first one that is incomplete or damaged. */
export function decodeRecords(bytes: Buffer, firstSequence: number): DecodedRecords {
    const records: SpoolRecord[] = [];
    let offset = 0;
    for (;;) {
        const record = tryDecodeRecord(bytes.subarray(offset));
        if (record === undefined || record.sequence !== firstSequence + records.length) {
            return { records, wholeBytes: offset };
        }
        records.push(record);
        offset += RecordHeaderBytes + record.payload.byteLength;
    }
}

function tryDecodeRecord(bytes: Buffer): SpoolRecord | undefined {
    if (bytes.byteLength < RecordHeaderBytes) {
        return undefined;
    }
    const end = RecordHeaderBytes + bytes.readUInt32LE(0);
    if (bytes.byteLength < end) {
        return undefined;
    }
    const whole = bytes.subarray(0, end);
    const digest = whole.subarray(LengthBytes + SequenceBytes, RecordHeaderBytes);
    if (!digest.equals(computeDigest(whole))) {
        return undefined;
    }
    return { sequence: Number(whole.readBigUInt64LE(LengthBytes)), payload: whole.subarray(RecordHeaderBytes) };
}

function computeDigest(record: Buffer): Buffer {
    const hash = crypto.createHash("sha256");
    hash.update(record.subarray(0, LengthBytes + SequenceBytes)).update(record.subarray(RecordHeaderBytes));
    return hash.digest().subarray(0, DigestBytes);
}
