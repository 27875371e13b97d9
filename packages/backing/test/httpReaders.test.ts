import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as core from "@boragedale/core";
import * as backing from "@boragedale/backing";
import * as standins from "@boragedale/standins";

const suite = uvu.suite("instance list and weight store over HTTP");

function createInstance(id: string): core.InstanceDescription {
    return {
        id,
        dataCentre: "dc1",
        state: core.LifecycleState.Live,
        callerUrl: "http://127.0.0.1:1",
        peerUrl: "ws://127.0.0.1:2",
        operatorUrl: "http://127.0.0.1:3",
    };
}

suite("the instance list shows a change after its lag", async () => {
    const clock = new core.VirtualClock();
    await using standin = await standins.createInstanceListStandin({ clock, lagMilliseconds: 500 });
    await using list = new backing.HttpInstanceList({ url: standin.url });
    standin.put(createInstance("a"));
    assert.equal(await list.tryRead(), []);
    await clock.advance(500);
    assert.equal(await list.tryRead(), [createInstance("a")]);
});

suite("an instance list that is down or silent reads as undefined", async () => {
    await using standin = await standins.createInstanceListStandin({ instances: [createInstance("a")] });
    await using list = new backing.HttpInstanceList({ url: standin.url, timeoutMilliseconds: 50 });
    standin.faults.isDown = true;
    assert.is(await list.tryRead(), undefined);
    standin.faults.isDown = false;
    standin.faults.isSilent = true;
    assert.is(await list.tryRead(), undefined);
    standin.faults.isSilent = false;
    assert.is((await list.tryRead())?.length, 1);
});

suite("the weight store returns the size of a known version, and undefined for an unknown one", async () => {
    await using standin = await standins.createWeightStoreStandin({ weights: { "m/2": 1_000 }, defaultBytes: 0 });
    await using store = new backing.HttpWeightStore({ url: standin.url });
    assert.is(await store.tryGetBytes("m", "2"), 1_000);
    assert.is(await store.tryGetBytes("m", "3"), undefined);
});

suite.run();
