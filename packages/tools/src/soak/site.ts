import * as fileSystem from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import * as timers from "node:timers/promises";
import * as core from "@boragedale/core";
import * as standins from "@boragedale/platform-standins";
import * as gatewayProcess from "./gatewayProcess.js";
import * as plan from "./plan.js";

/** Ample, so that no request is refused for lack of a slot. */
const Slots = 100;
const StreamTimeoutMilliseconds = 14_000;
/** Gateways may not know an entry that was written less than this time ago. */
const KnownAfterMilliseconds = 500;
const SlowStoreMilliseconds = 400;

interface RunningUpstream {
    readonly bornMilliseconds: number;
    readonly planned: plan.PlannedUpstream;
    readonly server: standins.UpstreamServer;
    /** Undefined while its entry doesn't list it as ready. */
    readySince: number | undefined;
    isClosed: boolean;
}

/** The gateways, upstreams and store of one run. */
export class Site {
    readonly gateways: gatewayProcess.GatewayProcess[] = [];
    private readonly upstreams = new Map<string, RunningUpstream>();
    /** One per gateway, over the same metadata. */
    private readonly stores: standins.StoreServer[] = [];

    private constructor(private readonly stack: core.DisposalStack) {}

    static async start(
        planned: plan.SoakPlan,
        logFolder: string | undefined,
        stack: core.DisposalStack,
    ): Promise<Site> {
        const folder = fileSystem.mkdtempSync(path.join(os.tmpdir(), "boragedale-soak-"));
        stack.defer(() => fileSystem.rmSync(folder, { recursive: true }));
        const site = new Site(stack);
        for (let index = 0; index < planned.gatewayCount; index++) {
            const metadata = site.stores[0]?.metadata;
            site.stores.push(stack.use(await standins.startStoreServer(new UnreferencedClock(), metadata)));
        }
        standins.writeConfiguration(site.metadata, {
            version: 1,
            streamTimeoutMilliseconds: StreamTimeoutMilliseconds,
            engineSlots: Slots,
        });
        await Promise.all(planned.upstreams.map(upstream => site.addUpstream(upstream)));
        const created = site.stores.map(({ address }, index) =>
            gatewayProcess.GatewayProcess.create({
                name: `gateway-${index}`,
                storeAddress: address,
                folder,
                logFolder,
            }),
        );
        for (const gateway of created) {
            site.gateways.push(stack.use(await gateway));
        }
        return site;
    }

    /** Whether an upstream of this version has been listed as ready for long enough to be known, and runs. */
    hasReadyUpstream(softwareVersion: string): boolean {
        const now = performance.now();
        return [...this.upstreams.values()].some(
            ({ planned, readySince, isClosed }) =>
                planned.softwareVersion === softwareVersion &&
                !isClosed &&
                readySince !== undefined &&
                now - readySince >= KnownAfterMilliseconds,
        );
    }

    /** Carries out a step. Its later parts follow by themselves. */
    async carryOut(step: plan.PlannedStep): Promise<void> {
        switch (step.kind) {
            case plan.StepKind.UpstreamComes:
                await this.addUpstream(step.upstream);
                break;
            case plan.StepKind.UpstreamGoes:
                await this.removeUpstream(step.id, step);
                break;
            case plan.StepKind.UpstreamRestarts:
                await this.restartUpstream(step.upstream, step.downMilliseconds, step.listedAfter);
                break;
            case plan.StepKind.EntryExpires:
                await this.expireEntry(step.id, step.milliseconds);
                break;
            case plan.StepKind.KillGateway:
                this.gateways[step.gateway]?.kill(step.downMilliseconds);
                break;
            case plan.StepKind.StopGateway:
                this.gateways[step.gateway]?.stop(step.downMilliseconds);
                break;
            case plan.StepKind.StoreFault:
                await Promise.all(
                    step.gateways.map(index =>
                        disturbStore(
                            core.Debug.checkDefined(this.stores[index], "one per gateway"),
                            step.fault,
                            step.milliseconds,
                        ),
                    ),
                );
                break;
        }
    }

    private get metadata(): standins.StoreServer["metadata"] {
        return core.Debug.checkDefined(this.stores[0], "there is a gateway").metadata;
    }

