import type * as core from "@boragedale/core";
import * as decisions from "@boragedale/decisions";
import * as protocol from "@boragedale/protocol";

/**
 * Changes are gathered for this long before they are told: with a request each few milliseconds at a burst, a notice
 * each would be most of the messages; a place taken twice within it costs the second request a short queue.
 */
const NoticeDelayMilliseconds = 15;
/** The whole use is told this often, so that a lost notice is mended and a silent peer is known. */
const WholeIntervalMilliseconds = 1_000;
/** A peer that told nothing for this long has no requests that count: it is gone, stopped or cut off. */
const PeerSilenceMilliseconds = 3_500;

/** Keeps the board of places up to date: tells the peers of the own requests, and takes what they tell. */
export class SlotSharing implements AsyncDisposable {
    private readonly dirty = new Set<core.UpstreamId>();
    private readonly heard = new Map<core.InstanceId, core.MonotonicMilliseconds>();
    private readonly used = new Set<core.UpstreamId>();
    private readonly stopper = new AbortController();
    private isNoticeDue = false;
    private onYield: (upstream: core.UpstreamId) => void = () => undefined;
    private onRoom: () => void = () => undefined;

    constructor(
        readonly board: decisions.SlotBoard,
        private readonly network: protocol.PeerNetwork,
        private readonly clock: core.Clock,
    ) {
        network.handle(protocol.MessageKind.SlotUses, async (message, from) => {
            this.takeNotice(message, from);
            return undefined;
        });
        network.handle(protocol.MessageKind.YieldSlot, async message => {
            this.onYield(message.upstream);
            return undefined;
        });
    }

    /** Who gives up a batch item's place, and who wants to know that places may have come free. */
    connect(onYield: (upstream: core.UpstreamId) => void, onRoom: () => void): void {
        this.onYield = onYield;
        this.onRoom = onRoom;
    }

    take(upstream: core.UpstreamId, isBatch: boolean): void {
        this.board.take(upstream, isBatch);
        this.noteChange(upstream);
    }

    release(upstream: core.UpstreamId, isBatch: boolean): void {
        this.board.release(upstream, isBatch);
        this.noteChange(upstream);
        this.onRoom();
    }

    /** Asks the holder of a batch item on the upstream to give its place up; sent at once, since an online request waits. */
    askToYield(upstream: core.UpstreamId, yielder: core.InstanceId): void {
        if (yielder === decisions.SelfInstance) {
            this.onYield(upstream);
            return;
        }
        this.network.notify(yielder, { kind: protocol.MessageKind.YieldSlot, upstream }, protocol.Lane.Control);
    }

    /** The task that repeats the whole use. */
    async run(): Promise<void> {
        while (!this.stopper.signal.aborted) {
            this.forgetSilentPeers();
            this.tell([...this.used], true);
            await this.clock.sleep(WholeIntervalMilliseconds, this.stopper.signal);
        }
    }

    async [Symbol.asyncDispose](): Promise<void> {
        this.stopper.abort();
    }

    private noteChange(upstream: core.UpstreamId): void {
        this.used.add(upstream);
        this.dirty.add(upstream);
        if (!this.isNoticeDue) {
            this.isNoticeDue = true;
            this.clock.schedule(NoticeDelayMilliseconds, () => {
                this.isNoticeDue = false;
                const changed = [...this.dirty];
                this.dirty.clear();
                this.tell(changed, false);
            });
        }
    }

    private tell(upstreams: readonly core.UpstreamId[], isWhole: boolean): void {
        const uses = upstreams.map((upstream): readonly [string, number, number] => {
            const own = this.board.getOwn(upstream);
            return [upstream, own.online, own.batch];
        });
        const listed = isWhole ? uses.filter(([, online, batch]) => online > 0 || batch > 0) : uses;
        const message: protocol.SlotUses = { kind: protocol.MessageKind.SlotUses, isWhole, uses: listed };
        for (const peer of this.network.getConnectedPeers()) {
            this.network.notify(peer, message, protocol.Lane.Control);
        }
    }

    private takeNotice(message: protocol.SlotUses, from: core.InstanceId): void {
        this.heard.set(from, this.clock.now());
        if (message.isWhole) {
            this.board.removePeer(from);
        }
        for (const [upstream, online, batch] of message.uses) {
            this.board.setPeer(from, upstream, { online, batch });
        }
        this.onRoom();
    }

    private forgetSilentPeers(): void {
        const now = this.clock.now();
        for (const [peer, at] of this.heard) {
            if (now - at > PeerSilenceMilliseconds) {
                this.heard.delete(peer);
                this.board.removePeer(peer);
            }
        }
    }
}
