import * as http from "node:http";
import * as net from "node:net";
import type * as core from "@boragedale/core";
import * as telemetry from "@boragedale/telemetry";
import * as websocket from "ws";
import * as codec from "./codec.js";
import * as connections from "./connection.js";
import * as introductions from "./introduction.js";
import * as peerLinks from "./peerLink.js";
import * as types from "./types.js";

/** Where a peer's face is. */
export interface PeerAddress {
    readonly id: core.InstanceId;
    /** Such as `ws://127.0.0.1:7001`. */
    readonly url: string;
}

export interface PeerNetworkOptions extends introductions.IntroducerOptions {
    /** Where the peer face listens. Peers are told it, unless it stands for every address of the machine. */
    readonly host: string;
    /** 0 lets the system choose. */
    readonly port: number;
    /** Peers to keep linked all the time: a bounded number of neighbours. */
    readonly getNeighbours: () => readonly PeerAddress[];
    /** URLs of peers whose ids aren't known yet; dialled while no peer is linked. */
    readonly getSeeds?: () => readonly string[];
    /** Address of any peer, for links that are opened when they are needed. */
    readonly tryGetAddress: (peer: core.InstanceId) => PeerAddress | undefined;
    readonly createHeartbeat: () => types.Heartbeat;
    /** Called when a peer could not be reached or went silent. */
    readonly onUnreachable?: (peer: core.InstanceId) => void;
    readonly heartbeatMilliseconds?: number;
    readonly idleMilliseconds?: number;
}

type AnyHandler = (message: types.Message, from: core.InstanceId) => Promise<types.Message | undefined>;

const HeartbeatMilliseconds = 1_000;
/** A link in use that nobody needs any more costs heartbeats; one that is needed every few seconds stays. */
const IdleMilliseconds = 20_000;
/** Silent intervals after which a link is given up: one lost packet or a pause for garbage costs less than that. */
const SilentIntervals = 3;
/** Silent intervals after which a peer counts as out of reach, though its link is kept: one heartbeat is missing. */
const UnheardIntervals = 1.8;
/** A peer that was given up as silent is gone from the fleet by then, or linked again. */
const SilencedMilliseconds = 10_000;
const OpenMilliseconds = 1_500;
/** Hosts that stand for every address of the machine. */
const WildcardHosts: ReadonlySet<string> = new Set(["", "0.0.0.0", "::"]);

/**
 * Links over WebSocket, one connection a lane and peer. Every connection has one task, written straight down:
 * handshake, register, read until it is over, clean up. Neighbours stay linked; other peers are dialled when a
 * message for them comes up and let go when idle, so that a fleet of hundreds is not a full mesh.
 */
export class WebSocketPeerNetwork extends types.PeerNetwork implements AsyncDisposable {
    private readonly handlers = new Map<types.MessageKind, AnyHandler>();
    private readonly links = new Map<string, peerLinks.PeerLink[]>();
    /** Peers whose links were given up as silent, and when. */
    private readonly silenced = new Map<core.InstanceId, core.MonotonicMilliseconds>();
    private readonly dials = new Map<string, Promise<peerLinks.PeerLink | undefined>>();
    private readonly tasks = new Set<Promise<void>>();
    private readonly open = new Set<connections.Connection>();
    private readonly introducer: introductions.Introducer;
    private readonly stopper = new AbortController();
    private closedBytesSent = 0;
    private closedBytesReceived = 0;

    private constructor(
        private readonly options: PeerNetworkOptions,
        private readonly httpServer: http.Server,
        private readonly server: websocket.WebSocketServer,
    ) {
        super();
        this.introducer = new introductions.Introducer(options, () => this.tryGetOwnUrl());
    }

    /** Listens on the peer face and starts linking. */
    static async start(options: PeerNetworkOptions): Promise<WebSocketPeerNetwork> {
        const httpServer = http.createServer((request, response) => {
            request.resume();
            response.writeHead(426).end();
        });
        const limit = codec.getFrameLimit(types.Lane.Bulk);
        const server = new websocket.WebSocketServer({
            server: httpServer,
            maxPayload: limit,
            perMessageDeflate: false,
        });
        const network = new WebSocketPeerNetwork(options, httpServer, server);
        server.on("connection", socket => network.track(network.serve(new connections.Connection(socket))));
        await new Promise<void>((resolve, reject) => {
            httpServer.once("error", reject);
            httpServer.listen(options.port, options.host, resolve);
        });
        network.track(network.runHeartbeats());
        return network;
    }

