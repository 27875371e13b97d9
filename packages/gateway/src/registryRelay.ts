import * as zlib from "node:zlib";
import type * as core from "@boragedale/core";
import * as protocol from "@boragedale/protocol";
import type * as fleetView from "./fleetView.js";
import * as gatewayLog from "./gatewayLog.js";
import * as memberDirectory from "./memberDirectory.js";
import type * as types from "./types.js";
import * as watchDuty from "./watchDuty.js";

/** Entries of one message, so that a large view stays under a lane's frame limit. */
const EntriesInMessage = 200;
/** Messages up to this size go over the control lane, which is always open. */
const SmallMessageBytes = 8_192;
/** Values from this size on are compressed: a configuration of a thousand routes goes to a dozen followers at once. */
const CompressedBytes = 4_096;
const LargestValueBytes = 16_777_216;
/** A peer that is ahead is asked at most this often: its update may be on its way. */
const CatchUpMilliseconds = 900;
const CatchUpTimeoutMilliseconds = 2_000;
/** A peer that was asked in vain is left aside for this long. */
const UnhelpfulMilliseconds = 3_000;
/** The update that a heartbeat announces may be on its way for this long, since watches gather changes. */
const UpdateMilliseconds = 700;
/** Time after a change during which copies of members may be at different revisions. */
const ChangingMilliseconds = 10_000;

export interface RegistryRelayParts {
    readonly view: fleetView.FleetView;
    readonly network: protocol.PeerNetwork;
    readonly clock: core.Clock;
    readonly duty: watchDuty.WatchDuty;
    /** Whether this member's copy comes from the store's watches. */
    readonly isWatching: () => boolean;
    readonly apply: (entries: readonly types.StoreEntry[]) => void;
    readonly log: gatewayLog.GatewayLog;
}

/** What an answer to a question for lacking entries led to. */
enum CatchUpOutcome {
    /** The copy is as the peer's heartbeat told. */
    Level = "Level",
    /** A difference remains. */
    Behind = "Behind",
    /** There was no answer. */
    Failed = "Failed",
}

/**
 * Passes registry entries on between members. In a small fleet each tells its peers, since the store may turn some away while it
 * serves others. In a large one the watching members tell their followers. A member that was cut off, or lost an update, asks a peer
 * whose heartbeat shows later entries or others at the same revision.
 */
export class RegistryRelay {
    private askedAt: core.MonotonicMilliseconds = -Infinity;
    /** Peers that were asked and have not brought this member level, and when they were asked. */
    private readonly unhelpful = new Map<core.InstanceId, core.MonotonicMilliseconds>();
    /** Whether the update that a heartbeat announced is waited for. */
    private isWaiting = false;

    constructor(private readonly parts: RegistryRelayParts) {
        const { network } = parts;
        network.handle(protocol.MessageKind.RegistryEntries, async message => {
            this.apply(message);
            return undefined;
        });
        network.handle(protocol.MessageKind.RegistryRequest, async message => this.answer(message.revision));
        network.handle(protocol.MessageKind.Heartbeat, async (message, from) => {
            if (message.isWatching === true) {
                parts.duty.recordHeard(from, parts.clock.now());
            }
            await this.catchUp(from, message);
            return undefined;
        });
    }

    /** Notifies peers of the changes that a watch of the store brought. */
    publish(entries: readonly types.StoreEntry[]): void {
        const { clock, duty, network } = this.parts;
        const isLarge = duty.isLargeFleet();
        const published = isLarge
            ? entries
            : entries.filter(entry => !entry.key.startsWith(memberDirectory.FleetPrefix));
        const recipients = isLarge ? duty.getFollowers(clock.now()) : network.getConnectedPeers();
        if (recipients.length === 0) {
            return;
        }
        for (let start = 0; start < published.length; start += EntriesInMessage) {
            const updates = published.slice(start, start + EntriesInMessage).map(toWire);
            const message = { kind: protocol.MessageKind.RegistryEntries, isWhole: false, entries: updates } as const;
            const bytes = updates.reduce((sum, entry) => sum + entry.key.length + (entry.value?.byteLength ?? 0), 0);
            const lane = bytes <= SmallMessageBytes ? protocol.Lane.Control : protocol.Lane.Bulk;
            recipients.forEach(peer => network.notify(peer, message, lane));
        }
    }

