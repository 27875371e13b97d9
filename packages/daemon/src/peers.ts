import type * as core from "@boragedale/core";
import * as decisions from "@boragedale/decisions";
import type * as gateway from "@boragedale/gateway";
import * as protocol from "@boragedale/protocol";

/** Fleets up to this size are linked whole; larger ones link each member to this many others. */
const NeighbourCount = 15;

/** The members that this one stays linked to. */
export function chooseNeighbours(members: gateway.MemberDirectory): readonly protocol.PeerAddress[] {
    const others = members.getOthers();
    const chosen =
        others.length <= NeighbourCount
            ? others.map(member => member.id)
            : decisions.chooseSubset(
                  members.self.id,
                  others.map(member => member.id),
                  NeighbourCount,
              );
    return chosen.flatMap(id => tryGetAddress(members, id) ?? []);
}

export function tryGetAddress(members: gateway.MemberDirectory, id: core.InstanceId): protocol.PeerAddress | undefined {
    const member = members.tryGet(id);
    return member === undefined ? undefined : { id, url: `ws://${member.peerAddress}` };
}

/** Entries of one notice, so that a large view stays under a lane's frame limit. */
const EntriesInNotice = 200;
/** A peer that seems behind is told at most this often: its heartbeat may be older than the last notice. */
const CatchUpMilliseconds = 900;

/**
 * Passes on what the store told: it may turn some members away while it serves the others, and an upstream that leaves
 * must be known to all within seconds.
 */
export class RegistryRelay {
    private readonly caughtUp = new Map<core.InstanceId, core.MonotonicMilliseconds>();

    constructor(
        private readonly view: gateway.FleetView,
        private readonly network: protocol.PeerNetwork,
        private readonly clock: core.Clock,
    ) {
        network.handle(protocol.MessageKind.RegistryEntries, async message => {
            const entries = message.entries.map(entry => ({ ...entry, value: entry.value }));
            view.apply(entries, clock.now());
            return undefined;
        });
        network.handle(protocol.MessageKind.Heartbeat, async (message, from) => {
            this.catchUp(from, message.generation);
            return undefined;
        });
    }

    /** Tells all linked peers what was news here. */
    tell(news: readonly gateway.StoreEntry[]): void {
        if (news.length > 0) {
            this.network.getConnectedPeers().forEach(peer => this.send(peer, news));
        }
    }

    private catchUp(peer: core.InstanceId, revision: gateway.Revision): void {
        const now = this.clock.now();
        const last = this.caughtUp.get(peer) ?? -Infinity;
        if (revision >= this.view.getRevision() || now - last < CatchUpMilliseconds) {
            return;
        }
        this.caughtUp.set(peer, now);
        this.send(peer, this.view.getEntriesAfter(revision));
    }

    private send(peer: core.InstanceId, entries: readonly gateway.StoreEntry[]): void {
        for (let start = 0; start < entries.length; start += EntriesInNotice) {
            const part = entries.slice(start, start + EntriesInNotice).map(entry => toWire(entry));
            const message = { kind: protocol.MessageKind.RegistryEntries, entries: part } as const;
            this.network.notify(peer, message, protocol.Lane.Bulk);
        }
    }
}

function toWire(entry: gateway.StoreEntry): protocol.RegistryEntries["entries"][number] {
    const { key, revision, value } = entry;
    return value === undefined ? { key, revision } : { key, revision, value };
}
