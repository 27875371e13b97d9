import * as crypto from "node:crypto";
import type * as core from "@boragedale/core";
import * as decisions from "@boragedale/decisions";
import * as protocol from "@boragedale/protocol";
import type * as telemetry from "@boragedale/telemetry";
import type * as upstreams from "@boragedale/upstreams";
import type * as work from "@boragedale/work";
import * as admissionController from "./admissionController.js";
import * as attempts from "./attempts.js";
import * as batchCoordinator from "./batchLanes.js";
import * as callSender from "./callSender.js";
import * as completionRunner from "./completionRunner.js";
import * as engineChooser from "./engineChooser.js";
import * as engineTable from "./engineTable.js";
import * as pressureNotifier from "./pressureNotifier.js";
import * as requestProfile from "./requestProfile.js";
import * as serverLimits from "./serverLimits.js";
import * as serviceCaller from "./serviceCaller.js";
import * as suspectWatch from "./suspectWatch.js";
import * as types from "./types.js";
import * as directory from "./upstreamDirectory.js";
import * as upstreamPoller from "./upstreamPoller.js";

export interface FleetDispatcherOptions extends directory.UpstreamDirectoryOptions {
    readonly clock: core.Clock;
    readonly telemetry: telemetry.Telemetry;
    readonly ledger: work.CallLedger;
    readonly membership: protocol.Membership;
    readonly peers: protocol.PeerNetwork;
    /** Returns a number from 0 up to 1. Defaults to `Math.random`; tests pass a deterministic one. */
    readonly random?: () => number;
}

/** Initial estimate of the time per token, used until tokens have been measured. */
const ExpectedMillisecondsPerToken = 5;
/** Initial estimate of the time per call of a plain service, used until calls have been measured. */
const ExpectedMillisecondsPerCall = 20;

/** Dispatches all requests of one instance to the fleet's upstreams. */
export class FleetDispatcher extends types.Dispatcher {
    private readonly directory: directory.UpstreamDirectory;
    private readonly table: engineTable.EngineTable;
    private readonly placement: decisions.Placement;
    private readonly batch: batchCoordinator.BatchCoordinator;
    private readonly pressure: pressureNotifier.PressureNotifier;
    private readonly completionAdmission: admissionController.AdmissionController;
    private readonly serviceAdmission: admissionController.AdmissionController;
    private readonly completions: completionRunner.CompletionRunner;
    private readonly services: serviceCaller.ServiceCaller;
    private readonly poller: upstreamPoller.UpstreamPoller;
    private readonly stopListening: () => void;
    private readonly attemptPrefix = crypto.randomBytes(6).toString("hex");
    private attemptCount = 0;
    private inProgress = 0;

    constructor(private readonly options: FleetDispatcherOptions) {
        super();
        const { clock, membership, peers } = options;
        const random = options.random ?? Math.random;
        this.directory = new directory.UpstreamDirectory(options);
        const shared = { clock, telemetry: options.telemetry, directory: this.directory };
        this.table = new engineTable.EngineTable({ directory: this.directory, membership });
        this.placement = new decisions.Placement({ random });
        this.batch = new batchCoordinator.BatchCoordinator({ ...shared, membership, table: this.table });
        this.pressure = new pressureNotifier.PressureNotifier({
            clock,
            read: upstream => this.placement.createPressure(membership.getSelf(), upstream, clock.now()),
            send: (upstream, pressure) => this.sendPressure(upstream, pressure),
        });
        this.completionAdmission = new admissionController.AdmissionController({
            clock,
            random,
            expectedMillisecondsPerCost: ExpectedMillisecondsPerToken,
            expectedCost: requestProfile.DefaultExpectedTokens,
        });
        this.serviceAdmission = new admissionController.AdmissionController({
            clock,
            random,
            expectedMillisecondsPerCost: ExpectedMillisecondsPerCall,
            expectedCost: 1,
        });
        this.completions = this.createCompletionRunner(shared);
        this.services = this.createServiceCaller(shared);
        this.poller = new upstreamPoller.UpstreamPoller({
            ...shared,
            table: this.table,
            placement: this.placement,
            batch: this.batch,
            membership,
            peers,
        });
        this.stopListening = options.notes.onNote(note => this.removeAbsent(note.fleet));
        peers.handle(protocol.MessageKind.OnlinePressure, (message, from) => this.onPressure(message, from));
        peers.handle(protocol.MessageKind.OnlineTotal, message => this.onTotal(message));
    }

    override async *complete(request: types.CompletionRequest, signal: AbortSignal): AsyncIterable<types.StreamEvent> {
        this.inProgress++;
        let end: types.EndEvent;
        try {
            end = yield* this.completions.run(request, signal);
        }
        finally {
            this.inProgress--;
        }
        yield end;
    }

