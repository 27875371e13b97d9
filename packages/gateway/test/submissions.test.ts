import * as decisions from "@boragedale/decisions";
import * as gateway from "@boragedale/gateway";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as fixtures from "./fixtures.js";
import * as testEngines from "./testEngines.js";
import * as testFleet from "./testFleet.js";

const suite = uvu.suite("submissions");

/** Asserts that all items are listed with their complete texts. */
function assertComplete(results: readonly gateway.BatchResult[] | undefined, count: number): void {
    assert.is(results?.length, count);
    results?.forEach(result => assert.is(result.text, testEngines.getExpectedText(result.id)));
}

suite("a repeated submission runs once and can be read at any member", async () => {
    const fleet = await testFleet.createFleet(3);
    const [first, second, third] = fleet.members;
    const items = fixtures.createItems(10);
    assert.equal(await testFleet.submit(fleet, first!, "s", items), { ok: true });
    assert.equal(await testFleet.submit(fleet, second!, "s", items), { ok: true });
    await fleet.clock.advance(4_000);
    for (const member of [first!, second!, third!]) {
        const results = await testFleet.readAll(fleet, member, "s");
        assert.is(results?.length, 10);
        results?.forEach(result => assert.is(result.text, testEngines.getExpectedText(result.id)));
    }
    assert.is(fleet.channels.runs.length, 10);
});

suite("an item that is impossible or always fails is given up without affecting the others", async () => {
    const fleet = await testFleet.createFleet(1);
    fleet.channels.behaviour.statuses.set("item-0", 422);
    fleet.channels.behaviour.statuses.set("item-1", 500);
    await testFleet.submit(fleet, fleet.members[0]!, "s", fixtures.createItems(4));
    await fleet.clock.advance(6_000);
    const results = await testFleet.readAll(fleet, fleet.members[0]!, "s");
    const states = new Map(results?.map(result => [result.id, result.state]));
    assert.is(states.get("item-0"), gateway.ResultState.GivenUp);
    assert.is(states.get("item-1"), gateway.ResultState.GivenUp);
    assert.is(states.get("item-2"), gateway.ResultState.Completed);
    const runsOf = (item: string): number => fleet.channels.runs.filter(run => run.item === item).length;
    assert.is(runsOf("item-0"), 1);
    assert.is(runsOf("item-1"), 3);
});

// A member of a large fleet requests a slot from the engine's coordinator. The engine is removed, and the member is notified before
// the coordinator, which still grants the slot. The member must not send anything to the engine.
suite("a slot granted on an engine that the member knows to be removed is not used", async () => {
    const fleet = await testFleet.createFleet(gateway.NeighbourCount + 3, 1);
    const members = fleet.members.map(({ id }) => ({ id, dataCentre: "a" }));
    const coordinatorId = decisions.assignCoordinators([{ id: "engine-0", dataCentre: "a" }], members).get("engine-0");
    const coordinator = fleet.members.find(member => member.id === coordinatorId)!;
    const requester = fleet.members.find(member => member.id !== coordinatorId)!;
    await testFleet.submit(fleet, coordinator, "home", fixtures.createItems(7, "home"));
    await fleet.clock.advance(20);
    await testFleet.submit(fleet, requester, "borrower", fixtures.createItems(1, "borrower"));
    await fleet.clock.advance(20);
    requester.view.apply([{ key: "upstreams/engine-0", revision: 1_000, value: undefined }], fleet.clock.now());
    await fleet.clock.advance(1_000);
    const runsOf = (name: string): number => fleet.channels.runs.filter(run => run.item.startsWith(name)).length;
    assert.is(runsOf("home"), 7);
    assert.is(runsOf("borrower"), 0);
});

