import * as customers from "@boragedale/customers";
import type * as fastify from "fastify";
import * as core from "@boragedale/core";
import * as release from "@boragedale/release";
import * as telemetry from "@boragedale/telemetry";
import type * as upstreams from "@boragedale/upstreams";
import * as work from "@boragedale/work";
import * as callerEndpoint from "../src/callerEndpoint/server.js";
import * as dispatch from "../src/dispatch/types.js";

export const Token = "token-of-kandula";
export const OtherToken = "token-of-the-bureau";
export const BodyLimitBytes = 10_000;

export function createNote(): core.NoteInForce {
    const fleet: core.FleetDescription = {
        models: [{ id: "kestrel", version: "1", adapters: [], onlineFloor: 0, batchFloor: 0 }],
        upstreams: [],
        services: [],
        callers: [
            { id: "kandula", tokenHash: customers.digestKey(Token), weight: 1 },
            { id: "bureau", tokenHash: customers.digestKey(OtherToken), weight: 1 },
        ],
        weightStore: { concurrentLoads: 1 },
        policy: {
            batchWeight: 0.5,
            retentionMilliseconds: 1_000,
            onlineDeadlineMilliseconds: 1_000,
            batchDeadlineMilliseconds: 1_000,
            itemAttempts: 2,
        },
    };
    return { generation: 1, fleet, source: "", author: "test", publishedAt: 0, nonce: "n" };
}

export class FixedNoteKeeper extends release.NoteCache {
    note: core.NoteInForce | undefined = createNote();

    override tryGetNote(): core.NoteInForce | undefined {
        return this.note;
    }

    override onNote(): () => void {
        return () => undefined;
    }

    override isConfirmed(): boolean {
        return true;
    }

    override async [Symbol.asyncDispose](): Promise<void> {}
}

const usage: upstreams.Usage = { promptTokens: 1, completionTokens: 2, cachedTokens: 0 };

/** Answers each completion with its caller and first message, so that tests detect mixed-up requests. */
export class EchoDispatcher extends dispatch.Dispatcher {
    readonly calls: dispatch.ServiceCall[] = [];
    refusal: core.Refusal | undefined;
    /** Whether the refusal follows the first token. */
    isRefusalLate = false;

    override async *complete(request: dispatch.CompletionRequest): AsyncIterable<dispatch.StreamEvent> {
        if (this.refusal !== undefined && !this.isRefusalLate) {
            yield { kind: dispatch.StreamEventKind.Refused, refusal: this.refusal };
            return;
        }
        const messages = request.body["messages"] as readonly { readonly content?: unknown }[];
        yield { kind: dispatch.StreamEventKind.Token, text: `${request.caller}:` };
        if (this.refusal !== undefined) {
            yield { kind: dispatch.StreamEventKind.Refused, refusal: this.refusal };
            return;
        }
        yield { kind: dispatch.StreamEventKind.Token, text: String(messages[0]?.content) };
        yield { kind: dispatch.StreamEventKind.Finished, reason: "stop", usage };
    }

    override async callService(call: dispatch.ServiceCall): Promise<core.Outcome<upstreams.ServiceResponse>> {
        this.calls.push(call);
        if (this.refusal !== undefined) {
            return core.createFailure(this.refusal);
        }
        const body = new TextEncoder().encode(JSON.stringify({ path: call.path, key: call.key }));
        return core.createSuccess({ status: 201, headers: { "content-type": "application/json" }, body });
    }

    override getFreeBatchSlots(): number {
        return 0;
    }

    override getInProgress(): number {
        return 0;
    }

    override async [Symbol.asyncDispose](): Promise<void> {}
}

export interface CallerEndpointFixture extends AsyncDisposable {
    readonly server: fastify.FastifyInstance;
    readonly keeper: FixedNoteKeeper;
    readonly dispatcher: EchoDispatcher;
    isDraining: boolean;
}

/** Creates the callers' endpoint with fakes. Tests inject requests, so that no socket is needed. */
export async function createCallerEndpointFixture(
    ledger: work.CallLedger,
    jobs: work.JobStore,
): Promise<CallerEndpointFixture> {
    const clock = new core.SystemClock();
    const keeper = new FixedNoteKeeper();
    const dispatcher = new EchoDispatcher();
    const state = { isDraining: false };
    const server = callerEndpoint.createCallerEndpoint({
        clock,
        telemetry: new telemetry.Telemetry({ instance: "test", logLevel: "silent" }, clock),
        keeper,
        dispatcher,
        ledger,
        jobs,
        bodyLimitBytes: BodyLimitBytes,
        fileLimitBytes: BodyLimitBytes,
        isAnnounced: () => state.isDraining,
        isDraining: () => state.isDraining,
        tryGetUnreadiness: () => (keeper.note === undefined ? "no note" : undefined),
    });
    await server.ready();
    return Object.assign(state, {
        server,
        keeper,
        dispatcher,
        [Symbol.asyncDispose]: async () => {
            await server.close();
            await ledger[Symbol.asyncDispose]();
        },
    });
}

/** A job store that is always empty. Every read fails with "not found". */
export class EmptyJobStore extends work.JobStore {
    override async createFile(): Promise<core.Outcome<work.FileDescription>> {
        return createNotFound();
    }

    override async readFile(): Promise<core.Outcome<work.FileDescription>> {
        return createNotFound();
    }

    override async readContent(): Promise<core.Outcome<AsyncIterable<Uint8Array>>> {
        return createNotFound();
    }

    override async submit(): Promise<core.Outcome<work.JobDescription>> {
        return createNotFound();
    }

    override async list(): Promise<core.Outcome<readonly work.JobDescription[]>> {
        return core.createSuccess([]);
    }

    override async read(): Promise<core.Outcome<work.JobDescription>> {
        return createNotFound();
    }

    override async cancel(): Promise<core.Outcome<work.JobDescription>> {
        return createNotFound();
    }
}

function createNotFound<T>(): core.Outcome<T> {
    return core.createFailure(
        core.createRefusal({
            kind: core.RefusalKind.NotFound,
            message: core.messages.NotFound,
            values: ["job", "x"],
            certainty: core.RunCertainty.NotRun,
        }),
    );
}
