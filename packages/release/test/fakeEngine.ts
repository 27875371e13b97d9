import * as core from "@boragedale/core";
import * as release from "@boragedale/release";
import * as upstreams from "@boragedale/upstreams";

export interface FakeEngineOptions {
    readonly clock: core.Clock;
    readonly checksFencing: boolean;
    readonly loadMilliseconds?: number;
}

/** A simulated model engine: it accepts orders, loads for a while and reports the models that it holds. */
export class FakeEngine {
    models: readonly upstreams.HeldModel[] = [];
    role = core.UpstreamRole.Mixed;
    isLoading = false;
    isDown = false;
    isLeaving = false;
    /** If true, loads begin and never end. */
    isWedged = false;
    /** Reason with which loads fail; undefined if they succeed. */
    failure: string | undefined;
    /** Age of the reports. */
    reportLagMilliseconds = 0;
    running = 0;
    readonly orders: upstreams.UpstreamOrder[] = [];
    /** Orders rejected because of an outdated fencing number. */
    readonly fenced: upstreams.UpstreamOrder[] = [];
    /** Called when an order takes a serving engine out of service. */
    onTakenDown: () => void = () => undefined;
    /** Called when a load begins. */
    onLoadStarted: () => void = () => undefined;
    private fencing = 0;
    private lastFailure: string | undefined;
    private stopLoad: () => void = () => undefined;
    private readonly reports: { readonly at: number; readonly state: upstreams.UpstreamState }[] = [];

    constructor(
        readonly id: core.UpstreamId,
        private readonly options: FakeEngineOptions,
    ) {
        this.publish();
    }

    getState(): upstreams.UpstreamState {
        return {
            models: this.models,
            role: this.role,
            fencing: this.options.checksFencing ? this.fencing : undefined,
            isLoading: this.isLoading,
            isLeaving: this.isLeaving,
            failure: this.lastFailure,
        };
    }

    /** Returns the newest report that is at least `reportLagMilliseconds` old. */
    getReport(): upstreams.UpstreamState {
        const visible = this.options.clock.now() - this.reportLagMilliseconds;
        return this.reports.findLast(report => report.at <= visible)?.state ?? this.getState();
    }

    serves(model: core.ModelId): boolean {
        return !this.isDown && release.isServingModel(this.getState(), model, core.RequestClass.Online);
    }

    handleOrder(order: upstreams.UpstreamOrder): upstreams.OrderOutcome {
        if (this.isDown) {
            return { kind: upstreams.OrderOutcomeKind.Failed, text: "down" };
        }
        if (this.options.checksFencing && order.fencing < this.fencing) {
            this.fenced.push(order);
            return { kind: upstreams.OrderOutcomeKind.Fenced, text: String(this.fencing) };
        }
        this.fencing = order.fencing;
        this.orders.push(order);
        this.stopLoad();
        this.lastFailure = undefined;
        this.role = order.role;
        if (release.needsLoad(this.models, order.models)) {
            this.startLoad(order);
        }
        else {
            this.finishLoad(order);
        }
        return { kind: upstreams.OrderOutcomeKind.Accepted, text: "" };
    }

    /** Reports from now on that the engine is leaving. */
    markLeaving(): void {
        this.isLeaving = true;
        this.publish();
    }

    /** Simulates a restart without models. */
    restartEmpty(): void {
        this.models = [];
        this.publish();
    }

    private startLoad(order: upstreams.UpstreamOrder): void {
        const wasServing = !this.isLoading && this.models.length > 0;
        this.isLoading = true;
        this.models = [];
        this.onLoadStarted();
        if (wasServing) {
            this.onTakenDown();
        }
        this.publish();
        if (!this.isWedged) {
            const milliseconds = this.options.loadMilliseconds ?? 8_000;
            this.stopLoad = this.options.clock.schedule(milliseconds, () => this.finishLoad(order));
        }
    }

    private finishLoad(order: upstreams.UpstreamOrder): void {
        this.isLoading = false;
        this.lastFailure = this.failure;
        if (this.failure === undefined) {
            this.models = order.models;
        }
        this.publish();
    }

    private publish(): void {
        this.reports.push({ at: this.options.clock.now(), state: this.getState() });
    }
}

/** The client of one instance for one engine. */
export class FakeEngineClient extends upstreams.EngineClient {
    constructor(
        private readonly engine: FakeEngine,
        private readonly clock: core.Clock,
        private readonly gate: () => Promise<void>,
        private readonly getOrderDelay: () => number,
    ) {
        super();
    }

    override async *run(): AsyncIterable<upstreams.EngineEvent> {
        throw new Error("a rollout runs no requests");
    }

    override async tryReadLoad(): Promise<upstreams.LoadReport | undefined> {
        await this.gate();
        return this.engine.isDown
            ? undefined
            : { running: this.engine.running, waiting: 0, cacheUsage: 0, ageMilliseconds: 0 };
    }

    override async tryReadState(): Promise<upstreams.UpstreamState | undefined> {
        await this.gate();
        return this.engine.isDown ? undefined : this.engine.getReport();
    }

    /** Delivers the order after the delay, even if its sender is paused or killed meanwhile. */
    override async order(order: upstreams.UpstreamOrder): Promise<upstreams.OrderOutcome> {
        const delay = this.getOrderDelay();
        if (delay > 0) {
            await this.clock.sleep(delay);
        }
        const outcome = this.engine.handleOrder(order);
        await this.gate();
        return outcome;
    }

    override async [Symbol.asyncDispose](): Promise<void> {
        // There is nothing to close.
    }
}