    private async addUpstream(planned: plan.PlannedUpstream): Promise<void> {
        this.list(await this.startUpstream(planned), "ready");
    }

    private async startUpstream(planned: plan.PlannedUpstream, port = 0): Promise<RunningUpstream> {
        const { id, softwareVersion, eventMilliseconds } = planned;
        // Gateways compare it with the times at which streams began.
        const bornMilliseconds = Date.now();
        const options = { id, softwareVersion, eventMilliseconds, events: 0, isEngine: true, bornMilliseconds, port };
        const server = await standins.startUpstreamServer(options);
        const upstream = { planned, bornMilliseconds, server, readySince: undefined, isClosed: false };
        this.upstreams.set(id, upstream);
        this.stack.defer(() => closeUpstream(upstream));
        return upstream;
    }

    private async restartUpstream(
        planned: plan.PlannedUpstream,
        downMilliseconds: number,
        listedAfter: number,
    ): Promise<void> {
        const previous = core.Debug.checkDefined(this.upstreams.get(planned.id), "only upstreams that came restart");
        await closeUpstream(previous);
        await timers.setTimeout(downMilliseconds);
        const port = Number(previous.server.address.split(":")[1]);
        const upstream = await this.startUpstream(planned, port);
        await after(listedAfter, () => this.list(upstream, "ready"));
    }

    private list(upstream: RunningUpstream, state: "ready" | "draining"): void {
        const { planned, server, bornMilliseconds } = upstream;
        upstream.readySince = state === "ready" ? performance.now() : undefined;
        const options = { softwareVersion: planned.softwareVersion, slots: Slots, bornMilliseconds };
        standins.writeUpstream(this.metadata, planned.id, "engines", server.address, state, options);
    }

    private unlist(upstream: RunningUpstream): void {
        upstream.readySince = undefined;
        standins.removeUpstream(this.metadata, upstream.planned.id);
    }

    private async removeUpstream(id: string, departure: plan.Departure): Promise<void> {
        const upstream = core.Debug.checkDefined(this.upstreams.get(id), "only upstreams that came go");
        if (departure.reportsDraining) {
            this.list(upstream, "draining");
        }
        upstream.readySince = undefined;
        this.upstreams.delete(id);
        await Promise.all([
            after(departure.entryRemovedAfter, () => this.unlist(upstream)),
            after(departure.closedAfter, () => closeUpstream(upstream)),
        ]);
    }

    private async expireEntry(id: string, milliseconds: number): Promise<void> {
        const upstream = this.upstreams.get(id);
        if (upstream === undefined) {
            return;
        }
        this.unlist(upstream);
        await timers.setTimeout(milliseconds);
        if (this.upstreams.get(id) === upstream) {
            this.list(upstream, "ready");
        }
    }
}

/** The leases of the store last longer than the run, and must not keep this process from ending. */
class UnreferencedClock extends core.SystemClock {
    override schedule(milliseconds: number, action: () => void): () => void {
        const timer = setTimeout(action, milliseconds).unref();
        return () => clearTimeout(timer);
    }
}

/** Waits only if there is something to wait for, so that parts of a step that belong together happen at once. */
async function after(milliseconds: number, action: () => Promise<void> | void): Promise<void> {
    if (milliseconds > 0) {
        await timers.setTimeout(milliseconds);
    }
    await action();
}

async function closeUpstream(upstream: RunningUpstream): Promise<void> {
    if (!upstream.isClosed) {
        upstream.isClosed = true;
        await upstream.server[Symbol.asyncDispose]();
    }
}

async function disturbStore(store: standins.StoreServer, fault: plan.StoreFault, milliseconds: number): Promise<void> {
    const { faults, delay } = store;
    switch (fault) {
        case plan.StoreFault.Slow:
            delay.milliseconds = SlowStoreMilliseconds;
            break;
        case plan.StoreFault.Refuses:
            faults.isDown = true;
            break;
        case plan.StoreFault.LosesReplies:
            faults.lostReplies = Infinity;
            break;
        case plan.StoreFault.Silent:
            faults.isSilent = true;
            break;
    }
    await timers.setTimeout(milliseconds);
    // Faults of the same kind that overlap end with the first of them.
    delay.milliseconds = 0;
    faults.lostReplies = 0;
    faults.isDown = false;
    faults.isSilent = false;
    store.resetConnections();
}
