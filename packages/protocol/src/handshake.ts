import * as crypto from "node:crypto";
import type * as core from "@boragedale/core";
import * as types from "./types.js";

/**
 * Mutual authentication: both sides prove knowledge of the shared key without sending it. Each proof covers both sides'
 * challenges, which prevents replays, and the side that created it, so that it can't be reflected back as the other
 * side's proof.
 */

export enum HandshakeSide {
    Client = "Client",
    Server = "Server",
}

export interface HandshakeTerms {
    readonly clientChallenge: string;
    readonly serverChallenge: string;
    readonly lane: types.Lane;
    readonly version: number;
    readonly instance: core.InstanceId;
}

const ChallengeBytes = 24;

export function createChallenge(): string {
    return crypto.randomBytes(ChallengeBytes).toString("hex");
}

/** Creates the proof for a side of the handshake, in hexadecimal. */
export function createProof(key: string, side: HandshakeSide, terms: HandshakeTerms): string {
    const fields = [
        side,
        terms.clientChallenge,
        terms.serverChallenge,
        terms.lane,
        String(terms.version),
        terms.instance,
    ];
    return crypto.createHmac("sha256", key).update(JSON.stringify(fields)).digest("hex");
}

/** Whether the proof was created with one of `keys`. There are several keys during a key rotation. */
export function isProofValid(
    keys: readonly string[],
    side: HandshakeSide,
    terms: HandshakeTerms,
    proof: string,
): boolean {
    const given = Buffer.from(proof, "hex");
    return keys.some(key => {
        const expected = Buffer.from(createProof(key, side, terms), "hex");
        return given.byteLength === expected.byteLength && crypto.timingSafeEqual(given, expected);
    });
}

/** Whether this process supports a protocol version: its own or, for rolling upgrades, the previous one. */
export function isVersionSupported(version: number): boolean {
    return version === types.ProtocolVersion || version === types.ProtocolVersion - 1;
}
