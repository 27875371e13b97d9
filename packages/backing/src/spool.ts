import * as fileSystem from "node:fs/promises";
import * as path from "node:path";
import * as limit from "p-limit";
import * as spoolFormat from "./spoolFormat.js";

export interface SpoolOptions {
    /** Folder that the spool has to itself; made where it is absent. */
    readonly folder: string;
    /** Most bytes on disk, the records' headers counted. */
    readonly maximumBytes: number;
    /** Size from which a new file is begun, in bytes. A file goes when all its records are acknowledged. */
    readonly segmentBytes?: number;
}

export enum AppendOutcomeKind {
    Appended = "Appended",
    /** The size limit is reached: keep the record elsewhere, or come back when the spool has drained. */
    Full = "Full",
    /** The disk failed; nothing was kept. */
    Failed = "Failed",
}

export type AppendOutcome =
    | { readonly kind: AppendOutcomeKind.Appended; readonly sequence: number }
    | { readonly kind: AppendOutcomeKind.Full }
    | { readonly kind: AppendOutcomeKind.Failed; readonly text: string };

/** What was found on disk at the start. */
export interface SpoolRecovery {
    readonly records: number;
    /** Bytes of torn or damaged records, cut off. */
    readonly cutBytes: number;
}

interface Segment {
    readonly firstSequence: number;
    /** Number of whole records. */
    records: number;
    /** Bytes up to the end of the last whole record. */
    bytes: number;
}

const SegmentsPerSpool = 8;
const LargestSegmentBytes = 8 * 1_024 * 1_024;
const FileSuffix = ".spool";

/**
 * Records on the instance's small disk until the key-value service has them: results that await it in an outage, in
 * the order of their coming. A record that was cut off by the end of the process is found by its digest at the next
 * start and taken away, with nothing before it lost.
 *
 * Acknowledged records may come again after a restart, since only whole files are removed; whoever writes them to the
 * service recognises what it holds already. Nothing is synced to the device: data of a process that died is still in
 * the kernel, and an instance that is lost with its kernel is replaced with an empty disk anyway.
 */
export class Spool implements AsyncDisposable {
    private readonly oneAtATime = limit.default(1);
    private readonly segments: Segment[] = [];
    private file: fileSystem.FileHandle | undefined;
    private acknowledged = 0;
    /** Where no file is left, the sequence goes on from here, so that no number is used twice by this process. */
    private nextSequence = 1;
    private readonly segmentBytes: number;
    private recovery: SpoolRecovery = { records: 0, cutBytes: 0 };

    private constructor(private readonly options: SpoolOptions) {
        const bytes = Math.min(LargestSegmentBytes, Math.ceil(options.maximumBytes / SegmentsPerSpool));
        this.segmentBytes = options.segmentBytes ?? bytes;
    }

    /** Opens the spool and cuts off what is torn. Throws where the folder can't be used: a mistake in the settings. */
    static async open(options: SpoolOptions): Promise<Spool> {
        const spool = new Spool(options);
        await fileSystem.mkdir(options.folder, { recursive: true });
        await spool.recover();
        return spool;
    }

    getRecovery(): SpoolRecovery {
        return this.recovery;
    }

    /** Bytes on disk. */
    getBytes(): number {
        return this.segments.reduce((sum, segment) => sum + segment.bytes, 0);
    }

    /** Number of records that are not acknowledged. */
    getPendingCount(): number {
        return this.getNextSequence() - 1 - this.acknowledged;
    }

    /** Keeps a record; calls run in the order in which they are made. */
    async append(payload: Uint8Array): Promise<AppendOutcome> {
        return this.oneAtATime(() => this.appendNow(payload));
    }

    /** Yields the records that are not acknowledged and were there at the call, the oldest first. */
    async *read(): AsyncIterable<spoolFormat.SpoolRecord> {
        const end = this.getNextSequence();
        for (const segment of [...this.segments]) {
            if (getEnd(segment) <= this.acknowledged + 1) {
                continue;
            }
            for (const record of await this.readSegment(segment)) {
                if (record.sequence > this.acknowledged && record.sequence < end) {
                    yield record;
                }
            }
        }
    }

    /** The records up to and with `sequence` are done; files that hold no others are removed. */
    async acknowledge(sequence: number): Promise<void> {
        await this.oneAtATime(async () => {
            this.acknowledged = Math.min(this.getNextSequence() - 1, Math.max(this.acknowledged, sequence));
            while (this.segments[0] !== undefined && getEnd(this.segments[0]) <= this.acknowledged + 1) {
                await this.removeOldest(this.segments[0]);
            }
        });
    }

    async [Symbol.asyncDispose](): Promise<void> {
        await this.oneAtATime(() => this.closeFile());
    }

    private async appendNow(payload: Uint8Array): Promise<AppendOutcome> {
        const record = spoolFormat.encodeRecord({ sequence: this.getNextSequence(), payload });
        if (this.getBytes() + record.byteLength > this.options.maximumBytes) {
            return { kind: AppendOutcomeKind.Full };
        }
        try {
            const { segment, file } = await this.openSegment();
            // Written at the end of the last whole record: what a failed write has left there is written over, and a
            // rest of it that sticks out is cut off at the next start, since no record can begin in it.
            await writeFully(file, record, segment.bytes);
            segment.bytes += record.byteLength;
            segment.records++;
            return { kind: AppendOutcomeKind.Appended, sequence: getEnd(segment) - 1 };
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
        const segment = { firstSequence: this.getNextSequence(), records: 0, bytes: 0 };
        this.file = await fileSystem.open(this.getPath(segment), "w");
        this.segments.push(segment);
        return { segment, file: this.file };
    }

    private async recover(): Promise<void> {
        const names = (await fileSystem.readdir(this.options.folder)).filter(name => name.endsWith(FileSuffix)).sort();
        let cutBytes = 0;
        for (const name of names) {
            const segment: Segment = { firstSequence: Number(name.slice(0, -FileSuffix.length)), records: 0, bytes: 0 };
            const bytes = await fileSystem.readFile(this.getPath(segment));
            const { records, wholeBytes } = spoolFormat.decodeRecords(bytes, segment.firstSequence);
            cutBytes += bytes.byteLength - wholeBytes;
            segment.records = records.length;
            segment.bytes = wholeBytes;
            await this.keepWhole(segment, bytes.byteLength);
        }
        this.acknowledged = (this.segments[0]?.firstSequence ?? 1) - 1;
        const records = this.segments.reduce((sum, segment) => sum + segment.records, 0);
        this.recovery = { records, cutBytes };
    }

    private async keepWhole(segment: Segment, bytesOnDisk: number): Promise<void> {
        if (segment.records === 0) {
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
        this.nextSequence = Math.max(this.nextSequence, getEnd(segment));
    }

    private getNextSequence(): number {
        const last = this.segments.at(-1);
        return last === undefined ? this.nextSequence : getEnd(last);
    }

    private async closeFile(): Promise<void> {
        await this.file?.close();
        this.file = undefined;
    }

    private getPath(segment: Segment): string {
        return path.join(this.options.folder, String(segment.firstSequence).padStart(16, "0") + FileSuffix);
    }
}

/** The sequence behind the segment's last record. */
function getEnd(segment: Segment): number {
    return segment.firstSequence + segment.records;
}

async function writeFully(file: fileSystem.FileHandle, bytes: Buffer, position: number): Promise<void> {
    for (let written = 0; written < bytes.byteLength;) {
        const result = await file.write(bytes, written, bytes.byteLength - written, position + written);
        written += result.bytesWritten;
    }
}
