import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as fixtures from "./fixtures.js";
import * as testFleet from "./testFleet.js";

const suite = uvu.suite("submissionOwnership");

// Guards against a takeover from a live owner by a member whose view of the members is behind: both would answer for the submission.
suite("a member that doesn't know of a listed owner doesn't take its submissions over", async () => {
    const fleet = await testFleet.createFleet(1);
    const behind = fleet.members[0]!;
    fleet.channels.behaviour.eventMilliseconds = 900;
    behind.store.faults.areNewWatchesSilent = true;
    fleet.hub.offline.add(behind.id);
    fleet.metadata.put("boragedale/fleet/other", "ends the watch that is open");
    const owner = fleet.addMember();
    await fleet.clock.advance(1_000);
    assert.equal(await testFleet.submit(fleet, owner, "s", fixtures.createItems(1)), { ok: true });
    await fleet.clock.advance(4_000);
    assert.is(behind.submissions.getOwnedCount(), 0);
    assert.is(owner.submissions.getOwnedCount(), 1);
    assert.is(fleet.channels.runs.length, 1);
});

suite.run();
