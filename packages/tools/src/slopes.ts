import * as fileSystem from "node:fs";
import * as os from "node:os";
import * as decisionSlopes from "./slopes/decisionSlopes.js";
import * as faceSlopes from "./slopes/faceSlopes.js";
import * as linkSlopes from "./slopes/linkSlopes.js";
import * as noteSlopes from "./slopes/noteSlopes.js";
import * as page from "./slopes/page.js";
import * as rolloutSlopes from "./slopes/rolloutSlopes.js";
import * as table from "./slopes/table.js";
import * as workSlopes from "./slopes/workSlopes.js";

/**
 * Measures the slopes of `docs/CAPACITY.md` on this machine and writes its tables: `npm run slopes`, or
 * `npm run slopes -- NAME …` for some of them. The measurements run one at a time, because they would otherwise compete
 * for the processor.
 */

const PagePath = "docs/CAPACITY.md";

const Measurements: Readonly<Record<string, () => table.SlopeTable | Promise<table.SlopeTable>>> = {
    placement: decisionSlopes.measurePlacement,
    admission: decisionSlopes.measureAdmission,
    gate: decisionSlopes.measureGate,
    note: noteSlopes.measureNote,
    timeline: noteSlopes.measureTimeLine,
    client: linkSlopes.measureClient,
    rollout: rolloutSlopes.measureRollout,
    pressure: linkSlopes.measurePressure,
    links: linkSlopes.measureLinks,
    ledger: workSlopes.measureLedger,
    jobs: workSlopes.measureJobs,
    face: faceSlopes.measureFace,
};

await main(process.argv.slice(2));

async function main(requestedNames: readonly string[]): Promise<void> {
    const names = requestedNames.length > 0 ? requestedNames : Object.keys(Measurements);
    writeTable("machine", describeMachine());
    for (const name of names) {
        const measure = Measurements[name];
        if (measure === undefined) {
            throw new Error(`There is no measurement ${name}; there are ${Object.keys(Measurements).join(", ")}.`);
        }
        const startedAt = performance.now();
        const measuredTable = await measure();
        console.log(`\n${name}, ${((performance.now() - startedAt) / 1_000).toFixed(1)} s`);
        writeTable(name, table.formatTable(measuredTable));
    }
}

function writeTable(name: string, text: string): void {
    console.log(text);
    fileSystem.writeFileSync(PagePath, page.replaceTable(fileSystem.readFileSync(PagePath, "utf8"), name, text));
}

/** Describes the machine and its load, because other processes that run at the same time make the results worse. */
function describeMachine(): string {
    const processor = os.cpus()[0]?.model ?? "unknown processor";
    const load = os.loadavg()[0]?.toFixed(1);
    const date = new Date().toISOString().slice(0, 16);
    return `${processor}, ${os.cpus().length} cores, Node.js ${process.version}; ${date}Z, load average before the run ${load}.`;
}
