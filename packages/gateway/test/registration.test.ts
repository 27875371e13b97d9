import * as gateway from "@boragedale/gateway";
import * as fixtures from "./fixtures.js";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as testFleet from "./testFleet.js";

const suite = uvu.suite("registration");

/** Adds a member whose first transactions are carried out late and without an answer. */
function addMemberWithLateWrites(
    fleet: testFleet.TestFleet,
    count: number,
    milliseconds: number,
): testFleet.TestMember {
    const member = fleet.addMember();
    member.store.faults.delayedTransactions = count;
    member.store.faults.transactionDelayMilliseconds = milliseconds;
    return member;
}

function isListed(fleet: testFleet.TestFleet, member: testFleet.TestMember): boolean {
    return fleet.metadata.get(gateway.MemberPrefix + member.id) !== undefined;
}

// Guards against an entry that a late write puts under a lease that nobody renews: it is removed with that lease, and the
// member, which renews a later lease, is unlisted for good.
for (const milliseconds of [400, 1_000, 2_000, 3_500, 6_000]) {
    for (const count of [1, 2, 3]) {
        suite(`${count} registrations carried out ${milliseconds} ms late don't unlist the member`, async () => {
            const fleet = await testFleet.createFleet(2);
            const member = addMemberWithLateWrites(fleet, count, milliseconds);
            await fleet.clock.advance(8_000);
            for (let second = 0; second < 20; second++) {
                await fleet.clock.advance(1_000);
                assert.ok(isListed(fleet, member), `unlisted after ${second} s`);
            }
        });
    }
}

// Guards against a member that stays unlisted because the renewals of its lease succeed.
suite("a member whose entry was removed while its lease goes on is listed again", async () => {
    const fleet = await testFleet.createFleet(2);
    const [member] = fleet.members;
    fleet.metadata.remove(gateway.MemberPrefix + member!.id);
    await fleet.clock.advance(3_000);
    assert.ok(isListed(fleet, member!));
});

// Guards against accepted work that is never run: two members were unlisted for good, and their peer that had accepted the
// work was removed for good, so nobody took it over.
suite("members whose registrations were late take over the submissions of a killed member", async () => {
    const fleet = await testFleet.createFleet(0);
    const late = [addMemberWithLateWrites(fleet, 1, 2_000), addMemberWithLateWrites(fleet, 1, 2_000)];
    await fleet.clock.advance(6_000);
    const owner = fleet.addMember();
    await fleet.clock.advance(4_000);
    assert.equal(await testFleet.submit(fleet, owner, "s", fixtures.createItems(3)), { ok: true });
    owner.kill();
    await fleet.clock.advance(18_000);
    assert.is((await testFleet.readAll(fleet, late[0]!, "s"))?.length, 3);
});

// Guards against a lease that is replaced after a failed write and then keeps a second entry's lifetime.
suite("a registration whose answer is lost is kept", async () => {
    const fleet = await testFleet.createFleet(1);
    const member = fleet.addMember();
    member.store.faults.lostReplies = 1;
    await fleet.clock.advance(20_000);
    assert.ok(isListed(fleet, member));
    assert.is(fleet.metadata.calls.get("grantLease"), 2, "one lease for each member");
});

suite.run();
