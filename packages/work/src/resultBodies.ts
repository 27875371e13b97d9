import * as backing from "@boragedale/backing";
import * as codec from "./codec.js";
import type * as files from "./files.js";
import * as sealedCalls from "./sealedCalls.js";
import type * as types from "./types.js";

/** Bodies up to this size are sent and stored within their call's record. */
const InlineBytes = 16_000;
/** Uncompressed size of a piece. A piece that doesn't compress still fits into a value. */
const PieceBytes = 900_000;

/**
 * Stores large result bodies in separate values. In the shard's head they would be rewritten with each commit, and a
 * few of them would exceed the size limit of a value.
 */
export class ResultBodies {
    constructor(private readonly contentStore: files.ContentStore) {}

    /** Stores the body separately if it is large and returns the result without it. Undefined if the write failed. */
    async store(name: string, result: types.CallResult): Promise<types.CallResult | undefined> {
        if (result.body.byteLength <= InlineBytes) {
            return result;
        }
        let pieces = 0;
        for (let start = 0; start < result.body.byteLength; start += PieceBytes) {
            const value = await codec.compress(result.body.subarray(start, start + PieceBytes));
            const key = sealedCalls.getBodyKey(name, pieces++);
            if (!(await this.contentStore.tryCreate(key, value, backing.CallPurpose.Ledger))) {
                return undefined;
            }
        }
        return { ...result, body: new Uint8Array(), storedBody: { name, pieces } };
    }

    /** Returns the result with its body, or undefined if the body can't be read now. */
    async load(result: types.CallResult): Promise<types.CallResult | undefined> {
        if (result.storedBody === undefined) {
            return result;
        }
        const { name, pieces } = result.storedBody;
        const parts: Uint8Array[] = [];
        for (let piece = 0; piece < pieces; piece++) {
            const value = await this.contentStore.tryGetValue(sealedCalls.getBodyKey(name, piece));
            if (value === undefined) {
                return undefined;
            }
            parts.push(await codec.decompress(value));
        }
        return { status: result.status, headers: result.headers, body: Buffer.concat(parts) };
    }
}
