import * as bench from "@boragedale/bench";
import * as uvu from "uvu";
import * as assert from "uvu/assert";

const suite = uvu.suite("membership");

/** The aim: a fleet of hundreds is back as fast as one of eight. */
const MostLonger = 1.2;

function play(scene: bench.MembershipScene, instances: number): Promise<bench.MembershipResult> {
    return bench.runMembership({ scene, instances, seed: 1 });
}

// All processes are killed at once and are back within a second and a third. Until each knows the others, submissions of former lives
// have no heir, and engines no home; callers of a large fleet must not wait longer for that than those of a small one.
suite("after a kill of all, 68 instances know each other as soon as 8", async () => {
    const small = await play(bench.MembershipScene.KillAll, 8);
    const large = await play(bench.MembershipScene.KillAll, 68);
    const [smallLast, largeLast] = [small.knownAfter?.last ?? 0, large.knownAfter?.last ?? Infinity];
    assert.ok(largeLast <= smallLast * MostLonger, `${largeLast} ms beside ${smallLast} ms`);
});

// The store states one rate for all instances together: what one of them asks while nothing happens must not grow with the fleet.
suite("an instance of 68 asks the store in quiet no more than one of 8", async () => {
    const small = await play(bench.MembershipScene.Quiet, 8);
    const large = await play(bench.MembershipScene.Quiet, 68);
    const perInstance = (result: bench.MembershipResult): number => result.calls / result.instances;
    assert.ok(perInstance(large) <= perInstance(small) * MostLonger, `${perInstance(large)} calls`);
});

suite("the same seed gives the same run", async () => {
    assert.equal(await play(bench.MembershipScene.Roll, 8), await play(bench.MembershipScene.Roll, 8));
});

suite.run();
