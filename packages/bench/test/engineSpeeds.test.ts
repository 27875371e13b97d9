import * as bench from "@boragedale/bench";
import * as gateway from "@boragedale/gateway";
import * as uvu from "uvu";
import * as assert from "uvu/assert";

const suite = uvu.suite("engine speeds under load");

function play(engineSpeeds: gateway.EngineSpeeds, hasUnevenEngines: boolean): Promise<bench.HardLoadResult> {
    const policy = { ...gateway.DefaultLoadPolicy, engineSpeeds };
    return bench.runHardLoad({ seed: 5, seconds: 13, hasUnevenEngines, policy });
}

// Guards against speeds that move requests to engines without a free slot: peaks need the slots of all engines, also of
// slow ones and of those that slow down for a moment.
suite("with uneven engines, measured speeds make fewer first events late", async () => {
    const ignored = await play(gateway.EngineSpeeds.Ignored, true);
    const measured = await play(gateway.EngineSpeeds.Measured, true);
    assert.ok(measured.all.late < ignored.all.late, `${measured.all.late} late, ${ignored.all.late} before`);
    assert.ok(measured.all.p99 < ignored.all.p99, `p99 ${measured.all.p99} ms, ${ignored.all.p99} ms before`);
    assert.ok(measured.busiest < ignored.busiest + 0.1, `busiest ${measured.busiest}, ${ignored.busiest} before`);
    assert.is(measured.all.refused, 0);
});

// Guards against taking noise for differences of speed: it would cost trips and unbalance equal engines.
suite("with engines of equal speed, measured speeds change the results by no more than noise", async () => {
    const ignored = await play(gateway.EngineSpeeds.Ignored, false);
    const measured = await play(gateway.EngineSpeeds.Measured, false);
    const difference = Math.abs(measured.all.late - ignored.all.late) / ignored.all.count;
    assert.ok(difference < 0.005, `${measured.all.late} late, ${ignored.all.late} before`);
    assert.ok(Math.abs(measured.busiest - ignored.busiest) < 0.1, `${measured.busiest}, ${ignored.busiest} before`);
    assert.ok(measured.messages < ignored.messages * 1.1, `${measured.messages}/s, ${ignored.messages}/s before`);
});

suite.run();
