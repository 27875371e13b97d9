import * as fileSystem from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import * as timers from "node:timers/promises";
import * as callers from "./callers.js";
import * as fleetModule from "./fleet.js";
import * as notes from "./notes.js";
import * as processes from "./processes.js";
import * as reports from "./report.js";

const BatchItems = 200;
const UnknownModelItems = 2;
const SettleTimeoutMilliseconds = 60_000;
const PollMilliseconds = 100;
/** The answer takes long enough for its instance to be drained while it streams. */
const LongAnswerTokens = 400;
const KilledInstance = 0;
const RemainingInstance = 1;
const DrainedInstance = 2;

/** Checks the guarantees of the system one after another on a running fleet. */
export async function runScenario(fleet: fleetModule.Fleet, report: reports.Report): Promise<void> {
    const urls = fleet.instances.map(instance => instance.description.callerUrl);
    const [first = "", second = "", third = ""] = urls;
    await publishNote(fleet, report, notes.createFirstNote(fleet), 0);
    await showOnline(first, report);
    await showBooking(fleet, first, second, report);
    const batch = await showSubmission(first, second, report);
    await showCancel(second, report);
    await showKill(fleet, second, batch, report);
    await publishNote(fleet, report, notes.createSecondNote(), 1);
    await showDrain(fleet, third, report);
    await showBatchResult(second, batch, report);
    const call = await callers.readCall(second, "booking-1");
    report.add("a booking stays readable after its instance is gone", call.state === "Finished", String(call.state));
}

/**
 * Publishes a release note with the command line and waits until `status` reports that it is in force and that every
 * upstream has reached the state that it asks for.
 */
export async function publishNote(
    fleet: fleetModule.Fleet,
    report: reports.Report,
    source: string,
    replaces: number,
): Promise<void> {
    const folder = fileSystem.mkdtempSync(path.join(os.tmpdir(), "boragedale-demo-"));
    const file = path.join(folder, "note.yaml");
    fileSystem.writeFileSync(file, source);
    const variables = getOperatorVariables(fleet);
    const published = await processes.runCommand(["publish", file, "--replaces", String(replaces)], variables);
    fileSystem.rmSync(folder, { recursive: true });
    const text = published.output.trim().split("\n").at(-1) ?? "";
    report.add(`release note ${replaces + 1} is published`, published.code === 0, text + published.errors.trim());
    const inForce = await waitUntilNoteIsActive(variables);
    report.add(`release note ${replaces + 1} is in force and every upstream is there`, inForce.isReached, inForce.text);
}

async function waitUntilNoteIsActive(
    variables: Readonly<Record<string, string>>,
): Promise<{ readonly isReached: boolean; readonly text: string }> {
    const end = performance.now() + SettleTimeoutMilliseconds;
    let last: processes.CommandResult | undefined;
    while (performance.now() < end) {
        last = await processes.runCommand(["status"], variables);
        if (last.code === 0) {
            return { isReached: true, text: last.output.split("\n")[0] ?? "" };
        }
        await timers.setTimeout(PollMilliseconds);
    }
    return {
        isReached: false,
        text: `status ends with ${String(last?.code)}:\n${last?.output ?? ""}${last?.errors ?? ""}`,
    };
}

async function showOnline(url: string, report: reports.Report): Promise<void> {
    const answer = await callers.streamCompletion(url, "Which day-centres have a place?", 20);
    const held = answer.status === 200 && answer.isComplete && answer.text.length > 0;
    report.add("an online request is answered whole, as a stream", held, `${answer.chunks} chunks`);
}

async function showBooking(
    fleet: fleetModule.Fleet,
    first: string,
    second: string,
    report: reports.Report,
): Promise<void> {
    const [left, right] = await Promise.all([
        callers.book(first, "booking-1", "Nimal"),
        callers.book(second, "booking-1", "Nimal"),
    ]);
    const runs = Object.values(await callers.readRunCounts(fleet.bookingUrl)).reduce((sum, count) => sum + count, 0);
    const held = runs === 1 && left.status === 200 && left.body === right.body;
    report.add("a booking sent twice at once with one key runs once", held, `${runs} run, same answer to both`);
    const again = await callers.book(second, "booking-1", "Another child");
    report.add("the same key with another body is refused", again.status === 422, `status ${again.status}`);
}

async function showSubmission(first: string, second: string, report: reports.Report): Promise<callers.Batch> {
    const file = await callers.uploadFile(first, createItems(BatchItems, UnknownModelItems));
    const batch = await callers.submitBatch(first, file, "notices");
    const again = await callers.submitBatch(second, file, "notices");
    report.add("a job submitted twice is one job", batch.id === again.id, batch.id);
    return batch;
}

