import * as fileSystem from "node:fs/promises";
import * as os from "node:os";
import * as path from "node:path";
import * as fc from "fast-check";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as backing from "@boragedale/backing";

const suite = uvu.suite("spool and cache on the small disk");

interface TemporaryFolder extends AsyncDisposable {
    readonly folder: string;
}

async function createTemporaryFolder(): Promise<TemporaryFolder> {
    const folder = await fileSystem.mkdtemp(path.join(os.tmpdir(), "boragedale-disk-"));
    return { folder, [Symbol.asyncDispose]: () => fileSystem.rm(folder, { recursive: true }) };
}

function openSpool(folder: string, options: Partial<backing.SpoolOptions> = {}): Promise<backing.Spool> {
    return backing.Spool.open({ folder, maximumBytes: 100_000, ...options });
}

async function readTexts(spool: backing.Spool): Promise<readonly string[]> {
    const texts: string[] = [];
    for await (const record of spool.read()) {
        texts.push(Buffer.from(record.payload).toString());
    }
    return texts;
}

async function appendAll(spool: backing.Spool, texts: readonly string[]): Promise<void> {
    await Promise.all(texts.map(text => spool.append(Buffer.from(text))));
}

async function getFiles(folder: string): Promise<readonly string[]> {
    return (await fileSystem.readdir(folder)).sort().map(name => path.join(folder, name));
}

suite("records in several files are read in order after a restart", async () => {
    await using temporary = await createTemporaryFolder();
    const texts = [...Array(50).keys()].map(index => `record ${index}`);
    {
        await using spool = await openSpool(temporary.folder, { segmentBytes: 200 });
        await appendAll(spool, texts);
    }
    await using again = await openSpool(temporary.folder, { segmentBytes: 200 });
    assert.ok((await getFiles(temporary.folder)).length > 5);
    assert.equal(await readTexts(again), texts);
});

// The process is killed during a write, so the file may end at any byte. At the next start, every record before the
// incomplete one must be read, the incomplete one must be removed, and the next record must be appended after them.
suite("a file truncated at any byte loses only the incomplete record", async () => {
    await using temporary = await createTemporaryFolder();
    const texts = ["first", "second one", "", "the third"];
    {
        await using spool = await openSpool(temporary.folder);
        await appendAll(spool, texts);
    }
    const [file = ""] = await getFiles(temporary.folder);
    const whole = await fileSystem.readFile(file);
    const ends = getRecordEnds(texts);
    for (let length = 0; length <= whole.byteLength; length++) {
        await fileSystem.writeFile(file, whole.subarray(0, length));
        const kept = ends.filter(end => end <= length).length;
        await using spool = await openSpool(temporary.folder);
        assert.equal(await readTexts(spool), texts.slice(0, kept), `torn at ${length}`);
        const truncatedBytes = length - (ends[kept - 1] ?? 0);
        assert.equal(spool.getRecovery(), { records: kept, truncatedBytes });
        await spool.append(Buffer.from("after"));
        assert.equal(await readTexts(spool), [...texts.slice(0, kept), "after"]);
        await spool.acknowledge(kept + 1);
    }
});

suite("decoding stops before a record with a flipped bit", () => {
    const records = [1, 2, 3].map(sequence => ({ sequence, payload: Buffer.from(`payload ${sequence}`) }));
    const encoded = records.map(backing.encodeRecord);
    const whole = Buffer.concat(encoded);
    const size = encoded[0]?.byteLength ?? 0;
    const property = fc.property(fc.nat(whole.byteLength * 8 - 1), bit => {
        const damaged = Buffer.from(whole);
        damaged[bit >> 3] = (damaged[bit >> 3] ?? 0) ^ (1 << (bit & 7));
        assert.is(backing.decodeRecords(damaged, 1).records.length, Math.floor((bit >> 3) / size));
    });
    fc.assert(property, { seed: 20_261, numRuns: 300 });
});

// A complete record of an earlier use of the file may remain at the position where the next record would begin. If it were
// read as a new one, a result that was acknowledged long ago would be written again after its retention has ended.
suite("a complete record with the wrong sequence number is rejected", () => {
    const records = [
        { sequence: 7, payload: Buffer.from("new") },
        { sequence: 3, payload: Buffer.from("old") },
    ];
    const decoded = backing.decodeRecords(Buffer.concat(records.map(backing.encodeRecord)), 7);
    assert.equal(decoded.records.length, 1);
});

suite("the size is limited, and acknowledging the oldest records frees space", async () => {
    await using temporary = await createTemporaryFolder();
    await using spool = await openSpool(temporary.folder, { maximumBytes: 2_000, segmentBytes: 200 });
    const sequences: number[] = [];
    for (;;) {
        const outcome = await spool.append(Buffer.alloc(50));
        if (outcome.kind !== backing.AppendOutcomeKind.Appended) {
            assert.is(outcome.kind, backing.AppendOutcomeKind.Full);
            break;
        }
        sequences.push(outcome.sequence);
    }
    assert.ok(spool.getBytes() <= 2_000);
    assert.is(spool.getPendingCount(), sequences.length);
    await spool.acknowledge(sequences[10] ?? 0);
    const outcome = await spool.append(Buffer.alloc(50));
    assert.is(outcome.kind, backing.AppendOutcomeKind.Appended);
    assert.is(spool.getPendingCount(), sequences.length - 10);
});

