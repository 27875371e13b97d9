import { send, sleep } from "./deployment.mjs";

/** A route for batch submissions to one service of model servers. */
export function createBatchConfig(slots) {
    const route = { Name: "batch", Host: "small.example", Prefix: "/batch/", Kind: "bulk", Service: "lm" };
    const times = { TimeoutMs: 15_000, LatencyTargetMs: 500, RunTargetMs: 18_000, KeepS: 60 };
    return {
        Version: 7,
        Routes: [{ ...route, ...times, Attempts: 3, Priority: 2, Resumable: true }],
        Services: [{ Name: "lm", HealthPath: "/healthz", MaxConns: 200, Engine: { Slots: slots } }],
        Limits: { MaxHeaderBytes: 16_384, MaxBodyBytes: 1_000_000, HeaderTimeoutMs: 3_000, IdleTimeoutMs: 15_000 },
    };
}

/** Submits one item. Returns the status. */
export async function submit(record, gateway, id, outputTokens) {
    const headers = { "Boragedale-Model": "m", "Boragedale-Token-Count": `450,${outputTokens}` };
    const item = {
        Id: `item-of-${id}`,
        Path: "/batch/3/x",
        Headers: headers,
        Body: "eA==",
        Tokens: 450 + outputTokens,
    };
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
export async function readAtAll(record, gateways, id, reads, milliseconds) {
    const until = Date.now() + milliseconds;
    let isSeen = false;
    while (Date.now() < until) {
        for (const gateway of gateways) {
            const sentAt = Date.now();
            const answer = await send(gateway.caller, { method: "GET", target: `/boragedale/lots/${id}?After=0` });
            const results = answer.status === 200 ? JSON.parse(answer.text).Results : undefined;
            const count = results?.length ?? 0;
            reads.push({ id, gateway, sentAt, answeredAt: Date.now(), status: answer.status, count });
            if (count > 0 && !isSeen) {
                isSeen = true;
                record(`client: reads position 0 of ${id} at ${gateway.name}: ${results[0].State}`);
            }
        }
        await sleep(500);
    }
}

/**
 * The rule LOST: a machine in touch has nothing at a position, or answers 404 or 410, later than `settleMs` after the position was
 * read. `isInTouch(gateway, from, to)` tells whether the gateway was in touch all the time. Returns whether the rule was broken.
 */
export function isLostBroken(record, reads, settleMs, isInTouch) {
    const firstSeen = new Map();
    for (const { id, answeredAt, count } of reads) {
        if (count > 0) {
            firstSeen.set(id, Math.min(firstSeen.get(id) ?? Infinity, answeredAt));
        }
    }
    const broken = reads.filter(({ id, gateway, sentAt, answeredAt, status, count }) => {
        const isLate = sentAt > (firstSeen.get(id) ?? Infinity) + settleMs;
        const hasNothing = (status === 200 && count === 0) || status === 404 || status === 410;
        return isLate && hasNothing && isInTouch(gateway, sentAt, answeredAt);
    });
    for (const { id, gateway, sentAt, status } of broken) {
        const later = sentAt - firstSeen.get(id);
        record(
            `LOST broken: ${id} at ${gateway.name}, ${later} ms after position 0 was read: ${status}, nothing there`,
        );
    }
    record(`${firstSeen.size} submissions were read, ${broken.length} of ${reads.length} reads break LOST`);
    return broken.length > 0;
}
