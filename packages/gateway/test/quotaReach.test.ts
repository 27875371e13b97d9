import * as core from "@boragedale/core";
import * as gateway from "@boragedale/gateway";
import * as standins from "@boragedale/standins";
import * as uvu from "uvu";
import * as assert from "uvu/assert";

const suite = uvu.suite("quotaReach");

const WindowMilliseconds = 5_000;

interface Scene {
    readonly clock: core.VirtualClock;
    readonly reach: gateway.QuotaReach;
    /** Opens the links to so many of the other members. */
    readonly link: (count: number) => void;
    readonly unlink: (count: number) => void;
}

/** A keeper that is listed with nine others; who is linked is for the test to say. */
function createScene(): Scene {
    const clock = new core.VirtualClock();
    const hub = new standins.MemoryPeerHub();
    const ids = [...new Array(10).keys()].map(index => gateway.createMemberId(`member-${index}`, "1"));
    const self = { id: ids[0]!, dataCentre: "a", peerAddress: "127.0.0.1:1" };
    const members = new gateway.MemberDirectory(self);
    members.apply(
        ids.map((id, index) => ({
            key: gateway.MemberPrefix + id,
            revision: index + 1,
            value: gateway.encodeMember({ ...self, id }),
        })),
    );
    const reach = new gateway.QuotaReach({
        keepers: new gateway.QuotaKeepers(members),
        network: hub.createNetwork(self.id),
        clock,
        terms: { windowMilliseconds: WindowMilliseconds, overShare: 0.1, slack: 20 },
    });
    const link = (count: number): void => ids.slice(1, count + 1).forEach(id => void hub.createNetwork(id));
    const unlink = (count: number): void => ids.slice(1, count + 1).forEach(id => hub.remove(id));
    return { clock, reach, link, unlink };
}

// Guards against a keeper that has just started and refuses customers below their limits, since it takes members that it isn't linked to
// yet for lost.
suite("a keeper that has just started takes half of the members as known, however few links it has", async () => {
    const { clock, reach, link } = createScene();
    assert.is(reach.get(true).known, 0.5);
    await clock.advance(1_000);
    link(2);
    assert.is(reach.get(true).known, 0.5);
    link(9);
    await clock.advance(WindowMilliseconds + 1);
    assert.is(reach.get(true).known, 1);
});

suite("a keeper that has long run takes members whose links closed as lost for a window", async () => {
    const { clock, reach, link, unlink } = createScene();
    link(9);
    await clock.advance(2 * WindowMilliseconds);
    assert.is(reach.get(true).known, 1);
    unlink(8);
    assert.ok(Math.abs(reach.get(true).known - 0.2) < 1e-9);
    link(9);
    await clock.advance(WindowMilliseconds - 1);
    assert.ok(reach.get(true).known < 0.5);
    await clock.advance(2);
    assert.is(reach.get(true).known, 1);
});

suite.run();
