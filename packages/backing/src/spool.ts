import * as fileSystem from "node:fs/promises";
import * as path from "node:path";
import * as limit from "p-limit";
import * as spoolFormat from "./spoolFormat.js";

export interface SpoolOptions {
    /** Folder that only this spool uses; created if absent. */
    readonly folder: string;
    /** Maximum size on disk, in bytes, including the headers of records. */
    readonly maximumBytes: number;
    /** Size at which a new file is started, in bytes. A file is deleted when all its records are acknowledged. */
    readonly segmentBytes?: number;
}

export enum AppendOutcomeKind {
    Appended = "Appended",
    /** The size limit is reached. The record must be kept elsewhere, or appended again when the spool has drained. */
    Full = "Full",
    /** The disk failed; nothing was stored. */
    Failed = "Failed",
}

export type AppendOutcome =
    | { readonly kind: AppendOutcomeKind.Appended; readonly sequence: number }
    | { readonly kind: AppendOutcomeKind.Full }
    | { readonly kind: AppendOutcomeKind.Failed; readonly text: string };

/** Result of reading the spool's files at startup. */
export interface SpoolRecovery {
    readonly records: number;
    /** Bytes of incomplete or damaged records that were removed. */
    readonly truncatedBytes: number;
}

interface Segment {
    readonly firstSequence: number;
    /** Number of complete records. */
    recordCount: number;
    /** Bytes up to the end of the last complete record. */
    bytes: number;
}

const SegmentsPerSpool = 8;
const MaximumSegmentBytes = 8 * 1_024 * 1_024;
const FileSuffix = ".spool";

/**
 * Stores records on the instance's small disk, in order, until the key-value service has them: for example results that
 * can't be written to the service during an outage. A record whose write was interrupted by the end of the process is
 * detected by its digest at the next start and removed; the records before it are kept.
 *
 * Acknowledged records may be read again after a restart, since only whole files are deleted; the writer to the service
 * recognises records that the service already has. Files aren't synced to the device: when the process dies, its data is
 * still in the kernel, and an instance whose kernel fails is replaced by one with an empty disk anyway.
 */
export class Spool implements AsyncDisposable {
    private readonly runExclusive = limit.default(1);
    private readonly segments: Segment[] = [];
    private file: fileSystem.FileHandle | undefined;
    private acknowledgedSequence = 0;
    /** Next sequence number if no file is left, so that this process never uses a number twice. */
    private nextSequence = 1;
    private readonly segmentBytes: number;
    private recovery: SpoolRecovery = { records: 0, truncatedBytes: 0 };

    private constructor(private readonly options: SpoolOptions) {
        const bytes = Math.min(MaximumSegmentBytes, Math.ceil(options.maximumBytes / SegmentsPerSpool));
        this.segmentBytes = options.segmentBytes ?? bytes;
    }

    /** Opens the spool and removes incomplete records. Throws if the folder can't be used (a configuration error). */
    static async open(options: SpoolOptions): Promise<Spool> {
        const spool = new Spool(options);
        await fileSystem.mkdir(options.folder, { recursive: true });
        await spool.recover();
        return spool;
    }

    getRecovery(): SpoolRecovery {
        return this.recovery;
    }

    /** Size of all records on disk, in bytes. */
    getBytes(): number {
        return this.segments.reduce((sum, segment) => sum + segment.bytes, 0);
    }

    /** Number of records that are not acknowledged. */
    getPendingCount(): number {
        return this.getNextSequence() - 1 - this.acknowledgedSequence;
    }

    /** Appends a record. Concurrent calls are executed in the order in which they were made. */
    async append(payload: Uint8Array): Promise<AppendOutcome> {
        return this.runExclusive(() => this.appendRecord(payload));
    }

    /** Yields the unacknowledged records that existed at the time of the call, the oldest first. */
    async *read(): AsyncIterable<spoolFormat.SpoolRecord> {
        const end = this.getNextSequence();
        for (const segment of [...this.segments]) {
            if (getEndSequence(segment) <= this.acknowledgedSequence + 1) {
                continue;
            }
            for (const record of await this.readSegment(segment)) {
                if (record.sequence > this.acknowledgedSequence && record.sequence < end) {
                    yield record;
                }
            }
        }
    }

    /** Marks the records up to and including `sequence` as done; deletes files that contain no others. */
    async acknowledge(sequence: number): Promise<void> {
        await this.runExclusive(async () => {
            this.acknowledgedSequence = Math.min(
                this.getNextSequence() - 1,
                Math.max(this.acknowledgedSequence, sequence),
            );
            while (
                this.segments[0] !== undefined &&
                getEndSequence(this.segments[0]) <= this.acknowledgedSequence + 1
            ) {
                await this.removeOldest(this.segments[0]);
            }
        });
    }

