import * as childProcess from "node:child_process";
import * as fileSystem from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import * as core from "@boragedale/core";
import * as standins from "@boragedale/standins";
import * as work from "@boragedale/work";
import * as diskKeyValueService from "./diskKeyValueService.js";
import * as measuredFleet from "./measuredFleet.js";

const ItemCount = 380_000;
const PollMilliseconds = 250;

enum Phase {
    Submit = "submit",
    Run = "run",
    Read = "read",
}

/**
 * Measures the peak resident memory of a process that submits the largest job, of one that runs it, and of one that
 * reads its results. The values of the key-value service are stored in a file. The phases run in real time, with 128
 * concurrent items of 40 ms each.
 */
export function measureMemory(lineBytes: number): void {
    const folder = fileSystem.mkdtempSync(path.join(os.tmpdir(), "boragedale-"));
    try {
        for (const phase of Object.values(Phase)) {
            const script = core.Debug.checkDefined(process.argv[1], "this script");
            const values = [script, "memory-phase", phase, folder, String(lineBytes)];
            childProcess.spawnSync(process.execPath, values, { stdio: "inherit" });
        }
    }
    finally {
        fileSystem.rmSync(folder, { recursive: true });
    }
}

/** Runs one phase and prints its peak memory. Each phase runs in a separate process. */
export async function measurePhase(phase: string, folder: string, lineBytes: number): Promise<void> {
    using keyValue = new diskKeyValueService.DiskKeyValueService(path.join(folder, "values"));
    const clock = new core.SystemClock();
    const parts = { ...new measuredFleet.MeasuredFleet(1).createParts("instance-0"), keyValue, clock };
    const store = work.createJobStore(parts);
    const before = getPeakMegabytes();
    switch (phase) {
        case Phase.Submit: {
            const file = getValue(await store.createFile("kandula", "in.jsonl", "batch", createInput(lineBytes)));
            console.log(`uploaded ${Math.round(file.bytes / 1e6)} MB at a peak of ${getPeakMegabytes()} MB`);
            getValue(await store.submit(createSubmitRequest(file.id)));
            break;
        }
        case Phase.Run: {
            const executor = new measuredFleet.TimedExecutor(clock, 128, 40, lineBytes);
            await using runner = work.createJobRunner({ ...parts, peers: createPeers(), executor });
            const isRunning = async (): Promise<boolean> => {
                const [job] = getValue(await store.list("kandula", undefined, 1));
                return runner !== undefined && job?.state === work.JobState.Running;
            };
            while (await isRunning()) {
                await clock.sleep(PollMilliseconds);
            }
            break;
        }
        case Phase.Read: {
            const [job] = getValue(await store.list("kandula", undefined, 1));
            let bytes = 0;
            for await (const part of getValue(await store.readContent("kandula", `${job?.id}-output`))) {
                bytes += part.byteLength;
            }
            console.log(`read ${Math.round(bytes / 1e6)} MB, ${job?.counts.succeeded} items`);
            break;
        }
    }
    const writes = `${keyValue.writes} writes so far (${(keyValue.writes / ItemCount).toFixed(5)} an item)`;
    console.log(`${phase}: peak resident memory ${before} MB before, ${getPeakMegabytes()} MB after; ${writes}`);
}

async function* createInput(lineBytes: number): AsyncIterable<Uint8Array> {
    for (let index = 0; index < ItemCount; index++) {
        const messages = [{ role: "user", content: measuredFleet.createText(index, lineBytes) }];
        const body = { model: "m", max_tokens: 256, messages };
        const line = { custom_id: `item-${index}`, method: "POST", url: "/v1/chat/completions", body };
        yield Buffer.from(JSON.stringify(line) + "\n");
    }
}

function createSubmitRequest(inputFile: string): work.SubmitRequest {
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

function getPeakMegabytes(): number {
    return Math.round(process.resourceUsage().maxRSS / 1_024);
}

function getValue<T>(outcome: core.Outcome<T>): T {
    if (!outcome.ok) {
        throw new Error(outcome.refusal.text);
    }
    return outcome.value;
}
