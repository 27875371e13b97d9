import * as core from "@boragedale/core";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as decisions from "@boragedale/decisions";
import * as fixtures from "./fixtures.js";

const suite = uvu.suite("placement capacity");

// Guards against requests waiting until their deadlines although an upstream is idle. The upstream is classified as
// slow and its fast peers have left. With a capacity of 0 no request would be admitted, so that the upstream could
// never show that it is fast again.
suite("the capacity stays above 0 when only slow upstreams are left", () => {
    const placement = new decisions.Placement({ random: fixtures.createRandom(1) });
    const candidates = fixtures.createCandidates(4);
    const slow = core.Debug.checkDefined(candidates[0], "candidate");
    let now = 0;
    for (let index = 0; index < 1_000; index++) {
        now += 20;
        const request = fixtures.createPlacementRequest(`prefix-${index % 50}`);
        const decision = placement.choose(request, candidates, now);
        core.Debug.assert(decision.kind === decisions.PlacementKind.Placed, "a slot is free");
        const gap = decision.upstream === slow.id ? 100 : 20;
        placement.onSent(String(index), decision.upstream, core.RequestClass.Online, now);
        placement.onFirstToken(String(index), now + 2 * gap);
        placement.onProgress(String(index), 8, 8 * gap, now + 10 * gap);
        placement.onFinished(String(index));
    }
    assert.is(placement.getSpeedState(slow.id), decisions.SpeedState.Slow);
    const model = core.Debug.checkDefined(slow.models[0], "model");
    assert.ok(placement.getCapacity(model, core.RequestClass.Online, [slow], now) > 0);
});

suite.run();
