import * as crypto from "node:crypto";
import * as core from "@boragedale/core";
import type * as protocol from "@boragedale/protocol";
import type * as telemetry from "@boragedale/telemetry";
import type * as upstreams from "@boragedale/upstreams";
import type * as work from "@boragedale/work";
import * as callSender from "./callSender.js";
import * as completionRunner from "./completionRunner.js";
import * as serviceCaller from "./serviceCaller.js";
import * as types from "./types.js";
import * as directory from "./upstreamDirectory.js";
import * as upstreamLoad from "./upstreamLoad.js";

export interface FleetDispatcherOptions extends directory.UpstreamDirectoryOptions {
    readonly clock: core.Clock;
    readonly telemetry: telemetry.Telemetry;
    readonly ledger: work.CallLedger;
    readonly membership: protocol.Membership;
    readonly peers: protocol.PeerNetwork;
    readonly dataCentre: core.DataCentre;
}

/** Part of an upstream's concurrency that batch work may take. */
const BatchShare = 0.5;

/** The way of every request of one instance to the fleet's upstreams. */
export class FleetDispatcher extends types.Dispatcher {
    private readonly directory: directory.UpstreamDirectory;
    private readonly load = new upstreamLoad.UpstreamLoad();
    private readonly completions: completionRunner.CompletionRunner;
    private readonly services: serviceCaller.ServiceCaller;
    private readonly attemptPrefix = crypto.randomBytes(6).toString("hex");
    private attemptCount = 0;
    private inProgress = 0;

    constructor(private readonly options: FleetDispatcherOptions) {
        super();
        const { clock } = options;
        this.directory = new directory.UpstreamDirectory(options);
        const shared = { clock, telemetry: options.telemetry, directory: this.directory, load: this.load };
        this.completions = new completionRunner.CompletionRunner({
            ...shared,
            createAttemptId: request => `${request.id}.${this.attemptPrefix}${(this.attemptCount++).toString(36)}`,
        });
        this.services = new serviceCaller.ServiceCaller({
            ...shared,
            sender: new callSender.CallSender(shared),
            ledger: options.ledger,
            runBehind: task => void this.countWhile(task),
        });
    }

    override async *complete(request: types.CompletionRequest, signal: AbortSignal): AsyncIterable<types.StreamEvent> {
        this.inProgress++;
        try {
            yield* this.completions.run(request, signal);
        }
        finally {
            this.inProgress--;
        }
    }

    override async callService(
        call: types.ServiceCall,
        signal: AbortSignal,
    ): Promise<core.Outcome<upstreams.ServiceResponse>> {
        return this.countWhile(this.services.call(call, signal));
    }

    override getFreeBatchSlots(): number {
        const fleet = this.directory.tryGetFleet();
        const engines = fleet?.upstreams.filter(
            upstream =>
                upstream.kind === core.UpstreamKind.Engine &&
                upstream.role !== core.UpstreamRole.Online &&
                !upstream.isLeaving &&
                this.isHomeOf(upstream),
        );
        return (engines ?? []).reduce((sum, upstream) => sum + this.getFreeBatchSlotsOf(upstream), 0);
    }

    override getInProgress(): number {
        return this.inProgress;
    }

    override async [Symbol.asyncDispose](): Promise<void> {
        await this.directory[Symbol.asyncDispose]();
    }

    private getFreeBatchSlotsOf(upstream: core.UpstreamDescription): number {
        const { online, batch } = this.load.get(upstream.id);
        const allowed = Math.max(1, Math.floor(upstream.concurrency * BatchShare));
        return Math.max(0, Math.min(allowed - batch, upstream.concurrency - online - batch));
    }

    private isHomeOf(upstream: core.UpstreamDescription): boolean {
        const { membership } = this.options;
        return membership.tryGetHolderIn(upstream.dataCentre, `upstream/${upstream.id}`) === membership.getSelf();
    }

    private async countWhile<T>(task: Promise<T>): Promise<T> {
        this.inProgress++;
        try {
            return await task;
        }
        finally {
            this.inProgress--;
        }
    }
}