    /** Port of the peer face. */
    getPort(): number {
        return (this.httpServer.address() as net.AddressInfo).port;
    }

    /** Payload bytes that all links have carried. */
    getTraffic(): { readonly sent: number; readonly received: number } {
        const live = [...this.open];
        return {
            sent: this.closedBytesSent + live.reduce((sum, connection) => sum + connection.bytesSent, 0),
            received: this.closedBytesReceived + live.reduce((sum, connection) => sum + connection.bytesReceived, 0),
        };
    }

    override async request(
        peer: core.InstanceId,
        message: types.Message,
        options: types.RequestOptions,
    ): Promise<types.PeerResult> {
        const deadline = this.options.clock.now() + options.timeoutMilliseconds;
        const link = this.tryGetLink(peer, options.lane) ?? (await this.dial(peer, options.lane, deadline));
        if (link === undefined) {
            return peerLinks.createFailure(types.PeerFailureKind.NotConnected, `no link to ${peer}`);
        }
        return link.request(message, Math.max(1, deadline - this.options.clock.now()));
    }

    override notify(peer: core.InstanceId, message: types.Message, lane: types.Lane): boolean {
        const link = this.tryGetLink(peer, lane);
        if (link === undefined) {
            void this.openFor(message, peer, lane);
            return false;
        }
        return link.notify(message);
    }

    override notifyAll(message: types.Message, lane: types.Lane): void {
        const links = this.getConnectedPeers().flatMap(peer => this.tryGetLink(peer, lane) ?? []);
        encodeOnce(links, message, lane).forEach(({ link, bytes }) => link.notifyEncoded(bytes));
    }

    override handle<K extends types.MessageKind>(kind: K, handler: types.MessageHandler<K>): void {
        this.handlers.set(kind, handler as AnyHandler);
    }

    override getConnectedPeers(): readonly core.InstanceId[] {
        const peers = [...this.links.values()].flat().map(link => link.peer);
        return [...new Set(peers)];
    }

    override getSilentPeers(): readonly core.InstanceId[] {
        const now = this.options.clock.now();
        const limit = UnheardIntervals * (this.options.heartbeatMilliseconds ?? HeartbeatMilliseconds);
        const unheard = this.getConnectedPeers().filter(peer => {
            const link = this.tryGetLink(peer, types.Lane.Control);
            return link !== undefined && now - link.lastHeard > limit;
        });
        for (const [peer, at] of this.silenced) {
            if (now - at > SilencedMilliseconds) {
                this.silenced.delete(peer);
            }
        }
        return [...new Set([...unheard, ...this.silenced.keys()])];
    }

    /** Tells every linked peer that this instance leaves. */
    announceLeaving(): void {
        const message: types.Leaving = { kind: types.MessageKind.Leaving, instance: this.options.instance };
        for (const peer of this.getConnectedPeers()) {
            this.tryGetLink(peer, types.Lane.Control)?.notify(message);
        }
    }

    async [Symbol.asyncDispose](): Promise<void> {
        this.stopper.abort();
        for (const connection of this.open) {
            connection.abandon();
        }
        this.server.close();
        await new Promise<void>(resolve => this.httpServer.close(() => resolve()));
        await Promise.allSettled([...this.tasks]);
    }

    /** The task of a connection that a peer opened. */
    private async serve(connection: connections.Connection): Promise<void> {
        await using owned = connection;
        this.open.add(owned);
        try {
            const link = await this.introducer.accept(owned);
            if (link !== undefined) {
                await this.runLink(link);
            }
        }
        finally {
            this.forget(owned);
        }
    }