    private answer(revision: types.Revision): protocol.RegistryEntries {
        const { view, clock, isWatching } = this.parts;
        const isWhole = view.isWhole() && revision === 0;
        const message = {
            kind: protocol.MessageKind.RegistryEntries,
            isWhole,
            entries: view.getEntriesAfter(revision).map(toWire),
        } as const;
        // Only a copy that comes from the store's watches tells which entries are gone.
        return isWhole && isWatching() ? { ...message, settled: view.getSettledRevision(clock.now()) } : message;
    }

    private async catchUp(peer: core.InstanceId, heartbeat: protocol.Heartbeat): Promise<void> {
        const { clock, duty, view } = this.parts;
        const now = clock.now();
        this.forgetUnhelpful(now);
        // Changes of upstreams come in their order, so a difference at the same revision is none that is on its way.
        const mayComeByItself =
            duty.isLargeFleet() &&
            heartbeat.isWatching === true &&
            duty.isUpdated(now) &&
            !this.lacksUpstream(heartbeat);
        if (!mayComeByItself || !view.isWhole() || this.unhelpful.size > 0) {
            await this.askIfBehind(peer, heartbeat);
            return;
        }
        if (!this.isWaiting && this.tryGetLackedAfter(heartbeat, now) !== undefined) {
            this.isWaiting = true;
            await clock.sleep(UpdateMilliseconds);
            this.isWaiting = false;
            await this.askIfBehind(peer, heartbeat);
        }
    }

    private async askIfBehind(peer: core.InstanceId, heartbeat: protocol.Heartbeat): Promise<void> {
        const now = this.parts.clock.now();
        const lacked = this.mayAsk(peer, heartbeat, now) ? this.tryGetLackedAfter(heartbeat, now) : undefined;
        if (lacked === undefined || now - this.askedAt < CatchUpMilliseconds) {
            return;
        }
        this.askedAt = now;
        await this.ask(peer, heartbeat, lacked);
    }

    /** Asks for what came after a revision, and for all entries where that leaves a difference: what is lacking may be older. */
    private async ask(peer: core.InstanceId, heartbeat: protocol.Heartbeat, lacked: types.Revision): Promise<void> {
        this.unhelpful.set(peer, this.parts.clock.now());
        let outcome = await this.askOnce(peer, heartbeat, lacked);
        if (outcome === CatchUpOutcome.Behind && lacked > 0) {
            outcome = await this.askOnce(peer, heartbeat, 0);
        }
        if (outcome === CatchUpOutcome.Level) {
            this.unhelpful.delete(peer);
        }
        else if (outcome === CatchUpOutcome.Failed) {
            // The next heartbeat of another peer may be followed by a question at once.
            this.askedAt = -Infinity;
        }
    }

    private async askOnce(
        peer: core.InstanceId,
        heartbeat: protocol.Heartbeat,
        revision: types.Revision,
    ): Promise<CatchUpOutcome> {
        const { clock, network } = this.parts;
        const message = { kind: protocol.MessageKind.RegistryRequest, revision } as const;
        const reply = await network.request(peer, message, {
            lane: protocol.Lane.Bulk,
            timeoutMilliseconds: CatchUpTimeoutMilliseconds,
        });
        if (!reply.ok || reply.message.kind !== protocol.MessageKind.RegistryEntries) {
            this.noteAsked(peer, revision, 0, reply.ok ? reply.message.kind : `${reply.kind}: ${reply.text}`);
            return CatchUpOutcome.Failed;
        }
        this.apply(reply.message);
        const isLevel = this.tryGetLackedAfter(heartbeat, clock.now()) === undefined;
        const outcome = isLevel ? CatchUpOutcome.Level : CatchUpOutcome.Behind;
        this.noteAsked(peer, revision, reply.message.entries.length, outcome);
        return outcome;
    }

    private noteAsked(peer: core.InstanceId, after: types.Revision, entries: number, text: string): void {
        this.parts.log.note(gatewayLog.GatewayEvent.RegistryAsked, { peer, after, entries, text });
    }

    /**
     * A watching member has what the others have, earlier; asking each peer that is ahead would be an answer for each. Where one was
     * asked in vain, any other peer will do: the links of a member all carry its heartbeats at the same moment, so the one that is heard
     * first stays the first.
     */
    private mayAsk(peer: core.InstanceId, heartbeat: protocol.Heartbeat, now: core.MonotonicMilliseconds): boolean {
        const { duty } = this.parts;
        if (this.unhelpful.has(peer)) {
            return false;
        }
        return (
            heartbeat.isWatching === true ||
            !duty.isLargeFleet() ||
            this.unhelpful.size > 0 ||
            duty.getUnheardMilliseconds(now) > watchDuty.HeardMilliseconds
        );
    }

