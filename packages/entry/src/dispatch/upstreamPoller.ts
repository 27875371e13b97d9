import * as core from "@boragedale/core";
import type * as decisions from "@boragedale/decisions";
import * as protocol from "@boragedale/protocol";
import type * as batchLanes from "./batchLanes.js";
import type * as engineTable from "./engineTable.js";
import type * as directory from "./upstreamDirectory.js";

export interface UpstreamPollerOptions {
    readonly clock: core.Clock;
    readonly directory: directory.UpstreamDirectory;
    readonly table: engineTable.EngineTable;
    readonly placement: decisions.Placement;
    readonly lanes: batchLanes.BatchLanes;
    readonly membership: protocol.Membership;
    readonly peers: protocol.PeerNetwork;
}

/** How often each engine is asked by its home, in milliseconds. */
const PollInterval = 1_000;
/** How long "it is leaving" is believed without being told again, in milliseconds. */
export const LeavingLife = 10 * PollInterval;

/**
 * Asks the engines whose home this instance is what they say of themselves. Only the home asks: at the fleet's size
 * every instance asking every engine would be most of the control traffic.
 */
export class UpstreamPoller implements Disposable {
    private stopTimer: (() => void) | undefined;
    private readonly asked = new Set<core.UpstreamId>();
    private isStopped = false;

    constructor(private readonly options: UpstreamPollerOptions) {
        this.schedule();
    }

    [Symbol.dispose](): void {
        this.isStopped = true;
        this.stopTimer?.();
    }

    private schedule(): void {
        this.stopTimer = this.options.clock.schedule(PollInterval, () => {
            this.options.table.expire(this.options.clock.now());
            this.listHomes().forEach(engine => void this.poll(engine));
            this.schedule();
        });
    }

    private async poll(engine: core.UpstreamDescription): Promise<void> {
        if (this.asked.has(engine.id)) {
            return;
        }
        this.asked.add(engine.id);
        using use = this.options.directory.useEngine(engine, core.RequestClass.Batch);
        const [load, state] = await Promise.all([use.client.tryReadLoad(), use.client.tryReadState()]);
        this.asked.delete(engine.id);
        if (this.isStopped) {
            return;
        }
        if (load !== undefined) {
            this.options.placement.onLoadReport(engine.id, load, this.options.clock.now());
            this.options.lanes.onLoadReport(engine, load);
        }
        if (state !== undefined) {
            this.noteLeaving(engine.id, state.isLeaving);
        }
    }

    /** Leaving ones too, or one that changes its mind would never be asked again. */
    private listHomes(): readonly core.UpstreamDescription[] {
        const self = this.options.membership.getSelf();
        const upstreams = this.options.directory.tryGetFleet()?.upstreams ?? [];
        return upstreams.filter(
            upstream => upstream.kind === core.UpstreamKind.Engine && this.options.table.tryGetHome(upstream) === self,
        );
    }

    /**
     * An engine that is leaving must get no new work from any instance after a few seconds, though the operators' note
     * may not say so yet. The home tells the others, each round again while it lasts: a notice may be lost.
     */
    private noteLeaving(upstream: core.UpstreamId, isLeaving: boolean): void {
        const wasLeaving = this.options.table.isLeaving(upstream);
        this.options.table.setLeaving(upstream, isLeaving, this.options.clock.now() + LeavingLife);
        if (!isLeaving && !wasLeaving) {
            return;
        }
        const notice = { kind: protocol.MessageKind.OnlineTotal as const, upstream, inFlight: 0, isLeaving };
        for (const peer of this.options.peers.getConnectedPeers()) {
            this.options.peers.notify(peer, notice, protocol.Lane.Control);
        }
    }
}