    /** The task of a connection that this instance opens; `onLinked` learns the link, if there is one. */
    private async connect(
        address: introductions.DialAddress,
        lane: types.Lane,
        onLinked: (link: peerLinks.PeerLink) => void,
    ): Promise<void> {
        const socket = new websocket.WebSocket(address.url, {
            handshakeTimeout: OpenMilliseconds,
            maxPayload: codec.getFrameLimit(lane),
            perMessageDeflate: false,
        });
        await using connection = new connections.Connection(socket);
        this.open.add(connection);
        try {
            const link = await this.introducer.introduce(connection, address, lane);
            if (link === undefined) {
                if (address.id !== undefined) {
                    this.options.onUnreachable?.(address.id);
                }
                return;
            }
            await this.runLink(link, () => onLinked(link));
        }
        finally {
            this.forget(connection);
        }
    }

    private async runLink(link: peerLinks.PeerLink, onRegistered?: () => void): Promise<void> {
        const key = getLinkKey(link.peer, link.lane);
        this.links.set(key, [...(this.links.get(key) ?? []), link]);
        this.silenced.delete(link.peer);
        this.options.telemetry.record(telemetry.events.PeerConnected, { text: `${link.peer} ${link.lane}` });
        if (link.lane === types.Lane.Control) {
            link.beat(this.options.createHeartbeat());
        }
        onRegistered?.();
        const finding = await link.run((message, from) => this.dispatch(message, from));
        const others = (this.links.get(key) ?? []).filter(other => other !== link);
        this.links.set(key, others);
        if (others.length === 0) {
            this.links.delete(key);
        }
        const name = `${link.peer} ${link.lane}`;
        if (finding !== undefined) {
            const text = `${name} ${finding.kind}: ${finding.text}`;
            this.options.telemetry.record(telemetry.events.PeerMalformed, { text });
        }
        this.options.telemetry.record(telemetry.events.PeerLost, { text: name });
    }

    private async dispatch(message: types.Message, from: core.InstanceId): Promise<types.Message | undefined> {
        if (message.kind === types.MessageKind.Heartbeat) {
            this.options.telemetry.timeLine.observe(message.logicalTime);
        }
        try {
            return await this.handlers.get(message.kind)?.(message, from);
        }
        catch (error) {
            this.options.telemetry.record(telemetry.events.InternalDefect, {
                text: `${message.kind}: ${String(error)}`,
            });
            return { kind: types.MessageKind.Refused, text: "a defect ended the request" };
        }
    }

    private tryGetLink(peer: core.InstanceId, lane: types.Lane): peerLinks.PeerLink | undefined {
        return this.links.get(getLinkKey(peer, lane))?.findLast(link => link.connection.isOpen());
    }

    /** Opens a lane for a notice. Small ones are hints that are repeated, and an old one would say less than the next. */
    private async openFor(message: types.Message, peer: core.InstanceId, lane: types.Lane): Promise<void> {
        const link = await this.dial(peer, lane, this.options.clock.now() + OpenMilliseconds);
        if (lane === types.Lane.Bulk) {
            link?.notify(message);
        }
    }

    /** The address of a peer that has a link of another lane: a peer may be linked before this instance hears of its entry. */
    private tryGetLinkedAddress(peer: core.InstanceId): PeerAddress | undefined {
        const links = Object.values(types.Lane).flatMap(lane => this.tryGetLink(peer, lane) ?? []);
        const url = links.find(link => link.terms.url !== undefined)?.terms.url;
        return url === undefined ? undefined : { id: peer, url };
    }

    private tryGetOwnUrl(): string | undefined {
        const { host } = this.options;
        if (WildcardHosts.has(host) || !this.httpServer.listening) {
            return undefined;
        }
        return `ws://${net.isIPv6(host) ? `[${host}]` : host}:${this.getPort()}`;
    }

    /** Opens a link, once for all who ask at the same time. */
    private async dial(
        peer: core.InstanceId,
        lane: types.Lane,
        deadline: core.MonotonicMilliseconds,
    ): Promise<peerLinks.PeerLink | undefined> {
        const key = getLinkKey(peer, lane);
        const address = this.options.tryGetAddress(peer) ?? this.tryGetLinkedAddress(peer);
        if (address === undefined || peer === this.options.instance || this.stopper.signal.aborted) {
            return undefined;
        }
        const dial = this.dials.get(key) ?? this.startDial(address, lane, key);
        return this.waitUntil(deadline, dial);
    }