    private forgetUnhelpful(now: core.MonotonicMilliseconds): void {
        for (const [peer, at] of this.unhelpful) {
            if (now - at > UnhelpfulMilliseconds) {
                this.unhelpful.delete(peer);
            }
        }
    }

    /**
     * The revision after which the peer may know entries that this member lacks; undefined where it knows none. The highest
     * revision alone doesn't tell: a peer's watches bring changes out of their order. Asked for from the settled revision on, a
     * late one comes along.
     */
    private tryGetLackedAfter(
        heartbeat: protocol.Heartbeat,
        now: core.MonotonicMilliseconds,
    ): types.Revision | undefined {
        const { view } = this.parts;
        if (!view.isWhole()) {
            return heartbeat.generation > 0 ? 0 : undefined;
        }
        const settled = view.getSettledRevision(now);
        const configuration = heartbeat.configurationRevision ?? 0;
        if (configuration > view.getConfigurationRevision()) {
            return Math.min(settled, configuration - 1);
        }
        const upstreams = view.getUpstreamsMark();
        if ((heartbeat.upstreamsRevision ?? 0) > upstreams.revision) {
            return Math.min(settled, upstreams.revision);
        }
        const isAhead = heartbeat.generation > view.getRevision();
        return isAhead || this.differs(heartbeat) ? settled : undefined;
    }

    private differs(heartbeat: protocol.Heartbeat): boolean {
        const { view } = this.parts;
        const whole = { revision: view.getRevision(), digest: view.getDigest() };
        return isOther(heartbeat.generation, heartbeat.digest, whole) || this.lacksUpstream(heartbeat);
    }

    private lacksUpstream(heartbeat: protocol.Heartbeat): boolean {
        const { upstreamsRevision, upstreamsDigest } = heartbeat;
        return isOther(upstreamsRevision, upstreamsDigest, this.parts.view.getUpstreamsMark());
    }

    private apply(message: protocol.RegistryEntries): void {
        const { view, apply } = this.parts;
        const entries = message.entries.flatMap(entry => this.tryRead(entry) ?? []);
        const missing =
            message.isWhole && message.settled !== undefined ? view.findMissing(entries, message.settled) : [];
        apply([...entries, ...missing]);
        if (message.isWhole) {
            view.noteWhole();
        }
    }

    private noteUnusable(text: string): void {
        this.parts.log.note(gatewayLog.GatewayEvent.EntryUnusable, { text });
    }

    private tryRead(wired: protocol.RegistryEntry): types.StoreEntry | undefined {
        const { key, revision, value, isDeflated } = wired;
        if (!this.parts.view.isRegistryKey(key)) {
            this.noteUnusable(`a peer passed on ${key}, which is no entry of the registry`);
            return undefined;
        }
        if (value === undefined || isDeflated !== true) {
            return { key, revision, value };
        }
        try {
            return { key, revision, value: zlib.inflateRawSync(value, { maxOutputLength: LargestValueBytes }) };
        }
        catch (error) {
            this.noteUnusable(`a peer passed on ${key}, which can't be decompressed: ${String(error)}`);
            return undefined;
        }
    }
}

/** What a heartbeat tells of the sender's registry entries. Once nothing changes any more, one digest of all tells the same. */
export function describeRegistry(
    view: fleetView.FleetView,
    isWatching: boolean,
    now: core.MonotonicMilliseconds,
): Omit<protocol.Heartbeat, "kind" | "logicalTime" | "state"> {
    const upstreams = view.getUpstreamsMark();
    const marks = {
        configurationRevision: view.getConfigurationRevision(),
        upstreamsRevision: upstreams.revision,
        upstreamsDigest: upstreams.digest,
    };
    return {
        generation: view.getRevision(),
        digest: view.getDigest(),
        ...(isWatching ? { isWatching } : {}),
        ...(now - view.getChangedAt() < ChangingMilliseconds ? marks : {}),
    };
}

/** Whether a peer's entries of the same highest revision are others than those that the mark stands for. */
function isOther(
    revision: types.Revision | undefined,
    digest: number | undefined,
    mark: fleetView.RegistryMark,
): boolean {
    return revision === mark.revision && digest !== undefined && digest !== mark.digest;
}

function toWire(entry: types.StoreEntry): protocol.RegistryEntry {
    const { key, revision, value } = entry;
    if (value === undefined) {
        return { key, revision };
    }
    return value.byteLength < CompressedBytes
        ? { key, revision, value }
        : { key, revision, value: zlib.deflateRawSync(value, { level: 1 }), isDeflated: true };
}
