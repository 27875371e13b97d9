import * as decisions from "@boragedale/decisions";
import * as uvu from "uvu";
import * as assert from "uvu/assert";

const suite = uvu.suite("slot table");

const engines = [...new Array(13).keys()].map(index => ({ id: `e${index}`, slots: 8, dataCentre: "a" }));

function createTable(name = "self"): decisions.SlotTable {
    return new decisions.SlotTable(
        () => 0.5,
        upstream => decisions.hashToUnit(`${name}/${upstream}`),
    );
}

suite("an online request goes to the upstream with a free slot", () => {
    const table = createTable();
    engines.slice(1).forEach(engine => table.setPeer("peer", engine.id, { online: 8, batch: 0 }));
    assert.is(table.tryChooseOnline(engines, "a", 1, 0)?.id, "e0");
});

suite("a slot held by batch work is preferred to a queue, and the choice names the holder", () => {
    const table = createTable();
    engines.slice(1).forEach(engine => table.setPeer("peer", engine.id, { online: 9, batch: 0 }));
    table.setPeer("holder", "e0", { online: 2, batch: 6 });
    const choice = table.tryChooseOnline(engines, "a", 1, 0);
    assert.equal(choice, { id: "e0", waiting: 0, yielder: "holder" });
});

// Guards against ignoring open connections when two engines have about the same load: a new connection would cost the
// caller a round trip. A queue is never chosen for the sake of a connection.
suite("among upstreams with about the same load the one with an idle connection is chosen", () => {
    for (const name of ["a", "b", "c", "d", "e", "f"]) {
        const table = createTable(name);
        const near = engines.slice(0, 2).map((engine, index) => ({ ...engine, hasIdleConnection: index === 1 }));
        const preferred = table.tryChooseOnline(engines.slice(0, 2), "a", 1, 0)?.id;
        table.setPeer("peer", "e0", { online: 1, batch: 0 });
        assert.is(table.tryChooseOnline(near, "a", 1, 0)?.id, "e1", `where ${preferred} comes first otherwise`);
        table.setPeer("peer", "e1", { online: 8, batch: 0 });
        assert.is(table.tryChooseOnline(near, "a", 1, 0)?.id, "e0");
    }
});

suite("a penalized upstream is chosen only if there is no other", () => {
    const table = createTable();
    table.penalize("e0", 100);
    assert.is(table.tryChooseOnline(engines.slice(0, 1), "a", 1, 50)?.id, "e0");
    assert.is.not(table.tryChooseOnline(engines, "a", 1, 50)?.id, "e0");
});

suite("batch work keeps the reserve free", () => {
    const table = createTable();
    engines.forEach(engine => table.setPeer("peer", engine.id, { online: 7, batch: 0 }));
    assert.is(table.tryChooseBatch(engines, 1, "a", 0), undefined);
    assert.ok(table.tryChooseBatch(engines, 0, "a", 0) !== undefined);
});

suite("a removed peer holds no slots", () => {
    const table = createTable();
    table.setPeer("peer", "e0", { online: 8, batch: 0 });
    table.removePeer("peer");
    assert.equal(table.getTotal("e0"), { online: 0, batch: 0 });
});

// Guards against instances with the same view choosing the same engine. At the peak of a burst batch work fills all
// slots but one of each engine, eight instances see the same table, and five requests arrive within the delay of one
// notification. With the same order they would meet on one engine and wait for each other; with an order for each
// instance they are spread.
suite("instances that see the same table choose different upstreams", () => {
    let crowded = 0;
    const rounds = 200;
    for (let round = 0; round < rounds; round++) {
        const arrivals = new Map<string, number>();
        for (let instance = 0; instance < 5; instance++) {
            const table = createTable(`front-${(round * 5 + instance) % 8}`);
            engines.forEach(engine => table.setPeer("peer", engine.id, { online: 4, batch: 3 }));
            const id = table.tryChooseOnline(engines, "a", 1, 0)?.id ?? "";
            arrivals.set(id, (arrivals.get(id) ?? 0) + 1);
        }
        crowded += Math.max(...arrivals.values()) > 2 ? 1 : 0;
    }
    assert.ok(crowded / rounds < 0.1, `${crowded} of ${rounds} rounds had three on one engine`);
});

suite("grants: a coordinator grants one free slot to one requester", () => {
    const grants = new decisions.BatchGrants();
    const total = { online: 4, batch: 2 };
    assert.is(grants.tryGrant("a", "e0", total, 8, 1, 0), true);
    assert.is(grants.tryGrant("b", "e0", total, 8, 1, 0), false);
    // The first requester's own notification has arrived: its item is included in the total now.
    grants.confirm("a", "e0");
    assert.is(grants.tryGrant("b", "e0", { online: 4, batch: 3 }, 8, 1, 10), false);
    assert.is(grants.tryGrant("b", "e0", { online: 3, batch: 3 }, 8, 1, 10), true);
});

suite("grants: an unused grant expires", () => {
    const grants = new decisions.BatchGrants();
    const total = { online: 4, batch: 2 };
    assert.is(grants.tryGrant("a", "e0", total, 8, 1, 0), true);
    assert.is(grants.tryGrant("b", "e0", total, 8, 1, 1_000), true);
});

const queue = {
    waiting: 0,
    slots: 8,
    serviceMilliseconds: 800,
    firstAnswerMilliseconds: 70,
    latencyTargetMilliseconds: 300,
    remainingMilliseconds: 5_000,
};

suite("no request is refused while a slot is free", () => {
    const verdict = decisions.decideOnlineAdmission({ ...queue, serviceMilliseconds: 60_000 }, () => 0.5);
    assert.is(verdict.isAdmitted, true);
});

suite("a short queue is joined, a long one is refused with a retry time with jitter", () => {
    assert.is(decisions.decideOnlineAdmission({ ...queue, waiting: 2 }, () => 0.5).isAdmitted, true);
    const early = decisions.decideOnlineAdmission({ ...queue, waiting: 8 }, () => 0);
    const late = decisions.decideOnlineAdmission({ ...queue, waiting: 8 }, () => 0.99);
    assert.ok(!early.isAdmitted && !late.isAdmitted);
    assert.ok(!early.isAdmitted && !late.isAdmitted && early.retryAfterMilliseconds < late.retryAfterMilliseconds);
});

suite("a request that may run only once is retried only if it provably didn't run", () => {
    const state = { runs: 1, sends: 1, allowedRuns: 3, remainingMilliseconds: 1_000, hasBegun: false };
    const { NotRun, MayHaveRun } = decisions.AttemptEnd;
    assert.is(decisions.mayRetry({ ...state, end: NotRun, isRepeatable: false }), true);
    assert.is(decisions.mayRetry({ ...state, end: MayHaveRun, isRepeatable: false }), false);
    assert.is(decisions.mayRetry({ ...state, end: MayHaveRun, isRepeatable: true }), true);
    assert.is(decisions.mayRetry({ ...state, runs: 3, end: MayHaveRun, isRepeatable: true }), false);
    assert.is(decisions.mayRetry({ ...state, sends: 4, end: NotRun, isRepeatable: true }), false);
    assert.is(decisions.mayRetry({ ...state, sends: 7, end: NotRun, isRepeatable: true, hasBegun: true }), true);
    assert.is(decisions.mayRetry({ ...state, sends: 8, end: NotRun, isRepeatable: true, hasBegun: true }), false);
});

suite.run();
