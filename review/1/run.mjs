import fileSystem from "node:fs";
import path from "node:path";
import { AppServer } from "../lib/appServer.mjs";
import { Deployment, createRecord, send, sleep } from "../lib/deployment.mjs";
import { Store } from "../lib/store.mjs";

/** TWICE: see claim.txt. Exits with 1 if a request that isn't idempotent ran more than once, 0 if none did, 2 if it couldn't run. */

const HasTrouble = process.env.TROUBLE !== "0";
/** The largest dose of `garble` on the site: a share of 0.6 of the servers spoil 0.03 of their answers. Here it is 1 of 2 servers. */
const GarbledShare = 0.03;
/** Below the longest time of one such `garble`, 5 s. It comes more than once. */
const SpanMilliseconds = 4_900;
const Spans = 4;
const PauseMilliseconds = 4_000;
const RequestsBetweenPeaks = 30;
/** Longest time for which all slots are held by other work at a peak. */
const PeakMilliseconds = 100;

const { record, lines } = createRecord();
const store = new Store(record);
const { address } = await store.open();
const deployment = new Deployment(record, address);
const service = { service: "app", slots: 6, workMilliseconds: 5, garbledShare: GarbledShare };
const servers = ["i-1", "i-2"].map(id => new AppServer(record, { id, ...service }));
let code = 2;
try {
    code = await play();
}
catch (error) {
    record(`couldn't run: ${error.stack}`);
}
finally {
    await deployment.stop();
    servers.forEach(server => server.close());
    store.close();
}
fileSystem.writeFileSync(path.join(import.meta.dirname, "record.txt"), lines.join("\n") + "\n");
console.log(lines.slice(-12).join("\n"));
process.exit(code);

async function play() {
    const route = { Name: "book", Host: "small.example", Prefix: "/book/", Kind: "unsafe", Service: "app" };
    store.put("op/config", {
        Version: 7,
        Routes: [{ ...route, TimeoutMs: 3_000, LatencyTargetMs: 500, Attempts: 1, Priority: 0 }],
        Services: [{ Name: "app", HealthPath: "/healthz", MaxConns: 200 }],
        Limits: { MaxHeaderBytes: 16_384, MaxBodyBytes: 1_000_000, HeaderTimeoutMs: 3_000, IdleTimeoutMs: 15_000 },
    });
    for (const server of servers) {
        await server.listen(store);
    }
    const gateways = await deployment.plan(["front-1", "front-2", "front-3"]);
    gateways.forEach(gateway => deployment.start(gateway));
    for (const gateway of gateways) {
        if (!(await deployment.waitUntilReady(gateway))) {
            return 2;
        }
    }
    await sleep(4_000);
    const answers = new Map();
    let count = 0;
    const request = async gateway => {
        const id = `request-${String(count++).padStart(4, "0")}`;
        const headers = { "Boragedale-Attempt-Id": id, "Boragedale-Timeout-Ms": "3000" };
        const answer = await send(gateway.caller, {
            method: "POST",
            target: "/book/seat",
            headers,
            body: `seat ${id}`,
        });
        answers.set(id, answer.status);
        record(`client: ${id} at ${gateway.name}: ${answer.status}`);
    };
    for (let span = 0; span < Spans; span++) {
        const until = Date.now() + SpanMilliseconds;
        const faulty = servers[span % servers.length];
        if (HasTrouble) {
            faulty.startGarbling();
            setTimeout(() => faulty.stopGarbling(), SpanMilliseconds);
        }
        while (Date.now() < until) {
            await playPeak(gateways, request);
        }
        await sleep(PauseMilliseconds);
    }
    await sleep(1_000);
    return judge(answers);
}

/** Requests one after the other at each gateway, then one request at each while the servers' slots are held by other work. */
async function playPeak(gateways, request) {
    await Promise.all(
        gateways.map(async gateway => {
            for (let index = 0; index < RequestsBetweenPeaks; index++) {
                await request(gateway);
            }
        }),
    );
    for (const gateway of gateways) {
        servers.forEach(server => server.holdSlots(PeakMilliseconds));
        await request(gateway);
        servers.forEach(server => server.holdSlots(0));
        await sleep(20);
    }
}

function judge(answers) {
    const runs = new Map();
    for (const id of servers.flatMap(server => server.runs)) {
        runs.set(id, (runs.get(id) ?? 0) + 1);
    }
    const twice = [...runs].filter(([, count]) => count > 1).map(([id]) => id);
    const promised = [...answers].filter(([id, status]) => [408, 421, 429, 503].includes(status) && runs.has(id));
    const statuses = {};
    answers.forEach(status => (statuses[status] = (statuses[status] ?? 0) + 1));
    record(`answers by status: ${JSON.stringify(statuses)}`);
    twice.forEach(id => record(`TWICE broken: ${id} ran ${runs.get(id)} times, its client got ${answers.get(id)}`));
    promised.forEach(([id, status]) => record(`REFUSED broken: ${id} was answered ${status} and ran`));
    record(`${twice.length} requests ran more than once, ${promised.length} were refused although they ran`);
    return twice.length > 0 ? 1 : 0;
}
