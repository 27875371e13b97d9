import type * as core from "@boragedale/core";
import type * as upstreams from "@boragedale/upstreams";

export interface EngineHoldingsOptions {
    readonly models: readonly upstreams.HeldModel[];
    readonly role: core.UpstreamRole;
    /** Whether an order with an outdated fencing number is rejected. */
    readonly checksFencing: boolean;
    /** Time to load one version, in milliseconds, excluding the download from the weight store. */
    readonly loadMilliseconds: number;
    /** Base URL of the weight store; without it, a load downloads nothing. */
    readonly weightStoreUrl?: string;
}

/** Response to an order. */
export interface OrderResponse {
    readonly accepted: boolean;
    /** Highest fencing number received so far. */
    readonly fencing: number;
}

/** The models that an engine has loaded, and the order in progress. A newer order replaces the one in progress. */
export class EngineHoldings {
    /** When not empty, each load fails with this error message. */
    loadFailure = "";
    private models: readonly upstreams.HeldModel[];
    private role: core.UpstreamRole;
    private fencing = 0;
    private failure: string | undefined;
    private loading: AbortController | undefined;

    constructor(
        private readonly clock: core.Clock,
        private readonly options: EngineHoldingsOptions,
    ) {
        this.models = options.models;
        this.role = options.role;
    }

    /** Whether requests for `name`, a model or an adapter, can be served. */
    holds(name: string): boolean {
        return this.models.some(held => held.model === name || held.adapters.some(adapter => adapter.id === name));
    }

    getState(): upstreams.UpstreamState {
        return {
            models: this.models,
            role: this.role,
            fencing: this.options.checksFencing ? this.fencing : undefined,
            isLoading: this.loading !== undefined,
            isLeaving: false,
            failure: this.failure,
        };
    }

    applyOrder(order: upstreams.UpstreamOrder): OrderResponse {
        if (this.options.checksFencing && order.fencing < this.fencing) {
            return { accepted: false, fencing: this.fencing };
        }
        this.fencing = Math.max(this.fencing, order.fencing);
        this.loading?.abort();
        this.role = order.role;
        this.failure = undefined;
        this.models = this.models.filter(held => order.models.some(wanted => isSameModel(wanted, held)));
        const missing = order.models.filter(wanted => !this.models.some(held => isSameModel(wanted, held)));
        if (missing.length === 0) {
            this.loading = undefined;
            return { accepted: true, fencing: this.fencing };
        }
        const controller = new AbortController();
        this.loading = controller;
        void this.load(missing, controller);
        return { accepted: true, fencing: this.fencing };
    }

    /** Restores the initial state, since a restarted engine keeps no orders. */
    reset(): void {
        this.loading?.abort();
        this.loading = undefined;
        this.models = this.options.models;
        this.role = this.options.role;
        this.fencing = 0;
        this.failure = undefined;
    }

    private async load(missing: readonly upstreams.HeldModel[], controller: AbortController): Promise<void> {
        for (const model of missing) {
            const failure = this.loadFailure || (await this.fetchWeights(model, controller.signal));
            if (failure === "") {
                await this.clock.sleep(this.options.loadMilliseconds, controller.signal);
            }
            if (controller.signal.aborted) {
                return;
            }
            if (failure !== "") {
                this.failure = failure;
                break;
            }
            this.models = [...this.models, model];
        }
        this.loading = undefined;
    }

    /**
     * Downloads the weights, retrying while the store rejects the download for its rate limit. Returns the error
     * message, or an empty string on success.
     */
    private async fetchWeights(model: upstreams.HeldModel, signal: AbortSignal): Promise<string> {
        if (this.options.weightStoreUrl === undefined) {
            return "";
        }
        const url = `${this.options.weightStoreUrl}/models/${model.model}/${model.version}`;
        for (;;) {
            const response = await fetch(url, { signal }).catch(() => undefined);
            if (signal.aborted) {
                return "replaced by a newer order";
            }
            if (response?.status === 429) {
                await response.body?.cancel();
                await this.clock.sleep(Number(response.headers.get("retry-after") ?? 1) * 1_000, signal);
                continue;
            }
            if (response === undefined || !response.ok) {
                return `the weight store answered ${response?.status ?? "nothing"} for ${model.model} ${model.version}`;
            }
            await response.arrayBuffer().catch(() => undefined);
            return "";
        }
    }
}

function isSameModel(left: upstreams.HeldModel, right: upstreams.HeldModel): boolean {
    return left.model === right.model && left.version === right.version && describe(left) === describe(right);
}

function describe(model: upstreams.HeldModel): string {
    return model.adapters
        .map(adapter => `${adapter.id}@${adapter.version}`)
        .sort()
        .join();
}
