import * as util from "node:util";
import * as zlib from "node:zlib";
import * as msgpackr from "msgpackr";

/** Encodes records as values of the key-value service and as payloads of messages between instances. */

const packer = new msgpackr.Packr({ useRecords: false, variableMapSize: true });
const deflate = util.promisify(zlib.deflateRaw);
const inflate = util.promisify(zlib.inflateRaw);

/** Values up to this size are copied, since each would keep the packer's whole shared buffer in memory. */
const MaximumCopiedBytes = 64_000;

export function encode(value: unknown): Uint8Array {
    const packed = packer.pack(value);
    return packed.byteLength > MaximumCopiedBytes ? packed : Uint8Array.from(packed);
}

/** Decodes a value made by `encode`. The type isn't checked, since only values written by this code are read. */
export function decode<T>(bytes: Uint8Array): T {
    return packer.unpack(bytes) as T;
}

/**
 * Values up to this size are processed on the main thread: that takes less than a millisecond, and passing them to
 * another thread would take as long.
 */
const MaximumSynchronousBytes = 64_000;

/** Compresses at a low level, since entry instances have little CPU and values are written only once. */
export async function compress(bytes: Uint8Array): Promise<Uint8Array> {
    const options = { level: 2 };
    return bytes.byteLength <= MaximumSynchronousBytes ? zlib.deflateRawSync(bytes, options) : deflate(bytes, options);
}

export async function decompress(bytes: Uint8Array): Promise<Uint8Array> {
    return bytes.byteLength <= MaximumSynchronousBytes ? zlib.inflateRawSync(bytes) : inflate(bytes);
}
