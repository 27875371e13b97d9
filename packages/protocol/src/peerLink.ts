import type * as core from "@boragedale/core";
import * as codec from "./codec.js";
import type * as connections from "./connection.js";
import * as types from "./types.js";

/** Maximum number of unsent bytes per lane. Beyond it, notifications are dropped so that the queue stays bounded. */
const MaxBufferedBytes = 33_554_432;

interface PendingRequest {
    readonly finish: (result: types.PeerResult) => void;
}

/** Handles a message that is not a reply. The result, if any, is sent back as the reply to a request. */
export type Dispatch = (message: types.Message, from: core.InstanceId) => Promise<types.Message | undefined>;

/** What the two sides agreed on in the handshake. */
export interface PeerLinkTerms {
    readonly peer: core.InstanceId;
    readonly lane: types.Lane;
    /** Whether this side opened the link. Only that side may close it as idle, because only it knows whether it needs the link. */
    readonly isDialled: boolean;
    /** Form of the frames sent to the peer. */
    readonly form: codec.FrameForm;
    /** URL of the peer's endpoint, for opening further lanes; undefined if not known. */
    readonly url: string | undefined;
}

/** An open lane to a peer. Carries requests, replies matched by correlation id, and notifications. */
export class PeerLink {
    readonly peer: core.InstanceId;
    readonly lane: types.Lane;
    lastReceivedAt: core.MonotonicMilliseconds;
    lastUsedAt: core.MonotonicMilliseconds;
    lastSentAt: core.MonotonicMilliseconds;
    private nextCorrelation = 0;
    /** The last heartbeat received. Most heartbeats repeat the previous one and are not decoded again. */
    private lastHeartbeat: { readonly bytes: Uint8Array; readonly decoded: codec.DecodedFrame } | undefined;
    private readonly pending = new Map<number, PendingRequest>();

    constructor(
        readonly connection: connections.Connection,
        readonly terms: PeerLinkTerms,
        private readonly clock: core.Clock,
    ) {
        this.peer = terms.peer;
        this.lane = terms.lane;
        this.lastReceivedAt = clock.now();
        this.lastUsedAt = clock.now();
        this.lastSentAt = clock.now();
    }

    async request(message: types.Message, timeoutMilliseconds: number): Promise<types.PeerResult> {
        const correlation = this.nextCorrelation++;
        this.lastUsedAt = this.clock.now();
        return new Promise<types.PeerResult>(resolve => {
            const stop = this.clock.schedule(timeoutMilliseconds, () =>
                finish(createFailure(types.PeerFailureKind.TimedOut, `${this.peer} did not reply in time`)),
            );
            const finish = (result: types.PeerResult): void => {
                stop();
                this.pending.delete(correlation);
                resolve(result);
            };
            this.pending.set(correlation, { finish });
            const failure = this.send({ correlation, message });
            if (failure !== undefined) {
                finish(createFailure(types.PeerFailureKind.NotConnected, failure));
            }
        });
    }

    notify(message: types.Message): boolean {
        this.lastUsedAt = this.clock.now();
        return this.sendWithoutMarkingUse(message);
    }

    /** Sends a notification that was encoded once for all links of the same form. */
    notifyEncoded(bytes: Uint8Array): void {
        this.lastUsedAt = this.clock.now();
        this.sendEncodedWithoutMarkingUse(bytes);
    }

    /** Sends an encoded message, such as a heartbeat, that doesn't count as use of the link. */
    sendEncodedWithoutMarkingUse(bytes: Uint8Array): void {
        if (this.connection.getBufferedBytes() < MaxBufferedBytes) {
            this.lastSentAt = this.clock.now();
            this.connection.send(bytes);
        }
    }

    /** Sends a message, such as a heartbeat, that doesn't count as use of the link. */
    sendWithoutMarkingUse(message: types.Message): boolean {
        return this.connection.getBufferedBytes() < MaxBufferedBytes && this.send({ message }) === undefined;
    }

    /**
     * Handles messages until the connection is closed. Stops at a malformed message, because what follows it can't be trusted,
     * and resolves to the finding.
     */
    async run(dispatch: Dispatch): Promise<codec.FrameFinding | undefined> {
        try {
            for (;;) {
                const bytes = await this.connection.read();
                if (bytes === undefined) {
                    return undefined;
                }
                const decoded = this.decode(bytes);
                if (!decoded.ok) {
                    return decoded.finding;
                }
                this.lastReceivedAt = this.clock.now();
                this.handleFrame(decoded.frame, dispatch);
            }
        }
        finally {
            this.failPending();
        }
    }

    private decode(bytes: Uint8Array): codec.DecodedFrame {
        if (this.lastHeartbeat !== undefined && Buffer.compare(this.lastHeartbeat.bytes, bytes) === 0) {
            return this.lastHeartbeat.decoded;
        }
        const decoded = codec.decodeFrame(bytes, this.lane);
        if (decoded.ok && decoded.frame.message.kind === types.MessageKind.Heartbeat) {
            this.lastHeartbeat = { bytes, decoded };
        }
        return decoded;
    }

    private handleFrame(frame: codec.Frame, dispatch: Dispatch): void {
        if (frame.isReply === true) {
            // A reply that arrives after its request timed out is dropped.
            this.pending.get(frame.correlation ?? -1)?.finish(toResult(frame.message));
            return;
        }
        if (frame.message.kind !== types.MessageKind.Heartbeat) {
            this.lastUsedAt = this.clock.now();
        }
        void this.handleAndReply(frame, dispatch);
    }

    private async handleAndReply(frame: codec.Frame, dispatch: Dispatch): Promise<void> {
        const reply = await dispatch(frame.message, this.peer);
        if (frame.correlation === undefined) {
            return;
        }
        const message = reply ?? createRefused(`${frame.message.kind} is not handled here`);
        const failure = this.send({ correlation: frame.correlation, isReply: true, message });
        if (failure !== undefined) {
            this.send({ correlation: frame.correlation, isReply: true, message: createRefused(failure) });
        }
    }

    private send(frame: codec.Frame): string | undefined {
        const encoded = codec.encodeFrame(frame, this.lane, this.terms.form);
        if (!encoded.ok) {
            return encoded.finding.text;
        }
        this.lastSentAt = this.clock.now();
        return this.connection.send(encoded.bytes) ? undefined : `the link to ${this.peer} is closed`;
    }

    /** Fails the pending requests as timed out rather than not connected, because the peer may have acted on them. */
    private failPending(): void {
        for (const request of [...this.pending.values()]) {
            request.finish(createFailure(types.PeerFailureKind.TimedOut, `the link to ${this.peer} was lost`));
        }
    }
}

function toResult(message: types.Message): types.PeerResult {
    return message.kind === types.MessageKind.Refused
        ? createFailure(types.PeerFailureKind.Refused, message.text)
        : { ok: true, message };
}

export function createFailure(kind: types.PeerFailureKind, text: string): types.PeerResult {
    return { ok: false, kind, text };
}

function createRefused(text: string): types.Refused {
    return { kind: types.MessageKind.Refused, text };
}
