import * as core from "@boragedale/core";
import * as decisions from "@boragedale/decisions";
import * as cost from "./cost.js";
import type * as table from "./table.js";

/** Measures the cost of an instance's decisions by the number of upstreams, queued requests and callers. */

const CandidateCounts = [100, 400, 700, 1_100];
const CallerCounts = [500, 2_000, 6_200];
const StreamCounts = [8, 32, 128];
const PrefixCount = 200;
const Model = "model";
/** Each of the 400 instances uses only a subset of the upstreams for online requests; see `decisions.getSubsetSize`. */
const InstanceCount = 400;
const UpstreamCount = 1_100;

export function measurePlacement(): table.SlopeTable {
    const target = decisions.getSubsetSize(UpstreamCount, InstanceCount);
    return {
        name: "placement",
        slopes: [
            {
                cost: "µs of CPU to place, send and finish one request",
                load: "candidates",
                points: CandidateCounts.map(x => ({ x, y: measurePlacementMicroseconds(x) })),
                target,
            },
            {
                cost: "bytes of heap of what is known of the upstreams",
                load: "upstreams",
                points: CandidateCounts.map(x => ({ x, y: cost.measureHeapBytes(() => createUsedPlacement(x)) })),
                target: UpstreamCount,
            },
        ],
    };
}

export function measureAdmission(): table.SlopeTable {
    return {
        name: "admission",
        slopes: [
            {
                cost: "µs of CPU to complete one request, take the next and offer another",
                load: "callers with queued requests",
                points: CallerCounts.map(x => ({ x, y: measureAdmissionMicroseconds(x) })),
                target: 6_200,
            },
            {
                cost: "bytes of heap of a queue with one request of each caller",
                load: "callers",
                points: CallerCounts.map(x => ({ x, y: cost.measureHeapBytes(() => createQueue(x)) })),
                target: 6_200,
            },
        ],
    };
}

export function measureGate(): table.SlopeTable {
    return {
        name: "gate",
        slopes: [
            {
                cost: "µs of CPU of one notice of pressure and one decision",
                load: "batch streams on the upstream",
                points: StreamCounts.map(x => ({ x, y: measureGateMicroseconds(x) })),
                target: 128,
            },
            {
                cost: "bytes of heap of a home's state",
                load: "upstreams at home (32 streams, 40 instances each)",
                points: [10, 30, 100].map(x => ({ x, y: cost.measureHeapBytes(() => createGates(x)) })),
                target: 3,
            },
        ],
    };
}

function measurePlacementMicroseconds(candidateCount: number): number {
    const candidates = createCandidates(candidateCount);
    const placement = new decisions.Placement({ random: () => 0.5 });
    return cost.measureMicroseconds(800, call => placeOnce(placement, candidates, call));
}

function createUsedPlacement(candidateCount: number): decisions.Placement {
    const candidates = createCandidates(candidateCount);
    const placement = new decisions.Placement({ random: () => 0.5 });
    candidates.forEach((candidate, index) => {
        const id = `request-${index}`;
        placement.onSent(id, candidate.id, core.RequestClass.Online, index);
        placement.onFirstToken(id, index + 1);
        placement.onFinished(id);
        placement.onOnlineTotal(candidate.id, 4, index);
    });
    return placement;
}

function placeOnce(
    placement: decisions.Placement,
    candidates: readonly decisions.PlacementCandidate[],
    call: number,
): void {
    const request = {
        model: Model,
        prefixHash: `prefix-${call % PrefixCount}`,
        requestClass: core.RequestClass.Online,
    };
    const decision = placement.choose(request, candidates, call);
    core.Debug.assert(decision.kind === decisions.PlacementKind.Placed, "an upstream has room");
    placement.onSent("request", decision.upstream, core.RequestClass.Online, call);
    placement.onFirstToken("request", call + 1);
    placement.onFinished("request");
}

function createCandidates(count: number): readonly decisions.PlacementCandidate[] {
    return Array.from({ length: count }, (...[, index]: [unknown, number]) => ({
        id: `engine-${index}`,
        dataCentre: "colombo-1",
        role: core.UpstreamRole.Mixed,
        models: [Model],
        concurrency: 64,
        isLeaving: false,
    }));
}

function measureAdmissionMicroseconds(callers: number): number {
    const queue = createQueue(callers);
    return cost.measureMicroseconds(40_000, call => {
        queue.offer(createItem(call % callers), 1);
        queue.complete(1, 1);
        queue.take(1);
    });
}

/** Creates a queue in which one request is running and one request of each caller is waiting. */
function createQueue(callers: number): decisions.AdmissionQueue<number> {
    const queue = new decisions.AdmissionQueue<number>({
        limit: 1,
        expectedMillisecondsPerCost: 1,
        random: () => 0.5,
    });
    for (let caller = 0; caller <= callers; caller++) {
        queue.offer(createItem(caller % callers), 0);
    }
    return queue;
}

function createItem(caller: number): decisions.AdmissionItem<number> {
    return { value: caller, caller: `caller-${caller}`, weight: 1, cost: 1, deadlineAt: 1e9 };
}

function measureGateMicroseconds(streams: number): number {
    const gate = createGate(streams);
    return cost.measureMicroseconds(5_000, call => {
        gate.onOnlinePressure({ instance: `entry-${call % 40}`, inFlight: call % 3, queued: 0 }, call * 20);
        gate.decide(call * 20);
    });
}

function createGates(count: number): readonly decisions.BatchGate[] {
    return Array.from({ length: count }, () => createGate(32));
}

function createGate(streams: number): decisions.BatchGate {
    const gate = new decisions.BatchGate({ concurrency: 256, batchWeight: 0.5, startedAt: -1e6 });
    for (let instance = 0; instance < 40; instance++) {
        gate.onOnlinePressure({ instance: `entry-${instance}`, inFlight: 1, queued: 0, fastestGap: 30 }, 0);
    }
    for (let stream = 0; stream < streams; stream++) {
        gate.onStarted(`stream-${stream}`, 500);
        gate.onFirstToken(`stream-${stream}`);
        gate.onProgress(`stream-${stream}`, 8, 240, 0);
    }
    return gate;
}
