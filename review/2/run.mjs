import fileSystem from "node:fs";
import path from "node:path";
import { Deployment, createRecord, sleep } from "../lib/deployment.mjs";
import { Engine } from "../lib/engine.mjs";
import { Store } from "../lib/store.mjs";
import { createBatchConfig, isLostBroken, readAtAll, submit } from "../lib/submissions.mjs";

/**
 * LOST: see claim.txt. Exits with 1 if a machine in touch had nothing at a position later than `SettleMs` after it was read, 0 if none
 * had, 2 if the case couldn't run.
 */

const HasTrouble = process.env.TROUBLE !== "0";
/** Bounds of the site. */
const ContactMs = 3_000;
const SettleMs = 1_000;
/** Within the largest dose of `platform_lost` on the site: 0.35 of the writes for 4.5 s; `late`: done 1 to 6 s later. */
const LostShare = 0.35;
const LostMilliseconds = 4_300;
const LateMilliseconds = 2_000;
/** The servers differ in speed. */
const EventCount = 39;
const SlowEventMilliseconds = 300;
const FastEventMilliseconds = 75;
const Slots = 24;
const SubmissionCount = 36;
const SubmissionPauseMilliseconds = 400;
const ReadSpanMilliseconds = 16_000;

const { record, lines } = createRecord();
const store = new Store(record);
const { address } = await store.open();
const deployment = new Deployment(record, address);
const engine = { service: "lm", slots: Slots, events: EventCount };
const engines = [
    new Engine(record, { ...engine, id: "i-slow", eventMilliseconds: SlowEventMilliseconds }),
    new Engine(record, { ...engine, id: "i-fast", eventMilliseconds: FastEventMilliseconds }),
];
let code = 2;
try {
    code = await play();
}
catch (error) {
    record(`couldn't run: ${error.stack}`);
}
finally {
    await deployment.stop();
    engines.forEach(each => each.close());
    store.close();
}
fileSystem.writeFileSync(path.join(import.meta.dirname, "record.txt"), lines.join("\n") + "\n");
console.log(lines.slice(-6).join("\n"));
process.exit(code);

async function play() {
    store.put("op/config", createBatchConfig(Slots));
    for (const each of engines) {
        await each.listen(store);
    }
    const gateways = await deployment.plan(["front-1", "front-2", "front-3"]);
    const last = gateways[2];
    for (const gateway of gateways.slice(0, 2)) {
        deployment.start(gateway);
    }
    for (const gateway of gateways.slice(0, 2)) {
        if (!(await deployment.waitUntilReady(gateway))) {
            return 2;
        }
    }
    await sleep(3_000);
    loseAnswers();
    const isOver = sleep(LostMilliseconds).then(stopLosing);
    deployment.start(last);
    if (!(await deployment.waitUntilReady(last))) {
        return 2;
    }
    await isOver;
    record(`members listed in the store: ${listMembers()}`);
    // All machines are in touch from here on: nothing is disturbed any more.
    await sleep(ContactMs + 500);
    record(`members listed in the store: ${listMembers()}`);
    const reads = [];
    const readers = [];
    for (let index = 0; index < SubmissionCount; index++) {
        const id = `submission-${index}`;
        const status = await submit(record, last, id, EventCount);
        if (status !== 202) {
            return 2;
        }
        readers.push(readAtAll(record, gateways, id, reads, ReadSpanMilliseconds));
        await sleep(SubmissionPauseMilliseconds);
    }
    await Promise.all(readers);
    record(`members listed in the store: ${listMembers()}`);
    return isLostBroken(record, reads, SettleMs, () => true) ? 1 : 0;
}

/** Loses the answer of one write: the one that lists the new gateway. It is done late. */
function loseAnswers() {
    let writes = 0;
    let lost = 0;
    store.onWrite = (kind, { Puts = [] }) => {
        writes++;
        const isListing = kind === "txn" && Puts.some(({ Key }) => Key.includes("/member/front-3"));
        if (HasTrouble && isListing && lost === 0) {
            lost++;
            return { lateMilliseconds: LateMilliseconds };
        }
        return undefined;
    };
    record(`store: ${HasTrouble ? "loses answers from now on" : "is sound"}`);
    store.describeLosses = () => ({ writes, lost });
}

function stopLosing() {
    const { writes, lost } = store.describeLosses();
    store.onWrite = () => undefined;
    record(`store: lost the answers of ${lost} of ${writes} writes, at most ${LostShare} of them are allowed`);
    if (lost > LostShare * writes) {
        throw new Error("more answers were lost than the site allows");
    }
}

function listMembers() {
    return store.keys("boragedale/fleet/member/").join(" ");
}
