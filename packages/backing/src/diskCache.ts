import * as crypto from "node:crypto";
import * as fileSystem from "node:fs/promises";
import * as path from "node:path";
import * as limit from "p-limit";

export interface DiskCacheOptions {
    /** Folder that only this cache uses; created if absent. */
    readonly folder: string;
    /** Maximum size of all entries on disk, in bytes. */
    readonly maximumBytes: number;
}

const DigestBytes = 32;
const TemporarySuffix = ".new";

/**
 * Caches values on the instance's small disk, so that they need not be read from the key-value service again. Evicts the
 * least recently used entries first. An entry that is damaged or missing reads as absent; the cache is never the source
 * of truth.
 */
export class DiskCache {
    /** Bytes by file name, the least recently used first. */
    private readonly sizes = new Map<string, number>();
    private bytes = 0;
    /** Runs one operation at a time: a read during a write of the same key would find no file and remove the entry. */
    private readonly runExclusive = limit.default(1);
    private nextTemporaryNumber = 1;

    private constructor(private readonly options: DiskCacheOptions) {}

    /** Opens the cache with the entries on disk. Throws if the folder can't be used, which is a configuration error. */
    static async open(options: DiskCacheOptions): Promise<DiskCache> {
        const cache = new DiskCache(options);
        await fileSystem.mkdir(options.folder, { recursive: true });
        await cache.recover();
        return cache;
    }

    /** Size of all entries on disk, in bytes. */
    getBytes(): number {
        return this.bytes;
    }

    async tryGet(key: string): Promise<Uint8Array | undefined> {
        return this.runExclusive(() => this.tryReadEntry(key));
    }

    /** Stores a value, unless it is larger than the whole cache or the disk fails. */
    async put(key: string, value: Uint8Array): Promise<void> {
        return this.runExclusive(() => this.writeEntry(key, value));
    }

    private async tryReadEntry(key: string): Promise<Uint8Array | undefined> {
        const name = createFileName(key);
        const size = this.sizes.get(name);
        if (size === undefined) {
            return undefined;
        }
        const file = await fileSystem.readFile(this.getPath(name)).catch(() => undefined);
        const value = file?.subarray(DigestBytes);
        if (
            file === undefined ||
            value === undefined ||
            !file.subarray(0, DigestBytes).equals(computeDigest(key, value))
        ) {
            await this.remove(name);
            return undefined;
        }
        this.touch(name, size);
        return value;
    }

    private async writeEntry(key: string, value: Uint8Array): Promise<void> {
        const name = createFileName(key);
        const size = DigestBytes + value.byteLength;
        if (size > this.options.maximumBytes) {
            return;
        }
        await this.remove(name);
        this.touch(name, size);
        await this.evict();
        const temporary = this.getPath(`${name}.${this.nextTemporaryNumber++}${TemporarySuffix}`);
        try {
            // The rename is atomic, so a reader never sees a partly written file.
            await fileSystem.writeFile(temporary, Buffer.concat([computeDigest(key, value), value]));
            await fileSystem.rename(temporary, this.getPath(name));
        }
        catch {
            await fileSystem.rm(temporary, { force: true });
            await this.remove(name);
        }
    }

    private async recover(): Promise<void> {
        const names = await fileSystem.readdir(this.options.folder);
        const found: { readonly name: string; readonly size: number; readonly usedAt: number }[] = [];
        for (const name of names) {
            if (name.endsWith(TemporarySuffix)) {
                await fileSystem.rm(this.getPath(name), { force: true });
                continue;
            }
            const { size, mtimeMs } = await fileSystem.stat(this.getPath(name));
            found.push({ name, size, usedAt: mtimeMs });
        }
        found.sort((left, right) => left.usedAt - right.usedAt).forEach(({ name, size }) => this.touch(name, size));
        await this.evict();
    }

    private async evict(): Promise<void> {
        for (const name of [...this.sizes.keys()]) {
            if (this.bytes <= this.options.maximumBytes) {
                return;
            }
            await this.remove(name);
        }
    }

    /** Marks an entry as the most recently used one and updates the total size. */
    private touch(name: string, size: number): void {
        this.bytes += size - (this.sizes.get(name) ?? 0);
        this.sizes.delete(name);
        this.sizes.set(name, size);
    }

    private async remove(name: string): Promise<void> {
        this.bytes -= this.sizes.get(name) ?? 0;
        if (this.sizes.delete(name)) {
            await fileSystem.rm(this.getPath(name), { force: true });
        }
    }

    private getPath(name: string): string {
        return path.join(this.options.folder, name);
    }
}

/** Hashes the key, since keys may contain any characters and be of any length, and file names may not. */
function createFileName(key: string): string {
    return crypto.createHash("sha256").update(key).digest("hex");
}

function computeDigest(key: string, value: Uint8Array): Buffer {
    return crypto.createHash("sha256").update(key).update("\0").update(value).digest();
}
