import type * as http from "node:http";
import * as core from "@boragedale/core";
import type * as customers from "@boragedale/customers";
import * as callerConnections from "./callerConnections.js";
import * as callerIdentity from "./callerIdentity.js";
import type * as customerQuotas from "./customerQuotas.js";
import type * as fleetView from "./fleetView.js";
import * as gatewayLog from "./gatewayLog.js";
import * as refusals from "./refusals.js";
import * as requestBodies from "./requestBodies.js";
import type * as requestForwarder from "./requestForwarder.js";
import * as requestTarget from "./requestTarget.js";
import * as stopHorizon from "./stopHorizon.js";
import * as submissionCalls from "./submissionCalls.js";
import type * as submissionService from "./submissionService.js";
import * as types from "./types.js";
import type * as wire from "./wire.js";

/** Dependencies of `CallerServer`. */
export interface CallerServerParts {
    readonly wire: wire.CallerWire;
    readonly view: fleetView.FleetView;
    readonly forwarder: requestForwarder.RequestForwarder;
    readonly submissions: submissionService.SubmissionService;
    readonly identity: callerIdentity.CallerIdentity;
    readonly quotas: customerQuotas.CustomerQuotas;
    readonly clock: core.Clock;
    readonly log: gatewayLog.GatewayLog;
    readonly isReady: () => boolean;
}

/** Larger than any configured limit. That limit changes with the configuration and is checked for each request. */
const MaximumHeaderBytes = 131_072;
/** Maximum size of all bodies that are being read at the same time: a quarter of a small instance's memory. */
const MaximumBufferedBytes = 67_108_864;
/** Retry delay given to callers when the buffer limit is reached. */
const BuffersFullRetryMilliseconds = 500;
const NoConfigurationRetryMilliseconds = 500;

/** Refusals of bodies that are not worth reading to the end: they are too long already, or there is no room for them. */
const UnreadableReasons: ReadonlySet<types.RefusalReason> = new Set([
    types.RefusalReason.BodyTooLarge,
    types.RefusalReason.Overloaded,
]);

/**
 * The HTTP server for callers. It uses Node's HTTP server directly, since requests are forwarded with exactly the method, target
 * and headers received, and the router and parsers of a web framework would decode them first.
 */
export class CallerServer implements AsyncDisposable {
    readonly server: callerConnections.CallerHttpServer;
    private appliedVersion = -1;
    private readonly bodies = new requestBodies.BodyReader(MaximumBufferedBytes);
    private readonly calls: submissionCalls.SubmissionCalls;
    private isClosing = false;

    constructor(private readonly parts: CallerServerParts) {
        this.server = new callerConnections.CallerHttpServer(
            { maxHeaderSize: MaximumHeaderBytes, requestTimeout: 0, noDelay: true, connectionsCheckingInterval: 500 },
            (request, response) => this.serve(request, response),
        );
        this.calls = new submissionCalls.SubmissionCalls({ ...parts, horizon: parts.forwarder.horizon });
        parts.view.onChange(() => this.applyConfiguration());
    }

    async listen(host: string, port: number): Promise<void> {
        await new Promise<void>((resolve, reject) => {
            this.server.once("error", reject);
            this.server.listen({ host, port, backlog: 1024 }, resolve);
        });
    }

    getInProgressCount(): number {
        return this.server.getInProgressCount();
    }

    /** Begins a stop: requests are answered by the given time, and those that can't end by then are refused. */
    limitDeadlines(latest: core.MonotonicMilliseconds): void {
        this.parts.forwarder.horizon.limit(latest);
    }

    /**
     * Stops accepting connections and closes each open one after its next answer, so that callers send further requests to other
     * instances. Readiness alone is not enough: a load balancer with too few other instances continues to send requests. A
     * request that arrives in the last second would be interrupted, while a refused connection costs the caller nothing.
     */
    startClosing(): void {
        this.isClosing = true;
        this.server.startClosing();
    }

    /** Closes the connections without a request. */
    closeIdleConnections(): void {
        this.server.closeIdleConnections();
    }

    hasIdleConnections(): boolean {
        return this.server.hasIdleConnections();
    }

    async [Symbol.asyncDispose](): Promise<void> {
        this.parts.forwarder.horizon[Symbol.dispose]();
        const closed = new Promise<void>(resolve => this.server.once("close", resolve));
        if (!this.isClosing) {
            this.server.close();
        }
        const hasConnections = await this.hasConnections();
        this.server.closeAllConnections();
        if (hasConnections) {
            await closed;
        }
    }

