import type * as core from "@boragedale/core";
import type * as types from "./types.js";

interface UsableFleet {
    readonly note: core.NoteInForce;
    readonly changingKey: string;
    readonly fleet: core.FleetDescription;
}

/** Caches the release note in force on this instance. The generation of the cached note never decreases. */
export abstract class NoteCache implements AsyncDisposable {
    private usable: UsableFleet | undefined;

    abstract tryGetNote(): core.NoteInForce | undefined;
    /** Calls `listener` for each note that comes into force on this instance; the returned function unsubscribes it. */
    abstract onNote(listener: (note: core.NoteInForce) => void): () => void;
    /** Whether the key-value service or a peer has recently confirmed that this note is the newest. */
    abstract isConfirmed(): boolean;
    /**
     * Whether a rollout is changing the upstream. Such an upstream gets no new requests, so that running ones can
     * finish.
     */
    isChanging(upstream: core.UpstreamId): boolean {
        return this.getChangingUpstreams().has(upstream);
    }
    /** The upstreams that a rollout is changing. */
    getChangingUpstreams(): ReadonlySet<core.UpstreamId> {
        return new Set();
    }
    /**
     * The fleet to route by: the note's fleet with the upstreams that a rollout is changing marked as leaving. Returns
     * the same object until the note or the set of changing upstreams differs.
     */
    tryGetUsableFleet(): core.FleetDescription | undefined {
        const note = this.tryGetNote();
        const changing = this.getChangingUpstreams();
        if (note === undefined || changing.size === 0) {
            return note?.fleet;
        }
        const key = [...changing].sort().join();
        if (this.usable?.note !== note || this.usable.changingKey !== key) {
            this.usable = { note, changingKey: key, fleet: markLeaving(note.fleet, changing) };
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

/** Brings the upstreams that this instance coordinates to the state that the note requires. */
export abstract class Rollout implements AsyncDisposable {
    abstract getProgress(): readonly types.UpstreamProgress[];
    abstract [Symbol.asyncDispose](): Promise<void>;
}
