import * as bench from "@boragedale/bench";
import * as uvu from "uvu";
import * as assert from "uvu/assert";

const suite = uvu.suite("slots");

const Seconds = 11.6;
/** Maximum wait for a first event in a large fleet, relative to a small one with the same load per engine. */
const MaximumLatencyRatio = 1.2;

function play(sharing: bench.Sharing, instances: number, engines: number): Promise<bench.SlotsResult> {
    return bench.runSlots({ sharing, instances, engines, slotsPerEngine: 8, seed: 1, seconds: Seconds });
}

// The load alternates in steps, and the high one takes nearly all slots. Instances that know only two fifths of the
// load queue requests behind each other's while other engines are idle. Over 23 s, the p99 time to the first event in a
// fleet of 68 is 366 ms when neighbours are notified and 246 ms when coordinators grant slots; with 8 instances, which
// know the whole load, it is 358 ms.
suite("callers wait no longer in a fleet of 68 than in one of 8", async () => {
    const small = await play(bench.Sharing.Coordinators, 8, 13);
    const large = await play(bench.Sharing.Coordinators, 68, 63);
    const neighbours = await play(bench.Sharing.Neighbours, 68, 63);
    assert.ok(large.p99 <= small.p99 * MaximumLatencyRatio, `${large.p99} ms beside ${small.p99} ms`);
    assert.ok(large.late < neighbours.late, `${large.late} late beside ${neighbours.late}`);
    assert.ok(large.bytes < neighbours.bytes, `${large.bytes} bytes a second beside ${neighbours.bytes}`);
});

suite("the same seed gives the same run", async () => {
    const [first, second] = [
        await play(bench.Sharing.Coordinators, 20, 20),
        await play(bench.Sharing.Coordinators, 20, 20),
    ];
    assert.equal({ ...first, processorShare: 0 }, { ...second, processorShare: 0 });
});

suite.run();
