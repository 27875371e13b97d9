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

/** The id and endpoint of a peer. */
export interface PeerAddress {
    readonly id: core.InstanceId;
    /** Such as `ws://127.0.0.1:7001`. */
    readonly url: string;
}

export interface PeerNetworkOptions extends introductions.LinkHandshakerOptions {
    /** Host that the peer endpoint listens on. It is announced to peers unless it is a wildcard address. */
    readonly host: string;
    /** Port that the peer endpoint listens on; with 0 the system chooses one. */
    readonly port: number;
    /** Peers to stay connected to, a bounded number. */
    readonly getNeighbours: () => readonly PeerAddress[];
    /** URLs of peers whose ids aren't known yet; dialled while no peer is connected. */
    readonly getSeeds?: () => readonly string[];
    /** Returns the address of any peer, for links that are opened on demand. */
    readonly tryGetAddress: (peer: core.InstanceId) => PeerAddress | undefined;
    readonly createHeartbeat: () => types.Heartbeat;
    /** Called when a peer can't be reached or has gone silent. */
    readonly onUnreachable?: (peer: core.InstanceId) => void;
    readonly heartbeatIntervalMilliseconds?: number;
    readonly idleTimeoutMilliseconds?: number;
}

type AnyHandler = (message: types.Message, from: core.InstanceId) => Promise<types.Message | undefined>;

const HeartbeatIntervalMilliseconds = 1_000;
/** An idle link still costs heartbeats. The timeout is long enough that a link used every few seconds stays open. */
const IdleTimeoutMilliseconds = 20_000;
/** Number of silent heartbeat intervals after which a link is closed. One lost packet or a garbage collection pause takes less. */
const SilentIntervalsUntilClosed = 3;
/** Number of silent heartbeat intervals after which a peer counts as silent while its link stays open: one heartbeat is missing. */
const SilentIntervalsUntilReported = 1.8;
/** How long a peer counts as silent after its link was closed. By then it has left the fleet or is connected again. */
const SilentPeerRetentionMilliseconds = 10_000;
const ConnectTimeoutMilliseconds = 1_500;
/** Hosts that bind to every address of the machine. */
const WildcardHosts: ReadonlySet<string> = new Set(["", "0.0.0.0", "::"]);

/**
 * A peer network over WebSocket, with one connection per peer and lane. Each connection has one task: perform the handshake,
 * register the link, read until the connection is closed, clean up. Neighbours stay connected. Other peers are dialled when
 * there is a message for them and disconnected when idle, so that a fleet of hundreds of instances is not a full mesh.
 */
export class WebSocketPeerNetwork extends types.PeerNetwork implements AsyncDisposable {
    private readonly handlers = new Map<types.MessageKind, AnyHandler>();
    private readonly links = new Map<string, peerLinks.PeerLink[]>();
    /** The peers of `links`, computed on first use after a change. */
    private connectedPeers: readonly core.InstanceId[] | undefined;
    /** Peers whose links were closed because they went silent, and when. */
    private readonly closedSilentPeers = new Map<core.InstanceId, core.MonotonicMilliseconds>();
    private readonly pendingDials = new Map<string, Promise<peerLinks.PeerLink | undefined>>();
    private readonly tasks = new Set<Promise<void>>();
    private readonly openConnections = new Set<connections.Connection>();
    private readonly handshaker: introductions.LinkHandshaker;
    private readonly stopController = new AbortController();
    private closedBytesSent = 0;
    private closedBytesReceived = 0;

    private constructor(
        private readonly options: PeerNetworkOptions,
        private readonly httpServer: http.Server,
        private readonly server: websocket.WebSocketServer,
    ) {
        super();
        this.handshaker = new introductions.LinkHandshaker(options, () => this.tryGetOwnUrl());
    }

