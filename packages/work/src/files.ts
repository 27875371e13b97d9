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

/** Uncompressed size of a piece. A piece that doesn't compress still fits into a value. */
export const PieceBytes = 900_000;
const MaximumInlineBytes = 64_000;
/** How long a read or write is retried before it fails. */
const RetryTimeoutMilliseconds = 10_000;
const RetryMilliseconds = 250;

/** Thrown when content can't be read to its end. */
export class ContentUnavailableError extends Error {
    constructor(
        key: string,
        text: string,
        /** The content was removed, so that retrying is useless. */
        readonly isRemoved: boolean,
    ) {
        super(`'${key}' can't be read: ${text}`);
    }
}

/** Stores content of any size in values below the size limit, written and read piece by piece. */
export class ContentStore {
    constructor(private readonly options: ContentStoreOptions) {}

    /** Writes a file's pieces as they arrive, one at a time in memory. The file exists once its record is written. */
    async writePieces(
        file: string,
        content: AsyncIterable<Uint8Array>,
    ): Promise<StoreResult & { readonly pieces: readonly number[]; readonly inline?: Uint8Array }> {
        const pieces: number[] = [];
        let pendingPiece: Uint8Array | undefined;
        for await (const piece of splitIntoPieces(content)) {
            if (pendingPiece !== undefined) {
                const stored = await this.writePiece(file, pieces.length, pendingPiece);
                if (!stored.ok) {
                    return { ...stored, pieces };
                }
                pieces.push(pendingPiece.byteLength);
            }
            pendingPiece = piece;
        }
        if (pendingPiece === undefined) {
            return { ok: true, pieces };
        }
        const compressed = await codec.compress(pendingPiece);
        if (pieces.length === 0 && compressed.byteLength <= MaximumInlineBytes) {
            return { ok: true, pieces: [pendingPiece.byteLength], inline: compressed };
        }
        const stored = await this.writePiece(file, pieces.length, pendingPiece);
        pieces.push(pendingPiece.byteLength);
        return { ...stored, pieces };
    }

    /** Removes the pieces of a failed upload, as far as the service replies. */
    async removePieces(file: string, pieces: number): Promise<void> {
        for (let piece = 0; piece <= pieces; piece++) {
            await this.remove(jobRecords.getPieceKey(file, piece), backing.CallPurpose.JobInput);
        }
    }

    /**
     * Reads the bytes from `start` to `end` of a file. Throws `ContentUnavailableError` if a piece can't be read, since
     * a stream that simply ended would be mistaken for the complete content.
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

    /** Tries once to create a value that has no other writer. Returns true if it is stored. */
    async tryCreate(key: string, value: Uint8Array, purpose: backing.CallPurpose): Promise<boolean> {
        const written = await swap.writeValue(this.options.keyValue, this.options.clock, {
            key,
            expectedRevision: 0,
            value,
            purpose,
        });
        return written.kind === swap.WriteKind.Written;
    }

    /** Creates a value that has no other writer, with retries while the service is busy or down. */
    async create(key: string, value: Uint8Array, purpose: backing.CallPurpose): Promise<StoreResult> {
        const { keyValue, clock } = this.options;
        const timeoutAt = clock.now() + RetryTimeoutMilliseconds;
        for (;;) {
            const written = await swap.writeValue(keyValue, clock, { key, expectedRevision: 0, value, purpose });
            switch (written.kind) {
                case swap.WriteKind.Written:
                    return { ok: true };
                case swap.WriteKind.Conflict:
                    return { ok: false, text: `'${key}' exists` };
                case swap.WriteKind.Failed:
                case swap.WriteKind.Unknown:
                    if (clock.now() >= timeoutAt) {
                        return { ok: false, text: written.text };
                    }
                    await clock.sleep(RetryMilliseconds);
            }
        }
    }

    async tryGetValue(key: string): Promise<Uint8Array | undefined> {
        const entry = await this.options.keyValue.get(key, backing.CallPurpose.Read);
        return entry.ok ? entry.value?.value : undefined;
    }

    /** Reads an existing value, with retries. Throws `ContentUnavailableError`. */
    async readValue(key: string): Promise<Uint8Array> {
        const { keyValue, clock } = this.options;
        const timeoutAt = clock.now() + RetryTimeoutMilliseconds;
        for (;;) {
            const entry = await keyValue.get(key, backing.CallPurpose.Read);
            if (entry.ok && entry.value !== undefined) {
                return entry.value.value;
            }
            if (entry.ok || clock.now() >= timeoutAt) {
                throw new ContentUnavailableError(key, entry.ok ? "it was removed" : entry.failure.text, entry.ok);
            }
            await clock.sleep(RetryMilliseconds);
        }
    }

    /** Deletes a value regardless of its revision. Returns true if it is known to be absent. */
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

/** Regroups content as it arrives from the network into pieces of `PieceBytes`. */
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
