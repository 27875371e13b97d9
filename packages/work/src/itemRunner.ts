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
    /** No item is started once this is aborted. */
    readonly signal: AbortSignal;
}

const RateMilliseconds = 1_000;
const RateWeight = 0.3;

/** Runs the items of the held chunks, as many at once as the executor has room for. */
export class ItemRunner {
    private readonly turns = new jobSelection.JobSelection();
    private ended = 0;
    private rate = 0;
    private ratedAt: core.MonotonicMilliseconds;

    constructor(private readonly options: ItemRunnerOptions) {
        this.ratedAt = options.clock.now();
    }

    /** Items that ended here in a millisecond, as lately seen. */
    getRate(): number {
        const passed = this.options.clock.now() - this.ratedAt;
        if (passed >= RateMilliseconds) {
            this.rate += RateWeight * (this.ended / passed - this.rate);
            this.ended = 0;
            this.ratedAt += passed;
        }
        return this.rate;
    }

    startItems(): void {
        const { executor, clock, getChunks, signal } = this.options;
        for (let free = executor.getFreeSlots(); free > 0 && !signal.aborted; free--) {
            if (!claimPlan.hasRoomForResults(getChunks())) {
                return;
            }
            const ready = getChunks().filter(chunk => chunk.hasReadyItem(clock.now()));
            const candidates = ready.map(chunk => ({ ...jobSelection.toCandidate(chunk.job), chunk }));
            const chosen = this.turns.choose(candidates, clock.wallNow());
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
            // Checked when the job was submitted, so its input is gone: the item ends as failed, not the chunk.
            const unreadable = { index, customId: "", method: "", url: chunk.job.endpoint, body: undefined };
            chunk.endFailed(waiting.position, unreadable, { code: "input_missing", text: item });
            return;
        }
        const outcome = await this.execute(chunk, waiting.position, item);
        this.ended++;
        if (chunk.isDropped) {
            return;
        }
        const hasEnded = chunk.endAttempt(waiting, item, outcome, { now: clock.now(), limit: getItemAttempts() });
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
            // A defect in running one item must not end the runner; the attempt limit ends the item.
            this.options.telemetry.record(telemetry.events.InternalDefect, { job, text: String(error) });
            return { kind: types.ItemOutcomeKind.TryAgain, text: "a defect ended the attempt" };
        }
    }
}