    /** An instance that starts while the platform is away finds the others by these. */
    private dialSeeds(): void {
        if (this.links.size > 0 || this.dials.size > 0) {
            return;
        }
        for (const url of this.options.getSeeds?.() ?? []) {
            void this.startDial({ id: undefined, url }, types.Lane.Control, url);
        }
    }

    private startDial(
        address: introductions.DialAddress,
        lane: types.Lane,
        key: string,
    ): Promise<peerLinks.PeerLink | undefined> {
        const dial = new Promise<peerLinks.PeerLink | undefined>(resolve => {
            this.track(this.connect(address, lane, resolve).finally(() => resolve(undefined)));
        }).finally(() => this.dials.delete(key));
        this.dials.set(key, dial);
        return dial;
    }

    private async waitUntil<T>(deadline: core.MonotonicMilliseconds, value: Promise<T>): Promise<T | undefined> {
        const controller = new AbortController();
        const limit = this.options.clock.sleep(Math.max(0, deadline - this.options.clock.now()), controller.signal);
        const result = await Promise.race([value, limit.then(() => undefined)]);
        controller.abort();
        return result;
    }

    /** One round an interval: link the neighbours, beat, give up what is silent, let go what is idle. */
    private async runHeartbeats(): Promise<void> {
        const interval = this.options.heartbeatMilliseconds ?? HeartbeatMilliseconds;
        const signal = this.stopper.signal;
        while (!signal.aborted) {
            const neighbours = this.options.getNeighbours();
            for (const peer of neighbours) {
                if (this.tryGetLink(peer.id, types.Lane.Control) === undefined) {
                    void this.dial(peer.id, types.Lane.Control, this.options.clock.now() + interval);
                }
            }
            this.dialSeeds();
            const kept = new Set(neighbours.map(peer => peer.id));
            const due = [...this.links.values()].flat().filter(link => this.tend(link, interval, kept));
            const heartbeat = this.options.createHeartbeat();
            encodeOnce(due, heartbeat, types.Lane.Control).forEach(({ link, bytes }) => link.beatEncoded(bytes));
            await this.options.clock.sleep(interval, signal);
        }
    }

    /**
     * Every lane carries something each interval: something between the ends may lose track of one connection while others
     * work, and only traffic in that very connection shows it. The control lane always beats, since its heartbeats tell
     * what the sender knows; the others only where nothing else was sent. Returns whether a heartbeat is due.
     */
    private tend(link: peerLinks.PeerLink, interval: number, kept: ReadonlySet<core.InstanceId>): boolean {
        const now = this.options.clock.now();
        if (now - link.lastHeard > SilentIntervals * interval) {
            link.connection.abandon();
            this.silenced.set(link.peer, now);
            this.options.onUnreachable?.(link.peer);
            return false;
        }
        const isKept = !link.terms.isDialled || (kept.has(link.peer) && link.lane === types.Lane.Control);
        if (!isKept && now - link.lastUsed > (this.options.idleMilliseconds ?? IdleMilliseconds)) {
            link.connection.abandon();
            return false;
        }
        return link.lane === types.Lane.Control || now - link.lastSent >= interval;
    }

    private forget(connection: connections.Connection): void {
        this.open.delete(connection);
        this.closedBytesSent += connection.bytesSent;
        this.closedBytesReceived += connection.bytesReceived;
    }

    private track(task: Promise<void>): void {
        const tracked = task
            .catch((error: unknown) => {
                this.options.telemetry.record(telemetry.events.InternalDefect, { text: String(error) });
            })
            .finally(() => this.tasks.delete(tracked));
        this.tasks.add(tracked);
    }
}

function getLinkKey(peer: core.InstanceId, lane: types.Lane): string {
    return `${lane}/${peer}`;
}

/** A message for many links, encoded once for all links of a form. */
function encodeOnce(
    links: readonly peerLinks.PeerLink[],
    message: types.Message,
    lane: types.Lane,
): readonly { readonly link: peerLinks.PeerLink; readonly bytes: Uint8Array }[] {
    return Object.values(codec.FrameForm).flatMap(form => {
        const readers = links.filter(link => link.terms.form === form);
        const encoded = readers.length === 0 ? undefined : codec.encodeFrame({ message }, lane, form);
        return encoded?.ok === true ? readers.map(link => ({ link, bytes: encoded.bytes })) : [];
    });
}
