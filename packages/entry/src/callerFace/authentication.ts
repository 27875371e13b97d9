import * as crypto from "node:crypto";
import type * as fastify from "fastify";
import type * as core from "@boragedale/core";

/** Finds callers by their bearer token. The index is rebuilt once a note, not searched once a request. */
export class CallerIndex {
    private generation: core.Generation | undefined;
    private byTokenHash = new Map<string, core.CallerDescription>();

    tryGetCaller(note: core.NoteInForce, request: fastify.FastifyRequest): core.CallerDescription | undefined {
        const token = tryGetBearerToken(request.headers.authorization);
        if (token === undefined) {
            return undefined;
        }
        if (this.generation !== note.generation) {
            this.byTokenHash = new Map(note.fleet.callers.map(caller => [caller.tokenHash, caller]));
            this.generation = note.generation;
        }
        return this.byTokenHash.get(hashToken(token));
    }
}

/** The form in which a token stands in the release note. */
export function hashToken(token: string): string {
    return crypto.createHash("sha256").update(token).digest("hex");
}

/** Compares in a time that doesn't depend on where the texts differ. */
export function isSameSecret(left: string, right: string): boolean {
    return crypto.timingSafeEqual(Buffer.from(hashToken(left)), Buffer.from(hashToken(right)));
}

export function tryGetBearerToken(header: string | undefined): string | undefined {
    const match = /^Bearer\s+(\S+)$/i.exec(header ?? "");
    return match?.[1];
}
