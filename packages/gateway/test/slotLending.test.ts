import * as core from "@boragedale/core";
import * as decisions from "@boragedale/decisions";
import * as gateway from "@boragedale/gateway";
import * as protocol from "@boragedale/protocol";
import * as standins from "@boragedale/standins";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as fixtures from "./fixtures.js";
import * as testFleet from "./testFleet.js";

const suite = uvu.suite("slotGranting");

const Slots = 7;

interface Member {
    readonly id: string;
    readonly slots: gateway.SlotSharing;
    readonly coordinators: gateway.CoordinatorDirectory;
    readonly view: gateway.FleetView;
    /** Upstreams on which this member was asked to give up a batch slot. */
    readonly yielded: string[];
    /** Coordinators that did not answer this member. */
    readonly unresponsive: readonly string[];
}

interface Fleet {
    readonly clock: core.VirtualClock;
    readonly hub: standins.MemoryPeerHub;
    readonly members: readonly Member[];
    /** Chooses and takes the slot for an online request of a member. */
    readonly takeOnlineSlot: (member: Member) => Promise<gateway.GrantedSlotChoice>;
    /** Online requests on an engine, over all members. */
    readonly countOnline: (upstream: string) => number;
}

/** Creates a fleet that is too large for every member to be linked to all others, with as many engines. */
function createFleet(size = 24, engineCount = size): Fleet {
    const clock = new core.VirtualClock();
    const hub = new standins.MemoryPeerHub();
    const ids = [...new Array(size).keys()].map(index => gateway.createMemberId(`member-${index}`, "1"));
    const entries = ids.map((id, index) => ({
        key: gateway.MemberPrefix + id,
        revision: index + 1,
        value: gateway.encodeMember({ id, dataCentre: "a", peerAddress: "127.0.0.1:1" }),
    }));
    const engines = [...new Array(engineCount).keys()].map(index =>
        fixtures.createEntry(
            `upstreams/engine-${index}`,
            index + 2,
            fixtures.createUpstream(`engine-${index}`, { slots: Slots }),
        ),
    );
    const members = ids.map(id => {
        const directory = new gateway.MemberDirectory({ id, dataCentre: "a", peerAddress: "127.0.0.1:1" });
        directory.apply(entries);
        const view = new gateway.FleetView(new fixtures.TestCodec(), () => undefined);
        view.apply([fixtures.createEntry("configuration", 1, fixtures.createConfiguration(1)), ...engines], 0);
        const coordinators = new gateway.CoordinatorDirectory(directory, view, clock);
        const slotTable = new decisions.SlotTable(
            () => 0.5,
            upstream => decisions.hashToUnit(`${id}/${upstream}`),
        );
        const network = hub.createNetwork(id);
        let drawn = 0;
        const random = (): number => decisions.hashToUnit(`${id}/${drawn++}`);
        const unresponsive: string[] = [];
        const onCoordinatorUnresponsive = (coordinator: string): number => unresponsive.push(coordinator);
        const parts = {
            board: slotTable,
            network,
            clock,
            homes: coordinators,
            dataCentre: "a",
            random,
            onHomeSilent: onCoordinatorUnresponsive,
        };
        const slots = new gateway.SlotSharing(parts);
        const yielded: string[] = [];
        slots.connect(
            upstream => yielded.push(upstream),
            () => undefined,
        );
        return { id, slots, coordinators, view, yielded, unresponsive };
    });
    const takeOnlineSlot = async (member: Member): Promise<gateway.GrantedSlotChoice> => {
        const usable = member.view.getUsable("service", clock.now()).map(known => known.entry);
        const choice = await testFleet.advanceUntilSettled(clock, member.slots.chooseOnline("service", usable));
        const chosen = core.Debug.checkDefined(choice, "there is an engine");
        member.slots.take(chosen.id, false, chosen.isCounted);
        return chosen;
    };
    const countOnline = (upstream: string): number =>
        members.reduce((sum, member) => sum + member.slots.slotTable.getOwn(upstream).online, 0);
    return { clock, hub, members, takeOnlineSlot, countOnline };
}

function getCoordinator(fleet: Fleet, upstream: string): Member {
    const coordinator = fleet.members.find(
        member => member.coordinators.tryGetCoordinator(upstream) === decisions.SelfInstance,
    );
    return core.Debug.checkDefined(coordinator, "each engine has a coordinator");
}

// The load balancer sends a burst to one instance. Its own engine is full after seven requests, and it does not know
// the use of the others. By its own counts alone it would choose blindly and use engines that others have filled; the
// coordinators know where slots are free.
suite("a burst at one member takes free slots of its neighbours, and joins no queue", async () => {
    const fleet = createFleet();
    const [busy, other] = fleet.members as [Member, Member];
    for (let request = 0; request < 4 * Slots; request++) {
        await fleet.takeOnlineSlot(other);
    }
    for (let request = 0; request < 8 * Slots; request++) {
        assert.is((await fleet.takeOnlineSlot(busy)).waiting, 0);
    }
    for (let index = 0; index < fleet.members.length; index++) {
        assert.ok(fleet.countOnline(`engine-${index}`) <= Slots);
    }
});

// All members send at once, almost as many requests as there are slots. Two members that see the same free slot must not
// both be granted it.
suite("members that ask at the same moment are granted different slots", async () => {
    const fleet = createFleet();
    for (let round = 0; round < Slots - 1; round++) {
        await Promise.all(fleet.members.map(member => fleet.takeOnlineSlot(member)));
    }
    for (let index = 0; index < fleet.members.length; index++) {
        assert.ok(
            fleet.countOnline(`engine-${index}`) <= Slots,
            `engine-${index}: ${fleet.countOnline(`engine-${index}`)}`,
        );
    }
});

