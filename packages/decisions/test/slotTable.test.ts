import * as decisions from "@boragedale/decisions";
import * as uvu from "uvu";
import * as assert from "uvu/assert";

const suite = uvu.suite("slotBoard");

const engines = [...new Array(13).keys()].map(index => ({ id: `e${index}`, slots: 8, dataCentre: "a" }));

function createBoard(name = "self"): decisions.SlotBoard {
    return new decisions.SlotBoard(
        () => 0.5,
        upstream => decisions.hashToUnit(`${name}/${upstream}`),
    );
}

suite("an online request goes where a place is free", () => {
    const board = createBoard();
    engines.slice(1).forEach(engine => board.setPeer("peer", engine.id, { online: 8, batch: 0 }));
    assert.is(board.tryChooseOnline(engines, "a", 1, 0)?.id, "e0");
});

suite("a place that batch work holds comes before a queue, and its holder is named", () => {
    const board = createBoard();
    engines.slice(1).forEach(engine => board.setPeer("peer", engine.id, { online: 9, batch: 0 }));
    board.setPeer("holder", "e0", { online: 2, batch: 6 });
    const choice = board.tryChooseOnline(engines, "a", 1, 0);
    assert.equal(choice, { id: "e0", waiting: 0, yielder: "holder" });
});

// Two engines are about as free as each other, and to one of them a connection is kept. A caller's request goes there: a new
// connection would cost it a way there and back. A queue is never chosen for the sake of a connection.
suite("among upstreams of like load the one with a free connection is chosen", () => {
    for (const name of ["a", "b", "c", "d", "e", "f"]) {
        const board = createBoard(name);
        const near = engines.slice(0, 2).map((engine, index) => ({ ...engine, hasIdleConnection: index === 1 }));
        const preferred = board.tryChooseOnline(engines.slice(0, 2), "a", 1, 0)?.id;
        board.setPeer("peer", "e0", { online: 1, batch: 0 });
        assert.is(board.tryChooseOnline(near, "a", 1, 0)?.id, "e1", `where ${preferred} comes first otherwise`);
        board.setPeer("peer", "e1", { online: 8, batch: 0 });
        assert.is(board.tryChooseOnline(near, "a", 1, 0)?.id, "e0");
    }
});

suite("a penalized upstream is taken only when there is no other", () => {
    const board = createBoard();
    board.penalize("e0", 100);
    assert.is(board.tryChooseOnline(engines.slice(0, 1), "a", 1, 50)?.id, "e0");
    assert.is.not(board.tryChooseOnline(engines, "a", 1, 50)?.id, "e0");
});

suite("batch work keeps the reserve free", () => {
    const board = createBoard();
    engines.forEach(engine => board.setPeer("peer", engine.id, { online: 7, batch: 0 }));
    assert.is(board.tryChooseBatch(engines, 1, "a", 0), undefined);
    assert.ok(board.tryChooseBatch(engines, 0, "a", 0) !== undefined);
});

suite("a peer that is gone holds no places", () => {
    const board = createBoard();
    board.setPeer("peer", "e0", { online: 8, batch: 0 });
    board.removePeer("peer");
    assert.equal(board.getTotal("e0"), { online: 0, batch: 0 });
});

// Eight instances see the same board at the height of a burst: batch work fills all places but one of each engine. In the
// time that a notice takes, five requests come. With one order for all they meet on one engine and wait for each other;
// with an order for each instance they spread.
suite("instances that see the same board part ways", () => {
    let crowded = 0;
    const rounds = 200;
    for (let round = 0; round < rounds; round++) {
        const arrivals = new Map<string, number>();
        for (let instance = 0; instance < 5; instance++) {
            const board = createBoard(`front-${(round * 5 + instance) % 8}`);
            engines.forEach(engine => board.setPeer("peer", engine.id, { online: 4, batch: 3 }));
            const id = board.tryChooseOnline(engines, "a", 1, 0)?.id ?? "";
            arrivals.set(id, (arrivals.get(id) ?? 0) + 1);
        }
        crowded += Math.max(...arrivals.values()) > 2 ? 1 : 0;
    }
    assert.ok(crowded / rounds < 0.1, `${crowded} of ${rounds} rounds had three on one engine`);
});

suite("grants: a home gives one free place to one asker", () => {
    const grants = new decisions.BatchGrants();
    const total = { online: 4, batch: 2 };
    assert.is(grants.tryGrant("a", "e0", total, 8, 1, 0), true);
    assert.is(grants.tryGrant("b", "e0", total, 8, 1, 0), false);
    // The first asker's own notice has come: its item is in the total now.
    grants.settle("a", "e0");
    assert.is(grants.tryGrant("b", "e0", { online: 4, batch: 3 }, 8, 1, 10), false);
    assert.is(grants.tryGrant("b", "e0", { online: 3, batch: 3 }, 8, 1, 10), true);
});

suite("grants: one that was never used comes free again", () => {
    const grants = new decisions.BatchGrants();
    const total = { online: 4, batch: 2 };
    assert.is(grants.tryGrant("a", "e0", total, 8, 1, 0), true);
    assert.is(grants.tryGrant("b", "e0", total, 8, 1, 1_000), true);
});

const outlook = {
    waiting: 0,
    slots: 8,
    serviceMilliseconds: 800,
    firstAnswerMilliseconds: 70,
    latencyTargetMilliseconds: 300,
    remainingMilliseconds: 5_000,
};

suite("nobody is refused while a place is free", () => {
    const verdict = decisions.judgeOnline({ ...outlook, serviceMilliseconds: 60_000 }, () => 0.5);
    assert.is(verdict.isAdmitted, true);
});

suite("a short queue is joined, a long one is refused with a time that is spread", () => {
    assert.is(decisions.judgeOnline({ ...outlook, waiting: 2 }, () => 0.5).isAdmitted, true);
    const early = decisions.judgeOnline({ ...outlook, waiting: 8 }, () => 0);
    const late = decisions.judgeOnline({ ...outlook, waiting: 8 }, () => 0.99);
    assert.ok(!early.isAdmitted && !late.isAdmitted);
    assert.ok(!early.isAdmitted && !late.isAdmitted && early.retryAfterMilliseconds < late.retryAfterMilliseconds);
});

suite("only a proof lets a request that may run once go again", () => {
    const state = { runs: 1, sends: 1, allowedRuns: 3, remainingMilliseconds: 1_000 };
    const { NotRun, MayHaveRun } = decisions.AttemptEnd;
    assert.is(decisions.mayRepeat({ ...state, end: NotRun, isRepeatable: false }), true);
    assert.is(decisions.mayRepeat({ ...state, end: MayHaveRun, isRepeatable: false }), false);
    assert.is(decisions.mayRepeat({ ...state, end: MayHaveRun, isRepeatable: true }), true);
    assert.is(decisions.mayRepeat({ ...state, runs: 3, end: MayHaveRun, isRepeatable: true }), false);
    assert.is(decisions.mayRepeat({ ...state, sends: 4, end: NotRun, isRepeatable: true }), false);
});

suite.run();