async function showCancel(url: string, report: reports.Report): Promise<void> {
    const file = await callers.uploadFile(url, createItems(BatchItems, 0));
    const batch = await callers.submitBatch(url, file, "to-cancel");
    await callers.cancelBatch(url, batch.id);
    const before = await callers.readResults(url, `${batch.id}-output`);
    await timers.setTimeout(1_500);
    const after = await callers.readResults(url, `${batch.id}-output`);
    const state = (await callers.readBatch(url, batch.id)).status;
    const held = before.length === after.length && after.length < BatchItems && /cancel/.test(state);
    report.add("a cancelled job stops and records nothing more", held, `${state}, ${after.length} items done`);
}

/**
 * Kills an instance during the batch. It is removed from the instance list some time later, because the platform
 * also detects the death of an instance with a delay.
 */
async function showKill(
    fleet: fleetModule.Fleet,
    url: string,
    batch: callers.Batch,
    report: reports.Report,
): Promise<void> {
    const before = await waitForProgress(url, batch);
    const killed = fleet.instances[KilledInstance];
    if (killed === undefined) {
        return;
    }
    await processes.stopProcess(killed.process, "SIGKILL");
    await timers.setTimeout(1_000);
    await removeFromList(fleet, killed);
    const done = before.request_counts.completed + before.request_counts.failed;
    const held = done > 0 && done < BatchItems;
    report.add(
        `${killed.process.name} is killed in the middle of the batch`,
        held,
        `${done} of ${BatchItems} were done`,
    );
}

/**
 * Waits until the batch reports completed items. The counts are updated with the checkpoints of the instances that run
 * the batch, some seconds after the items end.
 */
async function waitForProgress(url: string, batch: callers.Batch): Promise<callers.Batch> {
    const end = performance.now() + SettleTimeoutMilliseconds;
    for (;;) {
        const state = await callers.readBatch(url, batch.id);
        if (state.request_counts.completed > 0 || performance.now() > end) {
            return state;
        }
        await timers.setTimeout(PollMilliseconds);
    }
}

async function showDrain(fleet: fleetModule.Fleet, url: string, report: reports.Report): Promise<void> {
    const drained = fleet.instances[DrainedInstance];
    if (drained === undefined) {
        return;
    }
    let markStarted: () => void = () => undefined;
    const startedStream = new Promise<void>(resolve => (markStarted = resolve));
    const answer = callers.streamCompletion(url, "Tell the story of the day-centre.", LongAnswerTokens, count => {
        if (count === 5) {
            markStarted();
        }
    });
    await startedStream;
    const ended = processes.stopProcess(drained.process, "SIGTERM");
    const seen = await answer;
    const code = await ended;
    await removeFromList(fleet, drained);
    const held = seen.isComplete && seen.chunks >= LongAnswerTokens && code === 0;
    report.add("a planned stop cuts off no stream", held, `${seen.chunks} chunks, whole; exit code ${code}`);
}

async function showBatchResult(url: string, batch: callers.Batch, report: reports.Report): Promise<void> {
    const end = performance.now() + SettleTimeoutMilliseconds;
    let state = await callers.readBatch(url, batch.id);
    while (state.status === "in_progress" && performance.now() < end) {
        const { completed, failed, total } = state.request_counts;
        reports.showProgress("batch", completed + failed, total);
        await timers.setTimeout(PollMilliseconds);
        state = await callers.readBatch(url, batch.id);
    }
    const succeeded = await callers.readResults(url, `${batch.id}-output`);
    const failed = await callers.readResults(url, `${batch.id}-errors`);
    const ids = new Set([...succeeded, ...failed].map(line => line.custom_id));
    const held =
        state.status === "completed" &&
        succeeded.length === BatchItems - UnknownModelItems &&
        failed.length === UnknownModelItems &&
        ids.size === BatchItems;
    const seen = `${state.status}: ${succeeded.length} done, ${failed.length} failed, ${ids.size} different items`;
    report.add("every item ends exactly once; the impossible ones fail alone", held, seen);
}

/** Creates the input lines of a job. `unknownModelCount` of them name a model that doesn't exist. */
export function createItems(count: number, unknownModelCount: number): string {
    const lines = Array.from({ length: count }, (unused, index) => {
        const hasUnknownModel = index >= 10 && index < 10 + unknownModelCount;
        return JSON.stringify({
            custom_id: `notice-${index}`,
            method: "POST",
            url: "/v1/chat/completions",
            body: {
                model: hasUnknownModel ? "no-such-model" : "kestrel",
                min_tokens: 60,
                max_tokens: 60,
                messages: [{ role: "user", content: `Draft the waitlist notice for family ${index}.` }],
            },
        });
    });
    return lines.join("\n") + "\n";
}

async function removeFromList(fleet: fleetModule.Fleet, instance: fleetModule.RunningInstance): Promise<void> {
    await fetch(`${fleet.instanceListUrl}/instances/${instance.process.name}`, { method: "DELETE" });
}

function getOperatorVariables(fleet: fleetModule.Fleet): Record<string, string> {
    const instance = fleet.instances[RemainingInstance];
    return fleetModule.getOperatorVariables(instance?.description.operatorUrl ?? "");
}
