import * as decisions from "@boragedale/decisions";
import * as gateway from "@boragedale/gateway";
import type * as simulation from "../simulation.js";
import type * as engineQueue from "./engineQueue.js";
import * as slotsFleet from "./slotsFleet.js";

const ItemEvents = 131;
/** Delays of the gateway's `ItemScheduler`. */
const DispatchDelayMilliseconds = 8;
const DispatchIntervalMilliseconds = 60;

/** A batch item of the scene. */
export interface BatchItem {
    readonly dueAt: number;
    events: number;
    finishedAt: number | undefined;
}

interface BatchRun {
    readonly upstream: string;
    readonly abort: () => void;
}

/** Counts of batch runs over all members. */
export interface BatchCounts {
    /** Runs started, including those that resume an item. */
    started: number;
    /** Runs that resume a preempted item. */
    resumed: number;
    preempted: number;
}

interface EstimatedItem {
    readonly item: BatchItem;
    readonly estimate: decisions.ItemEstimate;
}

/** Runs the batch items of one member as the gateway's `ItemScheduler` does, without a store and connections. */
export class BatchDriver {
    private readonly waiting = new Set<BatchItem>();
    private readonly running = new Map<BatchItem, BatchRun>();
    private readonly lengths = new decisions.ItemDurationEstimator();
    private isDispatchPending = false;

    constructor(
        private readonly time: simulation.Simulation,
        private readonly member: slotsFleet.Member,
        private readonly engines: ReadonlyMap<string, engineQueue.EngineQueue>,
        private readonly counts: BatchCounts,
    ) {
        member.slots.connect(
            upstream => this.yieldSlot(upstream),
            () => this.dispatch(),
            {
                tryGetSlack: upstream => {
                    const first = this.listRunning(upstream).sort(this.compareYielding)[0];
                    return first === undefined ? undefined : decisions.getReportedSlack(first.estimate);
                },
                tryGetMostUrgent: () => this.sort(this.waiting)[0]?.estimate,
            },
        );
        time.repeat(DispatchIntervalMilliseconds, () => this.dispatch());
    }

    add(items: readonly BatchItem[]): void {
        items.forEach(item => this.waiting.add(item));
        this.dispatch();
    }

    private dispatch(): void {
        if (this.isDispatchPending || this.waiting.size === 0) {
            return;
        }
        this.isDispatchPending = true;
        this.time.schedule(DispatchDelayMilliseconds, () => {
            this.isDispatchPending = false;
            this.startWaiting();
        });
    }

    private startWaiting(): void {
        const { slots, candidates } = this.member;
        const ownEngines = candidates.filter(candidate => slots.isOwnEngine(candidate.id));
        const followsDemand = slots.reserve.isActive();
        const blocked: EstimatedItem[] = [];
        for (const waiting of this.sort(this.waiting)) {
            const isBlocked = !followsDemand && blocked.length > 0;
            const upstream = isBlocked
                ? undefined
                : slots.slotTable.tryChooseBatch(
                      followsDemand
                          ? slots.reserve.filterStarts(slotsFleet.Service, ownEngines, waiting.estimate)
                          : ownEngines,
                      gateway.ReservedSlots,
                      ownEngines[0]?.dataCentre ?? "",
                      this.time.now(),
                  );
            if (upstream === undefined) {
                blocked.push(waiting);
            }
            else {
                this.run(waiting.item, upstream, false);
            }
        }
        if (blocked.length > 0) {
            const use = (upstream: string): boolean => {
                const item = this.sort(this.waiting)[0]?.item;
                if (item !== undefined) {
                    this.run(item, upstream, true);
                }
                return item !== undefined;
            };
            const estimates = blocked.map(({ estimate }) => estimate);
            slots.requestBatchSlots(slotsFleet.Service, blocked.length, use, estimates);
        }
        slots.servePeers();
    }

    private run(item: BatchItem, upstream: string, isCounted: boolean): void {
        const { slots } = this.member;
        const eventsBefore = item.events;
        const startedAt = this.time.now();
        this.counts.started++;
        this.counts.resumed += eventsBefore > 0 ? 1 : 0;
        this.waiting.delete(item);
        slots.take(upstream, true, isCounted);
        const onEvent = (): void => {
            item.events++;
        };
        const onEnd = (): void => {
            item.finishedAt = this.time.now();
            this.running.delete(item);
            this.lengths.record(item.events, item.events - eventsBefore, this.time.now() - startedAt);
            slots.release(upstream, true);
        };
        const abort = this.engines.get(upstream)?.addRequest({ events: ItemEvents - item.events, onEvent, onEnd });
        this.running.set(item, { upstream, abort: abort ?? ((): void => undefined) });
    }

    /** Preempts the least urgent item on the upstream. */
    private yieldSlot(upstream: string): void {
        const here = this.listRunning(upstream);
        const bySlack = this.member.slots.reserve.isActive();
        const item = (bySlack ? here.sort(this.compareYielding)[0] : here.at(-1))?.item;
        const run = item === undefined ? undefined : this.running.get(item);
        if (item === undefined || run === undefined) {
            return;
        }
        this.counts.preempted++;
        this.running.delete(item);
        this.waiting.add(item);
        run.abort();
        this.member.slots.release(upstream, true);
    }

    private readonly compareYielding = (left: EstimatedItem, right: EstimatedItem): number =>
        decisions.compareYielding(left.estimate, right.estimate);

    /** The running items on the upstream, most urgent first. */
    private listRunning(upstream: string): EstimatedItem[] {
        return this.sort([...this.running].filter(([, run]) => run.upstream === upstream).map(([item]) => item));
    }

    private sort(items: Iterable<BatchItem>): EstimatedItem[] {
        const now = this.time.now();
        return [...items]
            .map(item => ({
                item,
                estimate: {
                    dueInMilliseconds: item.dueAt - now,
                    remainingMilliseconds: this.lengths.estimate(item.events),
                    eventsSoFar: item.events,
                },
            }))
            .sort((left, right) => decisions.compareItems(left.estimate, right.estimate));
    }
}