// An engine breaks off during a run, because it crashes or the connection is reset. The item continues after the last event
// received, so that no event of its text is missing or duplicated.
suite("an item whose run breaks off continues after the last event", async () => {
    const fleet = await testFleet.createFleet(1);
    fleet.channels.behaviour.breaks.set("item-0", 3);
    await testFleet.submit(fleet, fleet.members[0]!, "s", fixtures.createItems(1));
    await fleet.clock.advance(4_000);
    const results = await testFleet.readAll(fleet, fleet.members[0]!, "s");
    assert.is(results?.[0]?.text, testEngines.getExpectedText("item-0"));
    assert.equal(
        fleet.channels.runs.map(run => run.after),
        [undefined, "2"],
    );
});

// Guards against an item whose result lacks the events after the one in which an engine closed the connection.
suite("an item whose connection closes within an event continues after the last complete event", async () => {
    const fleet = await testFleet.createFleet(1);
    fleet.channels.behaviour.cuts.set("item-0", 3);
    await testFleet.submit(fleet, fleet.members[0]!, "s", fixtures.createItems(1));
    await fleet.clock.advance(4_000);
    const results = await testFleet.readAll(fleet, fleet.members[0]!, "s");
    assert.is(results?.[0]?.text, testEngines.getExpectedText("item-0"));
    assert.equal(
        fleet.channels.runs.map(run => run.after),
        [undefined, "2"],
    );
});

// Guards against an item that is listed as complete without text because an engine closed the connection before its first event.
suite("an item whose connection closes before the first event runs again", async () => {
    const fleet = await testFleet.createFleet(1);
    fleet.channels.behaviour.cuts.set("item-0", 0);
    await testFleet.submit(fleet, fleet.members[0]!, "s", fixtures.createItems(1));
    await fleet.clock.advance(4_000);
    const results = await testFleet.readAll(fleet, fleet.members[0]!, "s");
    assert.is(results?.[0]?.text, testEngines.getExpectedText("item-0"));
});

// The owner of an accepted submission is killed. When its lease expires, another member takes the submission over. Listed results
// must keep their positions, and the others must be listed after them.
suite("listed results keep their positions when a killed owner's submission is taken over", async () => {
    const fleet = await testFleet.createFleet(3, 1);
    const [owner, reader] = fleet.members;
    await testFleet.submit(fleet, owner!, "s", fixtures.createItems(150));
    await fleet.clock.advance(1_500);
    const before = await testFleet.readAll(fleet, reader!, "s");
    owner!.kill();
    await fleet.clock.advance(20_000);
    const after = await testFleet.readAll(fleet, reader!, "s");
    assert.ok(before !== undefined && before.length > 0 && before.length < 150, `listed before: ${before?.length}`);
    assert.is(after?.length, 150);
    assert.equal(after?.slice(0, before?.length), before);
    assert.is(new Set(after?.map(result => result.id)).size, 150);
});

/** Counts the listings that the store serves within a period. */
async function countListings(fleet: testFleet.TestFleet, milliseconds: number): Promise<number> {
    const before = fleet.metadata.calls.get("list") ?? 0;
    await fleet.clock.advance(milliseconds);
    return (fleet.metadata.calls.get("list") ?? 0) - before;
}

/** Covers the expiry of a killed member's lease and the takeover, and contains the same number of regular scans each time. */
const TakeoverWindowMilliseconds = 10_000;

// One of twenty members is killed. If each of the others listed all heads, hundreds of kilobytes each time, frequent restarts would
// make these listings most of the store's calls. Three members that scan are enough, even if the first two are killed or rejected
// by the store.
suite("a killed member causes few listings, and its submissions continue", async () => {
    const fleet = await testFleet.createFleet(20, 4);
    fleet.channels.behaviour.eventMilliseconds = 1_500;
    const [owner, reader] = fleet.members;
    const ids = ["first", "second", "third", "fourth"];
    for (const id of ids) {
        await testFleet.submit(fleet, owner!, id, fixtures.createItems(3));
    }
    const usual = await countListings(fleet, TakeoverWindowMilliseconds);
    for (const id of ids) {
        await testFleet.submit(fleet, owner!, `${id}-late`, fixtures.createItems(3));
    }
    owner!.kill();
    const listings = await countListings(fleet, TakeoverWindowMilliseconds);
    assert.ok(listings - usual <= 3, `${listings} listings, ${usual} without the kill`);
    await fleet.clock.advance(10_000);
    for (const id of ids) {
        assert.is((await testFleet.readAll(fleet, reader!, `${id}-late`))?.length, 3);
    }
    const owners = fleet.getAlive().filter(member => member.submissions.getOwnedCount() > 0);
    assert.ok(owners.length > 1, `${owners.length} members took over`);
});

