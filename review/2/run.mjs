import fileSystem from "node:fs";
import path from "node:path";
import { Deployment, createRecord, send, sleep } from "../lib/deployment.mjs";
import { Engine } from "../lib/engine.mjs";
import { Store } from "../lib/store.mjs";

/**
 * LOST: see claim.txt. Exits with 1 if a machine in touch had nothing at a position later than `SettleMs` after it was read, 0 if none
 * had, 2 if the case couldn't run.
 */

const HasTrouble = process.env.TROUBLE !== "0";
/** Bounds of the site. */
const ContactMs = 3_000;
const SettleMs = 1_000;
/** The largest dose of `platform_lost` on the site: 0.35 of the writes for 4.5 s; `late`: done 1 to 6 s later. */
const LostShare = 0.35;
const LostMilliseconds = 4_500;
const LateMilliseconds = 2_000;
/** The servers differ in speed. */
const EventCount = 39;
const SlowEventMilliseconds = 250;
const FastEventMilliseconds = 50;
const SubmissionCount = 24;
const SubmissionPauseMilliseconds = 500;
const ReadPauseMilliseconds = 500;
const ReadSpanMilliseconds = 16_000;

const { record, lines } = createRecord();
const store = new Store(record);
await store.listen();
const deployment = new Deployment(record, store.address);
const engine = { service: "lm", slots: 16, events: EventCount };
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
    const route = {
        Name: "batch",
        Host: "small.example",
        Prefix: "/batch/",
        Kind: "bulk",
        Service: "lm",
        TimeoutMs: 15_000,
    };
    store.put("op/config", {
        Version: 7,
        Routes: [
            {
                ...route,
                LatencyTargetMs: 500,
                Attempts: 3,
                Priority: 2,
                RunTargetMs: 18_000,
                KeepS: 60,
                Resumable: true,
            },
        ],
        Services: [{ Name: "lm", HealthPath: "/healthz", MaxConns: 200, Engine: { Slots: 16 } }],
        Limits: { MaxHeaderBytes: 16_384, MaxBodyBytes: 1_000_000, HeaderTimeoutMs: 3_000, IdleTimeoutMs: 15_000 },
    });
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
    deployment.start(last);
    if (!(await deployment.waitUntilReady(last))) {
        return 2;
    }
    await sleep(LostMilliseconds);
    stopLosing();
    record(`members listed in the store: ${listMembers()}`);
    // All machines are in touch from here on: nothing is disturbed any more.
    await sleep(ContactMs + 500);
    record(`members listed in the store: ${listMembers()}`);
    const reads = [];
    const readers = [];
    for (let index = 0; index < SubmissionCount; index++) {
        const id = `submission-${index}`;
        const status = await submit(last, id);
        if (status !== 202) {
            return 2;
        }
        readers.push(readAtAll(gateways, id, reads));
        await sleep(SubmissionPauseMilliseconds);
    }
    await Promise.all(readers);
    record(`members listed in the store: ${listMembers()}`);
    return judge(reads);
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

async function submit(gateway, id) {
    const headers = { "Boragedale-Model": "m", "Boragedale-Token-Count": `450,${EventCount}` };
    const item = { Id: `item-of-${id}`, Path: "/batch/3/x", Headers: headers, Body: "eA==", Tokens: 450 + EventCount };
    const answer = await send(gateway.caller, {
        method: "POST",
        target: "/batch/x",
        headers: { "Boragedale-Attempt-Id": id, "Content-Type": "application/json" },
        body: JSON.stringify({ Items: [item] }),
    });
    record(`client: submits ${id} at ${gateway.name}: ${answer.status}`);
    return answer.status;
}

/** Reads from position 0, about twice a second at each gateway, as the clients of one customer do at nodes in any zone. */
async function readAtAll(gateways, id, reads) {
    const until = Date.now() + ReadSpanMilliseconds;
    let isSeen = false;
    while (Date.now() < until) {
        for (const gateway of gateways) {
            const sentAt = Date.now();
            const answer = await send(gateway.caller, { method: "GET", target: `/boragedale/lots/${id}?After=0` });
            const results = answer.status === 200 ? JSON.parse(answer.text).Results : undefined;
            const read = { id, gateway: gateway.name, sentAt, answeredAt: Date.now(), status: answer.status };
            reads.push({ ...read, count: results?.length ?? 0 });
            if (results !== undefined && results.length > 0 && !isSeen) {
                isSeen = true;
                record(`client: reads position 0 of ${id} at ${gateway.name}: ${results[0].State}`);
            }
            if (answer.status !== 200) {
                record(`client: reads ${id} at ${gateway.name}: ${answer.status}`);
            }
        }
        await sleep(ReadPauseMilliseconds);
    }
}

function judge(reads) {
    const firstSeen = new Map();
    for (const { id, answeredAt, count } of reads) {
        if (count > 0) {
            firstSeen.set(id, Math.min(firstSeen.get(id) ?? Infinity, answeredAt));
        }
    }
    const isBroken = ({ id, sentAt, status, count }) => {
        const isLate = sentAt > (firstSeen.get(id) ?? Infinity) + SettleMs;
        return isLate && ((status === 200 && count === 0) || status === 404 || status === 410);
    };
    const broken = reads.filter(isBroken);
    for (const { id, gateway, sentAt, status } of broken) {
        record(
            `LOST broken: ${id} at ${gateway}, ${sentAt - firstSeen.get(id)} ms after position 0 was read: ${status}, nothing there`,
        );
    }
    record(
        `${firstSeen.size} of ${SubmissionCount} submissions were read, ${broken.length} of ${reads.length} reads had nothing`,
    );
    return broken.length > 0 ? 1 : 0;
}
