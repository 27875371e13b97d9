import * as core from "@boragedale/core";
import * as backing from "@boragedale/backing";
import * as protocol from "@boragedale/protocol";
import * as standins from "@boragedale/standins";
import * as telemetry from "@boragedale/telemetry";
import * as linkedFleet from "../linkedFleet.js";
import * as cost from "./cost.js";
import type * as table from "./table.js";

/** Measures the cost of peer links for an instance by their number, and of key-value calls through the paced client. */

const FleetSizes = [3, 6, 12, 24];
/** Four neighbours that the instance chose, and four instances that chose it as their neighbour; see `FleetMembership`. */
const TargetLinks = 8;
const MeasuredMilliseconds = 5_000;
const WarmUpMilliseconds = 1_000;
/** Numbers of upstreams on which an instance has online requests at the same time. */
const BusyUpstreamCounts = [10, 50, 150];
const CallCounts = [5_000, 10_000, 20_000];

export async function measureLinks(): Promise<table.SlopeTable> {
    // Without this warm-up, the compilation of the code counts as a cost of the smallest fleet and the slope is negative.
    await linkedFleet.measureIdle(Math.max(...FleetSizes), WarmUpMilliseconds);
    const measured: linkedFleet.IdleCost[] = [];
    for (const size of FleetSizes) {
        measured.push(await linkedFleet.measureIdle(size, MeasuredMilliseconds));
    }
    const createPoints = (value: (idle: linkedFleet.IdleCost) => number): readonly table.Point[] =>
        measured.map(idle => ({ x: idle.links, y: value(idle) }));
    return {
        name: "links",
        slopes: [
            {
                cost: "bytes a second sent",
                load: "links",
                points: createPoints(idle => idle.bytesPerSecond),
                target: TargetLinks,
            },
            { cost: "% of a core", load: "links", points: createPoints(idle => idle.corePercent), target: TargetLinks },
        ],
    };
}

export function measurePressure(): table.SlopeTable {
    const points = BusyUpstreamCounts.map(x => ({ x, y: countNotificationBytes(x) }));
    const load = "upstreams told of once";
    return {
        name: "pressure",
        slopes: [{ cost: "bytes of notices to homes and their answers, without headers", load, points, target: 132 }],
    };
}

function countNotificationBytes(upstreamCount: number): number {
    let bytes = 0;
    for (let index = 0; index < upstreamCount; index++) {
        const upstream = `engine-${index}`;
        const inFlight = index % 4;
        bytes += encode({ kind: protocol.MessageKind.OnlinePressure, upstream, inFlight, queued: 0 });
        bytes += encode({ kind: protocol.MessageKind.OnlineTotal, upstream, inFlight, isLeaving: false });
    }
    return bytes;
}

function encode(message: protocol.Message): number {
    const encoded = protocol.encodeFrame({ message }, protocol.Lane.Control, protocol.FrameForm.Packed);
    core.Debug.assert(encoded.ok, "a notification fits into a frame of its lane");
    return encoded.bytes.byteLength;
}

export async function measureClient(): Promise<table.SlopeTable> {
    const points: table.Point[] = [];
    await callPaced(Math.max(...CallCounts));
    for (const x of CallCounts) {
        const rounds = [await callPaced(x), await callPaced(x), await callPaced(x)];
        points.push({ x, y: Math.min(...rounds) });
    }
    const slope = { cost: "µs of CPU of reads through the paced client", load: "calls", points, target: 10_000 };
    return { name: "client", slopes: [slope] };
}

/** Measures the processor time of `calls` reads, ten at once, through a client whose budget doesn't delay them. */
async function callPaced(calls: number): Promise<number> {
    const clock = new core.SystemClock();
    await using client = new backing.PacedKeyValueService(new standins.MemoryKeyValueService(clock), {
        clock,
        telemetry: new telemetry.Telemetry({ instance: "entry-1", logLevel: "silent" }, clock),
        getFleetSize: () => 1,
        random: () => 0.5,
        budget: { writesPerSecond: 1e6, readsPerSecond: 1e6 },
    });
    const before = process.cpuUsage();
    for (let call = 0; call < calls; call += 10) {
        const keys = Array.from({ length: 10 }, (...[, index]: [unknown, number]) => `key-${call + index}`);
        await Promise.all(keys.map(key => client.get(key, backing.CallPurpose.Read)));
    }
    return cost.getMicroseconds(before);
}
