import type * as core from "@boragedale/core";

/** A release note that was read, checked and applied to the fleet that it changes. */
export interface CheckedNote {
    readonly source: string;
    readonly fleet: core.FleetDescription;
    /** One line for each change, for operators to review before they publish. */
    readonly differences: readonly string[];
    /** Upstreams that will receive an order to change. */
    readonly affectedUpstreams: readonly core.UpstreamId[];
    /** Number of upstreams that have to read from the weight store. */
    readonly loads: number;
    /** Lower bound of the number of sequential loads, given the weight store's load limit and the models' floors. */
    readonly rounds: number;
}

export interface PublishRequest {
    readonly source: string;
    /** File name that findings report with their line and column. */
    readonly file: string;
    /** The generation that this note replaces; 0 for the first note. */
    readonly replaces: core.Generation;
    readonly author: string;
}

export enum PublishKind {
    Published = "Published",
    /** Another note was published first; the outcome contains it. */
    Conflict = "Conflict",
    Invalid = "Invalid",
    Unavailable = "Unavailable",
}

export type PublishOutcome =
    | {
          readonly kind: PublishKind.Published;
          readonly note: core.NoteInForce;
          readonly findings: readonly core.Finding[];
      }
    | { readonly kind: PublishKind.Conflict; readonly current: core.NoteInForce | undefined }
    | { readonly kind: PublishKind.Invalid; readonly findings: readonly core.Finding[] }
    | { readonly kind: PublishKind.Unavailable; readonly text: string };

/** How far the fleet got with a note. */
export enum NoteOutcome {
    /** In force, but not every upstream has reached its state yet. */
    InProgress = "InProgress",
    /** Every upstream reached the state that the note requires. */
    Reached = "Reached",
    /** Another note replaced this one before every upstream had reached its state. */
    Replaced = "Replaced",
}

export interface HistoryEntry {
    readonly generation: core.Generation;
    readonly author: string;
    readonly publishedAt: core.WallMilliseconds;
    readonly differences: readonly string[];
    readonly outcome?: NoteOutcome;
    /** When every upstream had reached the state that the note requires. */
    readonly reachedAt?: core.WallMilliseconds;
}

export enum UpstreamPhase {
    /** The upstream reports the state that the note requires. */
    Reached = "Reached",
    Waiting = "Waiting",
    Ordered = "Ordered",
    Loading = "Loading",
    Failed = "Failed",
    Unreachable = "Unreachable",
}

/** Rollout progress of one upstream, as its coordinator sees it. */
export interface UpstreamProgress {
    readonly upstream: core.UpstreamId;
    readonly generation: core.Generation;
    readonly phase: UpstreamPhase;
    readonly desired: string;
    readonly actual: string;
    readonly reason: string;
    readonly since: core.WallMilliseconds;
}
