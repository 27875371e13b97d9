import * as assert from "node:assert/strict";
import * as uvu from "uvu";
import * as core from "@boragedale/core";
import * as decisions from "@boragedale/decisions";

const suite = uvu.suite("placement capacity");

const engine: decisions.PlacementCandidate = {
    id: "engine-1",
    dataCentre: "test",
    role: core.UpstreamRole.Mixed,
    models: ["model-1"],
    concurrency: 8,
    isLeaving: false,
};

suite("keeps a capacity when the only upstream counts as slow", () => {
    // All callers wait until their deadlines although the engine is idle. It was quick, then within a moment many times
    // slower than what counted as usual. With a capacity of 0 no request is let in, so nothing shows that it is quick again.
    const placement = new decisions.Placement({ random: () => 0.5 });
    let now = 1_000;
    const run = (id: string, gap: number): void => {
        placement.onSent(id, engine.id, core.RequestClass.Online, now);
        placement.onFirstToken(id, now);
        placement.onProgress(id, 10, gap * 10, now);
    };
    for (let index = 0; index < 8; index++) {
        run(`quick-${index}`, 1);
        placement.onFinished(`quick-${index}`);
    }
    now += 200;
    run("refresh", 1);
    for (let index = 0; index < 40; index++) {
        run(`slow-${index}`, 100);
        placement.onFinished(`slow-${index}`);
    }
    assert.equal(placement.getSpeedState(engine.id), decisions.SpeedState.Slow);
    assert.ok(placement.getCapacity("model-1", core.RequestClass.Online, [engine], now) > 0);
});

suite.run();
