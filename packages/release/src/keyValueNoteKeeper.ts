import * as fileSystem from "node:fs/promises";
import * as path from "node:path";
import type * as core from "@boragedale/core";
import * as backing from "@boragedale/backing";
import * as protocol from "@boragedale/protocol";
import * as telemetry from "@boragedale/telemetry";
import * as noteStore from "./noteStore.js";
import * as rolloutClaims from "./rolloutClaims.js";
import * as services from "./services.js";

/** Where the keeper hears which generation each peer has in force. */
export interface HeartbeatSource {
    onHeartbeat(listener: (from: core.InstanceId, heartbeat: protocol.Heartbeat) => void): () => void;
}

export interface KeeperOptions {
    readonly keyValue: backing.KeyValueService;
    readonly network: protocol.PeerNetwork;
    readonly heartbeats: HeartbeatSource;
    readonly clock: core.Clock;
    readonly telemetry: telemetry.Telemetry;
    /** Number of live instances, which share the reads of the key-value service. */
    readonly countInstances: () => number;
    /** Folder that outlives the process, where the instance has one. */
    readonly dataFolder?: string;
}

/**
 * The periodic read finds a note whose watch event and peers were all lost. At 400 instances it is spread over 20 s
 * and costs the service 20 reads a second; the few instances of today read every 2 s, inside the 3 s that are allowed.
 */
const ShortestReadMilliseconds = 2_000;
const ReadsPerSecond = 20;

/** A note that neither platform nor peer confirmed for this long may be old: longer than the longest read interval. */
const ConfirmedMilliseconds = 30_000;
const PullTimeoutMilliseconds = 1_000;
const WatchRetryMilliseconds = 500;
const NoteFile = "note-in-force";

/**
 * Holds the note in force. Three ways lead to it, each enough on its own: the watch (milliseconds), a peer whose
 * heartbeat tells a higher generation (a second), the periodic read. Whatever the way, a generation that is not
 * higher is dropped, so a stale read or a slow peer never takes an instance back.
 */
export class KeyValueNoteKeeper extends services.NoteKeeper {
    private note: core.NoteInForce | undefined;
    private confirmedAt: core.MonotonicMilliseconds | undefined;
    private wasConfirmed = false;
    private readonly claims = new Map<string, rolloutClaims.Claim>();
    private pull: Promise<void> | undefined;
    private readonly listeners = new Set<(note: core.NoteInForce) => void>();
    private readonly stopper = new AbortController();
    private readonly tasks: Promise<void>[] = [];
    private writing: Promise<void> = Promise.resolve();
    private stopHeartbeats: () => void = () => undefined;

    private constructor(private readonly options: KeeperOptions) {
        super();
    }

    /** Starts keeping. Returns once the note was read from the data folder and, if it answers, the backing. */
    static async start(options: KeeperOptions): Promise<KeyValueNoteKeeper> {
        const keeper = new KeyValueNoteKeeper(options);
        await keeper.readFile();
        keeper.answerPeers();
        keeper.stopHeartbeats = options.heartbeats.onHeartbeat((from, heartbeat) => keeper.hear(from, heartbeat));
        const revision = await keeper.read();
        keeper.tasks.push(keeper.runWatch(revision ?? 0), keeper.runReads());
        return keeper;
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
        return this.confirmedAt !== undefined && now - this.confirmedAt <= ConfirmedMilliseconds;
    }

    override getChangingUpstreams(): ReadonlySet<core.UpstreamId> {
        return new Set([...this.claims.values()].map(claim => claim.upstream));
    }

    override async [Symbol.asyncDispose](): Promise<void> {
        this.stopHeartbeats();
        this.stopper.abort();
        await Promise.all(this.tasks);
        await this.pull;
        await this.writing;
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
        this.writing = this.writing.then(() => this.writeFile(note));
    }

    private async runWatch(firstRevision: backing.Revision): Promise<void> {
        const { clock, keyValue } = this.options;
        const signal = this.stopper.signal;
        let afterRevision = firstRevision;
        while (!signal.aborted) {
            const request = { prefix: noteStore.CurrentNoteKey, afterRevision, signal };
            for await (const event of keyValue.watch(request)) {
                afterRevision = Math.max(afterRevision, await this.take(event));
            }
            await clock.sleep(WatchRetryMilliseconds, signal);
        }
    }

