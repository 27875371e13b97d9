import * as backing from "@boragedale/backing";
import * as codec from "./codec.js";
import type * as files from "./files.js";
import * as sealedCalls from "./sealedCalls.js";
import type * as types from "./types.js";

/** Bodies up to this size travel and are kept with their call's record. */
const InlineBytes = 16_000;
/** Uncompressed; a piece that doesn't compress still fits into a value. */
const PieceBytes = 900_000;

/**
 * Keeps large result bodies in values of their own. In the shard's head they would be written again with each commit,
 * and a few of them would go over the size of a value.
 */
export class ResultBodies {
    constructor(private readonly vault: files.FileVault) {}

    /** The result with its body moved out where it is large; undefined when that could not be written now. */
    async moveOut(name: string, result: types.CallResult): Promise<types.CallResult | undefined> {
        if (result.body.byteLength <= InlineBytes) {
            return result;
        }
        let pieces = 0;
        for (let start = 0; start < result.body.byteLength; start += PieceBytes) {
            const value = await codec.compress(result.body.subarray(start, start + PieceBytes));
            const key = sealedCalls.getBodyKey(name, pieces++);
            if (!(await this.vault.tryCreate(key, value, backing.CallPurpose.Ledger))) {
                return undefined;
            }
        }
        return { ...result, body: new Uint8Array(), storedBody: { name, pieces } };
    }

    /** The whole result; undefined when its body can't be read now. */
    async moveIn(result: types.CallResult): Promise<types.CallResult | undefined> {
        if (result.storedBody === undefined) {
            return result;
        }
        const { name, pieces } = result.storedBody;
        const parts: Uint8Array[] = [];
        for (let piece = 0; piece < pieces; piece++) {
            const value = await this.vault.tryReadValue(sealedCalls.getBodyKey(name, piece));
            if (value === undefined) {
                return undefined;
            }
            parts.push(await codec.decompress(value));
        }
        return { status: result.status, headers: result.headers, body: Buffer.concat(parts) };
    }
}
