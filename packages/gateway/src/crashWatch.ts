import * as net from "node:net";
import type * as core from "@boragedale/core";
import * as decisions from "@boragedale/decisions";
import * as protocol from "@boragedale/protocol";
import * as gatewayLog from "./gatewayLog.js";
import type * as types from "./types.js";

/** Checks whether an upstream accepts connections. Tests replace it. */
export type Probe = (address: string) => Promise<boolean>;

/** Crashed upstreams after which a request is quarantined: the platform allows one request to crash three. */
const CrashesToQuarantine = 3;
/**
 * Events after which an answer is past its beginning. Upstreams that crash on a part of a prompt do so at the first one; the others
 * allow for events that are sent before the crash.
 */
const BeginningEvents = 4;
/** A running upstream accepts a connection within a few milliseconds; the rest allows for a full connection queue. */
const ProbeTimeoutMilliseconds = 300;

/** Detects requests that crash upstreams. Members share their suspicions. */
export class CrashWatch {
    readonly suspects = new decisions.SuspectRegistry(CrashesToQuarantine);
    private readonly partsInProgress = new decisions.PartsInProgress();
    private readonly probes = new Map<core.UpstreamId, Promise<void>>();

    constructor(
        private readonly network: protocol.PeerNetwork,
        private readonly clock: core.Clock,
        private readonly log: gatewayLog.GatewayLog,
        private readonly probe: Probe = canConnect,
    ) {
        network.handle(protocol.MessageKind.SuspectReport, async message => {
            const report = { fingerprint: message.fingerprint, deathsByUpstream: message.deathsByUpstream ?? {} };
            this.suspects.merge(report, clock.now());
            return undefined;
        });
    }

    /** Call when a request with a prompt is sent. */
    onSent(upstream: types.UpstreamEntry, request: decisions.PromptRequest): void {
        this.partsInProgress.onSent(getIncarnation(upstream), request);
    }

    /** Call when events of its answer have arrived, with their number in this attempt. */
    onEvents(upstream: types.UpstreamEntry, request: decisions.PromptRequest, eventCount: number): void {
        if (eventCount >= BeginningEvents) {
            this.partsInProgress.remove(getIncarnation(upstream), request.id);
        }
    }

    /** Call when the attempt has ended, after `onBroken` if its connection broke. */
    onEnded(upstream: types.UpstreamEntry, request: decisions.PromptRequest): void {
        this.partsInProgress.remove(getIncarnation(upstream), request.id);
    }

    /**
     * Call when a connection breaks while a request runs, before reporting the end of the request to `suspects`. A broken
     * connection alone doesn't prove a crash, since connections are also reset by the network. If no new connection can
     * be established, the upstream has crashed, and all requests that it ran become suspect. Resolves when the check is complete.
     */
    async onBroken(upstream: types.UpstreamEntry): Promise<void> {
        let running = this.probes.get(upstream.id);
        if (running === undefined) {
            running = this.runProbe(upstream).finally(() => this.probes.delete(upstream.id));
            this.probes.set(upstream.id, running);
        }
        return running;
    }

    private async runProbe(upstream: types.UpstreamEntry): Promise<void> {
        if (await this.probe(upstream.address)) {
            return;
        }
        const reports = this.suspects.onUpstreamDied(upstream.id, this.clock.now());
        const parts = this.partsInProgress.list(getIncarnation(upstream));
        this.log.recordEvent(gatewayLog.GatewayEvent.UpstreamDied, {
            upstream: upstream.id,
            suspects: reports.length,
            parts: [...new Set(parts.map(({ part }) => part))].join(","),
        });
        for (const { fingerprint, deathsByUpstream } of reports) {
            const deaths = Object.values(deathsByUpstream).reduce((sum, count) => sum + count, 0);
            const kind = protocol.MessageKind.SuspectReport;
            this.network.notifyAll({ kind, fingerprint, deaths, deathsByUpstream }, protocol.Lane.Control);
        }
    }
}

/** The parts of a prompt that other requests may share: the last one belongs to the request or its session. */
export function getSharedParts(head: types.RequestHead): readonly string[] {
    return head.promptParts.slice(0, -1);
}

/** Identifies one run of an upstream, which may start again under its id. */
function getIncarnation(upstream: types.UpstreamEntry): string {
    return `${upstream.id}@${upstream.bornMilliseconds}`;
}

/** Identifies a request across attempts by path and body. The attempt id is new whenever a caller repeats its request. */
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
        socket.setTimeout(ProbeTimeoutMilliseconds, () => finish(false));
        socket.once("connect", () => finish(true));
        socket.once("error", () => finish(false));
    });
}
