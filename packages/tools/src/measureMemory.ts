import * as fileSystem from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import * as core from "@boragedale/core";
import * as standins from "@boragedale/standins";
import * as work from "@boragedale/work";
import * as diskKeyValueService from "./diskKeyValueService.js";
import * as measuredFleet from "./measuredFleet.js";

const Items = 380_000;
const ReportMilliseconds = 250;

/**
 * Peak resident memory of one process that takes in the largest job, runs it, and reads its results. The service's
 * values lie in a file; the items themselves cost nothing. Real clock.
 */
export async function measureMemory(lineBytes: number): Promise<void> {
    const folder = fileSystem.mkdtempSync(path.join(os.tmpdir(), "boragedale-"));
    try {
        using keyValue = new diskKeyValueService.DiskKeyValueService(path.join(folder, "values"));
        await measurePhases(keyValue, lineBytes);
    }
    finally {
        fileSystem.rmSync(folder, { recursive: true });
    }
}

async function measurePhases(keyValue: diskKeyValueService.DiskKeyValueService, lineBytes: number): Promise<void> {
    const clock = new core.SystemClock();
    const fleet = new measuredFleet.MeasuredFleet(1);
    const parts = { ...fleet.createParts("instance-0"), keyValue, clock };
    const store = work.createJobStore(parts);
    reportMemory("before", keyValue.writes);
    const file = getValue(await store.createFile("kandula", "in.jsonl", "batch", createInput(lineBytes)));
    reportMemory(`uploaded ${Math.round(file.bytes / 1e6)} MB`, keyValue.writes);
    const job = getValue(await store.submit(createSubmit(file.id)));
    reportMemory("submitted", keyValue.writes);
    const executor = new measuredFleet.TimedExecutor(clock, 512, 5, lineBytes);
    const runner = work.createJobRunner({ ...parts, peers: createPeers(), executor });
    while (getValue(await store.read("kandula", job.id)).state === work.JobState.Running) {
        await clock.sleep(ReportMilliseconds);
    }
    await runner[Symbol.asyncDispose]();
    reportMemory("all items run", keyValue.writes);
    let bytes = 0;
    for await (const part of getValue(await store.readContent("kandula", `${job.id}-output`))) {
        bytes += part.byteLength;
    }
    reportMemory(`read ${Math.round(bytes / 1e6)} MB of results`, keyValue.writes);
    console.log(`writes per item over the whole job: ${(keyValue.writes / Items).toFixed(5)}`);
}

async function* createInput(lineBytes: number): AsyncIterable<Uint8Array> {
    for (let index = 0; index < Items; index++) {
        const messages = [{ role: "user", content: measuredFleet.createText(index, lineBytes) }];
        const body = { model: "m", max_tokens: 256, messages };
        const line = { custom_id: `item-${index}`, method: "POST", url: "/v1/chat/completions", body };
        yield Buffer.from(JSON.stringify(line) + "\n");
    }
}

function createSubmit(inputFile: string): work.SubmitRequest {
    return {
        caller: "kandula",
        key: "largest",
        inputFile,
        endpoint: "/v1/chat/completions",
        generation: 1,
        deadlineMilliseconds: 86_400_000,
    };
}

function createPeers(): standins.MemoryPeerNetwork {
    return new standins.MemoryPeerHub().createNetwork("instance-0");
}

function reportMemory(phase: string, writes: number): void {
    const peak = Math.round(process.resourceUsage().maxRSS / 1_024);
    console.log(`${phase}: peak resident memory so far ${peak} MB, writes so far ${writes}`);
}

function getValue<T>(outcome: core.Outcome<T>): T {
    if (!outcome.ok) {
        throw new Error(outcome.refusal.text);
    }
    return outcome.value;
}
