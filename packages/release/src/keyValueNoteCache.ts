import * as fileSystem from "node:fs/promises";
import * as path from "node:path";
import type * as core from "@boragedale/core";
import * as backing from "@boragedale/backing";
import * as protocol from "@boragedale/protocol";
import * as telemetry from "@boragedale/telemetry";
import * as noteStore from "./noteStore.js";
import * as rolloutClaims from "./rolloutClaims.js";
import * as services from "./services.js";

/** Source of the peers' heartbeats, which carry the generation that each peer has in force. */
export interface HeartbeatSource {
    onHeartbeat(listener: (from: core.InstanceId, heartbeat: protocol.Heartbeat) => void): () => void;
}

export interface KeyValueNoteCacheOptions {
    readonly keyValue: backing.KeyValueService;
    readonly network: protocol.PeerNetwork;
    readonly heartbeats: HeartbeatSource;
    readonly clock: core.Clock;
    readonly telemetry: telemetry.Telemetry;
    /** Number of live instances, which share the periodic reads of the key-value service. */
    readonly countInstances: () => number;
    /** Folder that persists across restarts, if the instance has one. */
    readonly dataFolder?: string;
}

/**
 * The periodic read finds a note when both its watch event and the peers' heartbeats are lost. All instances together
 * make at most 20 reads a second, so that 400 instances read every 20 s. A few instances read every 2 s, within the 3 s
 * in which a note has to come into force.
 */
const MinimumReadIntervalMilliseconds = 2_000;
const FleetReadsPerSecond = 20;

/**
 * A note that neither the key-value service nor a peer confirmed for this long may be outdated. Longer than the longest
 * read interval.
 */
const ConfirmationExpiryMilliseconds = 30_000;
const PullTimeoutMilliseconds = 1_000;
const WatchRetryDelayMilliseconds = 500;
const NoteFileName = "note-in-force";

/**
 * Holds the note in force. A new note arrives in one of three ways, each of which suffices: the watch (within
 * milliseconds), a pull from a peer whose heartbeat carries a higher generation (within a second), and the periodic
 * read. A note whose generation is not higher is ignored, so that a stale read or a slow peer never reverts an instance
 * to an older note.
 */
export class KeyValueNoteCache extends services.NoteCache {
    private note: core.NoteInForce | undefined;
    private confirmedAt: core.MonotonicMilliseconds | undefined;
    private wasConfirmed = false;
    private readonly claims = new Map<string, rolloutClaims.Claim>();
    private pendingPull: Promise<void> | undefined;
    private readonly listeners = new Set<(note: core.NoteInForce) => void>();
    private readonly abortController = new AbortController();
    private readonly tasks: Promise<void>[] = [];
    private pendingWrite: Promise<void> = Promise.resolve();
    private unsubscribeHeartbeats: () => void = () => undefined;

    private constructor(private readonly options: KeyValueNoteCacheOptions) {
        super();
    }

    /**
     * Starts the cache. Returns once the note was read from the data folder and from the key-value service, if the
     * service answers.
     */
    static async start(options: KeyValueNoteCacheOptions): Promise<KeyValueNoteCache> {
        const cache = new KeyValueNoteCache(options);
        await cache.readFile();
        cache.handleNoteRequests();
        cache.unsubscribeHeartbeats = options.heartbeats.onHeartbeat((from, heartbeat) =>
            cache.handleHeartbeat(from, heartbeat),
        );
        const revision = await cache.readNoteAndClaims();
        cache.tasks.push(cache.runWatch(revision ?? 0), cache.runPeriodicReads());
        return cache;
    }

    override tryGetNote(): core.NoteInForce | undefined {
        return this.note;
    }

    override onNote(listener: (note: core.NoteInForce) => void): () => void {
        this.listeners.add(listener);
        return () => this.listeners.delete(listener);
    }

    override isConfirmed(): boolean {
        const now = this.options.clock.now();
        return this.confirmedAt !== undefined && now - this.confirmedAt <= ConfirmationExpiryMilliseconds;
    }

    override getChangingUpstreams(): ReadonlySet<core.UpstreamId> {
        return new Set([...this.claims.values()].map(claim => claim.upstream));
    }

    override async [Symbol.asyncDispose](): Promise<void> {
        this.unsubscribeHeartbeats();
        this.abortController.abort();
        await Promise.all(this.tasks);
        await this.pendingPull;
        await this.pendingWrite;
    }

    private adopt(note: core.NoteInForce): void {
        if (note.generation <= (this.note?.generation ?? 0)) {
            return;
        }
        this.note = note;
        this.options.telemetry.record(telemetry.events.NoteInForce, { generation: note.generation });
        for (const listener of this.listeners) {
            listener(note);
        }
        this.pendingWrite = this.pendingWrite.then(() => this.writeFile(note));
    }

    private async runWatch(firstRevision: backing.Revision): Promise<void> {
        const { clock, keyValue } = this.options;
        const signal = this.abortController.signal;
        let afterRevision = firstRevision;
        while (!signal.aborted) {
            const request = { prefix: noteStore.CurrentNoteKey, afterRevision, signal };
            for await (const event of keyValue.watch(request)) {
                afterRevision = Math.max(afterRevision, await this.handleWatchEvent(event));
            }
            await clock.sleep(WatchRetryDelayMilliseconds, signal);
        }
    }

