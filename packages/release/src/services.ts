import type * as core from "@boragedale/core";
import type * as types from "./types.js";

/** Keeps the note in force on this instance. Its generation never falls. */
export abstract class NoteKeeper implements AsyncDisposable {
    abstract tryGetNote(): core.NoteInForce | undefined;
    /** Calls `listener` for each note that comes into force here; the returned function stops it. */
    abstract onNote(listener: (note: core.NoteInForce) => void): () => void;
    /** Whether the platform or a peer confirmed the note within the last seconds. */
    abstract isConfirmed(): boolean;
    /** Whether a rollout is about to change the upstream: it takes no new work, so that what it runs can end. */
    isChanging(upstream: core.UpstreamId): boolean {
        return this.getChangingUpstreams().has(upstream);
    }
    /** The upstreams that a rollout is changing. */
    getChangingUpstreams(): ReadonlySet<core.UpstreamId> {
        return new Set();
    }
    abstract [Symbol.asyncDispose](): Promise<void>;
}

/** Publishes notes by compare-and-swap on the generation. */
export abstract class NotePublisher {
    abstract publish(request: types.PublishRequest): Promise<types.PublishOutcome>;
    abstract readHistory(): Promise<core.Outcome<readonly types.HistoryEntry[]>>;
}

/** Brings the upstreams whose home this instance is to the state that the note asks. */
export abstract class Rollout implements AsyncDisposable {
    abstract getProgress(): readonly types.UpstreamProgress[];
    abstract [Symbol.asyncDispose](): Promise<void>;
}
