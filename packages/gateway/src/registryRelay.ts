import * as zlib from "node:zlib";
import type * as core from "@boragedale/core";
import * as protocol from "@boragedale/protocol";
import * as catchUpPolicy from "./catchUpPolicy.js";
import type * as fleetView from "./fleetView.js";
import * as gatewayLog from "./gatewayLog.js";
import * as memberDirectory from "./memberDirectory.js";
import type * as types from "./types.js";
import type * as watchDuty from "./watchDuty.js";

/** Entries of one message, so that a large view stays under a lane's frame limit. */
const EntriesInMessage = 200;
/** Messages up to this size go over the control lane, which is always open. */
const SmallMessageBytes = 8_192;
/** Values from this size on are compressed: a configuration of a thousand routes goes to a dozen followers at once. */
const CompressedBytes = 4_096;
const LargestValueBytes = 16_777_216;
const CatchUpTimeoutMilliseconds = 2_000;
/** The update that a heartbeat announces may be on its way for this long, since watches gather changes. */
const UpdateMilliseconds = 700;

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

/**
 * Passes registry entries on between members. In a small fleet each tells its peers, since the store may turn some away while it
 * serves others. In a large one the watching members tell their followers. A member that was cut off, or lost an update, asks a peer
 * whose heartbeat shows later entries or others at the same revision.
 */
export class RegistryRelay {
    private readonly policy: catchUpPolicy.CatchUpPolicy;
    /** Whether the update that a heartbeat announced is waited for. */
    private isWaiting = false;

    constructor(private readonly parts: RegistryRelayParts) {
        const { network } = parts;
        this.policy = new catchUpPolicy.CatchUpPolicy(parts.view, parts.duty);
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
        const { clock } = this.parts;
        if (!this.policy.mayComeByItself(heartbeat, clock.now())) {
            await this.askIfBehind(peer, heartbeat);
            return;
        }
        if (!this.isWaiting && this.policy.isBehind(heartbeat, clock.now())) {
            this.isWaiting = true;
            await clock.sleep(UpdateMilliseconds);
            this.isWaiting = false;
            await this.askIfBehind(peer, heartbeat);
        }
    }

    /** Asks for what came after a revision, and for all entries where that leaves a difference: what is lacking may be older. */
    private async askIfBehind(peer: core.InstanceId, heartbeat: protocol.Heartbeat): Promise<void> {
        const lacked = this.policy.tryBegin(peer, heartbeat, this.parts.clock.now());
        if (lacked === undefined) {
            return;
        }
        let outcome = await this.ask(peer, heartbeat, lacked);
        if (outcome === catchUpPolicy.CatchUpOutcome.Behind && lacked > 0) {
            outcome = await this.ask(peer, heartbeat, 0);
        }
        this.policy.end(peer, outcome);
    }

    private async ask(
        peer: core.InstanceId,
        heartbeat: protocol.Heartbeat,
        revision: types.Revision,
    ): Promise<catchUpPolicy.CatchUpOutcome> {
        const { clock, network } = this.parts;
        const message = { kind: protocol.MessageKind.RegistryRequest, revision } as const;
        const reply = await network.request(peer, message, {
            lane: protocol.Lane.Bulk,
            timeoutMilliseconds: CatchUpTimeoutMilliseconds,
        });
        if (!reply.ok || reply.message.kind !== protocol.MessageKind.RegistryEntries) {
            this.noteAsked(peer, revision, 0, reply.ok ? reply.message.kind : `${reply.kind}: ${reply.text}`);
            return catchUpPolicy.CatchUpOutcome.Failed;
        }
        this.apply(reply.message);
        const isBehind = this.policy.isBehind(heartbeat, clock.now());
        const outcome = isBehind ? catchUpPolicy.CatchUpOutcome.Behind : catchUpPolicy.CatchUpOutcome.Level;
        this.noteAsked(peer, revision, reply.message.entries.length, outcome);
        return outcome;
    }

    private noteAsked(peer: core.InstanceId, after: types.Revision, entries: number, text: string): void {
        this.parts.log.note(gatewayLog.GatewayEvent.RegistryAsked, { peer, after, entries, text });
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

function toWire(entry: types.StoreEntry): protocol.RegistryEntry {
    const { key, revision, value } = entry;
    if (value === undefined) {
        return { key, revision };
    }
    return value.byteLength < CompressedBytes
        ? { key, revision, value }
        : { key, revision, value: zlib.deflateRawSync(value, { level: 1 }), isDeflated: true };
}
