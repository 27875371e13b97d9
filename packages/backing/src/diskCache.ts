import * as crypto from "node:crypto";
import * as fileSystem from "node:fs/promises";
import * as path from "node:path";
import * as limit from "p-limit";

export interface DiskCacheOptions {
    /** Folder that the cache has to itself; made where it is absent. */
    readonly folder: string;
    /** Most bytes of entries on disk. */
    readonly maximumBytes: number;
}

const DigestBytes = 32;
const TemporarySuffix = ".new";

/**
 * Values on the instance's small disk, so that they need not be read from the key-value service again; the least
 * recently used go first. An entry that is damaged or gone reads as absent: the disk saves time and never decides.
 */
export class DiskCache {
    /** Bytes by file name, the least recently used first. */
    private readonly sizes = new Map<string, number>();
    private bytes = 0;
    /** A read that overlaps a write of the same key would take the entry out while its file is being made. */
    private readonly oneAtATime = limit.default(1);
    private nextTemporary = 1;

    private constructor(private readonly options: DiskCacheOptions) {}

    /** Opens the cache with what is on disk. Throws where the folder can't be used: a mistake in the settings. */
    static async open(options: DiskCacheOptions): Promise<DiskCache> {
        const cache = new DiskCache(options);
        await fileSystem.mkdir(options.folder, { recursive: true });
        await cache.recover();
        return cache;
    }

    /** Bytes on disk. */
    getBytes(): number {
        return this.bytes;
    }

    async tryGet(key: string): Promise<Uint8Array | undefined> {
        return this.oneAtATime(() => this.tryGetNow(key));
    }

    /** Keeps a value, unless it is larger than the whole cache or the disk fails. */
    async put(key: string, value: Uint8Array): Promise<void> {
        return this.oneAtATime(() => this.putNow(key, value));
    }

    private async tryGetNow(key: string): Promise<Uint8Array | undefined> {
        const name = createName(key);
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

    private async putNow(key: string, value: Uint8Array): Promise<void> {
        const name = createName(key);
        const size = DigestBytes + value.byteLength;
        if (size > this.options.maximumBytes) {
            return;
        }
        await this.remove(name);
        this.touch(name, size);
        await this.evict();
        const temporary = this.getPath(`${name}.${this.nextTemporary++}${TemporarySuffix}`);
        try {
            // A reader sees the old file, the new one or none, never half of one.
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

    /** Moves an entry to the end of the order, counting its bytes. */
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

/** Keys may hold any characters and be of any length; file names may not. */
function createName(key: string): string {
    return crypto.createHash("sha256").update(key).digest("hex");
}

function computeDigest(key: string, value: Uint8Array): Buffer {
    return crypto.createHash("sha256").update(key).update("\0").update(value).digest();
}
