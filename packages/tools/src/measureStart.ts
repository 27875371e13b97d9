import * as fileSystem from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import * as core from "@boragedale/core";
import * as standins from "@boragedale/platform-standins";
import * as processes from "./demo/processes.js";

/**
 * Measures the cost of starting each role of the bundle: `npm run bundle && npm run measure:start`. The cost is the
 * processor time from the first instruction to the output line that announces that the process has started; a restart
 * takes at least that long. Runs of the bare runtime alternate with runs of the roles, because the speed of a shared
 * machine changes from minute to minute.
 */

const Program = "target/boragedale.mjs";
const Runs = 9;
/** The kernel counts processor time in hundredths of a second. */
const MillisecondsPerTick = 10;
/** Indexes of the user and system time among the fields that follow the process name in `/proc/PID/stat`. */
const UserTimeField = 11;
const SystemTimeField = 12;

await using stack = new core.DisposalStack();
const folder = fileSystem.mkdtempSync(path.join(os.tmpdir(), "boragedale-start-"));
stack.defer(() => fileSystem.rmSync(folder, { recursive: true }));
const store = stack.use(await standins.startStoreServer());
standins.writeConfiguration(store.metadata, { version: 1 });
const bareProgram = path.join(folder, "bare.mjs");
fileSystem.writeFileSync(bareProgram, 'console.log("{}"); setInterval(() => undefined, 1_000);');
const settings = path.join(folder, "settings.json");
fileSystem.writeFileSync(settings, JSON.stringify(createSettings()));
const programs = [
    { name: "bare runtime", file: path.relative(processes.RootFolder, bareProgram), flags: [] },
    { name: "gateway", file: Program, flags: ["gateway"] },
    { name: "storage", file: Program, flags: ["storage"] },
].map(program => ({ ...program, times: [] as number[] }));
for (let run = 0; run < Runs; run++) {
    for (const program of programs) {
        program.times.push(await measureStart(program.file, program.flags));
    }
}
console.table(
    programs.map(({ name, times }) => {
        times.sort((left, right) => left - right);
        return { program: name, runs: Runs, "median ms": times[Runs >> 1], "most ms": times.at(-1) };
    }),
);

async function measureStart(program: string, flags: readonly string[]): Promise<number> {
    const started = await processes.startProcess(program, program, flags, { BORAGEDALE_SETTINGS: settings });
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