    /** Listens on the peer endpoint and starts connecting to peers. */
    static async start(options: PeerNetworkOptions): Promise<WebSocketPeerNetwork> {
        const httpServer = http.createServer((request, response) => {
            request.resume();
            // The body may have no end, and no peer sends one.
            response.writeHead(426, { Connection: "close" }).end();
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

    /** Port of the peer endpoint. */
    getPort(): number {
        return (this.httpServer.address() as net.AddressInfo).port;
    }

    /** Payload bytes sent and received over all connections, including closed ones. */
    getTraffic(): { readonly sent: number; readonly received: number } {
        const live = [...this.openConnections];
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
            void this.openLaneFor(message, peer, lane);
            return false;
        }
        return link.notify(message);
    }

    override notifyAll(message: types.Message, lane: types.Lane): void {
        const links = this.getConnectedPeers().flatMap(peer => this.tryGetLink(peer, lane) ?? []);
        encodePerForm(links, message, lane).forEach(({ link, bytes }) => link.notifyEncoded(bytes));
    }

    override handle<K extends types.MessageKind>(kind: K, handler: types.MessageHandler<K>): void {
        this.handlers.set(kind, handler as AnyHandler);
    }

    override getConnectedPeers(): readonly core.InstanceId[] {
        this.connectedPeers ??= [...new Set([...this.links.values()].flat().map(link => link.peer))];
        return this.connectedPeers;
    }

    override getSilentPeers(): readonly core.InstanceId[] {
        const now = this.options.clock.now();
        const limit =
            SilentIntervalsUntilReported *
            (this.options.heartbeatIntervalMilliseconds ?? HeartbeatIntervalMilliseconds);
        const silentConnected = this.getConnectedPeers().filter(peer => {
            const link = this.tryGetLink(peer, types.Lane.Control);
            return link !== undefined && now - link.lastReceivedAt > limit;
        });
        for (const [peer, at] of this.closedSilentPeers) {
            if (now - at > SilentPeerRetentionMilliseconds) {
                this.closedSilentPeers.delete(peer);
            }
        }
        return [...new Set([...silentConnected, ...this.closedSilentPeers.keys()])];
    }

    /** Notifies every connected peer that this instance is leaving. */
    announceLeaving(): void {
        const message: types.Leaving = { kind: types.MessageKind.Leaving, instance: this.options.instance };
        for (const peer of this.getConnectedPeers()) {
            this.tryGetLink(peer, types.Lane.Control)?.notify(message);
        }
    }

    async [Symbol.asyncDispose](): Promise<void> {
        this.stopController.abort();
        for (const connection of this.openConnections) {
            connection.terminate();
        }
        this.server.close();
        const closed = new Promise<void>(resolve => this.httpServer.close(() => resolve()));
        // Those that have sent a part of a head would be waited for.
        this.httpServer.closeAllConnections();
        await closed;
        await Promise.allSettled([...this.tasks]);
    }

    /** Runs a connection that a peer opened. */
    private async serve(connection: connections.Connection): Promise<void> {
        await using owned = connection;
        this.openConnections.add(owned);
        try {
            const link = await this.handshaker.acceptPeer(owned);
            if (link !== undefined) {
                await this.runLink(link);
            }
        }
        finally {
            this.removeConnection(owned);
        }
    }

    /** Opens a connection and runs it. Calls `onLinked` with the link if the handshake succeeds. */
    private async connect(
        address: introductions.DialAddress,
        lane: types.Lane,
        onLinked: (link: peerLinks.PeerLink) => void,
    ): Promise<void> {
        const socket = new websocket.WebSocket(address.url, {
            handshakeTimeout: ConnectTimeoutMilliseconds,
            maxPayload: codec.getFrameLimit(lane),
            perMessageDeflate: false,
        });
        await using connection = new connections.Connection(socket);
        this.openConnections.add(connection);
        try {
            const link = await this.handshaker.connectToPeer(connection, address, lane);
            if (link === undefined) {
                if (address.id !== undefined) {
                    this.options.onUnreachable?.(address.id);
                }
                return;
            }
            await this.runLink(link, () => onLinked(link));
        }
        finally {
            this.removeConnection(connection);
        }
    }

    private async runLink(link: peerLinks.PeerLink, onRegistered?: () => void): Promise<void> {
        const key = getLinkKey(link.peer, link.lane);
        this.setLinks(key, [...(this.links.get(key) ?? []), link]);
        this.closedSilentPeers.delete(link.peer);
        this.options.telemetry.record(telemetry.events.PeerConnected, { text: `${link.peer} ${link.lane}` });
        if (link.lane === types.Lane.Control) {
            link.sendWithoutMarkingUse(this.options.createHeartbeat());
        }
        onRegistered?.();
        const finding = await link.run((message, from) => this.dispatch(message, from));
        const others = (this.links.get(key) ?? []).filter(other => other !== link);
        this.setLinks(key, others);
        const name = `${link.peer} ${link.lane}`;
        if (finding !== undefined) {
            const text = `${name} ${finding.kind}: ${finding.text}`;
            this.options.telemetry.record(telemetry.events.PeerMalformed, { text });
        }
        this.options.telemetry.record(telemetry.events.PeerLost, { text: name });
    }

    private setLinks(key: string, links: peerLinks.PeerLink[]): void {
        if (links.length === 0) {
            this.links.delete(key);
        }
        else {
            this.links.set(key, links);
        }
        this.connectedPeers = undefined;
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

    /**
     * Opens a lane for a notification that found none open, and sends the notification if the lane is the bulk lane. Small
     * notifications are sent repeatedly anyway, and the next one carries newer information.
     */
    private async openLaneFor(message: types.Message, peer: core.InstanceId, lane: types.Lane): Promise<void> {
        const link = await this.dial(peer, lane, this.options.clock.now() + ConnectTimeoutMilliseconds);
        if (lane === types.Lane.Bulk) {
            link?.notify(message);
        }
    }

    /** The address of a peer according to its open links. A peer may connect before its registry entry is known here. */
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

    /** Opens a link. Concurrent calls for the same peer and lane share one attempt. */
    private async dial(
        peer: core.InstanceId,
        lane: types.Lane,
        deadline: core.MonotonicMilliseconds,
    ): Promise<peerLinks.PeerLink | undefined> {
        const key = getLinkKey(peer, lane);
        const address = this.options.tryGetAddress(peer) ?? this.tryGetLinkedAddress(peer);
        if (address === undefined || peer === this.options.instance || this.stopController.signal.aborted) {
            return undefined;
        }
        const dial = this.pendingDials.get(key) ?? this.startDial(address, lane, key);
        return this.waitUntil(deadline, dial);
    }

    /** Dials the seeds, by which an instance that starts while the platform is unavailable finds its peers. */
    private dialSeeds(): void {
        if (this.links.size > 0 || this.pendingDials.size > 0) {
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
        }).finally(() => this.pendingDials.delete(key));
        this.pendingDials.set(key, dial);
        return dial;
    }

    private async waitUntil<T>(deadline: core.MonotonicMilliseconds, value: Promise<T>): Promise<T | undefined> {
        const controller = new AbortController();
        const limit = this.options.clock.sleep(Math.max(0, deadline - this.options.clock.now()), controller.signal);
        const result = await Promise.race([value, limit.then(() => undefined)]);
        controller.abort();
        return result;
    }

    /** In each interval, connects to the neighbours, sends heartbeats, and closes silent and idle links. */
    private async runHeartbeats(): Promise<void> {
        const interval = this.options.heartbeatIntervalMilliseconds ?? HeartbeatIntervalMilliseconds;
        const signal = this.stopController.signal;
        while (!signal.aborted) {
            const neighbours = this.options.getNeighbours();
            for (const peer of neighbours) {
                if (this.tryGetLink(peer.id, types.Lane.Control) === undefined) {
                    void this.dial(peer.id, types.Lane.Control, this.options.clock.now() + interval);
                }
            }
            this.dialSeeds();
            const neighbourIds = new Set(neighbours.map(peer => peer.id));
            const due = [...this.links.values()].flat().filter(link => this.maintainLink(link, interval, neighbourIds));
            const heartbeat = this.options.createHeartbeat();
            encodePerForm(due, heartbeat, types.Lane.Control).forEach(({ link, bytes }) =>
                link.sendEncodedWithoutMarkingUse(bytes),
            );
            await this.options.clock.sleep(interval, signal);
        }
    }

    /**
     * Closes the link if it is silent or idle; otherwise returns whether a heartbeat is due. Every lane carries traffic in each
     * interval, because a network device can drop the state of one connection while others keep working, and only traffic on
     * that connection reveals it. The control lane always sends heartbeats, since they carry the sender's state; the other
     * lanes send them only when nothing else was sent.
     */
    private maintainLink(
        link: peerLinks.PeerLink,
        interval: number,
        neighbourIds: ReadonlySet<core.InstanceId>,
    ): boolean {
        const now = this.options.clock.now();
        if (now - link.lastReceivedAt > SilentIntervalsUntilClosed * interval) {
            link.connection.terminate();
            this.closedSilentPeers.set(link.peer, now);
            this.options.onUnreachable?.(link.peer);
            return false;
        }
        const isKept = !link.terms.isDialled || (neighbourIds.has(link.peer) && link.lane === types.Lane.Control);
        if (!isKept && now - link.lastUsedAt > (this.options.idleTimeoutMilliseconds ?? IdleTimeoutMilliseconds)) {
            link.connection.terminate();
            return false;
        }
        return link.lane === types.Lane.Control || now - link.lastSentAt >= interval;
    }

    private removeConnection(connection: connections.Connection): void {
        this.openConnections.delete(connection);
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

/** Encodes a message once per frame form and pairs the bytes with the links that use the form. */
function encodePerForm(
    links: readonly peerLinks.PeerLink[],
    message: types.Message,
    lane: types.Lane,
): readonly { readonly link: peerLinks.PeerLink; readonly bytes: Uint8Array }[] {
    return Object.values(codec.FrameForm).flatMap(form => {
        const matchingLinks = links.filter(link => link.terms.form === form);
        const encoded = matchingLinks.length === 0 ? undefined : codec.encodeFrame({ message }, lane, form);
        return encoded?.ok === true ? matchingLinks.map(link => ({ link, bytes: encoded.bytes })) : [];
    });
}