// A stream ends. The next request gets its slot, whichever member receives it: the coordinator is notified within the
// delay of a notice.
suite("a freed slot is granted again", async () => {
    const fleet = createFleet(24, 1);
    const coordinator = getCoordinator(fleet, "engine-0");
    const requester = fleet.members.find(member => member !== coordinator)!;
    const choices = [];
    for (let request = 0; request < Slots; request++) {
        choices.push(await fleet.takeOnlineSlot(requester));
    }
    const [late] = [await fleet.takeOnlineSlot(requester)];
    assert.ok(late.waiting > 0);
    requester.slots.release(late.id, false);
    requester.slots.release(choices[0]!.id, false);
    await fleet.clock.advance(30);
    assert.is((await fleet.takeOnlineSlot(requester)).waiting, 0);
});

// A member is cut off from all others while the members around it work. Its callers are served on whatever engine it
// finds, and no requests of other members wait for it.
suite("a member that is cut off affects only its own callers", async () => {
    const fleet = createFleet();
    const [cut, ...others] = fleet.members as [Member, ...Member[]];
    fleet.hub.offline.add(cut.id);
    assert.is((await fleet.takeOnlineSlot(cut)).waiting, 0);
    for (let request = 0; request < 6 * Slots; request++) {
        assert.is((await fleet.takeOnlineSlot(others[request % others.length]!)).waiting, 0);
    }
});

// A coordinator stops answering while its links are open, as when its process is paused. The callers of its neighbours
// use other engines, and it is asked once a second instead of once a request.
suite("a coordinator that doesn't answer is skipped for a second", async () => {
    const fleet = createFleet();
    const [busy, paused] = fleet.members as [Member, Member];
    fleet.hub.networks.get(paused.id)?.handle(protocol.MessageKind.SlotRequest, async () => undefined);
    for (let request = 0; request < 10 * Slots; request++) {
        await fleet.takeOnlineSlot(busy);
    }
    assert.ok(
        busy.unresponsive.length <= 1 + Math.ceil(fleet.clock.now() / 1_000),
        `${busy.unresponsive.length} times`,
    );
});

// Batch work of one member fills the engine that another coordinates. An online request gets a slot there at once: the
// coordinator asks the holder to give one up.
suite("a coordinator makes batch work of a requester yield its slot to an online request", async () => {
    const fleet = createFleet(24, 1);
    const coordinator = getCoordinator(fleet, "engine-0");
    const requester = fleet.members.find(member => member !== coordinator)!;
    const onlineRequester = fleet.members.find(member => member !== coordinator && member !== requester)!;
    let granted = 0;
    for (let round = 0; round < Slots; round++) {
        requester.slots.requestBatchSlots("service", 1, upstream => {
            requester.slots.take(upstream, true, true);
            granted++;
            return true;
        });
        await fleet.clock.advance(5);
    }
    assert.is(granted, Slots - 1, "one slot stays free for online work");
    assert.is((await fleet.takeOnlineSlot(onlineRequester)).waiting, 0);
    assert.equal(requester.yielded, ["engine-0"]);
});

// Items wait at the coordinator of a full engine, and no member polls: the slot is granted to the first of them when it
// is freed.
suite("a batch item waits at the coordinator until a slot is freed", async () => {
    const fleet = createFleet(24, 1);
    const coordinator = getCoordinator(fleet, "engine-0");
    const requester = fleet.members.find(member => member !== coordinator)!;
    const held = [];
    for (let request = 0; request < Slots; request++) {
        held.push(await fleet.takeOnlineSlot(coordinator));
    }
    let granted: string | undefined;
    requester.slots.requestBatchSlots("service", 1, upstream => {
        granted = upstream;
        return true;
    });
    await fleet.clock.advance(100);
    assert.is(granted, undefined);
    coordinator.slots.release("engine-0", false);
    coordinator.slots.release("engine-0", false);
    await fleet.clock.advance(10);
    assert.is(granted, "engine-0");
});

// The requester's items ended while it waited for a slot. The coordinator must not go on counting the slot as taken.
suite("a granted slot that is not used is returned", async () => {
    const fleet = createFleet(24, 1);
    const coordinator = getCoordinator(fleet, "engine-0");
    const requester = fleet.members.find(member => member !== coordinator)!;
    requester.slots.requestBatchSlots("service", 1, () => false);
    await fleet.clock.advance(50);
    assert.equal(coordinator.slots.slotTable.getTotal("engine-0"), { online: 0, batch: 0 });
});

// The coordinator grants a slot as the requester's wait ends, and the answer is lost. If the requester sends no notice,
// or disappears, the coordinator would count the slot as taken for ever, and the engine would lose capacity.
suite("a granted slot is returned if the answer was lost", async () => {
    const fleet = createFleet(24, 1);
    const coordinator = getCoordinator(fleet, "engine-0");
    const requester = fleet.members.find(member => member !== coordinator)!;
    fleet.hub.inboundBlocked.add(requester.id);
    requester.slots.requestBatchSlots("service", 1, () => true);
    await fleet.clock.advance(50);
    assert.equal(coordinator.slots.slotTable.getTotal("engine-0"), { online: 0, batch: 0 });
    fleet.hub.inboundBlocked.delete(requester.id);
    await fleet.clock.advance(1_100);
    void coordinator.slots.run();
    requester.slots.requestBatchSlots("service", 1, () => true);
    await fleet.clock.advance(1_500);
    assert.is(coordinator.slots.slotTable.getTotal("engine-0").batch, 1);
    await fleet.clock.advance(12_000);
    assert.is(coordinator.slots.slotTable.getTotal("engine-0").batch, 0, "the requester sent no further notice");
    await coordinator.slots[Symbol.asyncDispose]();
});

suite.run();