    override async callService(
        call: types.ServiceCall,
        signal: AbortSignal,
    ): Promise<core.Outcome<upstreams.ServiceResponse>> {
        return this.countInProgress(this.services.call(call, signal));
    }

    override getFreeBatchSlots(): number {
        return this.batch.getFreeSlots();
    }

    override getInProgress(): number {
        return this.inProgress;
    }

    override async [Symbol.asyncDispose](): Promise<void> {
        this.stopListening();
        this.poller[Symbol.dispose]();
        this.pressure[Symbol.dispose]();
        this.batch[Symbol.dispose]();
        this.table[Symbol.dispose]();
        this.completionAdmission[Symbol.dispose]();
        this.serviceAdmission[Symbol.dispose]();
        await this.directory[Symbol.asyncDispose]();
    }

    private createCompletionRunner(shared: SharedParts): completionRunner.CompletionRunner {
        const { placement, table, batch } = this;
        const suspects = new suspectWatch.SuspectWatch({ ...shared, peers: this.options.peers });
        return new completionRunner.CompletionRunner({
            ...shared,
            suspects,
            chooser: new engineChooser.EngineChooser({ clock: shared.clock, placement, suspects, table, batch }),
            attempts: new attempts.Attempts({
                clock: shared.clock,
                placement,
                suspects,
                batch,
                pressure: this.pressure,
                createId: request => `${request.id}.${this.attemptPrefix}${(this.attemptCount++).toString(36)}`,
            }),
            admission: this.completionAdmission,
            retryBudget: new decisions.RetryBudget(),
        });
    }

    private createServiceCaller(shared: SharedParts): serviceCaller.ServiceCaller {
        const retryBudget = new decisions.RetryBudget();
        const limits = new serverLimits.ServerLimits(shared.clock);
        return new serviceCaller.ServiceCaller({
            ...shared,
            sender: new callSender.CallSender({ ...shared, limits, retryBudget }),
            ledger: this.options.ledger,
            admission: this.serviceAdmission,
            retryBudget,
            runInBackground: task => void this.countInProgress(task).catch(() => undefined),
        });
    }

    private sendPressure(upstream: core.UpstreamId, pressure: pressureNotifier.Pressure): void {
        const description = this.directory.tryGetFleet()?.upstreams.find(candidate => candidate.id === upstream);
        const coordinator = description === undefined ? undefined : this.table.tryGetCoordinator(description);
        const { membership, peers } = this.options;
        if (coordinator === undefined) {
            return;
        }
        if (coordinator === membership.getSelf()) {
            const total = this.batch.onPressure(upstream, { ...pressure, instance: coordinator });
            const gap = this.batch.tryGetFastestGap(upstream);
            this.placement.onOnlineTotal(upstream, total ?? pressure.inFlight, this.options.clock.now(), gap);
            return;
        }
        const { inFlight, queued, fastestGap } = pressure;
        const kind = protocol.MessageKind.OnlinePressure as const;
        const message: protocol.OnlinePressure = { kind, upstream, inFlight, queued, fastestGap };
        peers.notify(coordinator, message, protocol.Lane.Control);
    }

    private async onPressure(message: protocol.OnlinePressure, from: core.InstanceId): Promise<undefined> {
        const { upstream, inFlight, queued, fastestGap } = message;
        const total = this.batch.onPressure(upstream, { instance: from, inFlight, queued, fastestGap });
        const isLeaving = this.table.isLeaving(upstream);
        if (total !== undefined || isLeaving) {
            const reply = {
                kind: protocol.MessageKind.OnlineTotal as const,
                upstream,
                inFlight: total ?? 0,
                isLeaving,
                fastestGap: this.batch.tryGetFastestGap(upstream),
            };
            this.options.peers.notify(from, reply, protocol.Lane.Control);
        }
        return undefined;
    }

    private async onTotal(message: protocol.OnlineTotal): Promise<undefined> {
        const now = this.options.clock.now();
        this.table.setLeaving(message.upstream, message.isLeaving, now + upstreamPoller.LeavingExpiryMilliseconds);
        if (!message.isLeaving) {
            this.placement.onOnlineTotal(message.upstream, message.inFlight, now, message.fastestGap);
        }
        return undefined;
    }

    private removeAbsent(fleet: core.FleetDescription): void {
        this.placement.retain(new Set(fleet.upstreams.map(upstream => upstream.id)));
    }

    private async countInProgress<T>(task: Promise<T>): Promise<T> {
        this.inProgress++;
        try {
            return await task;
        }
        finally {
            this.inProgress--;
        }
    }
}

/** Dependencies that the parts of the dispatcher share. */
interface SharedParts {
    readonly clock: core.Clock;
    readonly telemetry: telemetry.Telemetry;
    readonly directory: directory.UpstreamDirectory;
}
