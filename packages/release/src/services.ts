import type * as core from "@boragedale/core";
import type * as types from "./types.js";

interface UsableFleet {
    readonly note: core.NoteInForce;
    readonly changing: string;
    readonly fleet: core.FleetDescription;
}

/** Keeps the note in force on this instance. Its generation never falls. */
export abstract class NoteKeeper implements AsyncDisposable {
    private usable: UsableFleet | undefined;

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
    /**
     * The fleet to route by: the note's, with the upstreams that a rollout is changing marked as leaving. The same
     * object for as long as nothing changed.
     */
    tryGetUsableFleet(): core.FleetDescription | undefined {
        const note = this.tryGetNote();
        const changing = this.getChangingUpstreams();
        if (note === undefined || changing.size === 0) {
            return note?.fleet;
        }
        const key = [...changing].sort().join();
        if (this.usable?.note !== note || this.usable.changing !== key) {
            this.usable = { note, changing: key, fleet: markLeaving(note.fleet, changing) };
        }
        return this.usable.fleet;
    }
    abstract [Symbol.asyncDispose](): Promise<void>;
}

function markLeaving(fleet: core.FleetDescription, changing: ReadonlySet<core.UpstreamId>): core.FleetDescription {
    const upstreams = fleet.upstreams.map(upstream =>
        changing.has(upstream.id) ? { ...upstream, isLeaving: true } : upstream,
    );
    return { ...fleet, upstreams };
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
