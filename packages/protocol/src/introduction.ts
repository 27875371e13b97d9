import * as core from "@boragedale/core";
import * as telemetry from "@boragedale/telemetry";
import * as codec from "./codec.js";
import type * as connections from "./connection.js";
import * as handshake from "./handshake.js";
import * as peerLinks from "./peerLink.js";
import * as types from "./types.js";

export interface IntroducerOptions {
    readonly instance: core.InstanceId;
    /** Shared keys: the first proves this instance, any proves a peer, so that keys can be rotated. */
    readonly keys: readonly string[];
    readonly clock: core.Clock;
    readonly telemetry: telemetry.Telemetry;
}

/** The peer's face that is dialled; its id is only known once it has proved the key where a seed is. */
export interface DialAddress {
    readonly id: core.InstanceId | undefined;
    readonly url: string;
}

const HandshakeMilliseconds = 2_000;

/** Turns a connection into a link once both ends have proved the shared key; undefined when one could not. */
export class Introducer {
    constructor(
        private readonly options: IntroducerOptions,
        /** Where peers reach this instance; undefined: told to nobody. */
        private readonly tryGetOwnUrl: () => string | undefined,
    ) {}

    /** Server side of the handshake: challenge, check the proof, prove this side. */
    async accept(connection: connections.Connection): Promise<peerLinks.PeerLink | undefined> {
        const serverChallenge = handshake.createChallenge();
        sendOne(connection, { kind: types.MessageKind.Challenge, challenge: serverChallenge });
        const hello = await this.readOne(connection, types.MessageKind.Hello);
        if (hello === undefined) {
            this.refuse("no hello");
            return undefined;
        }
        const terms: handshake.HandshakeTerms = {
            clientChallenge: hello.challenge,
            serverChallenge,
            lane: hello.lane,
            version: hello.version,
            instance: hello.instance,
        };
        const isProved = handshake.isProofValid(this.options.keys, handshake.Side.Client, terms, hello.proof);
        if (!isProved || !handshake.isVersionSpoken(hello.version)) {
            this.refuse(`${hello.instance}: ${isProved ? `version ${hello.version}` : "wrong proof"}`);
            return undefined;
        }
        sendOne(connection, this.createHello(handshake.Side.Server, terms, serverChallenge));
        const { instance: peer, lane, url } = hello;
        const agreed = { peer, lane, isDialled: false, form: chooseForm(hello), url };
        return new peerLinks.PeerLink(connection, agreed, this.options.clock);
    }

    /**
     * Client side of the handshake. The peer must prove the key and that it is the instance that was dialled, where that is
     * known; a seed may be any instance but this one.
     */
    async introduce(
        connection: connections.Connection,
        address: DialAddress,
        lane: types.Lane,
    ): Promise<peerLinks.PeerLink | undefined> {
        if (!(await connection.waitForOpen())) {
            return undefined;
        }
        const challenge = await this.readOne(connection, types.MessageKind.Challenge);
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
        sendOne(connection, this.createHello(handshake.Side.Client, terms, terms.clientChallenge));
        const hello = await this.readOne(connection, types.MessageKind.Hello);
        if (hello === undefined) {
            return undefined;
        }
        const expected = { ...terms, version: hello.version, instance: address.id ?? hello.instance };
        if (!handshake.isProofValid(this.options.keys, handshake.Side.Server, expected, hello.proof)) {
            this.refuse(`${hello.instance}: wrong proof`);
            return undefined;
        }
        if (expected.instance === this.options.instance) {
            return undefined;
        }
        const agreed = {
            peer: expected.instance,
            lane,
            isDialled: true,
            form: chooseForm(hello),
            url: address.url,
        };
        return new peerLinks.PeerLink(connection, agreed, this.options.clock);
    }

    private createHello(side: handshake.Side, terms: handshake.HandshakeTerms, challenge: string): types.Hello {
        const own = { ...terms, version: types.ProtocolVersion, instance: this.options.instance };
        const url = this.tryGetOwnUrl();
        const key = core.Debug.checkDefined(this.options.keys[0], "a peer network has a key");
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

    private async readOne<K extends types.MessageKind>(
        connection: connections.Connection,
        kind: K,
    ): Promise<types.MessageOf<K> | undefined> {
        const bytes = await connection.readWithin(HandshakeMilliseconds, this.options.clock);
        const decoded = bytes === undefined ? undefined : codec.decodeFrame(bytes, types.Lane.Control);
        return decoded?.ok === true && decoded.frame.message.kind === kind
            ? (decoded.frame.message as types.MessageOf<K>)
            : undefined;
    }

    private refuse(text: string): void {
        this.options.telemetry.record(telemetry.events.PeerRefused, { text });
    }
}

function chooseForm(hello: types.Hello): codec.FrameForm {
    return hello.readsPacked === true ? codec.FrameForm.Packed : codec.FrameForm.Named;
}

function sendOne(connection: connections.Connection, message: types.Message): void {
    const encoded = codec.encodeFrame({ message }, types.Lane.Control);
    core.Debug.assert(encoded.ok, "a handshake message fits its lane");
    connection.send(encoded.bytes);
}
