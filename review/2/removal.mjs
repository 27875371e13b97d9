import fileSystem from "node:fs";
import path from "node:path";
import { Deployment, createRecord, sleep } from "../lib/deployment.mjs";
import { Engine } from "../lib/engine.mjs";
import { Store } from "../lib/store.mjs";
import { createBatchConfig, readAtAll, submit } from "../lib/submissions.mjs";

/**
 * LOST, second part: see claim.txt. Two of three gateways are unlisted for good, and the third one, which has accepted submissions,
 * is removed for good. Exits with 1 if a submission is not run by the end of `FinishS`, 0 if all are, 2 if the part couldn't run.
 */

const HasTrouble = process.env.TROUBLE !== "0";
const LostMilliseconds = 4_300;
const LateMilliseconds = 2_000;
/** Bound of the site: `FinishS`. */
const FinishMilliseconds = 18_000;
const Slots = 24;
const EventCount = 39;
const SubmissionCount = 12;

const { record, lines } = createRecord();
const store = new Store(record);
const { address } = await store.open();
const deployment = new Deployment(record, address);
const engine = new Engine(record, {
    id: "i-1",
    service: "lm",
    slots: Slots,
    events: EventCount,
    eventMilliseconds: 60,
});
let code = 2;
try {
    code = await play();
}
catch (error) {
    record(`couldn't run: ${error.stack}`);
}
finally {
    await deployment.stop();
    engine.close();
    store.close();
}
fileSystem.appendFileSync(path.join(import.meta.dirname, "record.txt"), `\nSecond part\n\n${lines.join("\n")}\n`);
console.log(lines.slice(-3).join("\n"));
process.exit(code);

async function play() {
    store.put("op/config", createBatchConfig(Slots));
    await engine.listen(store);
    const gateways = await deployment.plan(["front-1", "front-2", "front-3"]);
    const [first, second, third] = gateways;
    const lost = new Set();
    let writes = 0;
    store.onWrite = (kind, { Puts = [] }) => {
        writes++;
        const listed = Puts.find(({ Key }) => Key.includes("/member/"))?.Key;
        if (!HasTrouble || kind !== "txn" || listed === undefined || lost.has(listed)) {
            return undefined;
        }
        lost.add(listed);
        return { lateMilliseconds: LateMilliseconds };
    };
    const isOver = sleep(LostMilliseconds).then(() => {
        store.onWrite = () => undefined;
        record(`store: lost the answers of ${lost.size} of ${writes} writes in ${LostMilliseconds} ms`);
    });
    record("store: loses answers from now on");
    for (const gateway of [first, second]) {
        deployment.start(gateway);
        await deployment.waitUntilReady(gateway);
    }
    await isOver;
    deployment.start(third);
    await deployment.waitUntilReady(third);
    await sleep(4_000);
    record(`members listed in the store: ${store.keys("boragedale/fleet/member/").join(" ")}`);
    for (let index = 0; index < SubmissionCount; index++) {
        if ((await submit(record, third, `submission-${index}`, EventCount)) !== 202) {
            return 2;
        }
    }
    third.child.kill("SIGKILL");
    record(`${third.name}: removed for good`);
    await third.ended;
    await sleep(FinishMilliseconds);
    record("FinishS is over");
    const reads = [];
    const ids = Array.from({ length: SubmissionCount }, (_, index) => `submission-${index}`);
    await Promise.all(ids.map(id => readAtAll(record, [first, second], id, reads, 1_000)));
    const listed = new Set(reads.filter(({ count }) => count > 0).map(({ id }) => id));
    record(`members listed in the store: ${store.keys("boragedale/fleet/member/").join(" ")}`);
    const lastRun = Math.max(...engine.runs.map(({ at }) => at));
    const isCalm = engine.running === 0 && Date.now() - lastRun > 5_000;
    record(`servers work on ${engine.running} items, the last run began ${Date.now() - lastRun} ms ago`);
    const missing = ids.filter(id => !listed.has(id));
    missing.forEach(id => record(`LOST broken: the item of ${id} is listed neither as complete nor as dead_letter`));
    record(`${missing.length} of ${SubmissionCount} accepted submissions are never run`);
    return missing.length > 0 && isCalm ? 1 : 0;
}
