import * as timers from "node:timers/promises";
import * as hdr from "hdr-histogram-js";
import * as callers from "./demo/callers.js";
import * as demoFleet from "./demo/fleet.js";
import * as notes from "./demo/notes.js";
import * as reports from "./demo/report.js";
import * as scenario from "./demo/scenario.js";

/**
 * Measures online latency and batch throughput before, during and after the rollout of a new version, on the demo's fleet
 * of separate processes. Online requests are sent at a fixed rate, whether or not earlier ones have completed.
 */

const RequestIntervalMilliseconds = 50;
const AnswerTokens = 20;
/** Much longer than the checkpoint interval of 5 s, because finished items are counted only at checkpoints. */
const SteadyPhaseMilliseconds = 25_000;
const BatchItems = 6_000;

interface Phase {
    readonly name: string;
    readonly firstChunk: hdr.Histogram;
    requests: number;
    incomplete: number;
    readonly startedAt: number;
    readonly itemsAtStart: number;
}

void main().then(code => (process.exitCode = code));

async function main(): Promise<number> {
    await using fleet = await demoFleet.startFleet(undefined);
    const report = new reports.Report();
    await scenario.publishNote(fleet, report, notes.createFirstNote(fleet), 0);
    const urls = fleet.instances.map(instance => instance.description.callerUrl);
    const url = urls[0] ?? "";
    const file = await callers.uploadFile(url, scenario.createItems(BatchItems, 0));
    const batch = await callers.submitBatch(url, file, "measured");
    const countItems = async (): Promise<number> => (await callers.readBatch(url, batch.id)).request_counts.completed;
    await timers.setTimeout(SteadyPhaseMilliseconds);
    const load = new OnlineLoad(urls);
    const rows: string[] = [];
    rows.push(await load.measure("before", countItems, () => timers.setTimeout(SteadyPhaseMilliseconds)));
    rows.push(
        await load.measure("during", countItems, () =>
            scenario.publishNote(fleet, report, notes.createSecondNote(), 1),
        ),
    );
    rows.push(await load.measure("after", countItems, () => timers.setTimeout(SteadyPhaseMilliseconds)));
    await load.stop();
    console.log("| phase | seconds | online requests | not whole | first token p50 / p99 ms | batch items/s |");
    console.log("| --- | --- | --- | --- | --- | --- |");
    rows.forEach(row => console.log(row));
    return report.isEveryGuaranteeHeld() ? 0 : 1;
}

/** Sends streaming requests at a fixed rate to the instances in turn. */
class OnlineLoad {
    private phase: Phase | undefined;
    private readonly stopper = new AbortController();
    private readonly running = new Set<Promise<void>>();
    private readonly task: Promise<void>;

    constructor(private readonly urls: readonly string[]) {
        this.task = this.run();
    }

    /** Counts the requests that start while `action` runs, and returns a row of the table. */
    async measure(name: string, countItems: () => Promise<number>, action: () => Promise<unknown>): Promise<string> {
        const firstChunk = hdr.build({ highestTrackableValue: 120_000, numberOfSignificantValueDigits: 3 });
        const startedAt = performance.now();
        const phase: Phase = {
            name,
            firstChunk,
            requests: 0,
            incomplete: 0,
            startedAt,
            itemsAtStart: await countItems(),
        };
        this.phase = phase;
        await action();
        this.phase = undefined;
        const seconds = (performance.now() - startedAt) / 1_000;
        const items = ((await countItems()) - phase.itemsAtStart) / seconds;
        await Promise.all(this.running);
        const [median, tail] = [50, 99].map(percentile => firstChunk.getValueAtPercentile(percentile));
        const counts = `${phase.requests} | ${phase.incomplete} | ${median} / ${tail}`;
        return `| ${name} | ${seconds.toFixed(1)} | ${counts} | ${items.toFixed(1)} |`;
    }

    async stop(): Promise<void> {
        this.stopper.abort();
        await this.task;
    }

    private async run(): Promise<void> {
        for (let turn = 0; !this.stopper.signal.aborted; turn++) {
            const request = this.request(this.urls[turn % this.urls.length] ?? "", turn);
            this.running.add(request);
            void request.finally(() => this.running.delete(request));
            await timers.setTimeout(RequestIntervalMilliseconds);
        }
        await Promise.all(this.running);
    }

    private async request(url: string, turn: number): Promise<void> {
        const { phase } = this;
        const startedAt = performance.now();
        const onChunk = (count: number): void => {
            if (count === 1) {
                phase?.firstChunk.recordValue(Math.round(performance.now() - startedAt));
            }
        };
        const answer = await callers
            .streamCompletion(url, `A place for family ${turn}?`, AnswerTokens, onChunk)
            .catch(() => undefined);
        if (phase !== undefined) {
            phase.requests++;
            phase.incomplete += answer?.isComplete === true ? 0 : 1;
        }
    }
}
