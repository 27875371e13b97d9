import * as core from "@boragedale/core";
import type * as decisions from "@boragedale/decisions";
import * as protocol from "@boragedale/protocol";
import type * as batchCoordinator from "./batchLanes.js";
import type * as engineTable from "./engineTable.js";
import type * as directory from "./upstreamDirectory.js";

export interface UpstreamPollerOptions {
    readonly clock: core.Clock;
    readonly directory: directory.UpstreamDirectory;
    readonly table: engineTable.EngineTable;
    readonly placement: decisions.Placement;
    readonly batch: batchCoordinator.BatchCoordinator;
    readonly membership: protocol.Membership;
    readonly peers: protocol.PeerNetwork;
}

/** How often a coordinator polls each of its engines. */
const PollIntervalMilliseconds = 1_000;
/** How long a report that an engine is leaving stays valid without being repeated. */
export const LeavingExpiryMilliseconds = 10 * PollIntervalMilliseconds;

/**
 * Polls the load and state of the engines that this instance coordinates. Only the coordinator polls an engine: if
 * every instance polled every engine, polls would be most of the control traffic in a large fleet.
 */
export class UpstreamPoller implements Disposable {
    private stopTimer: (() => void) | undefined;
    private readonly polling = new Set<core.UpstreamId>();
    private isStopped = false;

    constructor(private readonly options: UpstreamPollerOptions) {
        this.schedule();
    }

    [Symbol.dispose](): void {
        this.isStopped = true;
        this.stopTimer?.();
    }

    private schedule(): void {
        this.stopTimer = this.options.clock.schedule(PollIntervalMilliseconds, () => {
            this.options.table.expire(this.options.clock.now());
            this.listCoordinated().forEach(engine => void this.poll(engine));
            this.schedule();
        });
    }

    private async poll(engine: core.UpstreamDescription): Promise<void> {
        if (this.polling.has(engine.id)) {
            return;
        }
        this.polling.add(engine.id);
        using use = this.options.directory.useEngine(engine, core.RequestClass.Batch);
        const [load, state] = await Promise.all([use.client.tryReadLoad(), use.client.tryReadState()]);
        this.polling.delete(engine.id);
        if (this.isStopped) {
            return;
        }
        if (load !== undefined) {
            this.options.placement.onLoadReport(engine.id, load, this.options.clock.now());
            this.options.batch.onLoadReport(engine, load);
        }
        if (state !== undefined) {
            this.reportLeaving(engine.id, state.isLeaving);
        }
    }

    /** Includes engines that are leaving, so that one that stops leaving is noticed. */
    private listCoordinated(): readonly core.UpstreamDescription[] {
        const self = this.options.membership.getSelf();
        const upstreams = this.options.directory.tryGetFleet()?.upstreams ?? [];
        return upstreams.filter(
            upstream =>
                upstream.kind === core.UpstreamKind.Engine && this.options.table.tryGetCoordinator(upstream) === self,
        );
    }

    /**
     * Reports an engine that is leaving to all connected instances, so that none sends it new work after a few seconds
     * even if the release note doesn't mark it as leaving yet. Repeated after every poll, because a message may be
     * lost.
     */
    private reportLeaving(upstream: core.UpstreamId, isLeaving: boolean): void {
        const wasLeaving = this.options.table.isLeaving(upstream);
        this.options.table.setLeaving(upstream, isLeaving, this.options.clock.now() + LeavingExpiryMilliseconds);
        if (!isLeaving && !wasLeaving) {
            return;
        }
        const notice = { kind: protocol.MessageKind.OnlineTotal as const, upstream, inFlight: 0, isLeaving };
        for (const peer of this.options.peers.getConnectedPeers()) {
            this.options.peers.notify(peer, notice, protocol.Lane.Control);
        }
    }
}
