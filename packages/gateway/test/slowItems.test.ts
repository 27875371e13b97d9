import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as fixtures from "./fixtures.js";
import * as testEngines from "./testEngines.js";
import * as testFleet from "./testFleet.js";

const suite = uvu.suite("slowItems");

/** Longer than the silence after which a run of an item is stopped. */
const SlowEventMilliseconds = 1_800;

// Guards against items that never end: each of their runs is stopped as silent before its first event.
suite("an item ends although all upstreams take long for each event", async () => {
    const fleet = await testFleet.createFleet(1, 2);
    fleet.channels.behaviour.eventMilliseconds = SlowEventMilliseconds;
    await testFleet.submit(fleet, fleet.members[0]!, "s", fixtures.createItems(1));
    await fleet.clock.advance(SlowEventMilliseconds * testEngines.EventsPerItem * 4);
    const results = await testFleet.readAll(fleet, fleet.members[0]!, "s");
    assert.is(results?.length, 1, `${fleet.channels.runs.length} runs`);
    assert.is(results?.[0]?.text, testEngines.getExpectedText("item-0"));
});

suite.run();