// The member that scans the heads delegates some submissions to their successor, but the link to it is cut. The member must take
// them over itself; otherwise they would wait for the next regular scan.
suite("a submission whose successor can't be reached is taken over by the member that found it", async () => {
    const fleet = await testFleet.createFleet(3, 4);
    fleet.channels.behaviour.eventMilliseconds = 1_500;
    const [owner, cutOff, other] = fleet.members;
    const ids = Array.from({ length: 8 }, (unused, index) => `s-${index}`);
    for (const id of ids) {
        await testFleet.submit(fleet, owner!, id, fixtures.createItems(1));
    }
    owner!.kill();
    fleet.hub.offline.add(cutOff!.id);
    await fleet.clock.advance(7_000);
    const owned = [cutOff!, other!].map(member => member.submissions.getOwnedCount());
    assert.is(owned[0]! + owned[1]!, 8, `owned ${owned.join(" and ")}`);
});

// A submission is written, but the store's answer is lost. A refusal that states "not run" would be wrong, since the items run.
// Repeating the same write shows that the first one was applied.
suite("a submission is accepted if the answer to its write is lost", async () => {
    const fleet = await testFleet.createFleet(1);
    const member = fleet.members[0]!;
    member.store.faults.lostReplies = 1;
    assert.equal(await testFleet.submit(fleet, member, "s", fixtures.createItems(3)), { ok: true });
    await fleet.clock.advance(3_000);
    assert.is((await testFleet.readAll(fleet, member, "s"))?.length, 3);
});

// The store delays the write of a submission for seconds and applies it after the member has stopped waiting. The refusal must not
// state that nothing ran, and the member must find the submission of which it is the owner and run it.
suite("a submission that is written late is not refused as not run, and runs", async () => {
    const fleet = await testFleet.createFleet(1);
    const member = fleet.members[0]!;
    member.store.faults.delayedTransactions = 100;
    member.store.faults.transactionDelayMilliseconds = 6_000;
    const outcome = await testFleet.submit(fleet, member, "s", fixtures.createItems(3));
    assert.is(outcome.ok, false);
    assert.is(!outcome.ok && outcome.refusal.reason, gateway.RefusalReason.OutcomeUnknown);
    member.store.faults.delayedTransactions = 0;
    await fleet.clock.advance(20_000);
    assert.is((await testFleet.readAll(fleet, member, "s"))?.length, 3);
});

// The store rejects the calls of one member and serves the others. A submission to that member must be stored by a peer instead of
// being refused while the platform works.
suite("a member whose calls the store rejects has a peer store the submission", async () => {
    const fleet = await testFleet.createFleet(2);
    const [cutOff, other] = fleet.members;
    cutOff!.store.faults.isDown = true;
    assert.equal(await testFleet.submit(fleet, cutOff!, "s", fixtures.createItems(3)), { ok: true });
    assert.is(other!.submissions.getOwnedCount(), 1);
    await fleet.clock.advance(3_000);
    assert.is((await testFleet.readAll(fleet, cutOff!, "s"))?.length, 3);
});

// The store doesn't answer one member and serves the others. If the member asked a peer only after its connection timed out, the
// caller, which expects an answer within half a second, would get its 202 too late.
suite("a member that the store doesn't answer has a peer store the submission at once", async () => {
    const fleet = await testFleet.createFleet(2);
    const [cutOff, other] = fleet.members;
    cutOff!.store.faults.isSilent = true;
    const startedAt = fleet.clock.now();
    assert.equal(await testFleet.submit(fleet, cutOff!, "s", fixtures.createItems(3)), { ok: true });
    assert.ok(fleet.clock.now() - startedAt <= 250, `${fleet.clock.now() - startedAt} ms`);
    assert.is(other!.submissions.getOwnedCount(), 1);
});

