import * as bench from "@boragedale/bench";
import * as gateway from "@boragedale/gateway";
import * as uvu from "uvu";
import * as assert from "uvu/assert";

const suite = uvu.suite("batch under online demand, played");

function play(batchReserve: gateway.BatchReserve): Promise<bench.HardLoadResult> {
    const policy = { ...gateway.DefaultLoadPolicy, batchReserve };
    return bench.runHardLoad({ seed: 1, seconds: 30, instances: 26, engines: 28, policy });
}

// Guards against a reserve that preempts as many batch runs as a constant one, that starves batch work, or that lets
// online requests wait longer. With 57 instances and 62 engines over 60 s, a third of the runs are preempted.
suite("a reserve that follows a square wave halves the preempted runs, and nobody waits longer", async () => {
    const fixed = await play(gateway.BatchReserve.Fixed);
    const demand = await play(gateway.BatchReserve.Demand);
    assert.ok(
        demand.batch.preempted < fixed.batch.preempted / 2,
        `${demand.batch.preempted}, ${fixed.batch.preempted}`,
    );
    assert.ok(demand.batch.due > 50, `${demand.batch.due} items are due`);
    assert.is(demand.batch.late, 0);
    assert.ok(demand.all.late <= fixed.all.late, `${demand.all.late}, ${fixed.all.late}`);
    assert.ok(demand.all.p99 <= fixed.all.p99, `${demand.all.p99}, ${fixed.all.p99}`);
});

suite.run();
