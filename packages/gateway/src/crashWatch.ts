import * as net from "node:net";
import type * as core from "@boragedale/core";
import * as decisions from "@boragedale/decisions";
import * as protocol from "@boragedale/protocol";
import * as gatewayLog from "./gatewayLog.js";
import type * as types from "./types.js";

/** Whether an upstream can be connected to; a test answers without sockets. */
export type Probe = (address: string) => Promise<boolean>;

/** Deaths that prove a request guilty: the platform allows three upstreams to be lost to one. */
const DeathsToQuarantine = 3;
/** Time to connect to an upstream that lives: a few milliseconds, and whatever a full queue of connections adds. */
const ProbeMilliseconds = 300;

/** Finds requests that crash the upstreams that run them, together with the other members. */
export class CrashWatch {
    readonly registry = new decisions.SuspectRegistry(DeathsToQuarantine);
    private readonly probes = new Map<core.UpstreamId, Promise<void>>();

    constructor(
        private readonly network: protocol.PeerNetwork,
        private readonly clock: core.Clock,
        private readonly log: gatewayLog.GatewayLog,
        private readonly probe: Probe = canConnect,
    ) {
        network.handle(protocol.MessageKind.SuspectReport, async message => {
            const report = { fingerprint: message.fingerprint, deathsByUpstream: message.deathsByUpstream ?? {} };
            this.registry.merge(report, clock.now());
            return undefined;
        });
    }

    /**
     * A connection broke while a request ran. That alone is no death: connections are reset on the way too. One that can't be
     * connected to again has died, and all that it ran becomes suspect. Call before the request's own end is told to the
     * registry; resolves once it is known.
     */
    async onBroken(upstream: types.UpstreamEntry): Promise<void> {
        let running = this.probes.get(upstream.id);
        if (running === undefined) {
            running = this.look(upstream).finally(() => this.probes.delete(upstream.id));
            this.probes.set(upstream.id, running);
        }
        return running;
    }

    private async look(upstream: types.UpstreamEntry): Promise<void> {
        if (await this.probe(upstream.address)) {
            return;
        }
        const reports = this.registry.onUpstreamDied(upstream.id, this.clock.now());
        this.log.note(gatewayLog.GatewayEvent.UpstreamDied, { upstream: upstream.id, suspects: reports.length });
        for (const { fingerprint, deathsByUpstream } of reports) {
            const deaths = Object.values(deathsByUpstream).reduce((sum, count) => sum + count, 0);
            const kind = protocol.MessageKind.SuspectReport;
            this.network.notifyAll({ kind, fingerprint, deaths, deathsByUpstream }, protocol.Lane.Control);
        }
    }
}

/** Same path and body, same fingerprint: a caller that sends its request again has a new attempt id. */
export function createFingerprint(target: string, body: Uint8Array): string {
    return `${decisions.hashText(target)}-${decisions.hashBytes(body)}-${body.length}`;
}

function canConnect(address: string): Promise<boolean> {
    const colon = address.lastIndexOf(":");
    return new Promise(resolve => {
        const socket = net.connect({ host: address.slice(0, colon), port: Number(address.slice(colon + 1)) });
        const finish = (isAlive: boolean): void => {
            socket.destroy();
            resolve(isAlive);
        };
        socket.setTimeout(ProbeMilliseconds, () => finish(false));
        socket.once("connect", () => finish(true));
        socket.once("error", () => finish(false));
    });
}
