import * as core from "@boragedale/core";
import * as telemetry from "@boragedale/telemetry";
import * as codec from "./codec.js";
import type * as connections from "./connection.js";
import * as handshake from "./handshake.js";
import * as peerLinks from "./peerLink.js";
import * as types from "./types.js";

export interface LinkHandshakerOptions {
    readonly instance: core.InstanceId;
    /** Shared keys. This instance proves itself with the first; a peer may use any of them, so that keys can be rotated. */
    readonly keys: readonly string[];
    readonly clock: core.Clock;
    readonly telemetry: telemetry.Telemetry;
}

/** Endpoint of a peer to dial. The id is undefined for a seed, whose id is known only after the handshake. */
export interface DialAddress {
    readonly id: core.InstanceId | undefined;
    readonly url: string;
}

const HandshakeTimeoutMilliseconds = 2_000;

/** Performs the handshake on a connection. The result is a link, or undefined if either side failed to prove the shared key. */
export class LinkHandshaker {
    constructor(
        private readonly options: LinkHandshakerOptions,
        /** Returns the URL that is announced to peers, or undefined to announce none. */
        private readonly tryGetOwnUrl: () => string | undefined,
    ) {}

    /** Server side of the handshake: sends a challenge, checks the client's proof, then proves this side. */
    async acceptPeer(connection: connections.Connection): Promise<peerLinks.PeerLink | undefined> {
        const serverChallenge = handshake.createChallenge();
        sendMessage(connection, { kind: types.MessageKind.Challenge, challenge: serverChallenge });
        const hello = await this.readMessage(connection, types.MessageKind.Hello);
        if (hello === undefined) {
            this.recordRefusal("no Hello message received");
            return undefined;
        }
        const terms: handshake.HandshakeTerms = {
            clientChallenge: hello.challenge,
            serverChallenge,
            lane: hello.lane,
            version: hello.version,
            instance: hello.instance,
        };
        const isProved = handshake.isProofValid(this.options.keys, handshake.HandshakeSide.Client, terms, hello.proof);
        if (!isProved || !handshake.isVersionSupported(hello.version)) {
            this.recordRefusal(`${hello.instance}: ${isProved ? `version ${hello.version}` : "wrong proof"}`);
            return undefined;
        }
        sendMessage(connection, this.createHello(handshake.HandshakeSide.Server, terms, serverChallenge));
        const { instance: peer, lane, url } = hello;
        const agreed = { peer, lane, isDialled: false, form: chooseFrameForm(hello), url };
        return new peerLinks.PeerLink(connection, agreed, this.options.clock);
    }

    /**
     * Client side of the handshake. The peer must prove the key and, unless it is a seed, that it is the instance that was dialled.
     * A seed may be any instance except this one.
     */
    async connectToPeer(
        connection: connections.Connection,
        address: DialAddress,
        lane: types.Lane,
    ): Promise<peerLinks.PeerLink | undefined> {
        if (!(await connection.waitForOpen(HandshakeTimeoutMilliseconds, this.options.clock))) {
            return undefined;
        }
        const challenge = await this.readMessage(connection, types.MessageKind.Challenge);
        if (challenge === undefined) {
            return undefined;
        }
        const terms: handshake.HandshakeTerms = {
            clientChallenge: handshake.createChallenge(),
            serverChallenge: challenge.challenge,
            lane,
            version: types.ProtocolVersion,
            instance: this.options.instance,
        };
        sendMessage(connection, this.createHello(handshake.HandshakeSide.Client, terms, terms.clientChallenge));
        const hello = await this.readMessage(connection, types.MessageKind.Hello);
        if (hello === undefined) {
            return undefined;
        }
        const expected = { ...terms, version: hello.version, instance: address.id ?? hello.instance };
        if (!handshake.isProofValid(this.options.keys, handshake.HandshakeSide.Server, expected, hello.proof)) {
            this.recordRefusal(`${hello.instance}: wrong proof`);
            return undefined;
        }
        if (expected.instance === this.options.instance) {
            return undefined;
        }
        const agreed = {
            peer: expected.instance,
            lane,
            isDialled: true,
            form: chooseFrameForm(hello),
            url: address.url,
        };
        return new peerLinks.PeerLink(connection, agreed, this.options.clock);
    }

    private createHello(
        side: handshake.HandshakeSide,
        terms: handshake.HandshakeTerms,
        challenge: string,
    ): types.Hello {
        const own = { ...terms, version: types.ProtocolVersion, instance: this.options.instance };
        const url = this.tryGetOwnUrl();
        const key = core.Debug.checkDefined(this.options.keys[0], "a peer network has at least one key");
        return {
            kind: types.MessageKind.Hello,
            version: types.ProtocolVersion,
            instance: this.options.instance,
            lane: terms.lane,
            challenge,
            proof: handshake.createProof(key, side, own),
            readsPacked: true,
            ...(url === undefined ? {} : { url }),
        };
    }

    private async readMessage<K extends types.MessageKind>(
        connection: connections.Connection,
        kind: K,
    ): Promise<types.MessageOf<K> | undefined> {
        const bytes = await connection.readWithin(HandshakeTimeoutMilliseconds, this.options.clock);
        const decoded = bytes === undefined ? undefined : codec.decodeFrame(bytes, types.Lane.Control);
        return decoded?.ok === true && decoded.frame.message.kind === kind
            ? (decoded.frame.message as types.MessageOf<K>)
            : undefined;
    }

    private recordRefusal(text: string): void {
        this.options.telemetry.record(telemetry.events.PeerRefused, { text });
    }
}

function chooseFrameForm(hello: types.Hello): codec.FrameForm {
    return hello.readsPacked === true ? codec.FrameForm.Packed : codec.FrameForm.Named;
}

function sendMessage(connection: connections.Connection, message: types.Message): void {
    const encoded = codec.encodeFrame({ message }, types.Lane.Control);
    core.Debug.assert(encoded.ok, "a handshake message is within the control lane's limit");
    connection.send(encoded.bytes);
}
