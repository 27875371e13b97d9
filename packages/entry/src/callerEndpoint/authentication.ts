import type * as core from "@boragedale/core";
import * as customers from "@boragedale/customers";
import type * as fastify from "fastify";

/** Finds callers by their bearer token, with an index that is rebuilt for each new release note. */
export class CallerIndex {
    private generation: core.Generation | undefined;
    private callers = new customers.KeyIndex<core.CallerDescription>();

    tryGetCaller(note: core.NoteInForce, request: fastify.FastifyRequest): core.CallerDescription | undefined {
        const credentials = customers.readCredentials(request.raw.rawHeaders);
        if (credentials.kind !== customers.CredentialKind.Token) {
            return undefined;
        }
        if (this.generation !== note.generation) {
            this.callers = new customers.KeyIndex(
                note.fleet.callers.map(caller => [caller.tokenHash, caller] as const),
            );
            this.generation = note.generation;
        }
        return this.callers.tryFind(credentials.token);
    }
}
