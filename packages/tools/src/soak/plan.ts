/** What happens in one run of the soak, and when. Times are in milliseconds from the first request. */
export interface SoakPlan {
    readonly gatewayCount: number;
    /** Upstreams that are listed from the start. */
    readonly upstreams: readonly PlannedUpstream[];
    readonly streams: readonly PlannedStream[];
    readonly steps: readonly PlannedStep[];
    /** How long a caller goes on trying to get the whole stream. */
    readonly callerMilliseconds: number;
    /** Number of items of a batch submission that is sent along with the streams. */
    readonly batchItems: number;
}

export interface PlannedUpstream {
    readonly id: string;
    readonly softwareVersion: string;
    /** Pause between two events of a stream. */
    readonly eventMilliseconds: number;
}

export interface PlannedStream {
    readonly name: string;
    readonly at: number;
    readonly gateway: number;
    readonly events: number;
}

export enum StepKind {
    UpstreamComes = "UpstreamComes",
    UpstreamGoes = "UpstreamGoes",
    /** It crashes, and starts again under its id and address with another version. */
    UpstreamRestarts = "UpstreamRestarts",
    /** The entry is removed for a time while the upstream goes on. */
    EntryExpires = "EntryExpires",
    KillGateway = "KillGateway",
    StopGateway = "StopGateway",
    StoreFault = "StoreFault",
}

export enum StoreFault {
    Slow = "Slow",
    Refuses = "Refuses",
    LosesReplies = "LosesReplies",
    Silent = "Silent",
}

export type PlannedStep =
    | { readonly at: number; readonly kind: StepKind.UpstreamComes; readonly upstream: PlannedUpstream }
    | ({ readonly at: number; readonly kind: StepKind.UpstreamGoes; readonly id: string } & Departure)
    | {
          readonly at: number;
          readonly kind: StepKind.UpstreamRestarts;
          readonly upstream: PlannedUpstream;
          readonly downMilliseconds: number;
          /** Time from its start until the store has its new entry. */
          readonly listedAfter: number;
      }
    | { readonly at: number; readonly kind: StepKind.EntryExpires; readonly id: string; readonly milliseconds: number }
    | {
          readonly at: number;
          readonly kind: StepKind.KillGateway | StepKind.StopGateway;
          readonly gateway: number;
          readonly downMilliseconds: number;
      }
    | {
          readonly at: number;
          readonly kind: StepKind.StoreFault;
          readonly fault: StoreFault;
          /** The gateways whose calls to the store are affected. */
          readonly gateways: readonly number[];
          readonly milliseconds: number;
      };

/** How an upstream goes. Times count from the step. */
export interface Departure {
    readonly reportsDraining: boolean;
    readonly entryRemovedAfter: number;
    readonly closedAfter: number;
}

/** Numbers from 0 up to but excluding 1 (mulberry32, whose first numbers differ also for neighbouring seeds). */
export function createRandom(seed: number): () => number {
    let state = seed;
    return () => {
        state = (state + 0x6d2b79f5) | 0;
        let mixed = Math.imul(state ^ (state >>> 15), state | 1);
        mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61)) ^ mixed;
        return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296;
    };
}
