import * as fileSystem from "node:fs";
import * as path from "node:path";
import * as util from "node:util";
import * as namedPlans from "./soak/namedPlans.js";
import type * as plan from "./soak/plan.js";
import * as randomPlan from "./soak/randomPlan.js";
import * as run from "./soak/run.js";

/**
 * Checks over real gateway processes that callers get the events of a stream in order and from one software version
 * while gateways are killed, upstreams are released and the store fails. Exits with 1 if a stream was joined from two
 * versions, missed or repeated an event, or ended as complete too early.
 */

const Usage =
    "usage: npm run soak -- [--from SEED] [--seeds COUNT] [--case NAME] [--logs FOLDER] [--stories]\n" +
    `cases: ${Object.values(namedPlans.Case).join(", ")}`;

await main();

async function main(): Promise<void> {
    const { values } = util.parseArgs({
        options: {
            from: { type: "string", default: "1" },
            seeds: { type: "string", default: "1" },
            case: { type: "string" },
            logs: { type: "string" },
            stories: { type: "boolean", default: false },
        },
    });
    const name = Object.values(namedPlans.Case).find(known => known === values.case);
    const named = name === undefined ? undefined : namedPlans.createNamedPlan(name);
    if (values.case !== undefined && named === undefined) {
        console.error(Usage);
        process.exitCode = 2;
        return;
    }
    const results: run.SoakResult[] = [];
    const first = Number(values.from);
    for (let seed = first; seed < first + Number(values.seeds); seed++) {
        const planned = named ?? randomPlan.createRandomPlan(seed);
        const logFolder = values.logs === undefined ? undefined : path.join(values.logs, `seed-${seed}`);
        if (logFolder !== undefined) {
            fileSystem.mkdirSync(logFolder, { recursive: true });
        }
        const result = await run.runPlan(planned, seed, logFolder);
        results.push(result);
        console.log(`seed ${seed}: ${formatResult(result)}`);
        if (Object.keys(result.violations).length > 0 || values.stories) {
            planned.steps.forEach(step => console.log(`    ${formatStep(step)}`));
            result.stories.forEach(story => console.log(`    ${story}`));
        }
    }
    const violated = results.filter(result => Object.keys(result.violations).length > 0).length;
    console.log(`total: ${formatResult(results.reduce(add))}`);
    console.log(`${violated} of ${results.length} runs with violations`);
    process.exitCode = violated > 0 ? 1 : 0;
}

function formatStep({ at, kind, ...rest }: plan.PlannedStep): string {
    return `${at} ${kind} ${JSON.stringify(rest)}`;
}

function formatResult(result: run.SoakResult): string {
    const { ends, batch } = result;
    const { continued, refusedThoughReady, lostThoughReady, violations, otherStatuses } = result;
    const counts = [
        `${result.streams} streams`,
        ...Object.entries(ends).map(([end, count]) => `${count} ${end}`),
        `${continued} continued`,
        `${refusedThoughReady} refusals and ${lostThoughReady} losses though the version was ready`,
        `items ${batch.complete} complete, ${batch.deadLetters} given up, ${batch.unfinished} unfinished`,
        ...Object.entries(otherStatuses).map(([status, count]) => `${count} with ${status}`),
    ];
    const kinds = Object.entries(violations).map(([kind, count]) => `${count} ${kind}`);
    return `${counts.join(", ")}; violations: ${kinds.length === 0 ? "none" : kinds.join(", ")}`;
}

function add(left: run.SoakResult, right: run.SoakResult): run.SoakResult {
    return {
        streams: left.streams + right.streams,
        ends: addCounts(left.ends, right.ends),
        continued: left.continued + right.continued,
        refusedThoughReady: left.refusedThoughReady + right.refusedThoughReady,
        lostThoughReady: left.lostThoughReady + right.lostThoughReady,
        otherStatuses: addCounts(left.otherStatuses, right.otherStatuses),
        batch: {
            complete: left.batch.complete + right.batch.complete,
            deadLetters: left.batch.deadLetters + right.batch.deadLetters,
            unfinished: left.batch.unfinished + right.batch.unfinished,
            violations: [...left.batch.violations, ...right.batch.violations],
        },
        violations: addCounts(left.violations, right.violations),
        stories: [],
    };
}

function addCounts<T extends Readonly<Record<string, number>>>(left: T, right: T): T {
    const keys = [...new Set([...Object.keys(left), ...Object.keys(right)])];
    return Object.fromEntries(keys.map(key => [key, (left[key] ?? 0) + (right[key] ?? 0)])) as T;
}
