import * as zlib from "node:zlib";
import type * as core from "@boragedale/core";
import * as protocol from "@boragedale/protocol";
import * as catchUpPolicy from "./catchUpPolicy.js";
import type * as fleetView from "./fleetView.js";
import * as gatewayLog from "./gatewayLog.js";
import * as memberDirectory from "./memberDirectory.js";
import type * as types from "./types.js";
import type * as watchAssignment from "./watchDuty.js";

/** Entries per message, so that a large view stays below a lane's frame limit. */
const MaximumEntriesPerMessage = 200;
/** Messages up to this size use the control lane, which is always open. */
const MaximumControlMessageBytes = 8_192;
/**
 * Values of at least this size are compressed: a configuration with a thousand routes is sent to a dozen followers at
 * once.
 */
const MinimumCompressedBytes = 4_096;
const MaximumInflatedBytes = 16_777_216;
const CatchUpTimeoutMilliseconds = 2_000;
/** Time for which an update that a heartbeat announces may be in transit, since watches gather changes. */
const UpdateDelayMilliseconds = 700;

export interface RegistryRelayParts {
    readonly view: fleetView.FleetView;
    readonly network: protocol.PeerNetwork;
    readonly clock: core.Clock;
    readonly assignment: watchAssignment.WatchAssignment;
    /** Whether this member's copy comes from the store's watches. */
    readonly isWatching: () => boolean;
    readonly apply: (entries: readonly types.StoreEntry[]) => void;
    readonly log: gatewayLog.GatewayLog;
}

/**
 * Distributes registry entries among members. In a small fleet every member notifies its peers, since the store may
 * reject calls of some members while it serves others. In a large fleet the watching members notify their followers. A
 * member that was cut off, or that lost an update, requests entries from a peer whose heartbeat shows later entries, or
 * different ones at the same revision.
 */
export class RegistryRelay {
    private readonly policy: catchUpPolicy.CatchUpPolicy;
    /** Whether this member is waiting for an update that a heartbeat announced. */
    private isWaitingForUpdate = false;

    constructor(private readonly parts: RegistryRelayParts) {
        const { network } = parts;
        this.policy = new catchUpPolicy.CatchUpPolicy(parts.view, parts.assignment);
        network.handle(protocol.MessageKind.RegistryEntries, async message => {
            this.apply(message);
            return undefined;
        });
        network.handle(protocol.MessageKind.RegistryRequest, async message => this.answer(message.revision));
        network.handle(protocol.MessageKind.Heartbeat, async (message, from) => {
            if (message.isWatching === true) {
                parts.assignment.recordHeartbeat(from, parts.clock.now());
            }
            await this.catchUp(from, message);
            return undefined;
        });
    }

    /** Notifies peers of changes received by a watch of the store. */
    publish(entries: readonly types.StoreEntry[]): void {
        const { clock, assignment: assignment, network } = this.parts;
        const isLarge = assignment.isLargeFleet();
        const published = isLarge
            ? entries
            : entries.filter(entry => !entry.key.startsWith(memberDirectory.FleetPrefix));
        const recipients = isLarge ? assignment.getFollowers(clock.now()) : network.getConnectedPeers();
        if (recipients.length === 0) {
            return;
        }
        for (let start = 0; start < published.length; start += MaximumEntriesPerMessage) {
            const updates = published.slice(start, start + MaximumEntriesPerMessage).map(toWire);
            const message = { kind: protocol.MessageKind.RegistryEntries, isWhole: false, entries: updates } as const;
            const bytes = updates.reduce((sum, entry) => sum + entry.key.length + (entry.value?.byteLength ?? 0), 0);
            const lane = bytes <= MaximumControlMessageBytes ? protocol.Lane.Control : protocol.Lane.Bulk;
            recipients.forEach(peer => network.notify(peer, message, lane));
        }
    }

