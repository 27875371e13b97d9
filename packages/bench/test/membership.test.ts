import * as bench from "@boragedale/bench";
import * as uvu from "uvu";
import * as assert from "uvu/assert";

const suite = uvu.suite("membership");

/** Maximum result of a large fleet relative to a small one: hundreds of instances must recover as fast as eight. */
const MaximumRatio = 1.2;

function play(scene: bench.MembershipScene, instances: number): Promise<bench.MembershipResult> {
    return bench.runMembership({ scene, instances, seed: 1 });
}

// All processes are killed at once and return within a second and a third. Until the instances know each other, the
// submissions of previous incarnations have no successor and engines have no coordinator. Callers of a large fleet must
// not wait longer for that than those of a small one.
suite("after all instances are killed, 68 know each other as soon as 8", async () => {
    const small = await play(bench.MembershipScene.KillAll, 8);
    const large = await play(bench.MembershipScene.KillAll, 68);
    const [smallLast, largeLast] = [small.knownAfter?.last ?? 0, large.knownAfter?.last ?? Infinity];
    assert.ok(largeLast <= smallLast * MaximumRatio, `${largeLast} ms beside ${smallLast} ms`);
});

// The store limits the call rate of all instances together, so an idle instance must not make more calls in a larger
// fleet.
suite("an idle instance makes no more store calls in a fleet of 68 than in one of 8", async () => {
    const small = await play(bench.MembershipScene.Quiet, 8);
    const large = await play(bench.MembershipScene.Quiet, 68);
    const perInstance = (result: bench.MembershipResult): number => result.calls / result.instances;
    assert.ok(perInstance(large) <= perInstance(small) * MaximumRatio, `${perInstance(large)} calls`);
});

suite("the same seed gives the same run", async () => {
    assert.equal(
        await play(bench.MembershipScene.RollingRestart, 8),
        await play(bench.MembershipScene.RollingRestart, 8),
    );
});

suite.run();