    async [Symbol.asyncDispose](): Promise<void> {
        await this.runExclusive(() => this.closeFile());
    }

    private async appendRecord(payload: Uint8Array): Promise<AppendOutcome> {
        const record = spoolFormat.encodeRecord({ sequence: this.getNextSequence(), payload });
        if (this.getBytes() + record.byteLength > this.options.maximumBytes) {
            return { kind: AppendOutcomeKind.Full };
        }
        try {
            const { segment, file } = await this.openSegment();
            // Writes after the last complete record and so overwrites what a failed write may have left there. If that
            // was longer, its remainder is removed at the next start, since it contains no valid record.
            await writeFully(file, record, segment.bytes);
            segment.bytes += record.byteLength;
            segment.recordCount++;
            return { kind: AppendOutcomeKind.Appended, sequence: getEndSequence(segment) - 1 };
        }
        catch (error) {
            return { kind: AppendOutcomeKind.Failed, text: String((error as Error).message) };
        }
    }

    private async openSegment(): Promise<{ readonly segment: Segment; readonly file: fileSystem.FileHandle }> {
        const last = this.segments.at(-1);
        if (last !== undefined && this.file !== undefined && last.bytes < this.segmentBytes) {
            return { segment: last, file: this.file };
        }
        await this.closeFile();
        if (last !== undefined && last.bytes < this.segmentBytes) {
            this.file = await fileSystem.open(this.getPath(last), "r+");
            return { segment: last, file: this.file };
        }
        const segment = { firstSequence: this.getNextSequence(), recordCount: 0, bytes: 0 };
        this.file = await fileSystem.open(this.getPath(segment), "w");
        this.segments.push(segment);
        return { segment, file: this.file };
    }

    private async recover(): Promise<void> {
        const names = (await fileSystem.readdir(this.options.folder)).filter(name => name.endsWith(FileSuffix)).sort();
        let truncatedBytes = 0;
        for (const name of names) {
            const segment: Segment = {
                firstSequence: Number(name.slice(0, -FileSuffix.length)),
                recordCount: 0,
                bytes: 0,
            };
            const bytes = await fileSystem.readFile(this.getPath(segment));
            const { records, wholeBytes } = spoolFormat.decodeRecords(bytes, segment.firstSequence);
            truncatedBytes += bytes.byteLength - wholeBytes;
            segment.recordCount = records.length;
            segment.bytes = wholeBytes;
            await this.keepWholeRecords(segment, bytes.byteLength);
        }
        this.acknowledgedSequence = (this.segments[0]?.firstSequence ?? 1) - 1;
        const records = this.segments.reduce((sum, segment) => sum + segment.recordCount, 0);
        this.recovery = { records, truncatedBytes };
    }

    private async keepWholeRecords(segment: Segment, bytesOnDisk: number): Promise<void> {
        if (segment.recordCount === 0) {
            await fileSystem.rm(this.getPath(segment));
            return;
        }
        if (segment.bytes < bytesOnDisk) {
            await fileSystem.truncate(this.getPath(segment), segment.bytes);
        }
        this.segments.push(segment);
    }

    private async readSegment(segment: Segment): Promise<readonly spoolFormat.SpoolRecord[]> {
        const bytes = await fileSystem.readFile(this.getPath(segment)).catch(() => Buffer.alloc(0));
        return spoolFormat.decodeRecords(bytes, segment.firstSequence).records;
    }

    private async removeOldest(segment: Segment): Promise<void> {
        if (this.segments.length === 1) {
            await this.closeFile();
        }
        await fileSystem.rm(this.getPath(segment), { force: true });
        this.segments.shift();
        this.nextSequence = Math.max(this.nextSequence, getEndSequence(segment));
    }

    private getNextSequence(): number {
        const last = this.segments.at(-1);
        return last === undefined ? this.nextSequence : getEndSequence(last);
    }

    private async closeFile(): Promise<void> {
        await this.file?.close();
        this.file = undefined;
    }

    private getPath(segment: Segment): string {
        return path.join(this.options.folder, String(segment.firstSequence).padStart(16, "0") + FileSuffix);
    }
}

/** The sequence number after the segment's last record. */
function getEndSequence(segment: Segment): number {
    return segment.firstSequence + segment.recordCount;
}

async function writeFully(file: fileSystem.FileHandle, bytes: Buffer, position: number): Promise<void> {
    for (let written = 0; written < bytes.byteLength;) {
        const result = await file.write(bytes, written, bytes.byteLength - written, position + written);
        written += result.bytesWritten;
    }
}
