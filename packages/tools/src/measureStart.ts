import * as fileSystem from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import * as core from "@boragedale/core";
import * as standins from "@boragedale/platform-standins";
import * as processes from "./demo/processes.js";

/**
 * Measures what the start of each role of the bundle costs: `npm run bundle && npm run measure:start`. Processor time from
 * the first instruction to the line that says that the process has started; a restarted instance is late by that much.
 */

const Program = "target/boragedale.mjs";
const Runs = 9;
/** The kernel counts processor time in hundredths of a second. */
const MillisecondsPerTick = 10;
/** Places of user and system time behind the program's name in the kernel's status line of a process. */
const UserTimeField = 11;
const SystemTimeField = 12;

await using stack = new core.DisposalStack();
const folder = fileSystem.mkdtempSync(path.join(os.tmpdir(), "boragedale-start-"));
stack.defer(() => fileSystem.rmSync(folder, { recursive: true }));
const store = stack.use(await standins.startStoreServer());
standins.writeConfiguration(store.metadata, { version: 1 });
const rows: Readonly<Record<string, string | number>>[] = [];
for (const role of ["gateway", "storage"]) {
    const times: number[] = [];
    for (let run = 0; run < Runs; run++) {
        times.push(await measureStart(role));
    }
    times.sort((left, right) => left - right);
    rows.push({ role, runs: Runs, "median ms": times[Runs >> 1] ?? 0, "most ms": times.at(-1) ?? 0 });
}
console.table(rows);

async function measureStart(role: string): Promise<number> {
    const file = path.join(folder, "settings.json");
    fileSystem.writeFileSync(file, JSON.stringify(createSettings()));
    const started = await processes.startProcess(role, Program, [role], { BORAGEDALE_SETTINGS: file });
    const milliseconds = readProcessorMilliseconds(started.child.pid ?? 0);
    await processes.stopProcess(started, "SIGKILL");
    return milliseconds;
}

function createSettings(): Readonly<Record<string, string | number>> {
    return {
        instance: "measured",
        dataCentre: "a",
        storeAddress: store.address,
        callerAddress: "127.0.0.1:0",
        readinessAddress: "127.0.0.1:0",
        peerAddress: "127.0.0.1:0",
        peerKey: "key of the measurement",
    };
}

function readProcessorMilliseconds(pid: number): number {
    const status = fileSystem.readFileSync(`/proc/${pid}/stat`, "latin1");
    const fields = status.slice(status.lastIndexOf(")") + 2).split(" ");
    return (Number(fields[UserTimeField]) + Number(fields[SystemTimeField])) * MillisecondsPerTick;
}