// A peer stores the submission, but its reply is lost. The member's own write has failed, too. A refusal that states "not run" would
// be wrong, since the peer runs the items.
suite("a submission that a peer may have stored is not refused as not run", async () => {
    const fleet = await testFleet.createFleet(2);
    const [cutOff, other] = fleet.members;
    cutOff!.store.faults.isDown = true;
    fleet.hub.inboundBlocked.add(cutOff!.id);
    const outcome = await testFleet.submit(fleet, cutOff!, "s", fixtures.createItems(3));
    assert.is(other!.submissions.getOwnedCount(), 1);
    assert.is(!outcome.ok && outcome.refusal.reason, gateway.RefusalReason.OutcomeUnknown);
});

// While the store is down no submission can be stored, so it must be refused. The refusal states that nothing ran and when to retry.
suite("a submission is refused as not run while the store is down", async () => {
    const fleet = await testFleet.createFleet(1);
    fleet.members[0]!.store.faults.isDown = true;
    const outcome = await testFleet.submit(fleet, fleet.members[0]!, "s", fixtures.createItems(3));
    assert.is(!outcome.ok && outcome.refusal.reason, gateway.RefusalReason.StoreUnavailable);
    assert.is(fleet.channels.runs.length, 0);
});

// A caller ends its submission at a member that doesn't own it and whose link to the owner is cut. The owner must detect the end
// through the store and start no items after three seconds, as the platform guarantees.
suite("the end of a submission reaches its owner through the store if the link is cut", async () => {
    const fleet = await testFleet.createFleet(2, 1);
    const [owner, other] = fleet.members;
    await testFleet.submit(fleet, owner!, "s", fixtures.createItems(150));
    await fleet.clock.advance(300);
    fleet.hub.offline.add(owner!.id);
    const ended = await testFleet.advanceUntilSettled(
        fleet.clock,
        other!.submissions.end({ id: "s", customer: undefined }),
    );
    assert.is(ended.ok, true);
    const endedAt = fleet.clock.now();
    await fleet.clock.advance(10_000);
    assert.is(fleet.channels.runs.filter(run => run.at > endedAt + 3_000).length, 0);
    assert.is(fleet.channels.activeRuns, 0);
});

// A member is paused for longer than its lease, and another member takes its submission over. When the first one resumes, it still
// considers itself the owner. Its next write must fail because the head has changed, so that no item is listed twice.
suite("of two members that consider themselves owners, only one can list results", async () => {
    const fleet = await testFleet.createFleet(2, 1);
    const [owner, other] = fleet.members;
    await testFleet.submit(fleet, owner!, "s", fixtures.createItems(450));
    await fleet.clock.advance(1_000);
    owner!.store.faults.isSilent = true;
    await fleet.clock.advance(7_000);
    owner!.store.faults.isSilent = false;
    const seen: string[] = [];
    for (let turn = 0; turn < 20; turn++) {
        await fleet.clock.advance(1_000);
        for (const member of [owner!, other!]) {
            (await testFleet.readAll(fleet, member, "s"))?.forEach((result, position) => {
                assert.is(seen[position] ?? result.id, result.id, `position ${position} of ${member.id}`);
                seen[position] = result.id;
            });
        }
    }
    assert.is(seen.length, 450);
    assert.is(new Set(seen).size, 450);
});

