import * as crypto from "node:crypto";
import type * as core from "@boragedale/core";
import * as types from "./types.js";

/**
 * Both ends prove that they know the shared key without sending it. Each proof covers both ends' challenges, so that
 * an overheard one can't be used again, and the side that it was made on, so that it can't be sent back as the answer.
 */

export enum Side {
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

/** The proof of the end that `side` names, in hexadecimal. */
export function createProof(key: string, side: Side, terms: HandshakeTerms): string {
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

/** Whether one of `keys` made the proof; several are given while keys are rotated. */
export function isProofValid(keys: readonly string[], side: Side, terms: HandshakeTerms, proof: string): boolean {
    const given = Buffer.from(proof, "hex");
    return keys.some(key => {
        const expected = Buffer.from(createProof(key, side, terms), "hex");
        return given.byteLength === expected.byteLength && crypto.timingSafeEqual(given, expected);
    });
}

/** Versions that this program speaks: its own and the one before it, for a rolling upgrade. */
export function isVersionSpoken(version: number): boolean {
    return version === types.ProtocolVersion || version === types.ProtocolVersion - 1;
}
