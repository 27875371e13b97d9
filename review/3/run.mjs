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
/** Below the longest time for which the site's store turns machines away, 9 s; here one of three, a share below 0.35. */
const TurnedAwayMilliseconds = 8_900;
/** The servers differ in speed. */
const EventCount = 39;
const SlowEventMilliseconds = 400;
const FastEventMilliseconds = 100;
const Slots = 24;
const SubmissionCount = 20;
const ReadSpanMilliseconds = 24_000;
/** Prefix that a gateway lists every five seconds to look for submissions without an owner. */
const ScanQuery = "Prefix=boragedale%2Fhead%2F";
/** From such a scan to the start of the disruption, so that its end comes right after a later scan. */
const AfterScanMilliseconds = 1_300;

const { record, lines } = createRecord();
const store = new Store(record);
const deployment = new Deployment(record, "");
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
    for (const gateway of gateways) {
        gateway.door = await store.open();
        gateway.storeAddress = gateway.door.address;
        deployment.start(gateway);
    }
    for (const gateway of gateways) {
        if (!(await deployment.waitUntilReady(gateway))) {
            return 2;
        }
    }
    const [turnedAway] = gateways;
    await sleep(4_000);
    await waitForScan(turnedAway.door);
    await sleep(AfterScanMilliseconds - 600);
    const reads = [];
    const readers = [];
    for (let index = 0; index < SubmissionCount; index++) {
        const id = `submission-${index}`;
        if ((await submit(record, turnedAway, id, EventCount)) !== 202) {
            return 2;
        }
        readers.push(readAtAll(record, gateways, id, reads, ReadSpanMilliseconds));
    }
    await sleep(300);
    if (HasTrouble) {
        store.turnAway(turnedAway.door);
    }
    const begunAt = Date.now();
    record(`store: ${HasTrouble ? `turns ${turnedAway.name} away` : "is sound"}`);
    await sleep(TurnedAwayMilliseconds);
    turnedAway.door.isTurnedAway = false;
    const endedAt = Date.now();
    record(`store: serves ${turnedAway.name} again, which is in touch ${ContactMs} ms later`);
    await Promise.all(readers);
    // The store is stable, and the gateway has a path to it, when nothing has been disturbed for ContactMs.
    const isInTouch = (gateway, from, to) => to < begunAt || from > endedAt + ContactMs;
    return isLostBroken(record, reads, SettleMs, isInTouch) ? 1 : 0;
}

async function waitForScan(door) {
    await new Promise(resolve => {
        store.onCall = (caller, url) => {
            if (caller === door && url.includes(ScanQuery)) {
                resolve();
            }
        };
    });
    record("the gateway scans the submissions");
    store.onCall = (caller, url) => {
        if (caller === door && url.includes(ScanQuery)) {
            record(`the gateway scans the submissions${door.isTurnedAway ? ", and is turned away" : ""}`);
        }
    };
}