    private answer(revision: types.Revision): protocol.RegistryEntries {
        const { view, clock, isWatching } = this.parts;
        const isWhole = view.isComplete() && revision === 0;
        const message = {
            kind: protocol.MessageKind.RegistryEntries,
            isWhole,
            entries: view.getEntriesAfter(revision).map(toWire),
        } as const;
        // Only a copy that comes from the store's watches shows which entries were removed.
        return isWhole && isWatching() ? { ...message, settled: view.getSettledRevision(clock.now()) } : message;
    }

    private async catchUp(peer: core.InstanceId, heartbeat: protocol.Heartbeat): Promise<void> {
        const { clock } = this.parts;
        if (!this.policy.mayArriveUnrequested(heartbeat, clock.now())) {
            await this.requestIfBehind(peer, heartbeat);
            return;
        }
        if (!this.isWaitingForUpdate && this.policy.isBehind(heartbeat, clock.now())) {
            this.isWaitingForUpdate = true;
            await clock.sleep(UpdateDelayMilliseconds);
            this.isWaitingForUpdate = false;
            await this.requestIfBehind(peer, heartbeat);
        }
    }

    /**
     * Requests the entries after a revision, and all entries if a difference remains, since the missing ones may be
     * older.
     */
    private async requestIfBehind(peer: core.InstanceId, heartbeat: protocol.Heartbeat): Promise<void> {
        const missingAfter = this.policy.tryBegin(peer, heartbeat, this.parts.clock.now());
        if (missingAfter === undefined) {
            return;
        }
        let outcome = await this.requestEntries(peer, heartbeat, missingAfter);
        if (outcome === catchUpPolicy.CatchUpOutcome.Behind && missingAfter > 0) {
            outcome = await this.requestEntries(peer, heartbeat, 0);
        }
        this.policy.end(peer, outcome);
    }

    private async requestEntries(
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
            this.logRequest(peer, revision, 0, reply.ok ? reply.message.kind : `${reply.kind}: ${reply.text}`);
            return catchUpPolicy.CatchUpOutcome.Failed;
        }
        this.apply(reply.message);
        const isBehind = this.policy.isBehind(heartbeat, clock.now());
        const outcome = isBehind ? catchUpPolicy.CatchUpOutcome.Behind : catchUpPolicy.CatchUpOutcome.Level;
        this.logRequest(peer, revision, reply.message.entries.length, outcome);
        return outcome;
    }

    private logRequest(peer: core.InstanceId, after: types.Revision, entries: number, text: string): void {
        this.parts.log.recordEvent(gatewayLog.GatewayEvent.RegistryAsked, { peer, after, entries, text });
    }

    private apply(message: protocol.RegistryEntries): void {
        const { view, apply } = this.parts;
        const entries = message.entries.flatMap(entry => this.tryDecode(entry) ?? []);
        const missing =
            message.isWhole && message.settled !== undefined ? view.findMissing(entries, message.settled) : [];
        apply([...entries, ...missing]);
        if (message.isWhole) {
            view.noteComplete();
        }
    }

    private logUnusableEntry(text: string): void {
        this.parts.log.recordEvent(gatewayLog.GatewayEvent.EntryUnusable, { text });
    }

    private tryDecode(encoded: protocol.RegistryEntry): types.StoreEntry | undefined {
        const { key, revision, value, isDeflated } = encoded;
        if (!this.parts.view.isRegistryKey(key)) {
            this.logUnusableEntry(`a peer sent ${key}, which is not a registry key`);
            return undefined;
        }
        if (value === undefined || isDeflated !== true) {
            return { key, revision, value };
        }
        try {
            return { key, revision, value: zlib.inflateRawSync(value, { maxOutputLength: MaximumInflatedBytes }) };
        }
        catch (error) {
            this.logUnusableEntry(`a peer sent ${key}, which can't be decompressed: ${String(error)}`);
            return undefined;
        }
    }
}

function toWire(entry: types.StoreEntry): protocol.RegistryEntry {
    const { key, revision, value } = entry;
    if (value === undefined) {
        return { key, revision };
    }
    return value.byteLength < MinimumCompressedBytes
        ? { key, revision, value }
        : { key, revision, value: zlib.deflateRawSync(value, { level: 1 }), isDeflated: true };
}