// A process shuts down while items run. Its successor must continue after the last event of each item. If items started over, they
// would be late, and the engines would do the work twice.
suite("a planned shutdown hands submissions over with the progress of their items", async () => {
    const fleet = await testFleet.createFleet(2, 1);
    const [owner, other] = fleet.members;
    await testFleet.submit(fleet, owner!, "s", fixtures.createItems(30));
    await fleet.clock.advance(100);
    owner!.scheduler.stop();
    void owner!.submissions.handOver();
    await fleet.clock.advance(200);
    assert.is(other!.submissions.getOwnedCount(), 1);
    owner!.kill();
    await fleet.clock.advance(8_000);
    const results = await testFleet.readAll(fleet, other!, "s");
    assertComplete(results, 30);
    assert.ok(fleet.channels.runs.some(run => run.after !== undefined));
});

// Some items of a submission have completed and wait to be listed together with others when the owner is killed. All their events
// had been received, so only the last event of each may be requested again.
suite("an item that is completed but not listed doesn't start over", async () => {
    const fleet = await testFleet.createFleet(1, 1);
    fleet.channels.behaviour.eventMilliseconds = 400;
    await testFleet.submit(fleet, fleet.members[0]!, "s", fixtures.createItems(14));
    await fleet.clock.advance(2_900);
    const done = fleet.channels.runs.slice(0, 7).map(run => run.item);
    fleet.members[0]!.kill();
    const killedAt = fleet.clock.now();
    fleet.addMember();
    await fleet.clock.advance(20_000);
    const results = await testFleet.readAll(fleet, fleet.members.at(-1)!, "s");
    assertComplete(results, 14);
    const listed = fleet.members[0]!.log.events.filter(note => note.event === gateway.GatewayEvent.ResultsListed);
    assert.equal(listed, [], "storing progress lists no results");
    const again = fleet.channels.runs.filter(run => run.at > killedAt && done.includes(run.item));
    assert.equal(
        again.map(run => run.after),
        new Array(7).fill("4"),
    );
});

// A member has just taken a submission over and then scans a listing that is seconds old and names the previous owner. If it gave
// the submission up, all items would stop, and it would take the submission over again a moment later.
suite("a listing that is older than the owner's last write has no effect", async () => {
    const fleet = await testFleet.createFleet(2, 1);
    const [owner, other] = fleet.members;
    fleet.channels.behaviour.eventMilliseconds = 3_000;
    await testFleet.submit(fleet, owner!, "s", fixtures.createItems(3));
    const stale = fleet.metadata.list("boragedale/head/");
    owner!.kill();
    await fleet.clock.advance(8_000);
    assert.is(other!.submissions.getOwnedCount(), 1);
    other!.store.faults.staleListing = stale;
    await fleet.clock.advance(6_000);
    const lost = other!.log.events.filter(note => note.event === gateway.GatewayEvent.SubmissionLost);
    assert.equal(lost, []);
});

// The store rejects a member's calls for seconds, and its results wait to be listed. Five attempts per second would make up most of
// the calls during such an outage, and each rejected call has a cost.
suite("an owner whose writes the store rejects backs off", async () => {
    const fleet = await testFleet.createFleet(1);
    const member = fleet.members[0]!;
    await testFleet.submit(fleet, member, "s", fixtures.createItems(3));
    member.store.faults.isDown = true;
    const before = fleet.metadata.calls.get("transact") ?? 0;
    await fleet.clock.advance(9_000);
    const calls = (fleet.metadata.calls.get("transact") ?? 0) - before;
    assert.ok(calls > 0 && calls <= 15, `${calls} writes in 9 s`);
    member.store.faults.isDown = false;
    await fleet.clock.advance(3_000);
    assert.is((await testFleet.readAll(fleet, member, "s"))?.length, 3);
});

