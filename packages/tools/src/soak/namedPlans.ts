import * as plan from "./plan.js";

/** Cases that were seen to join streams of two versions, or to refuse all of them. */
export enum Case {
    /** The upstreams of the older version go together with all gateways. */
    GoneWithKill = "gone-with-kill",
    /** They go 0.6 s before all gateways are killed. */
    GoneBeforeKill = "gone-before-kill",
    /** They stay, so that both versions are listed when the gateways are back. */
    BothListed = "both-listed",
    /**
     * An upstream restarts under its id and address with another version. Before the store has its new entry, the other
     * upstream of the older version crashes, and its streams have to go on somewhere.
     */
    RestartedUnderId = "restarted-under-id",
}

export function createNamedPlan(name: Case): plan.SoakPlan {
    switch (name) {
        case Case.GoneWithKill:
            return createPlan({ goesBeforeKill: 0, returnsListed: false });
        case Case.GoneBeforeKill:
            return createPlan({ goesBeforeKill: 600, returnsListed: false });
        case Case.BothListed:
            return createPlan({ goesBeforeKill: 0, returnsListed: true });
        case Case.RestartedUnderId:
            return createRestartPlan();
    }
}

const Gateways = [0, 1, 2];
const StreamCount = 36;
const AtOnce: plan.Departure = { reportsDraining: false, entryRemovedAfter: 0, closedAfter: 0 };

function createRestartPlan(): plan.SoakPlan {
    return {
        gatewayCount: Gateways.length,
        upstreams: [createUpstream("old-0", "v1"), createUpstream("old-1", "v1")],
        streams: createStreams(0),
        steps: [
            {
                at: 700,
                kind: plan.StepKind.UpstreamRestarts,
                upstream: createUpstream("old-0", "v2"),
                downMilliseconds: 300,
                listedAfter: 500,
            },
            { at: 1_200, kind: plan.StepKind.UpstreamGoes, id: "old-1", ...AtOnce },
        ],
        callerMilliseconds: 12_000,
        batchItems: 0,
    };
}

function createPlan(options: { readonly goesBeforeKill: number; readonly returnsListed: boolean }): plan.SoakPlan {
    const killAt = 1_000;
    const departures = ["old-0", "old-1"].map(
        id => ({ at: killAt - options.goesBeforeKill, kind: plan.StepKind.UpstreamGoes, id, ...AtOnce }) as const,
    );
    return {
        gatewayCount: Gateways.length,
        upstreams: [createUpstream("old-0", "v1"), createUpstream("old-1", "v1"), createUpstream("new-0", "v2")],
        streams: createStreams(0),
        steps: [
            ...(options.returnsListed ? [] : departures),
            ...killAll(killAt),
            { at: killAt, kind: plan.StepKind.UpstreamComes, upstream: createUpstream("new-1", "v2") },
        ],
        callerMilliseconds: 12_000,
        batchItems: 0,
    };
}

function createUpstream(id: string, softwareVersion: string): plan.PlannedUpstream {
    return { id, softwareVersion, eventMilliseconds: 40 };
}

function createStreams(at: number): readonly plan.PlannedStream[] {
    return [...new Array(StreamCount).keys()].map(index => ({
        name: `s${index}`,
        at,
        gateway: index % Gateways.length,
        events: 60,
    }));
}

function killAll(at: number): readonly plan.PlannedStep[] {
    return Gateways.map(gateway => ({ at, kind: plan.StepKind.KillGateway, gateway, downMilliseconds: 1_200 }));
}
