import * as util from "node:util";
import * as zlib from "node:zlib";
import * as msgpackr from "msgpackr";

/** How records are turned into values of the key-value service and payloads between instances. */

const packer = new msgpackr.Packr({ useRecords: false, variableMapSize: true });
const deflate = util.promisify(zlib.deflateRaw);
const inflate = util.promisify(zlib.inflateRaw);

/** Larger values own their buffer; a small one is copied, since it would keep the packer's whole buffer in memory. */
const CopiedBytes = 64_000;

export function encode(value: unknown): Uint8Array {
    const packed = packer.pack(value);
    return packed.byteLength > CopiedBytes ? packed : Uint8Array.from(packed);
}

/** Decodes what `encode` made; the caller names the type, since only our own writes are read. */
export function decode<T>(bytes: Uint8Array): T {
    return packer.unpack(bytes) as T;
}

/** Small values are worked on in place: it takes less than a millisecond, and handing them to a thread as much. */
const InPlaceBytes = 64_000;

/** Compresses with low effort: values are written once, and the entry instances are small. */
export async function compress(bytes: Uint8Array): Promise<Uint8Array> {
    const options = { level: 2 };
    return bytes.byteLength <= InPlaceBytes ? zlib.deflateRawSync(bytes, options) : deflate(bytes, options);
}

export async function decompress(bytes: Uint8Array): Promise<Uint8Array> {
    return bytes.byteLength <= InPlaceBytes ? zlib.inflateRawSync(bytes) : inflate(bytes);
}
