import type * as core from "@boragedale/core";
import * as msgpackr from "msgpackr";
import * as zod from "zod";
import * as metadataStore from "./metadataStore.js";

/** Prefix of the records. They are read only when needed, so they are not among the entries of the fleet. */
const OriginPrefix = "boragedale/origin/";
/** How long the origin of a stream is kept. Callers take up a broken stream within seconds. */
export const OriginMemoryMilliseconds = 60_000;
/** Time for which origins are added to one segment. Each write repeats the segment, and each segment needs a lease. */
const SegmentMilliseconds = 5_000;
const MaximumSegmentOrigins = 2_000;
const SegmentNumberDigits = 8;
/** Shortest time between two writes. Streams that began since the last one are unknown if all members are killed. */
const ShortestIntervalMilliseconds = 100;
/** Share of the store's writing rate that all members together may use for origins. */
const WriteShare = 0.2;
/** Age up to which a reading counts. Origins may be corrected, and further ones be written. */
const ReloadMilliseconds = 300;
/** A reading counts for this many times as long as it took: in a large fleet one takes a good part of a second. */
const ReloadFactor = 10;

/** The software version at which a stream of a service began. */
export type StreamOriginRow = readonly [stream: string, service: string, softwareVersion: string];

/** Dependencies of `StreamOriginRecords`. */
export interface StreamOriginRecordParts {
    readonly store: metadataStore.MetadataStore;
    readonly self: core.InstanceId;
    readonly clock: core.Clock;
    /** Write calls that the store takes each second from all members together. */
    readonly storeWritesPerSecond: number;
    readonly getMemberCount: () => number;
}

interface Segment {
    readonly key: string;
    readonly lease: string;
    readonly openedAt: core.MonotonicMilliseconds;
    /** By stream. */
    readonly rows: Map<string, StreamOriginRow>;
}

const RecordSchema = zod.array(zod.tuple([zod.string(), zod.string(), zod.string()]));

/**
 * Keeps the origins of recent streams in the metadata store while a service has several software versions, so that streams go
 * on at their version although all gateways were killed at once. Each member writes its own segments, several origins in one
 * call: the store takes fewer writes than streams begin. A lease removes each segment.
 */
export class StreamOriginRecords implements AsyncDisposable {
    private readonly unwritten = new Map<string, StreamOriginRow>();
    private segment: Segment | undefined;
    private segmentCount = 0;
    private isWriting = false;
    private stopTimer: (() => void) | undefined;
    /** What the last reading found, by stream. */
    private loaded: ReadonlyMap<string, StreamOriginRow> = new Map();
    private reloadAt: core.MonotonicMilliseconds = -Infinity;
    private loading: Promise<boolean> | undefined;

    constructor(private readonly parts: StreamOriginRecordParts) {}

    /** Writes an origin soon. */
    add(row: StreamOriginRow): void {
        const [stream, , softwareVersion] = row;
        if (this.segment?.rows.get(stream)?.[2] === softwareVersion) {
            return;
        }
        this.unwritten.set(stream, row);
        this.scheduleWrite(0);
    }

    /** Returns whether the store answered, and the stream's version if a record names it. */
    async find(
        stream: string,
        service: string,
    ): Promise<{ readonly isRead: boolean; readonly softwareVersion?: string }> {
        let isRead = true;
        if (this.parts.clock.now() >= this.reloadAt) {
            this.loading ??= this.load();
            isRead = await this.loading;
        }
        const [, origin, softwareVersion] = this.loaded.get(stream) ?? [];
        return { isRead, ...(origin === service && softwareVersion !== undefined ? { softwareVersion } : {}) };
    }

    async [Symbol.asyncDispose](): Promise<void> {
        this.stopTimer?.();
        this.unwritten.clear();
    }

    private scheduleWrite(milliseconds: number): void {
        if (!this.isWriting && this.stopTimer === undefined) {
            this.stopTimer = this.parts.clock.schedule(milliseconds, () => {
                this.stopTimer = undefined;
                void this.write();
            });
        }
    }

    /** Writes the origins that are not written yet, then waits for the time between two writes. */
    private async write(): Promise<void> {
        this.isWriting = true;
        const { store, clock, storeWritesPerSecond, getMemberCount } = this.parts;
        const segment = await this.tryGetSegment();
        const rows = [...this.unwritten.values()];
        if (segment !== undefined && rows.length > 0) {
            rows.forEach(row => segment.rows.set(row[0], row));
            const value = msgpackr.pack([...segment.rows.values()]);
            const puts = [{ key: segment.key, value, lease: segment.lease }];
            const written = await store.transact({ preconditions: [], puts, deletes: [] });
            if (written.ok) {
                rows.filter(row => this.unwritten.get(row[0]) === row).forEach(([stream]) =>
                    this.unwritten.delete(stream),
                );
            }
            else if (written.failure.kind === metadataStore.StoreFailureKind.LeaseGone) {
                this.segment = undefined;
            }
        }
        this.dropOldest();
        const shareMilliseconds = (getMemberCount() * 1_000) / (storeWritesPerSecond * WriteShare);
        await clock.sleep(Math.max(ShortestIntervalMilliseconds, shareMilliseconds));
        this.isWriting = false;
        if (this.unwritten.size > 0) {
            this.scheduleWrite(0);
        }
    }

    /** The segment that is being filled, or a new one. Undefined if the store grants no lease for it. */
    private async tryGetSegment(): Promise<Segment | undefined> {
        const { store, clock, self } = this.parts;
        const isFull =
            this.segment === undefined ||
            clock.now() - this.segment.openedAt >= SegmentMilliseconds ||
            this.segment.rows.size >= MaximumSegmentOrigins;
        if (!isFull) {
            return this.segment;
        }
        const granted = await store.grantLease(OriginMemoryMilliseconds + SegmentMilliseconds);
        if (!granted.ok) {
            return undefined;
        }
        // Keys are listed in their order, and a later segment may correct an earlier one.
        const number = String(this.segmentCount++).padStart(SegmentNumberDigits, "0");
        const key = `${OriginPrefix}${self}/${number}`;
        this.segment = { key, lease: granted.value, openedAt: clock.now(), rows: new Map() };
        return this.segment;
    }

    /** Bounds what waits for a store that doesn't answer. The latest streams are those that may still be in progress. */
    private dropOldest(): void {
        for (const stream of this.unwritten.keys()) {
            if (this.unwritten.size <= MaximumSegmentOrigins) {
                return;
            }
            this.unwritten.delete(stream);
        }
    }

    private async load(): Promise<boolean> {
        const startedAt = this.parts.clock.now();
        const listed = await this.parts.store.list(OriginPrefix);
        if (listed.ok) {
            const rows = listed.value.entries.flatMap(({ value }) => (value === undefined ? [] : readRows(value)));
            this.loaded = new Map(rows.map(row => [row[0], row]));
            const milliseconds = this.parts.clock.now() - startedAt;
            this.reloadAt = startedAt + Math.max(ReloadMilliseconds, ReloadFactor * milliseconds);
        }
        this.loading = undefined;
        return listed.ok;
    }
}

/** Returns no rows for bytes that another program wrote under the prefix. */
function readRows(value: Uint8Array): readonly StreamOriginRow[] {
    try {
        const parsed = RecordSchema.safeParse(msgpackr.unpack(value));
        return parsed.success ? parsed.data : [];
    }
    catch {
        return [];
    }
}
