import * as core from "@boragedale/core";
import * as decisions from "@boragedale/decisions";
import * as protocol from "@boragedale/protocol";
import * as telemetry from "@boragedale/telemetry";
import type * as directory from "./upstreamDirectory.js";

export interface SuspectWatchOptions {
    readonly clock: core.Clock;
    readonly telemetry: telemetry.Telemetry;
    readonly directory: directory.UpstreamDirectory;
    readonly peers: protocol.PeerNetwork;
}

/** Detects requests that crash engines, and exchanges reports of them with the other instances. */
export class SuspectWatch {
    readonly registry = new decisions.SuspectRegistry();
    private readonly probes = new Map<core.UpstreamId, Promise<boolean>>();

    constructor(private readonly options: SuspectWatchOptions) {
        options.peers.handle(protocol.MessageKind.SuspectReport, async message => {
            this.registry.merge(
                { fingerprint: message.fingerprint, deathsByUpstream: message.deathsByUpstream ?? {} },
                this.options.clock.now(),
            );
            return undefined;
        });
    }

    /**
     * Handles a connection that broke while a request ran, and resolves to whether the upstream crashed. A broken
     * connection alone doesn't prove a crash, since a middlebox can cut connections too, and would make every request
     * on the upstream suspect. The upstream is therefore probed, once for all connections that break together, and
     * counts as crashed only if it doesn't answer.
     */
    async onConnectionBroken(upstream: core.UpstreamDescription): Promise<boolean> {
        let probe = this.probes.get(upstream.id);
        if (probe === undefined) {
            probe = this.probe(upstream).finally(() => this.probes.delete(upstream.id));
            this.probes.set(upstream.id, probe);
        }
        return probe;
    }

    private async probe(upstream: core.UpstreamDescription): Promise<boolean> {
        using use = this.options.directory.useEngine(upstream, core.RequestClass.Online);
        const state = await use.client.tryReadState();
        if (state !== undefined) {
            return false;
        }
        const reports = this.registry.onUpstreamDied(upstream.id, this.options.clock.now());
        const text = `died with ${reports.length} requests in flight`;
        this.options.telemetry.record(telemetry.events.UpstreamSuspected, { upstream: upstream.id, text });
        reports.forEach(report => this.notifyPeers(report));
        return true;
    }

    private notifyPeers(report: decisions.SuspectReport): void {
        const deaths = Object.values(report.deathsByUpstream).reduce((total, count) => total + count, 0);
        const message: protocol.SuspectReport = {
            kind: protocol.MessageKind.SuspectReport,
            fingerprint: report.fingerprint,
            deaths,
            deathsByUpstream: report.deathsByUpstream,
        };
        for (const peer of this.options.peers.getConnectedPeers()) {
            this.options.peers.notify(peer, message, protocol.Lane.Control);
        }
    }
}
