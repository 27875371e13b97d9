import type * as core from "@boragedale/core";
import * as telemetry from "@boragedale/telemetry";
import * as claimPlan from "./claimPlan.js";
import type * as heldChunk from "./heldChunk.js";
import * as jobInput from "./jobInput.js";
import * as jobSelection from "./jobSelection.js";
import type * as services from "./services.js";
import * as types from "./types.js";

export interface ItemRunnerOptions {
    readonly executor: services.ItemExecutor;
    readonly clock: core.Clock;
    readonly telemetry: telemetry.Telemetry;
    readonly getItemAttempts: () => number;
    readonly getChunks: () => readonly heldChunk.HeldChunk[];
    /** No item is started after this is aborted. */
    readonly signal: AbortSignal;
}

const RateIntervalMilliseconds = 1_000;
const RateWeight = 0.3;

/** Runs the items of the held chunks, as many at a time as the executor has free slots. */
export class ItemRunner {
    private readonly selection = new jobSelection.JobSelection();
    private endedCount = 0;
    private itemsPerMillisecond = 0;
    private rateUpdatedAt: core.MonotonicMilliseconds;

    constructor(private readonly options: ItemRunnerOptions) {
        this.rateUpdatedAt = options.clock.now();
    }

    /** Returns the moving average of the rate at which items end on this instance. */
    getItemsPerMillisecond(): number {
        const passed = this.options.clock.now() - this.rateUpdatedAt;
        if (passed >= RateIntervalMilliseconds) {
            this.itemsPerMillisecond += RateWeight * (this.endedCount / passed - this.itemsPerMillisecond);
            this.endedCount = 0;
            this.rateUpdatedAt += passed;
        }
        return this.itemsPerMillisecond;
    }

    startItems(): void {
        const { executor, clock, getChunks, signal } = this.options;
        for (let freeSlots = executor.getFreeSlots(); freeSlots > 0 && !signal.aborted; freeSlots--) {
            if (!claimPlan.mayStartItems(getChunks())) {
                return;
            }
            const ready = getChunks().filter(chunk => chunk.hasReadyItem(clock.now()));
            const candidates = ready.map(chunk => ({ ...jobSelection.toCandidate(chunk.job), chunk }));
            const chosen = this.selection.choose(candidates, clock.wallNow());
            const waiting = chosen?.chunk.takeReadyItem(clock.now());
            if (chosen === undefined || waiting === undefined) {
                return;
            }
            void this.runItem(chosen.chunk, waiting);
        }
    }

    private async runItem(chunk: heldChunk.HeldChunk, waiting: heldChunk.WaitingItem): Promise<void> {
        const { clock, getItemAttempts, telemetry: events } = this.options;
        const index = chunk.range.firstItem + waiting.position;
        const item = jobInput.parseItem(waiting.line, index, chunk.job.endpoint);
        if (typeof item === "string") {
            // Lines were validated when the job was submitted, so the input was removed. Only the item fails.
            const placeholder = { index, customId: "", method: "", url: chunk.job.endpoint, body: undefined };
            chunk.endFailed(waiting.position, placeholder, { code: "input_missing", text: item });
            return;
        }
        const outcome = await this.execute(chunk, waiting.position, item);
        this.endedCount++;
        if (chunk.isDropped) {
            return;
        }
        const hasEnded = chunk.endAttempt(waiting, item, outcome, {
            now: clock.now(),
            attemptLimit: getItemAttempts(),
        });
        if (hasEnded && outcome.kind !== types.ItemOutcomeKind.Succeeded) {
            events.record(telemetry.events.ItemFailed, { job: chunk.job.id, text: `item ${index}` });
        }
        this.startItems();
    }

    private async execute(
        chunk: heldChunk.HeldChunk,
        position: number,
        item: types.JobItem,
    ): Promise<types.ItemOutcome> {
        const { id: job, caller, generation, deadlineAt } = chunk.job;
        const signal = chunk.startItem(position);
        try {
            return await this.options.executor.execute(item, { job, caller, generation, deadlineAt }, signal);
        }
        catch (error) {
            // A defect in executing one item must not stop the runner; the item ends at the attempt limit.
            this.options.telemetry.record(telemetry.events.InternalDefect, { job, text: String(error) });
            return { kind: types.ItemOutcomeKind.TryAgain, text: "a defect ended the attempt" };
        }
    }
}
