import * as core from "@boragedale/core";
import type * as engine from "./engine.js";
import * as fleets from "./fleet.js";
import type * as workload from "./workload.js";

/** Batch items sent to each upstream and not finished, in relation to its places: "unlimited", but bounded in memory. */
const BatchInFlight = 128;
const RetryDelay = 100;
const MostAttempts = 3;

/** The baseline without decisions: random placement, first come first served, as much batch as there is. */
export class NoPolicyFleet extends fleets.Fleet {
    override start(): void {
        if (this.context.batchSources.length > 0) {
            for (const upstream of this.context.engines) {
                for (let count = 0; count < BatchInFlight; count++) {
                    this.runBatch(upstream, this.nextItem());
                }
            }
        }
    }

    override receive(arrival: workload.OnlineArrival): void {
        this.context.measures.onOffered(core.RequestClass.Online, arrival.caller, arrival.outputTokens);
        this.sendOnline(arrival, 1);
    }

    override loseInstance(): void {
        // Instances decide nothing here, so that losing one changes nothing but what it had open.
    }

    private sendOnline(arrival: workload.OnlineArrival, attempt: number): void {
        const { simulation, measures, engines, random } = this.context;
        const upstream = engines[random.below(engines.length)]!;
        simulation.schedule(fleets.UpstreamDelay, () =>
            upstream.submit(
                {
                    ...arrival,
                    id: `${arrival.id}/${arrival.resends}/${attempt}`,
                    requestClass: core.RequestClass.Online,
                    resumedTokens: 0,
                },
                {
                    onFirstToken: () =>
                        measures.onFirstToken(
                            core.RequestClass.Online,
                            simulation.now() + fleets.UpstreamDelay - arrival.at,
                        ),
                    onProgress: () => undefined,
                    onFinished: () =>
                        measures.onFinished(
                            core.RequestClass.Online,
                            arrival.caller,
                            arrival.outputTokens,
                            simulation.now() <= fleets.getDeadline(arrival),
                        ),
                    onFailed: () => this.retryOnline(arrival, attempt),
                },
            ),
        );
    }

    private retryOnline(arrival: workload.OnlineArrival, attempt: number): void {
        if (attempt >= MostAttempts) {
            this.context.measures.onFailed(core.RequestClass.Online);
            this.resend(arrival);
            return;
        }
        this.context.simulation.schedule(RetryDelay, () => this.sendOnline(arrival, attempt + 1));
    }

    private runBatch(upstream: engine.Engine, item: workload.BatchItem): void {
        const { simulation, measures } = this.context;
        upstream.submit(
            { ...item, requestClass: core.RequestClass.Batch, resumedTokens: 0, crashesEngine: false },
            {
                onFirstToken: () => undefined,
                onProgress: tokens => measures.onBatchTokens(item.caller, tokens),
                onFinished: () => {
                    measures.onFinished(core.RequestClass.Batch, item.caller, item.outputTokens, true);
                    this.runBatch(upstream, this.nextItem());
                },
                onFailed: () => simulation.schedule(RetryDelay, () => this.runBatch(upstream, item)),
            },
        );
    }

    private nextItem(): workload.BatchItem {
        const { batchSources, random } = this.context;
        return batchSources[random.below(batchSources.length)]!.next();
    }
}
