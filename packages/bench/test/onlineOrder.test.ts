import * as bench from "@boragedale/bench";
import * as gateway from "@boragedale/gateway";
import * as uvu from "uvu";
import * as assert from "uvu/assert";

const suite = uvu.suite("onlineOrder");

function play(onlineOrder: gateway.OnlineOrder): Promise<bench.HardLoadResult> {
    const policy = { ...gateway.DefaultLoadPolicy, onlineOrder };
    const size = { seed: 1, seconds: 16, instances: 24, engines: 24 };
    return bench.runHardLoad({ ...size, policy, hasHotCustomer: true, hotCustomer: 2, enforcesLimits: false });
}

// Guards against customers within their shares that wait behind one that sends 6.9 times its usual rate, and against
// coordinators that are asked more often the longer the queues are.
suite("customers within their shares get more in time, with fewer messages, while another sends too much", async () => {
    const arrival = await play(gateway.OnlineOrder.Arrival);
    const shares = await play(gateway.OnlineOrder.Shares);
    const getShare = ({ others }: bench.HardLoadResult): number => others.inTime / others.count;
    assert.is(arrival.others.count, shares.others.count);
    assert.ok(getShare(shares) > getShare(arrival) + 0.03, `${getShare(arrival)} and ${getShare(shares)}`);
    assert.ok(shares.others.refused <= arrival.others.refused);
    assert.ok(shares.messages < arrival.messages, `${arrival.messages} and ${shares.messages} messages`);
    assert.ok(shares.all.inTime >= arrival.all.inTime, "slots are not wasted");
});

// Guards against slots that stay free at some coordinators while requests wait at others.
suite("at usual demand, as many requests are in time as in order of arrival, with no more messages", async () => {
    const run = (onlineOrder: gateway.OnlineOrder): Promise<bench.HardLoadResult> => {
        const policy = { ...gateway.DefaultLoadPolicy, onlineOrder, batchReserve: gateway.BatchReserve.Demand };
        return bench.runHardLoad({ seed: 1, policy });
    };
    const arrival = await run(gateway.OnlineOrder.Arrival);
    const shares = await run(gateway.OnlineOrder.Shares);
    assert.ok(shares.all.inTime >= arrival.all.inTime, `${arrival.all.inTime} and ${shares.all.inTime} in time`);
    assert.ok(shares.messages <= arrival.messages, `${arrival.messages} and ${shares.messages} messages`);
});

suite.run();