    /** Handles one watch event; returns the revision that the cache reflects afterwards. */
    private async handleWatchEvent(event: backing.WatchEvent): Promise<backing.Revision> {
        switch (event.kind) {
            case backing.WatchEventKind.Changed:
                this.applyEntry(event.entry);
                return event.entry.revision;
            case backing.WatchEventKind.Removed:
                // If the note itself is removed, which no instance does, the note in force stays: it never reverts.
                this.claims.delete(event.key);
                return event.revision;
            case backing.WatchEventKind.Gap:
                await this.readNoteAndClaims();
                return event.revision;
        }
    }

    private async runPeriodicReads(): Promise<void> {
        const signal = this.abortController.signal;
        while (!signal.aborted) {
            const fleetIntervalMilliseconds = (this.options.countInstances() / FleetReadsPerSecond) * 1_000;
            await this.options.clock.sleep(
                Math.max(MinimumReadIntervalMilliseconds, fleetIntervalMilliseconds),
                signal,
            );
            if (!signal.aborted) {
                await this.readNoteAndClaims();
                this.reportConfirmation();
            }
        }
    }

    private async readNoteAndClaims(): Promise<backing.Revision | undefined> {
        const result = await this.options.keyValue.list({
            prefix: noteStore.CurrentNoteKey,
            limit: rolloutClaims.MaximumClaims,
            purpose: backing.CallPurpose.Note,
        });
        if (!result.ok) {
            return undefined;
        }
        this.claims.clear();
        for (const entry of result.value) {
            this.applyEntry(entry);
        }
        return Math.max(0, ...result.value.map(entry => entry.revision));
    }

    private applyEntry(entry: backing.Entry): void {
        if (entry.key === noteStore.CurrentNoteKey) {
            this.applyNoteEntry(entry);
            return;
        }
        const claim = rolloutClaims.tryDecodeClaim(entry);
        if (claim !== undefined) {
            this.claims.set(entry.key, claim);
        }
    }

    private applyNoteEntry(entry: backing.Entry): void {
        const note = noteStore.tryDecodeNote(entry.value);
        if (note === undefined) {
            this.options.telemetry.record(telemetry.events.NoteRejected, { text: `revision ${entry.revision}` });
            return;
        }
        if (note.generation >= (this.note?.generation ?? 0)) {
            this.recordConfirmation();
        }
        this.adopt(note);
    }

    private handleNoteRequests(): void {
        this.options.network.handle(protocol.MessageKind.NoteRequest, async request => ({
            kind: protocol.MessageKind.NoteReply,
            note: this.note !== undefined && this.note.generation > request.newerThan ? this.note : undefined,
        }));
    }

    private handleHeartbeat(from: core.InstanceId, heartbeat: protocol.Heartbeat): void {
        const ownGeneration = this.note?.generation ?? 0;
        if (heartbeat.generation > 0 && heartbeat.generation === ownGeneration) {
            this.recordConfirmation();
        }
        // One pull at a time: after a publish all peers report the new generation within the same second.
        if (heartbeat.generation > ownGeneration && this.pendingPull === undefined) {
            this.pendingPull = this.pullFrom(from, ownGeneration).finally(() => {
                this.pendingPull = undefined;
            });
        }
    }

    private async pullFrom(peer: core.InstanceId, ownGeneration: core.Generation): Promise<void> {
        const request: protocol.NoteRequest = { kind: protocol.MessageKind.NoteRequest, newerThan: ownGeneration };
        const result = await this.options.network.request(peer, request, {
            lane: protocol.Lane.Bulk,
            timeoutMilliseconds: PullTimeoutMilliseconds,
        });
        if (!result.ok || result.message.kind !== protocol.MessageKind.NoteReply) {
            return;
        }
        const note = noteStore.tryReadNote(result.message.note);
        if (note !== undefined) {
            this.recordConfirmation();
            this.adopt(note);
        }
    }

    private recordConfirmation(): void {
        this.confirmedAt = this.options.clock.now();
        this.wasConfirmed = true;
    }

    private reportConfirmation(): void {
        if (this.wasConfirmed && !this.isConfirmed()) {
            this.wasConfirmed = false;
            const generation = this.note?.generation;
            this.options.telemetry.record(telemetry.events.NoteConfirmationLost, { generation });
        }
    }

    private async readFile(): Promise<void> {
        if (this.options.dataFolder === undefined) {
            return;
        }
        try {
            const value = await fileSystem.readFile(path.join(this.options.dataFolder, NoteFileName));
            const note = noteStore.tryDecodeNote(value);
            if (note !== undefined) {
                this.adopt(note);
            }
        }
        catch {
            // There is no file on the first start. The note then comes from the key-value service or a peer.
        }
    }

    /** Writes a temporary file and renames it, so that a crash leaves the old note and never a partial one. */
    private async writeFile(note: core.NoteInForce): Promise<void> {
        if (this.options.dataFolder === undefined) {
            return;
        }
        const target = path.join(this.options.dataFolder, NoteFileName);
        const temporary = `${target}.${note.generation}`;
        try {
            await fileSystem.writeFile(temporary, noteStore.encodeNote(note));
            await fileSystem.rename(temporary, target);
        }
        catch (error) {
            // The file is only needed to start during an outage; a full disk must not keep the note from coming into
            // force.
            this.options.telemetry.record(telemetry.events.NoteRejected, { text: `not stored: ${String(error)}` });
        }
    }
}
