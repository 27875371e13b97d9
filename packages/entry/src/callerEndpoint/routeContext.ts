import type * as fastify from "fastify";
import type * as core from "@boragedale/core";
import type * as release from "@boragedale/release";
import type * as telemetry from "@boragedale/telemetry";
import type * as work from "@boragedale/work";
import type * as dispatch from "../dispatch/types.js";

/** Dependencies and helpers of the routes of the callers' endpoint. */
export interface RouteContext {
    readonly clock: core.Clock;
    readonly telemetry: telemetry.Telemetry;
    readonly keeper: release.NoteCache;
    readonly dispatcher: dispatch.Dispatcher;
    readonly ledger: work.CallLedger;
    readonly jobs: work.JobStore;
    readonly fileLimitBytes: number;
    /** The caller that the request's token belongs to. Only for routes behind the authentication hook. */
    getCaller(request: fastify.FastifyRequest): core.CallerDescription;
    getNote(): core.NoteInForce;
    /** Monotonic time by which the answer must be complete, from the deadline header or the release note's policy. */
    getDeadline(request: fastify.FastifyRequest): core.MonotonicMilliseconds;
    createId(prefix: string): string;
}