// All processes lose power at the same time while items run, so nothing can be handed over. If the items of all submissions started
// over, they would all be late. The owner stored checkpoints, and the next owner must continue from them.
suite("after a kill of all members, items continue from their last checkpoint", async () => {
    const fleet = await testFleet.createFleet(2, 2);
    fleet.channels.behaviour.eventMilliseconds = 1_000;
    await testFleet.submit(fleet, fleet.members[0]!, "s", fixtures.createItems(14));
    await fleet.clock.advance(5_500);
    fleet.members.forEach(member => member.kill());
    const killedAt = fleet.clock.now();
    fleet.addMember();
    await fleet.clock.advance(20_000);
    const results = await testFleet.readAll(fleet, fleet.members.at(-1)!, "s");
    assertComplete(results, 14);
    const resumed = fleet.channels.runs.filter(run => run.at > killedAt).map(run => Number(run.after ?? -1));
    assert.is(resumed.length, 14);
    assert.ok(
        resumed.every(after => after >= 2),
        `continues after events ${resumed.join(" ")}`,
    );
    assert.is(fleet.metadata.list("boragedale/progress/").entries.length, 0);
});

// While a process shuts down, the load balancer still sends it new submissions. If it owned them, they would wait until its lease
// expires, so a peer must store them.
suite("a member that shuts down has a peer store new submissions", async () => {
    const fleet = await testFleet.createFleet(2, 1);
    const [leaving, other] = fleet.members;
    void leaving!.submissions.handOver();
    assert.equal(await testFleet.submit(fleet, leaving!, "s", fixtures.createItems(3)), { ok: true });
    assert.is(leaving!.submissions.getOwnedCount(), 0);
    assert.is(other!.submissions.getOwnedCount(), 1);
});

suite("a submission that was accepted before customers were configured can be read with any key", async () => {
    const fleet = await testFleet.createFleet(2);
    const [first, second] = fleet.members;
    await testFleet.submit(fleet, first!, "s", fixtures.createItems(3));
    await fleet.clock.advance(4_000);
    assertComplete(await testFleet.readAll(fleet, second!, "s", "customer"), 3);
});

suite("two customers that use the same id have separate submissions, also after a takeover", async () => {
    const fleet = await testFleet.createFleet(3);
    const [owner, other, reader] = fleet.members;
    await testFleet.submit(fleet, owner!, "s", fixtures.createItems(3, "a"), "a");
    await testFleet.submit(fleet, other!, "s", fixtures.createItems(5, "b"), "b");
    owner!.kill();
    await fleet.clock.advance(20_000);
    assertComplete(await testFleet.readAll(fleet, reader!, "s", "a"), 3);
    assertComplete(await testFleet.readAll(fleet, reader!, "s", "b"), 5);
    assert.is(await testFleet.readAll(fleet, reader!, "s", "c"), undefined);
    const scoped = gateway.scopeId("s", "a");
    assert.is(await testFleet.readAll(fleet, reader!, scoped, "b"), undefined);
    assert.is(await testFleet.readAll(fleet, reader!, scoped), undefined);
});

suite("a submission is reported as unknown only after a successful read of the store", async () => {
    const fleet = await testFleet.createFleet(1);
    const member = fleet.members[0]!;
    const none = { id: "none", customer: undefined };
    const unknown = await testFleet.advanceUntilSettled(fleet.clock, member.submissions.read(none, 0, 0));
    assert.equal(unknown, { ok: false, reason: gateway.RefusalReason.UnknownSubmission });
    member.store.faults.isDown = true;
    const unsure = await testFleet.advanceUntilSettled(fleet.clock, member.submissions.read(none, 0, 0));
    assert.equal(unsure, { ok: false, reason: gateway.RefusalReason.StoreUnavailable });
});

// Instances are upgraded one by one while submissions run. A head that the previous version wrote lacks a field of this version. If
// it counted as unreadable, its submission would be unknown to every upgraded instance.
suite("a head that the previous version wrote can be read", () => {
    const head: Partial<gateway.SubmissionHead> = {
        owner: "member-0",
        nonce: "n",
        host: "host",
        target: "/a/x",
        acceptedAt: 1,
        itemCount: 3,
        itemParts: 1,
        segments: [],
        listed: 0,
        isEnded: false,
        failures: [],
    };
    const read = gateway.tryDecodeHead(gateway.encodeHead(head as gateway.SubmissionHead));
    assert.equal(read, { ...head, hasProgress: false });
});

suite.run();
