import type * as core from "@boragedale/core";
import * as codec from "./codec.js";
import type * as connections from "./connection.js";
import * as types from "./types.js";

/** Most bytes that may wait in one lane; beyond it a notice is dropped rather than queued without bound. */
const LargestBacklogBytes = 33_554_432;

interface PendingRequest {
    readonly finish: (result: types.PeerResult) => void;
}

/** Handles a message that is not a reply; the result, where there is one, goes back to a request. */
export type Dispatch = (message: types.Message, from: core.InstanceId) => Promise<types.Message | undefined>;

/** What the handshake settled. */
export interface PeerLinkTerms {
    readonly peer: core.InstanceId;
    readonly lane: types.Lane;
    /** Whether this end opened it; only that end may let it go as idle, since the other can't know its plans. */
    readonly isDialled: boolean;
    /** The form that the peer reads. */
    readonly form: codec.FrameForm;
    /** Where the peer's face is, for its other lanes; undefined where nobody told. */
    readonly url: string | undefined;
}

/** One open lane to one peer: requests with their correlation ids, replies, notices. */
export class PeerLink {
    readonly peer: core.InstanceId;
    readonly lane: types.Lane;
    lastHeard: core.MonotonicMilliseconds;
    lastUsed: core.MonotonicMilliseconds;
    lastSent: core.MonotonicMilliseconds;
    private nextCorrelation = 0;
    /** The peer's last heartbeat as it came: most repeat the one before, and are not decoded again. */
    private lastBeat: { readonly bytes: Uint8Array; readonly decoded: codec.DecodedFrame } | undefined;
    private readonly pending = new Map<number, PendingRequest>();

    constructor(
        readonly connection: connections.Connection,
        readonly terms: PeerLinkTerms,
        private readonly clock: core.Clock,
    ) {
        this.peer = terms.peer;
        this.lane = terms.lane;
        this.lastHeard = clock.now();
        this.lastUsed = clock.now();
        this.lastSent = clock.now();
    }

    async request(message: types.Message, timeoutMilliseconds: number): Promise<types.PeerResult> {
        const correlation = this.nextCorrelation++;
        this.lastUsed = this.clock.now();
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
        this.lastUsed = this.clock.now();
        return this.beat(message);
    }

    /** Sends a notice that was encoded once for many links of the same form. */
    notifyEncoded(bytes: Uint8Array): void {
        this.lastUsed = this.clock.now();
        this.beatEncoded(bytes);
    }

    /** The same for what only keeps the link alive, which is no use of it. */
    beatEncoded(bytes: Uint8Array): void {
        if (this.connection.getBacklog() < LargestBacklogBytes) {
            this.lastSent = this.clock.now();
            this.connection.send(bytes);
        }
    }

    /** Sends what only keeps the link alive, which is no use of it. */
    beat(message: types.Message): boolean {
        return this.connection.getBacklog() < LargestBacklogBytes && this.send({ message }) === undefined;
    }

    /**
     * Handles messages until the connection is over. A malformed one ends it: what follows can't be trusted. Resolves to what was
     * wrong with it, if there was one.
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
                this.lastHeard = this.clock.now();
                this.take(decoded.frame, dispatch);
            }
        }
        finally {
            this.failPending();
        }
    }

    private decode(bytes: Uint8Array): codec.DecodedFrame {
        if (this.lastBeat !== undefined && Buffer.compare(this.lastBeat.bytes, bytes) === 0) {
            return this.lastBeat.decoded;
        }
        const decoded = codec.decodeFrame(bytes, this.lane);
        if (decoded.ok && decoded.frame.message.kind === types.MessageKind.Heartbeat) {
            this.lastBeat = { bytes, decoded };
        }
        return decoded;
    }

    private take(frame: codec.Frame, dispatch: Dispatch): void {
        if (frame.isReply === true) {
            // A reply that comes after its time-out has no waiter any more and is dropped.
            this.pending.get(frame.correlation ?? -1)?.finish(toResult(frame.message));
            return;
        }
        if (frame.message.kind !== types.MessageKind.Heartbeat) {
            this.lastUsed = this.clock.now();
        }
        void this.answer(frame, dispatch);
    }

    private async answer(frame: codec.Frame, dispatch: Dispatch): Promise<void> {
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
        this.lastSent = this.clock.now();
        return this.connection.send(encoded.bytes) ? undefined : `the link to ${this.peer} is closed`;
    }

    /** The requests had left, so the peer may have acted on them: that is a time-out, not "not connected". */
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
