import * as fileSystem from "node:fs";
import * as backing from "@boragedale/backing";

interface StoredEntry {
    readonly revision: number;
    readonly offset: number;
    readonly bytes: number;
}

/**
 * A key-value service that stores its values in a file, so that they don't count as memory of the measured process. It
 * has no real leases and watches and injects no faults.
 */
export class DiskKeyValueService extends backing.KeyValueService implements Disposable {
    writes = 0;
    private readonly entries: Map<string, StoredEntry> = new Map();
    private readonly file: number;
    private end = 0;

    constructor(private readonly path: string) {
        super();
        const hasStoredValues = fileSystem.existsSync(this.getIndexPath());
        this.file = fileSystem.openSync(path, hasStoredValues ? "r+" : "w+");
        if (hasStoredValues) {
            const text = fileSystem.readFileSync(this.getIndexPath(), "utf8");
            const index = JSON.parse(text) as { writes: number; end: number; entries: [string, StoredEntry][] };
            this.writes = index.writes;
            this.end = index.end;
            this.entries = new Map(index.entries);
        }
    }

    override async get(key: string): Promise<backing.KeyValueResult<backing.Entry | undefined>> {
        return { ok: true, value: this.tryRead(key) };
    }

    override async list(request: backing.ListRequest): Promise<backing.KeyValueResult<readonly backing.Entry[]>> {
        const keys = [...this.entries.keys()].filter(
            key => key.startsWith(request.prefix) && (request.after === undefined || key > request.after),
        );
        const found = keys.sort().slice(0, request.limit);
        return { ok: true, value: found.map(key => this.tryRead(key)).filter(entry => entry !== undefined) };
    }

    override async compareAndSwap(request: backing.SwapRequest): Promise<backing.KeyValueResult<backing.SwapOutcome>> {
        const current = this.entries.get(request.key);
        if ((current?.revision ?? 0) !== request.expectedRevision) {
            return { ok: true, value: { swapped: false, current: this.tryRead(request.key) } };
        }
        const revision = ++this.writes;
        if (request.value === undefined) {
            this.entries.delete(request.key);
            return { ok: true, value: { swapped: true, revision } };
        }
        if (request.value.byteLength > backing.MaximumValueBytes) {
            throw new Error(`'${request.key}' is over the size limit`);
        }
        fileSystem.writeSync(this.file, request.value, 0, request.value.byteLength, this.end);
        this.entries.set(request.key, { revision, offset: this.end, bytes: request.value.byteLength });
        this.end += request.value.byteLength;
        return { ok: true, value: { swapped: true, revision } };
    }

    override async grantLease(): Promise<backing.KeyValueResult<backing.LeaseId>> {
        return { ok: true, value: "1" };
    }

    override async keepLeaseAlive(): Promise<backing.KeyValueResult<boolean>> {
        return { ok: true, value: true };
    }

    override async revokeLease(): Promise<backing.KeyValueResult<void>> {
        return { ok: true, value: undefined };
    }

    override async *watch(request: backing.WatchRequest): AsyncIterable<backing.WatchEvent> {
        yield { kind: backing.WatchEventKind.Gap, revision: this.writes };
        await new Promise<void>(resolve => request.signal.addEventListener("abort", () => resolve()));
    }

    /** Writes the index of the stored values, from which the next process continues. */
    [Symbol.dispose](): void {
        const index = { writes: this.writes, end: this.end, entries: [...this.entries] };
        fileSystem.writeFileSync(this.getIndexPath(), JSON.stringify(index));
        fileSystem.closeSync(this.file);
    }

    private getIndexPath(): string {
        return `${this.path}.index`;
    }

    private tryRead(key: string): backing.Entry | undefined {
        const entry = this.entries.get(key);
        if (entry === undefined) {
            return undefined;
        }
        const value = new Uint8Array(entry.bytes);
        fileSystem.readSync(this.file, value, 0, entry.bytes, entry.offset);
        return { key, value, revision: entry.revision };
    }
}
