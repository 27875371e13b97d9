import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as bench from "@boragedale/bench";

const suite = uvu.suite("fleet-wide quantiles");

suite("gossip and reports both come close to the requested rank", () => {
    for (const quantile of [0.5, 0.95, 0.99]) {
        assert.ok(bench.measureGossip(400, quantile, 1).worstRankError <= 0.06);
        assert.ok(bench.measureReports(400, quantile, 1).worstRankError <= 0.01);
    }
});

suite.run();
