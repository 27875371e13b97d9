import * as core from "@boragedale/core";
import * as gateway from "@boragedale/gateway";
import * as standins from "@boragedale/standins";
import * as uvu from "uvu";
import * as assert from "uvu/assert";

const suite = uvu.suite("countedStore");

// Operators look up the purpose of store calls when their number rises. A submission's id in the name of a metric
// series would create a series for each submission, until the metrics themselves are the load.
suite("each call is reported with its purpose and outcome, and never with an id", async () => {
    const inner = new standins.MemoryMetadata(new core.VirtualClock()).createClient();
    const observed: string[] = [];
    const store = new gateway.CountedStore(
        inner,
        () => 0,
        (call, purpose, outcome) => observed.push(`${call} ${purpose} ${outcome}`),
    );
    await store.transact({
        preconditions: [],
        puts: [{ key: "boragedale/head/s1", value: Buffer.from("x") }],
        deletes: [],
    });
    await store.read("boragedale/head/s1");
    inner.faults.isDown = true;
    await store.list("upstreams/");
    assert.equal(observed, ["transact boragedale/head Done", "read boragedale/head Done", "list upstreams/ NotDone"]);
});

suite.run();
