import type * as core from "@boragedale/core";
import * as decisions from "@boragedale/decisions";
import * as gateway from "@boragedale/gateway";
import * as protocol from "@boragedale/protocol";

/** The members that this one stays linked to. */
export function chooseNeighbours(members: gateway.MemberDirectory): readonly protocol.PeerAddress[] {
    const others = members.getOthers();
    const chosen =
        others.length <= gateway.NeighbourCount
            ? others.map(member => member.id)
            : decisions.chooseSubset(
                  members.self.id,
                  others.map(member => member.id),
                  gateway.NeighbourCount,
              );
    return chosen.flatMap(id => tryGetAddress(members, id) ?? []);
}

export function tryGetAddress(members: gateway.MemberDirectory, id: core.InstanceId): protocol.PeerAddress | undefined {
    const member = members.tryGet(id);
    return member === undefined ? undefined : { id, url: `ws://${member.peerAddress}` };
}

/** Entries of one notice, so that a large view stays under a lane's frame limit. */
const EntriesInNotice = 200;
/** A peer that is ahead is asked at most this often: its notice may be on its way. */
const CatchUpMilliseconds = 900;
const CatchUpTimeoutMilliseconds = 2_000;

/**
 * Passes on what the store told: it may turn some members away while it serves the others, and an upstream that leaves
 * must be known to all within seconds. A member that was cut off, or that starts while the store is away, asks a peer whose
 * heartbeat shows later changes.
 */
export class RegistryRelay {
    private askedAt: core.MonotonicMilliseconds = -Infinity;

    constructor(
        private readonly view: gateway.FleetView,
        private readonly network: protocol.PeerNetwork,
        private readonly clock: core.Clock,
        /** Whether the fleet is too large for each member to tell each of its peers what all of them hear anyway. */
        private readonly isLarge: () => boolean = () => false,
    ) {
        network.handle(protocol.MessageKind.RegistryEntries, async message => {
            this.take(message);
            return undefined;
        });
        network.handle(protocol.MessageKind.RegistryRequest, async message => ({
            kind: protocol.MessageKind.RegistryEntries,
            isWhole: view.isWhole() && message.revision === 0,
            entries: view.getEntriesAfter(message.revision).map(toWire),
        }));
        network.handle(protocol.MessageKind.Heartbeat, async (message, from) => {
            await this.catchUp(from, message);
            return undefined;
        });
    }

    /**
     * Tells all linked peers what was news here. In a large fleet that would be thirty messages for each member and change;
     * there a peer that hears of a later revision by a heartbeat asks for what it lacks.
     */
    tell(news: readonly gateway.StoreEntry[]): void {
        if (this.isLarge()) {
            return;
        }
        for (let start = 0; start < news.length; start += EntriesInNotice) {
            const entries = news.slice(start, start + EntriesInNotice).map(toWire);
            const message = { kind: protocol.MessageKind.RegistryEntries, isWhole: false, entries } as const;
            this.network.getConnectedPeers().forEach(peer => this.network.notify(peer, message, protocol.Lane.Bulk));
        }
    }

    private async catchUp(peer: core.InstanceId, heartbeat: protocol.Heartbeat): Promise<void> {
        const now = this.clock.now();
        const lacked = this.tryGetLackedAfter(heartbeat, now);
        if (lacked === undefined || now - this.askedAt < CatchUpMilliseconds) {
            return;
        }
        this.askedAt = now;
        const message = { kind: protocol.MessageKind.RegistryRequest, revision: lacked } as const;
        const reply = await this.network.request(peer, message, {
            lane: protocol.Lane.Bulk,
            timeoutMilliseconds: CatchUpTimeoutMilliseconds,
        });
        if (reply.ok && reply.message.kind === protocol.MessageKind.RegistryEntries) {
            this.take(reply.message);
        }
    }

    /**
     * The revision after which the peer may know entries that this member lacks; undefined where it knows none. The highest
     * revision alone doesn't tell: a peer's watches bring changes out of their order, and one that it heard of late would stay
     * unknown here for as long as the store turns this member away. Asked for from the settled revision on, it comes along.
     */
    private tryGetLackedAfter(
        heartbeat: protocol.Heartbeat,
        now: core.MonotonicMilliseconds,
    ): gateway.Revision | undefined {
        if (!this.view.isWhole()) {
            return heartbeat.generation > 0 ? 0 : undefined;
        }
        const known = this.view.getRevision();
        const isAhead = heartbeat.generation > known;
        const differs =
            heartbeat.generation === known &&
            heartbeat.digest !== undefined &&
            heartbeat.digest !== this.view.getDigest();
        return isAhead || differs ? this.view.getSettledRevision(now) : undefined;
    }

    private take(message: protocol.RegistryEntries): void {
        const entries = message.entries.map(({ key, revision, value }) => ({ key, revision, value }));
        this.view.apply(entries, this.clock.now());
        if (message.isWhole) {
            this.view.noteWhole();
        }
    }
}

function toWire(entry: gateway.StoreEntry): protocol.RegistryEntries["entries"][number] {
    const { key, revision, value } = entry;
    return value === undefined ? { key, revision } : { key, revision, value };
}