    private async hasConnections(): Promise<boolean> {
        return new Promise(resolve => this.server.getConnections((error, count) => resolve(!error && count > 0)));
    }

    private applyConfiguration(): void {
        const configuration = this.parts.view.getConfiguration();
        if (configuration === undefined || configuration.version === this.appliedVersion) {
            return;
        }
        this.appliedVersion = configuration.version;
        this.server.headersTimeout = configuration.limits.headerTimeoutMilliseconds;
        this.server.setIdleTimeout(configuration.limits.idleTimeoutMilliseconds);
        this.parts.log.recordEvent(gatewayLog.GatewayEvent.ConfigurationTaken, {
            version: configuration.version,
            routes: configuration.routes.length,
        });
    }

    /** Serves a request and never rejects. */
    private async serve(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
        if (this.isClosing) {
            response.shouldKeepAlive = false;
        }
        try {
            await this.handleRequest(request, response);
            core.Debug.assert(response.writableEnded || response.destroyed, "a request ended without an answer");
        }
        catch (error) {
            this.parts.log.recordEvent(gatewayLog.GatewayEvent.Defect, { text: String(error) });
            await this.answerDefect(request, response);
        }
    }

    /** Answers a request that failed by a defect. It may have run, so the refusal doesn't promise that it has not. */
    private async answerDefect(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
        if (response.writableEnded) {
            return;
        }
        try {
            await this.refuse(request, response, { reason: types.RefusalReason.UpstreamFailed });
        }
        catch {
            refusals.breakOff(response);
        }
    }

    private async handleRequest(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
        const arrivedAt = this.parts.clock.now();
        const raw = requestTarget.readRawRequest(request);
        response.on("error", () => undefined);
        if (requestTarget.hasSeveralHosts(raw.rawHeaders)) {
            await this.refuse(request, response, { reason: types.RefusalReason.RequestInvalid });
            return;
        }
        const call = this.parts.wire.tryReadCall(raw);
        if (call !== undefined) {
            request.resume();
            await this.serveCall(call, raw, response);
            return;
        }
        const configuration = this.parts.view.getConfiguration();
        const routes = this.parts.view.getRoutes();
        if (configuration === undefined || routes === undefined) {
            await this.refuse(request, response, {
                reason: types.RefusalReason.NoConfiguration,
                retryAfterMilliseconds: NoConfigurationRetryMilliseconds,
            });
            return;
        }
        if (countBytes(raw.rawHeaders) > configuration.limits.headerBytes) {
            await this.refuse(request, response, { reason: types.RefusalReason.HeaderTooLarge });
            return;
        }
        const route = routes.tryFind(raw.host, raw.target);
        if (route === undefined) {
            this.parts.log.recordEvent(gatewayLog.GatewayEvent.RequestUnroutable, {
                target: raw.target,
                version: configuration.version,
            });
            await this.refuse(request, response, { reason: types.RefusalReason.NoRoute });
            return;
        }
        const head = this.parts.wire.readRequest(raw.rawHeaders);
        const timed = { route, head, arrivedAt };
        const { horizon } = this.parts.forwarder;
        if (!horizon.canEnd(timed)) {
            await this.refuse(request, response, { reason: types.RefusalReason.Stopping, retryAfterMilliseconds: 0 });
            return;
        }
        const identity = await this.parts.identity.identify(raw.rawHeaders, route.isPublic);
        if (!callerIdentity.isAccepted(identity)) {
            this.logUnauthorized(head.attemptId, identity);
            await this.refuse(request, response, { reason: types.RefusalReason.Unauthorized });
            return;
        }
        const customer = callerIdentity.tryGetCustomer(identity);
        if (route.kind === types.RouteKind.Batch) {
            const body = await this.readBody(request, response, timed, configuration.limits.bodyBytes);
            if (body !== undefined) {
                await this.calls.accept({ raw, head, route, body, arrivedAt, customer: customer?.name }, response);
            }
            return;
        }
        const pendingQuota = customer === undefined ? undefined : this.parts.quotas.claim(customer);
        const body = await this.readBody(request, response, timed, configuration.limits.bodyBytes);
        const quota = await pendingQuota;
        if (body === undefined) {
            this.refundQuota(quota);
            return;
        }
        if (quota?.isGranted === false) {
            this.refuseOverQuota(head, quota, response);
            return;
        }
        const timeout = stopHorizon.getTimeout(timed);
        const deadline = Math.min(arrivedAt + timeout, horizon.getLatestEnd());
        const weight = customer?.limit?.requestsPerSecond;
        const share = { customer: customer?.name, weight, priority: customer?.priority };
        const read = { raw, head, route, body, arrivedAt, deadline, ...share };
        const mayHaveRun = await this.parts.forwarder.forward(read, response);
        if (!mayHaveRun) {
            this.refundQuota(quota);
        }
    }

