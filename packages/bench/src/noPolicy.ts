import * as core from "@boragedale/core";
import type * as engine from "./engine.js";
import * as fleets from "./fleet.js";
import type * as workload from "./workload.js";

/** Unfinished batch items on each upstream: more than its slots, so in effect unlimited, but bounded in memory. */
const BatchItemsPerUpstream = 128;
const RetryDelayMilliseconds = 100;
const MaximumAttempts = 3;

/** The baseline without decisions: random placement, first come first served, unlimited batch work. */
export class NoPolicyFleet extends fleets.Fleet {
    override start(): void {
        if (this.context.batchSources.length > 0) {
            for (const upstream of this.context.engines) {
                for (let count = 0; count < BatchItemsPerUpstream; count++) {
                    this.runBatch(upstream, this.nextItem());
                }
            }
        }
    }

    override receive(arrival: workload.OnlineArrival): void {
        this.context.measures.onOffered(core.RequestClass.Online, arrival.caller, arrival.outputTokens);
        this.sendOnline(arrival, 1);
    }

    override removeInstance(): void {
        // Instances make no decisions in this baseline, and the loss of their open requests isn't modelled.
    }

    private sendOnline(arrival: workload.OnlineArrival, attempt: number): void {
        const { simulation, measures, engines, random } = this.context;
        const upstream = engines[random.nextInteger(engines.length)]!;
        simulation.schedule(fleets.UpstreamDelayMilliseconds, () =>
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
                            simulation.now() + fleets.UpstreamDelayMilliseconds - arrival.at,
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
        if (attempt >= MaximumAttempts) {
            this.context.measures.onFailed(core.RequestClass.Online);
            this.resend(arrival);
            return;
        }
        this.context.simulation.schedule(RetryDelayMilliseconds, () => this.sendOnline(arrival, attempt + 1));
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
                onFailed: () => simulation.schedule(RetryDelayMilliseconds, () => this.runBatch(upstream, item)),
            },
        );
    }

    private nextItem(): workload.BatchItem {
        const { batchSources, random } = this.context;
        return batchSources[random.nextInteger(batchSources.length)]!.next();
    }
}
