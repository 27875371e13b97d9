import type * as core from "@boragedale/core";

/** A release note that was read and checked, put upon the fleet that it changes. */
export interface CheckedNote {
    readonly source: string;
    readonly fleet: core.FleetDescription;
    /** What changes, a line each, for operators to read before they publish. */
    readonly differences: readonly string[];
    /** Upstreams that will be ordered to change. */
    readonly affectedUpstreams: readonly core.UpstreamId[];
    readonly loads: number;
    /** Loads one after the other on the longest way, as the weight store's rate and the floors allow at best. */
    readonly rounds: number;
}

export interface PublishRequest {
    readonly source: string;
    /** File name for the places of findings. */
    readonly file: string;
    /** The generation that this note replaces; 0 for the first. */
    readonly replaces: core.Generation;
    readonly author: string;
}

export enum PublishKind {
    Published = "Published",
    /** Another note was published first; it comes along. */
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

/** What became of a note. */
export enum NoteOutcome {
    /** In force; not every upstream is there yet. */
    InProgress = "InProgress",
    /** Every upstream reached it. */
    Reached = "Reached",
    /** Another note replaced it before every upstream had reached it. */
    Replaced = "Replaced",
}

export interface HistoryEntry {
    readonly generation: core.Generation;
    readonly author: string;
    readonly publishedAt: core.WallMilliseconds;
    readonly differences: readonly string[];
    readonly outcome?: NoteOutcome;
    /** When every upstream had reached it. */
    readonly reachedAt?: core.WallMilliseconds;
}

export enum UpstreamPhase {
    /** Reports what the note asks. */
    Reached = "Reached",
    Waiting = "Waiting",
    Ordered = "Ordered",
    Loading = "Loading",
    Failed = "Failed",
    Unreachable = "Unreachable",
}

/** Where one upstream stands, as its home sees it. */
export interface UpstreamProgress {
    readonly upstream: core.UpstreamId;
    readonly generation: core.Generation;
    readonly phase: UpstreamPhase;
    readonly desired: string;
    readonly actual: string;
    readonly reason: string;
    readonly since: core.WallMilliseconds;
}