suite("acknowledged records are not read again, and files without other records are deleted", async () => {
    await using temporary = await createTemporaryFolder();
    await using spool = await openSpool(temporary.folder, { segmentBytes: 60 });
    await appendAll(spool, ["a", "b", "c", "d"]);
    await spool.acknowledge(3);
    assert.equal(await readTexts(spool), ["d"]);
    await spool.acknowledge(4);
    assert.equal(await getFiles(temporary.folder), []);
    const outcome = await spool.append(Buffer.from("e"));
    assert.equal(outcome, { kind: backing.AppendOutcomeKind.Appended, sequence: 5 });
    assert.equal(await readTexts(spool), ["e"]);
});

// The data folder is deleted while the instance runs. Appending must report that nothing was stored instead of throwing,
// so that the instance continues without its disk.
suite("a failing disk is reported by the result, not by an exception", async () => {
    await using temporary = await createTemporaryFolder();
    const folder = path.join(temporary.folder, "spool");
    await using spool = await openSpool(folder);
    await fileSystem.rm(folder, { recursive: true });
    const outcome = await spool.append(Buffer.from("a"));
    assert.is(outcome.kind, backing.AppendOutcomeKind.Failed);
    assert.is(spool.getPendingCount(), 0);
});

suite("the cache returns stored values, also after a restart", async () => {
    await using temporary = await createTemporaryFolder();
    const cache = await backing.DiskCache.open({ folder: temporary.folder, maximumBytes: 10_000 });
    await cache.put("job/1", Buffer.from("input"));
    await cache.put("job/1", Buffer.from("newer input"));
    const again = await backing.DiskCache.open({ folder: temporary.folder, maximumBytes: 10_000 });
    assert.is(Buffer.from((await again.tryGet("job/1")) ?? "").toString(), "newer input");
    assert.is(await again.tryGet("job/2"), undefined);
});

// A value is read while its file is being written. The reader may find it or not, but the entry must remain and be
// counted. If the reader removed the unfinished entry, a file would remain that is never counted or deleted.
suite("a read that overlaps a write of the same key does not remove the entry", async () => {
    await using temporary = await createTemporaryFolder();
    const cache = await backing.DiskCache.open({ folder: temporary.folder, maximumBytes: 10_000 });
    for (const key of ["a", "b", "c", "d"]) {
        const writing = cache.put(key, Buffer.from(key));
        await new Promise(resolve => setImmediate(resolve));
        await Promise.all([writing, cache.tryGet(key)]);
    }
    const files = await Promise.all((await getFiles(temporary.folder)).map(file => fileSystem.stat(file)));
    assert.is(
        cache.getBytes(),
        files.reduce((sum, file) => sum + file.size, 0),
    );
    assert.ok((await cache.tryGet("d")) !== undefined);
});

suite("the cache's size is limited, and the least recently used entries are evicted", async () => {
    await using temporary = await createTemporaryFolder();
    const cache = await backing.DiskCache.open({ folder: temporary.folder, maximumBytes: 1_000 });
    for (const key of ["a", "b", "c"]) {
        await cache.put(key, Buffer.alloc(250));
    }
    await cache.tryGet("a");
    await cache.put("d", Buffer.alloc(250));
    assert.ok(cache.getBytes() <= 1_000);
    assert.is(await cache.tryGet("b"), undefined);
    assert.ok((await cache.tryGet("a")) !== undefined);
    await cache.put("huge", Buffer.alloc(5_000));
    assert.is(await cache.tryGet("huge"), undefined);
});

// A file of the cache is damaged or contains another key's value. The entry must read as absent, so that the reader gets
// it from the key-value service. With a wrong input, a caller would get the answer to another caller's request.
suite("a damaged entry of the cache reads as absent", async () => {
    await using temporary = await createTemporaryFolder();
    const cache = await backing.DiskCache.open({ folder: temporary.folder, maximumBytes: 10_000 });
    await cache.put("a", Buffer.from("value of a"));
    const [file = ""] = await getFiles(temporary.folder);
    const bytes = await fileSystem.readFile(file);
    bytes[bytes.byteLength - 1] = 0;
    await fileSystem.writeFile(file, bytes);
    assert.is(await cache.tryGet("a"), undefined);
    assert.equal(await getFiles(temporary.folder), []);
});

function getRecordEnds(texts: readonly string[]): readonly number[] {
    let end = 0;
    return texts.map(text => (end += backing.RecordHeaderBytes + Buffer.byteLength(text)));
}

suite.run();
