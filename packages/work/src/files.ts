import type * as core from "@boragedale/core";
import * as backing from "@boragedale/backing";
import * as codec from "./codec.js";
import * as jobRecords from "./jobRecords.js";
import * as swap from "./swap.js";

export interface ContentStoreOptions {
    readonly keyValue: backing.KeyValueService;
    readonly clock: core.Clock;
}

export type StoreResult = { readonly ok: true } | { readonly ok: false; readonly text: string };

/** Uncompressed; a piece that doesn't compress still fits into a value. */
export const PieceBytes = 900_000;
const InlineBytes = 64_000;
/** How long a write is tried again before the upload is refused. */
const RetryTimeoutMilliseconds = 10_000;
const RetryMilliseconds = 250;

/** Ends a stream of content that can't be completed. */
export class ContentUnavailableError extends Error {
    constructor(
        key: string,
        text: string,
        /** It will not be there later either. */
        readonly isRemoved: boolean,
    ) {
        super(`'${key}' can't be read: ${text}`);
    }
}

/** Content of any size in values under the size limit, written and read piece by piece. */
export class ContentStore {
    constructor(private readonly options: ContentStoreOptions) {}

    /** Writes the pieces of a file as they come; memory holds one piece. The file exists once its record is written. */
    async writePieces(
        file: string,
        content: AsyncIterable<Uint8Array>,
    ): Promise<StoreResult & { readonly pieces: readonly number[]; readonly inline?: Uint8Array }> {
        const pieces: number[] = [];
        let waiting: Uint8Array | undefined;
        for await (const piece of splitIntoPieces(content)) {
            if (waiting !== undefined) {
                const stored = await this.writePiece(file, pieces.length, waiting);
                if (!stored.ok) {
                    return { ...stored, pieces };
                }
                pieces.push(waiting.byteLength);
            }
            waiting = piece;
        }
        if (waiting === undefined) {
            return { ok: true, pieces };
        }
        const compressed = await codec.compress(waiting);
        if (pieces.length === 0 && compressed.byteLength <= InlineBytes) {
            return { ok: true, pieces: [waiting.byteLength], inline: compressed };
        }
        const stored = await this.writePiece(file, pieces.length, waiting);
        pieces.push(waiting.byteLength);
        return { ...stored, pieces };
    }

    /** Removes what an upload that failed has left, as far as the service answers. */
    async removePieces(file: string, pieces: number): Promise<void> {
        for (let piece = 0; piece <= pieces; piece++) {
            await this.remove(jobRecords.getPieceKey(file, piece), backing.CallPurpose.JobInput);
        }
    }

    /**
     * Bytes `start` to `end` of a file. Throws `ContentUnavailableError` where a piece can't be read: a stream that
     * just ended would pass for the whole content.
     */
    async *readRange(file: jobRecords.FileRecord, start: number, end: number): AsyncIterable<Uint8Array> {
        let offset = 0;
        for (const [piece, length] of file.pieces.entries()) {
            if (offset + length > start && offset < end) {
                const bytes = await this.readPiece(file, piece);
                yield bytes.subarray(Math.max(0, start - offset), Math.min(length, end - offset));
            }
            offset += length;
        }
    }

    /** One try to create a value that nobody else writes; true once it is there. */
    async tryCreate(key: string, value: Uint8Array, purpose: backing.CallPurpose): Promise<boolean> {
        const written = await swap.writeValue(this.options.keyValue, this.options.clock, {
            key,
            expectedRevision: 0,
            value,
            purpose,
        });
        return written.kind === swap.WriteKind.Written;
    }

    /** Creates a value that nobody else writes; tries again for a while when the service is busy or down. */
    async create(key: string, value: Uint8Array, purpose: backing.CallPurpose): Promise<StoreResult> {
        const { keyValue, clock } = this.options;
        const giveUpAt = clock.now() + RetryTimeoutMilliseconds;
        for (;;) {
            const written = await swap.writeValue(keyValue, clock, { key, expectedRevision: 0, value, purpose });
            switch (written.kind) {
                case swap.WriteKind.Written:
                    return { ok: true };
                case swap.WriteKind.Conflict:
                    return { ok: false, text: `'${key}' exists` };
                case swap.WriteKind.Failed:
                case swap.WriteKind.Unknown:
                    if (clock.now() >= giveUpAt) {
                        return { ok: false, text: written.text };
                    }
                    await clock.sleep(RetryMilliseconds);
            }
        }
    }

    async tryReadValue(key: string): Promise<Uint8Array | undefined> {
        const entry = await this.options.keyValue.get(key, backing.CallPurpose.Read);
        return entry.ok ? entry.value?.value : undefined;
    }

    /** Reads a value that must be there, trying again for a while. Throws `ContentUnavailableError`. */
    async readValue(key: string): Promise<Uint8Array> {
        const { keyValue, clock } = this.options;
        const giveUpAt = clock.now() + RetryTimeoutMilliseconds;
        for (;;) {
            const entry = await keyValue.get(key, backing.CallPurpose.Read);
            if (entry.ok && entry.value !== undefined) {
                return entry.value.value;
            }
            if (entry.ok || clock.now() >= giveUpAt) {
                throw new ContentUnavailableError(key, entry.ok ? "it was removed" : entry.failure.text, entry.ok);
            }
            await clock.sleep(RetryMilliseconds);
        }
    }

    /** Deletes a value whatever its revision; true once it is known to be absent. */
    async remove(key: string, purpose: backing.CallPurpose): Promise<boolean> {
        const { keyValue } = this.options;
        const entry = await keyValue.get(key, purpose);
        if (!entry.ok || entry.value === undefined) {
            return entry.ok;
        }
        const { revision } = entry.value;
        const removed = await keyValue.compareAndSwap({ key, expectedRevision: revision, value: undefined, purpose });
        return removed.ok && removed.value.swapped;
    }

    private async writePiece(file: string, piece: number, bytes: Uint8Array): Promise<StoreResult> {
        const key = jobRecords.getPieceKey(file, piece);
        return this.create(key, await codec.compress(bytes), backing.CallPurpose.JobInput);
    }

    private async readPiece(file: jobRecords.FileRecord, piece: number): Promise<Uint8Array> {
        if (file.inline !== undefined) {
            return codec.decompress(file.inline);
        }
        return codec.decompress(await this.readValue(jobRecords.getPieceKey(file.id, piece)));
    }
}

/** Joins and cuts what the network delivers into pieces of `PieceBytes`. */
async function* splitIntoPieces(content: AsyncIterable<Uint8Array>): AsyncIterable<Uint8Array> {
    let parts: Uint8Array[] = [];
    let bytes = 0;
    for await (let part of content) {
        while (bytes + part.byteLength >= PieceBytes) {
            parts.push(part.subarray(0, PieceBytes - bytes));
            yield Buffer.concat(parts);
            part = part.subarray(PieceBytes - bytes);
            parts = [];
            bytes = 0;
        }
        parts.push(part);
        bytes += part.byteLength;
    }
    if (bytes > 0) {
        yield Buffer.concat(parts);
    }
}
