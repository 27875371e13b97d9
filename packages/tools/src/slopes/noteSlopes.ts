import * as crypto from "node:crypto";
import * as core from "@boragedale/core";
import * as release from "@boragedale/release";
import * as telemetry from "@boragedale/telemetry";
import * as cost from "./cost.js";
import type * as table from "./table.js";

/** Measures the cost of a release note by the size of the fleet that it describes. */

const UpstreamCounts = [100, 400, 700, 1_100];
const CallerCounts = [500, 2_000, 4_000, 6_200];
const TargetUpstreams = 1_100;
const TargetCallers = 6_200;
const EventCounts = [1_024, 2_048, 4_096];
const ChecksPerPoint = 4;

export function measureNote(): table.SlopeTable {
    return {
        name: "note",
        slopes: [
            {
                cost: `bytes of the stored note, ${format(TargetCallers)} callers`,
                load: "upstreams",
                points: UpstreamCounts.map(x => ({ x, y: measureStoredBytes(x, TargetCallers) })),
                target: TargetUpstreams,
            },
            {
                cost: `bytes of the stored note, ${format(TargetUpstreams)} upstreams`,
                load: "callers",
                points: CallerCounts.map(x => ({ x, y: measureStoredBytes(TargetUpstreams, x) })),
                target: TargetCallers,
            },
            {
                cost: "bytes of the stored note whose text adds them all at once",
                load: "callers",
                points: CallerCounts.map(x => ({ x, y: measureStoredBytesOfFirstNote(x) })),
                target: TargetCallers,
            },
            {
                cost: "bytes of the YAML text that adds them all at once",
                load: "callers",
                points: CallerCounts.map(x => ({ x, y: Buffer.byteLength(createSource(TargetUpstreams, x)) })),
                target: TargetCallers,
            },
            {
                cost: `µs of CPU to check a note of one change, ${format(TargetUpstreams)} upstreams`,
                load: "callers",
                points: CallerCounts.map(x => ({ x, y: measureCheckMicroseconds(x) })),
                target: TargetCallers,
            },
            {
                cost: `µs of CPU to unpack and check a stored note, ${format(TargetUpstreams)} upstreams`,
                load: "callers",
                points: CallerCounts.map(x => ({ x, y: measureDecodeMicroseconds(x) })),
                target: TargetCallers,
            },
            {
                cost: `bytes of heap of the note in force, ${format(TargetUpstreams)} upstreams`,
                load: "callers",
                points: CallerCounts.map(x => ({ x, y: measureHeapBytes(x) })),
                target: TargetCallers,
            },
        ],
    };
}

export function measureTimeLine(): table.SlopeTable {
    return {
        name: "timeline",
        slopes: [
            {
                cost: "bytes of heap of the time line",
                load: "events held",
                points: EventCounts.map(x => ({ x, y: cost.measureHeapBytes(() => createTimeLine(x)) })),
                target: Math.max(...EventCounts),
            },
            {
                cost: "µs of CPU to record events",
                load: "events",
                points: EventCounts.map(x => ({
                    x,
                    y: cost.measureMicroseconds(8, () => void createTimeLine(x)),
                })),
                target: Math.max(...EventCounts),
            },
        ],
    };
}

function measureStoredBytes(upstreams: number, callers: number): number {
    return release.encodeNote(createNote(upstreams, callers)).byteLength;
}

/** Measures a note whose source adds everything. The source is stored in addition to the fleet that results from it. */
function measureStoredBytesOfFirstNote(callers: number): number {
    const note = createNote(TargetUpstreams, callers);
    return release.encodeNote({ ...note, source: createSource(TargetUpstreams, callers) }).byteLength;
}

function measureCheckMicroseconds(callers: number): number {
    const base = createNote(TargetUpstreams, callers).fleet;
    const change = "changed:\n    upstreams:\n        - { id: engine-1, concurrency: 100 }\n";
    return cost.measureMicroseconds(ChecksPerPoint, () => {
        const checked = release.checkNote(change, "note.yaml", base);
        core.Debug.assert(checked.ok, "the change is in order");
    });
}

function measureDecodeMicroseconds(callers: number): number {
    const value = release.encodeNote(createNote(TargetUpstreams, callers));
    return cost.measureMicroseconds(ChecksPerPoint, () => void release.tryDecodeNote(value));
}

function measureHeapBytes(callers: number): number {
    const value = release.encodeNote(createNote(TargetUpstreams, callers));
    return cost.measureHeapBytes(() => release.tryDecodeNote(value));
}

/** Creates the note in force after one note has added the fleet and the callers and another has made a small change. */
function createNote(upstreams: number, callers: number): core.NoteInForce {
    const fleet: core.FleetDescription = {
        models: Array.from({ length: 4 }, (...[, index]: [unknown, number]) => ({
            id: `model-${index}`,
            version: "1.0",
            adapters: [],
            onlineFloor: 10,
            batchFloor: 10,
        })),
        upstreams: Array.from({ length: upstreams }, (...[, index]: [unknown, number]) => createUpstream(index)),
        services: [],
        callers: Array.from({ length: callers }, (...[, index]: [unknown, number]) => createCaller(index)),
        weightStore: { concurrentLoads: 20 },
        policy: {
            batchWeight: 0.5,
            retentionMilliseconds: 604_800_000,
            onlineDeadlineMilliseconds: 30_000,
            batchDeadlineMilliseconds: 86_400_000,
            itemAttempts: 3,
        },
    };
    const source = "changed:\n    models:\n        - { id: model-1, version: '1.1' }\n";
    return { generation: 680, fleet, source, author: "amara", publishedAt: 1_700_000_000_000, nonce: "nonce" };
}

function createUpstream(index: number): core.UpstreamDescription {
    return {
        id: `engine-${index}`,
        kind: core.UpstreamKind.Engine,
        url: `http://10.${index % 5}.${index >> 8}.${index & 255}:8000`,
        dataCentre: `data-centre-${index % 5}`,
        role: core.UpstreamRole.Mixed,
        models: [`model-${index % 4}`],
        checksFencing: index % 2 === 0,
        concurrency: 64,
        isLeaving: false,
    };
}

function createCaller(index: number): core.CallerDescription {
    return { id: `caller-${index}`, tokenHash: hash(`token-${index}`), weight: 1 };
}

function createSource(upstreams: number, callers: number): string {
    const lines = ["added:", "    upstreams:"];
    for (let index = 0; index < upstreams; index++) {
        const { id, url, dataCentre, models } = createUpstream(index);
        const text = `id: ${id}, kind: Engine, url: "${url}", dataCentre: ${dataCentre}, models: [${models.join(", ")}]`;
        lines.push(`        - { ${text} }`);
    }
    lines.push("    callers:");
    for (let index = 0; index < callers; index++) {
        const { id, tokenHash } = createCaller(index);
        lines.push(`        - { id: ${id}, tokenHash: ${tokenHash}, weight: 1 }`);
    }
    return lines.join("\n");
}

function hash(text: string): string {
    return crypto.createHash("sha256").update(text).digest("hex");
}

function createTimeLine(events: number): telemetry.TimeLine {
    const line = new telemetry.TimeLine("entry-1", new core.VirtualClock(), events);
    for (let index = 0; index < events; index++) {
        line.record(telemetry.events.BatchShifted, {
            request: `request-${index}`,
            upstream: "engine-1",
            text: `${index} streams`,
        });
    }
    return line;
}

function format(value: number): string {
    return value.toLocaleString("en-GB");
}
