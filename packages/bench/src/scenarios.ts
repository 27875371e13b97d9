import type * as workload from "./workload.js";

/** A fault that occurs at a given time of the run. */
export enum FaultKind {
    /** An upstream runs `factor` times slower until `until`. */
    SlowUpstream = "SlowUpstream",
    /** An upstream crashes and is back at `until`, with an empty cache. */
    UpstreamCrash = "UpstreamCrash",
    /** An instance is lost; the others learn of it from the instance list within `lag` milliseconds. */
    InstanceLost = "InstanceLost",
}

export type Fault =
    | {
          readonly kind: FaultKind.SlowUpstream;
          readonly at: number;
          readonly until: number;
          readonly upstream: number;
          readonly factor: number;
      }
    | {
          readonly kind: FaultKind.UpstreamCrash;
          readonly at: number;
          readonly until: number;
          readonly upstream: number;
      }
    | { readonly kind: FaultKind.InstanceLost; readonly at: number; readonly instance: number; readonly lag: number };

export interface Scenario {
    readonly name: string;
    readonly instances: number;
    readonly upstreams: number;
    readonly milliseconds: number;
    readonly online: workload.OnlineLoad;
    readonly batch: workload.BatchLoad;
    readonly faults: readonly Fault[];
    /** Whether goodput relative to capacity is a goal in this scenario. */
    readonly isSaturated: boolean;
}

const Second = 1_000;
const Minute = 60 * Second;
/** Usual online load of eight upstreams: about a fifth of what they can serve. */
const BaseRequestsPerSecond = 30;
const ShortAnswers = [{ tokens: 80, share: 1 }];
const BatchAnswers = [{ tokens: 150, share: 1 }];
const EvenCallers = [1, 1, 1, 1, 1, 1, 1, 1];

const Steady: Scenario = {
    name: "steady",
    instances: 8,
    upstreams: 8,
    milliseconds: 4 * Minute,
    online: {
        phases: [{ milliseconds: Minute, requestsPerSecond: BaseRequestsPerSecond }],
        callerShares: EvenCallers,
        hotPrefixShare: 0,
        outputs: ShortAnswers,
    },
    batch: { callers: 4, outputs: BatchAnswers },
    faults: [],
    isSaturated: false,
};

const BurstPhases = [
    { milliseconds: 15 * Second, requestsPerSecond: BaseRequestsPerSecond },
    { milliseconds: 15 * Second, requestsPerSecond: 0 },
    { milliseconds: 10 * Second, requestsPerSecond: 4 * BaseRequestsPerSecond },
];

const Burst: Scenario = { ...Steady, name: "burst", online: { ...Steady.online, phases: BurstPhases } };

/** One and a half times what eight upstreams can serve, which is 153 per second by `oracle.getOnlineCapacity`. */
const SaturatingRequestsPerSecond = 230;

export function getScenarios(): readonly Scenario[] {
    return [
        Steady,
        Burst,
        {
            ...Steady,
            name: "skew",
            online: { ...Steady.online, callerShares: [12, 1, 1, 1, 1, 1, 1, 2], hotPrefixShare: 0.5 },
        },
        {
            ...Steady,
            name: "slow upstream",
            faults: [
                {
                    kind: FaultKind.SlowUpstream,
                    at: 30 * Second,
                    until: 3 * Minute,
                    upstream: 2,
                    factor: 5,
                },
            ],
        },
        {
            ...Steady,
            name: "short and long",
            online: {
                ...Steady.online,
                outputs: [
                    { tokens: 20, share: 0.98 },
                    { tokens: 2_000, share: 0.02 },
                ],
            },
            batch: {
                callers: 4,
                outputs: [
                    { tokens: 20, share: 0.9 },
                    { tokens: 2_000, share: 0.1 },
                ],
            },
        },
        {
            ...Steady,
            name: "saturation",
            online: {
                ...Steady.online,
                phases: [{ milliseconds: Minute, requestsPerSecond: SaturatingRequestsPerSecond }],
                callerShares: [12, 1, 1, 1, 1, 1, 1, 2],
            },
            isSaturated: true,
        },
        {
            ...Steady,
            name: "upstream crash",
            faults: [{ kind: FaultKind.UpstreamCrash, at: 60 * Second, until: 90 * Second, upstream: 3 }],
        },
        {
            ...Steady,
            name: "crashing request",
            online: { ...Steady.online, crashingRequestAt: 60 * Second },
        },
        {
            ...Burst,
            name: "burst, list lags",
            faults: [{ kind: FaultKind.InstanceLost, at: 70 * Second, instance: 1, lag: 10 * Second }],
        },
        { ...Burst, name: "burst, 3 instances", instances: 3 },
        { ...Burst, name: "burst, 64 instances", instances: 64 },
    ];
}
