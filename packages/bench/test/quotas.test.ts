import * as bench from "@boragedale/bench";
import * as uvu from "uvu";
import * as assert from "uvu/assert";

const suite = uvu.suite("quotas");

const Seconds = 20;
/** Maximum share of requests refused below their customer's limit when nothing fails. */
const MaximumRefusedShare = 0.01;

function play(instances: number, options: Partial<bench.QuotasOptions> = {}): Promise<bench.QuotasResult> {
    return bench.runQuotas({
        way: bench.QuotaWay.Owner,
        scene: bench.QuotaScene.Calm,
        instances,
        customers: 84,
        seconds: Seconds,
        seed: 1,
        ...options,
    });
}

for (const instances of [8, 68, 70]) {
    suite(`${instances} members: customers below their limits are served`, async () => {
        const result = await play(instances);
        assert.ok(result.refusedBelow <= MaximumRefusedShare, `${result.refusedBelow} refused`);
        assert.ok(result.worstOverLimit <= 0, `${result.worstOverLimit} over`);
    });

    suite(`${instances} members: a hot customer is held to its limit without affecting others`, async () => {
        const result = await play(instances, { scene: bench.QuotaScene.Hot });
        assert.ok(result.worstOverLimit <= 0, `${result.worstOverLimit} over`);
        assert.ok(result.refusedBelow <= MaximumRefusedShare, `${result.refusedBelow} refused`);
        // The rate times the window alone, relative to a limit that includes the burst, which was used up before.
        assert.ok(result.hotShare >= 0.8, `${result.hotShare} of the limit`);
    });

    const faults = [
        ["a sixth of the members is partitioned from the others", bench.QuotaScene.CutSixth],
        ["the members are partitioned into halves", bench.QuotaScene.CutHalves],
        ["half of the members are killed at once", bench.QuotaScene.KillHalf],
        ["the number of members grows by three quarters", bench.QuotaScene.AddThreeQuarters],
        ["a sixth of the members receives messages but can't send any", bench.QuotaScene.CutOneWay],
        ["its quota owner is paused and resumes", bench.QuotaScene.PauseOwner],
        ["its quota owner replies too late", bench.QuotaScene.SlowOwner],
        ["its limit is reduced to a quarter", bench.QuotaScene.LowerLimit],
    ] as const;
    for (const [name, scene] of faults) {
        suite(`${instances} members: a hot customer stays within the terms while ${name}`, async () => {
            const result = await play(instances, { scene });
            assert.ok(result.worstOver <= 0, `${result.worstOver} over the terms`);
        });
    }
}

suite("a hot customer gets what its limit allows after a raise, and everything after its removal", async () => {
    const raised = await play(70, { scene: bench.QuotaScene.RaiseLimit });
    assert.ok(raised.hotShare >= 0.8, `${raised.hotShare} of the limit`);
    const lifted = await play(70, { scene: bench.QuotaScene.LiftLimit });
    assert.is(lifted.hotRefused, 0);
});

// The requests of a hot customer must not overload its quota owner.
suite(
    "a customer at a hundred times its usual rate causes at most twice the messages of one at ten times",
    async () => {
        const hot = await play(20, { scene: bench.QuotaScene.Hot, hotFactor: 100, seconds: 8 });
        const warm = await play(20, { scene: bench.QuotaScene.Hot, hotFactor: 10, seconds: 8 });
        assert.ok(hot.mostMessages <= 2 * warm.mostMessages, `${hot.mostMessages} beside ${warm.mostMessages}`);
        assert.ok(hot.worstOverLimit <= 0);
    },
);

suite("even shares refuse requests of customers that are below their limits", async () => {
    const result = await play(70, { way: bench.QuotaWay.Shares, seconds: 8 });
    assert.ok(result.refusedBelow > MaximumRefusedShare);
});

suite.run();