    /** Handles one event of the watch; returns the revision that is known afterwards. */
    private async take(event: backing.WatchEvent): Promise<backing.Revision> {
        switch (event.kind) {
            case backing.WatchEventKind.Changed:
                this.takeEntry(event.entry);
                return event.entry.revision;
            case backing.WatchEventKind.Removed:
                // Nobody of ours removes the note. Whoever did, the note in force stays: it never reverts.
                this.claims.delete(event.key);
                return event.revision;
            case backing.WatchEventKind.Gap:
                await this.read();
                return event.revision;
        }
    }

    private async runReads(): Promise<void> {
        const signal = this.stopper.signal;
        while (!signal.aborted) {
            const shared = (this.options.countInstances() / ReadsPerSecond) * 1_000;
            await this.options.clock.sleep(Math.max(ShortestReadMilliseconds, shared), signal);
            if (!signal.aborted) {
                await this.read();
                this.reportConfirmation();
            }
        }
    }

    private async read(): Promise<backing.Revision | undefined> {
        const result = await this.options.keyValue.list({
            prefix: noteStore.CurrentNoteKey,
            limit: rolloutClaims.MostClaims,
            purpose: backing.CallPurpose.Note,
        });
        if (!result.ok) {
            return undefined;
        }
        this.claims.clear();
        for (const entry of result.value) {
            this.takeEntry(entry);
        }
        return Math.max(0, ...result.value.map(entry => entry.revision));
    }

    private takeEntry(entry: backing.Entry): void {
        if (entry.key === noteStore.CurrentNoteKey) {
            this.adoptEntry(entry);
            return;
        }
        const claim = rolloutClaims.tryDecodeClaim(entry);
        if (claim !== undefined) {
            this.claims.set(entry.key, claim);
        }
    }

    private adoptEntry(entry: backing.Entry): void {
        const note = noteStore.tryDecodeNote(entry.value);
        if (note === undefined) {
            this.options.telemetry.record(telemetry.events.NoteRejected, { text: `revision ${entry.revision}` });
            return;
        }
        if (note.generation >= (this.note?.generation ?? 0)) {
            this.confirm();
        }
        this.adopt(note);
    }

    private answerPeers(): void {
        this.options.network.handle(protocol.MessageKind.NoteRequest, async request => ({
            kind: protocol.MessageKind.NoteReply,
            note: this.note !== undefined && this.note.generation > request.newerThan ? this.note : undefined,
        }));
    }

    private hear(from: core.InstanceId, heartbeat: protocol.Heartbeat): void {
        const own = this.note?.generation ?? 0;
        if (heartbeat.generation > 0 && heartbeat.generation === own) {
            this.confirm();
        }
        // One pull at a time: at a publish every peer tells the new generation within the same second.
        if (heartbeat.generation > own && this.pull === undefined) {
            this.pull = this.pullFrom(from, own).finally(() => {
                this.pull = undefined;
            });
        }
    }

    private async pullFrom(peer: core.InstanceId, own: core.Generation): Promise<void> {
        const request: protocol.NoteRequest = { kind: protocol.MessageKind.NoteRequest, newerThan: own };
        const result = await this.options.network.request(peer, request, {
            lane: protocol.Lane.Bulk,
            timeoutMilliseconds: PullTimeoutMilliseconds,
        });
        if (!result.ok || result.message.kind !== protocol.MessageKind.NoteReply) {
            return;
        }
        const note = noteStore.tryReadNote(result.message.note);
        if (note !== undefined) {
            this.confirm();
            this.adopt(note);
        }
    }

    private confirm(): void {
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
            const value = await fileSystem.readFile(path.join(this.options.dataFolder, NoteFile));
            const note = noteStore.tryDecodeNote(value);
            if (note !== undefined) {
                this.adopt(note);
            }
        }
        catch {
            // No file: the first start here. The note comes from the platform or a peer.
        }
    }

    /** Replaces the file by a rename, so that a crash midway leaves the old note and not half of a new one. */
    private async writeFile(note: core.NoteInForce): Promise<void> {
        if (this.options.dataFolder === undefined) {
            return;
        }
        const target = path.join(this.options.dataFolder, NoteFile);
        const temporary = `${target}.${note.generation}`;
        try {
            await fileSystem.writeFile(temporary, noteStore.encodeNote(note));
            await fileSystem.rename(temporary, target);
        }
        catch (error) {
            // The file only shortens a start during an outage; a full disk must not stop the note coming into force.
            this.options.telemetry.record(telemetry.events.NoteRejected, { text: `not stored: ${String(error)}` });
        }
    }
}