    private refundQuota(quota: customerQuotas.QuotaDecision | undefined): void {
        if (quota !== undefined) {
            this.parts.quotas.refund(quota);
        }
    }

    private logUnauthorized(request: string, identity: customers.Identity): void {
        this.parts.log.recordEvent(gatewayLog.GatewayEvent.RequestUnauthorized, {
            request,
            text: identity.kind,
            version: this.parts.view.getConfiguration()?.version,
        });
    }

    private refuseOverQuota(
        head: types.RequestHead,
        quota: customerQuotas.QuotaDecision,
        response: http.ServerResponse,
    ): void {
        const { customer, decider, keeper, retryAfterMilliseconds } = quota;
        const milliseconds = Math.round(retryAfterMilliseconds);
        const fields = { request: head.attemptId, customer, decider, keeper, milliseconds };
        this.parts.log.recordEvent(gatewayLog.GatewayEvent.QuotaExceeded, fields);
        const refusal = { reason: types.RefusalReason.QuotaExceeded, retryAfterMilliseconds };
        refusals.sendRefusal(this.parts.wire, response, refusal);
    }

    private async serveCall(
        call: types.GatewayCall,
        raw: types.RawRequest,
        response: http.ServerResponse,
    ): Promise<void> {
        if (call.kind === types.CallKind.Readiness) {
            submissionCalls.sendEmpty(response, this.parts.isReady() ? 200 : 503);
            return;
        }
        if (this.parts.view.getConfiguration() === undefined) {
            this.calls.refuse(response, types.RefusalReason.NoConfiguration);
            return;
        }
        const isPublic = this.parts.view.getRoutes()?.hasPublicBatchRoute(raw.host) ?? false;
        const identity = await this.parts.identity.identify(raw.rawHeaders, isPublic);
        if (!callerIdentity.isAccepted(identity)) {
            this.logUnauthorized(call.submission, identity);
            this.calls.refuse(response, types.RefusalReason.Unauthorized);
            return;
        }
        const name = { id: call.submission, customer: callerIdentity.tryGetCustomer(identity)?.name };
        await this.calls.serve(call, name, response);
    }

    /** Reads the complete body. Returns undefined if the request was refused or the caller disconnected. */
    private async readBody(
        request: http.IncomingMessage,
        response: http.ServerResponse,
        timed: stopHorizon.TimedRequest,
        limit: number,
    ): Promise<Buffer | undefined> {
        if (requestBodies.getAnnouncedBytes(request) > limit) {
            await this.refuse(request, response, { reason: types.RefusalReason.BodyTooLarge });
            return undefined;
        }
        const { horizon } = this.parts.forwarder;
        const outcome = await horizon.waitWhileItCanEnd(timed, this.bodies.read(request, limit));
        if (outcome === undefined) {
            await this.refuse(request, response, { reason: types.RefusalReason.Stopping, retryAfterMilliseconds: 0 });
            return undefined;
        }
        switch (outcome.kind) {
            case requestBodies.BodyOutcomeKind.Complete:
                return outcome.body;
            case requestBodies.BodyOutcomeKind.TooLarge:
                await this.refuse(request, response, { reason: types.RefusalReason.BodyTooLarge });
                return undefined;
            case requestBodies.BodyOutcomeKind.BuffersFull:
                await this.refuse(request, response, {
                    reason: types.RefusalReason.Overloaded,
                    retryAfterMilliseconds: BuffersFullRetryMilliseconds,
                });
                return undefined;
            case requestBodies.BodyOutcomeKind.Disconnected:
                // The request is incomplete, so there is nobody to answer.
                response.destroy();
                return undefined;
        }
    }

    /** Refuses a request whose body may not have been read. */
    private async refuse(
        request: http.IncomingMessage,
        response: http.ServerResponse,
        refusal: types.GatewayRefusal,
    ): Promise<void> {
        const limit = this.parts.view.getConfiguration()?.limits.bodyBytes ?? requestBodies.MaximumDiscardedBytes;
        const isWithinLimit = requestBodies.getAnnouncedBytes(request) <= limit;
        const keepsConnection = isWithinLimit && !UnreadableReasons.has(refusal.reason);
        const unread = { request, response, refusal, keepsConnection };
        await refusals.sendUnreadRefusal(this.parts.wire, unread, this.parts.clock);
    }
}

function countBytes(parts: readonly string[]): number {
    return parts.reduce((sum, part) => sum + part.length + 2, 0);
}
