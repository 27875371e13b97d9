import * as bench from "@boragedale/bench";
import * as uvu from "uvu";
import * as assert from "uvu/assert";

const suite = uvu.suite("hardLoad");

function playSmall(seed: number): Promise<bench.HardLoadResult> {
    return bench.runHardLoad({ seed, seconds: 8, instances: 20, engines: 20, hasUnevenEngines: true });
}

// Guards against requests and items that a change of the scene or of slot sharing loses or counts twice.
suite("each request has one outcome and each preempted item is resumed at most once for each preemption", async () => {
    const { all, hot, others, batch, relativeWork } = await playSmall(1);
    assert.ok(all.count > 300, `${all.count} requests`);
    for (const group of [all, hot, others]) {
        assert.is(group.inTime + group.late + group.refused + group.unanswered, group.count);
    }
    assert.is(hot.count + others.count, all.count);
    assert.ok(batch.finished > 0 && batch.finished <= batch.items, `${batch.finished} of ${batch.items} finished`);
    assert.ok(batch.resumed <= batch.preempted, `${batch.resumed} resumed of ${batch.preempted} preempted`);
    assert.ok(batch.started <= batch.items + batch.preempted, `${batch.started} runs started`);
    const sum = [...relativeWork.values()].reduce((total, work) => total + work, 0);
    assert.ok(Math.abs(sum / relativeWork.size - 1) < 1e-9, `mean ${sum / relativeWork.size}`);
});

// Guards against a source of chance that isn't seeded, which would make comparisons of policies meaningless.
suite("the same seed gives the same run", async () => {
    assert.equal(await playSmall(2), await playSmall(2));
});

suite.run();
