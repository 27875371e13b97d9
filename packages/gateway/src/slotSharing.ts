import type * as core from "@boragedale/core";
import * as decisions from "@boragedale/decisions";
import * as protocol from "@boragedale/protocol";

/** Places that batch work leaves free on each upstream: an online request that comes finds one without asking. */
export const ReservedSlots = 1;

/** A place taken is told almost at once: until then others may take the same one. */
const TakenDelayMilliseconds = 2;
/**
 * A place that came free is told with others after this long: a notice each would be most of the messages, and one that
 * is known free a little later costs nobody a queue.
 */
const NoticeDelayMilliseconds = 25;
/** The whole use is told this often, so that a lost notice is mended and a silent peer is known. */
const WholeIntervalMilliseconds = 1_000;
/** Time for a home to answer: some milliseconds of way; an item has seconds, but a dead home must not hold it up. */
const HomeTimeoutMilliseconds = 80;
/** A peer that told nothing for this long has no requests that count: it is gone, stopped or cut off. */
const PeerSilenceMilliseconds = 3_500;

/** Keeps the board of places up to date: tells the peers of the own requests, and takes what they tell. */
export class SlotSharing implements AsyncDisposable {
    private readonly dirty = new Set<core.UpstreamId>();
    private readonly heard = new Map<core.InstanceId, core.MonotonicMilliseconds>();
    private readonly used = new Set<core.UpstreamId>();
    private readonly stopper = new AbortController();
    private noticeDueAt: core.MonotonicMilliseconds = Infinity;
    private stopNotice: (() => void) | undefined;
    private onYield: (upstream: core.UpstreamId) => void = () => undefined;
    private onRoom: () => void = () => undefined;

    private readonly grants = new decisions.BatchGrants();

    constructor(
        readonly board: decisions.SlotBoard,
        private readonly network: protocol.PeerNetwork,
        private readonly clock: core.Clock,
        /** The member that says who may start batch work on an upstream; `SelfInstance` for this one. */
        private readonly chooseHome: (upstream: core.UpstreamId) => core.InstanceId | undefined,
    ) {
        network.handle(protocol.MessageKind.BatchStart, async (message, from) => ({
            kind: protocol.MessageKind.BatchStartReply,
            isGranted: this.grant(from, { id: message.upstream, slots: message.slots }, message.reserve),
        }));
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
        this.noteChange(upstream, TakenDelayMilliseconds);
    }

    release(upstream: core.UpstreamId, isBatch: boolean): void {
        this.board.release(upstream, isBatch);
        this.noteChange(upstream, NoticeDelayMilliseconds);
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

    /**
     * Whether a batch item may start on the upstream, as its home says. A home that doesn't answer is one that stopped or
     * is cut off: then the own board decides, as the others' do.
     */
    async mayStartBatch(upstream: decisions.SlotCandidate, reserve: number): Promise<boolean> {
        const home = this.chooseHome(upstream.id);
        if (home === undefined || home === decisions.SelfInstance) {
            return this.grant(decisions.SelfInstance, upstream, reserve);
        }
        const message = {
            kind: protocol.MessageKind.BatchStart,
            upstream: upstream.id,
            slots: upstream.slots,
            reserve,
        } as const;
        const reply = await this.network.request(home, message, {
            lane: protocol.Lane.Control,
            timeoutMilliseconds: HomeTimeoutMilliseconds,
        });
        if (reply.ok && reply.message.kind === protocol.MessageKind.BatchStartReply) {
            return reply.message.isGranted;
        }
        return this.grant(decisions.SelfInstance, upstream, reserve);
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

    private grant(asker: core.InstanceId, upstream: { id: core.UpstreamId; slots: number }, reserve: number): boolean {
        const total = this.board.getTotal(upstream.id);
        return this.grants.tryGrant(asker, upstream.id, total, upstream.slots, reserve, this.clock.now());
    }

    private noteChange(upstream: core.UpstreamId, delay: number): void {
        this.used.add(upstream);
        this.dirty.add(upstream);
        const dueAt = this.clock.now() + delay;
        if (dueAt >= this.noticeDueAt) {
            return;
        }
        this.stopNotice?.();
        this.noticeDueAt = dueAt;
        this.stopNotice = this.clock.schedule(delay, () => {
            this.noticeDueAt = Infinity;
            const changed = [...this.dirty];
            this.dirty.clear();
            this.tell(changed, false);
        });
    }

    private tell(upstreams: readonly core.UpstreamId[], isWhole: boolean): void {
        const uses = upstreams.map((upstream): readonly [string, number, number] => {
            const own = this.board.getOwn(upstream);
            return [upstream, own.online, own.batch];
        });
        const listed = isWhole ? uses.filter(([, online, batch]) => online > 0 || batch > 0) : uses;
        const message: protocol.SlotUses = { kind: protocol.MessageKind.SlotUses, isWhole, uses: listed };
        this.network.notifyAll(message, protocol.Lane.Control);
    }

    private takeNotice(message: protocol.SlotUses, from: core.InstanceId): void {
        this.heard.set(from, this.clock.now());
        if (message.isWhole) {
            this.board.removePeer(from);
        }
        for (const [upstream, online, batch] of message.uses) {
            this.grants.settle(from, upstream);
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
