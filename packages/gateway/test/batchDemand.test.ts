import * as core from "@boragedale/core";
import * as decisions from "@boragedale/decisions";
import * as gateway from "@boragedale/gateway";
import * as protocol from "@boragedale/protocol";
import * as standins from "@boragedale/standins";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as fixtures from "./fixtures.js";
import * as testEngines from "./testEngines.js";
import * as testFleet from "./testFleet.js";

const suite = uvu.suite("batch under online demand");

const Slots = 8;
const Size = 24;

interface Member {
    readonly id: string;
    readonly slots: gateway.SlotSharing;
    readonly coordinators: gateway.CoordinatorDirectory;
    readonly candidates: readonly gateway.UpstreamEntry[];
    /** Upstreams on which this member was asked to give up a batch slot; it does so at once. */
    readonly yielded: string[];
    /** Reasons for which this member asked for slots. */
    readonly reasons: gateway.YieldReason[];
    /** Slack of this member's items, which it reports. */
    slack: number | undefined;
    /** This member's most urgent waiting item. */
    urgent: decisions.ItemEstimate | undefined;
}

interface Scene {
    readonly clock: core.VirtualClock;
    readonly hub: standins.MemoryPeerHub;
    readonly members: readonly Member[];
}

/** Creates a large fleet whose batch work follows the online demand. */
function createScene(engineCount: number): Scene {
    const clock = new core.VirtualClock();
    const hub = new standins.MemoryPeerHub();
    const ids = [...new Array(Size).keys()].map(index => gateway.createMemberId(`member-${index}`, "1"));
    const encode = (id: string): Uint8Array =>
        gateway.encodeMember({ id, dataCentre: "a", peerAddress: "127.0.0.1:1" });
    const entries = ids.map((id, index) => ({
        key: gateway.MemberPrefix + id,
        revision: index + 1,
        value: encode(id),
    }));
    const engines = [...new Array(engineCount).keys()].map(index => {
        const upstream = fixtures.createUpstream(`engine-${index}`, { slots: Slots });
        return fixtures.createEntry(`upstreams/engine-${index}`, index + 2, upstream);
    });
    const members = ids.map((id): Member => {
        const directory = new gateway.MemberDirectory({ id, dataCentre: "a", peerAddress: "127.0.0.1:1" });
        directory.apply(entries);
        const view = new gateway.FleetView(new fixtures.TestCodec(), () => undefined);
        view.apply([fixtures.createEntry("configuration", 1, fixtures.createConfiguration(1)), ...engines], 0);
        const coordinators = new gateway.CoordinatorDirectory(directory, view, clock);
        const reasons: gateway.YieldReason[] = [];
        const slots = new gateway.SlotSharing({
            slotTable: fixtures.createSlotTable(upstream => decisions.hashToUnit(`${id}/${upstream}`)),
            network: hub.createNetwork(id),
            clock,
            coordinators,
            dataCentre: "a",
            random: () => 0.5,
            onCoordinatorUnresponsive: () => undefined,
            policy: { ...gateway.DefaultLoadPolicy, batchReserve: gateway.BatchReserve.Demand },
            onYieldRequested: reason => reasons.push(reason),
        });
        const yielded: string[] = [];
        const candidates = view.getUsable("service", 0).map(known => known.entry);
        const member: Member = {
            id,
            slots,
            coordinators,
            candidates,
            yielded,
            reasons,
            slack: undefined,
            urgent: undefined,
        };
        const onYield = (upstream: string): void => {
            yielded.push(upstream);
            slots.release(upstream, true);
        };
        slots.connect(onYield, () => undefined, {
            tryGetSlack: () => member.slack,
            tryGetMostUrgent: () => member.urgent,
        });
        return member;
    });
    return { clock, hub, members };
}

function getCoordinator(scene: Scene, upstream: string): Member {
    const isCoordinator = (member: Member): boolean => member.slots.isOwnEngine(upstream);
    return core.Debug.checkDefined(scene.members.find(isCoordinator), "each engine has a coordinator");
}

/** Members that coordinate no engine. */
function getOthers(scene: Scene): readonly Member[] {
    return scene.members.filter(member => member.coordinators.getAllOwnEngines().length === 0);
}

function createItem(dueInMilliseconds: number): decisions.ItemEstimate {
    return { dueInMilliseconds, remainingMilliseconds: 4_000, eventsSoFar: 0 };
}

/** Requests a slot for an item, and takes it once it is granted. `granted` receives the member's name. */
function requestSlot(member: Member, granted: string[], item?: decisions.ItemEstimate): void {
    const use = (upstream: string): boolean => {
        member.slots.take(upstream, true, true);
        granted.push(member.id);
        return true;
    };
    member.slots.requestBatchSlots("service", 1, use, item === undefined ? [] : [item]);
}

/** Starts items of the member on its neighbour's only engine. */
async function startItems(scene: Scene, member: Member, count: number, dueInMilliseconds: number): Promise<void> {
    for (let index = 0; index < count; index++) {
        requestSlot(member, [], createItem(dueInMilliseconds));
        await scene.clock.advance(5);
    }
}

async function takeOnline(scene: Scene, member: Member): Promise<gateway.GrantedSlotChoice> {
    const choice = await testFleet.advanceUntilSettled(
        scene.clock,
        member.slots.chooseOnline("service", member.candidates),
    );
    const chosen = core.Debug.checkDefined(choice, "there is an engine");
    if (chosen.yielder !== undefined) {
        member.slots.requestYield(chosen.id, chosen.yielder);
    }
    member.slots.take(chosen.id, false, chosen.isCounted);
    return chosen;
}

function countYields(scene: Scene): number {
    return scene.members.reduce((sum, member) => sum + member.yielded.length, 0);
}

// Guards against batch runs that are preempted although another engine has a free slot, which were most of them.
suite("batch work yields only when neither an own engine nor a neighbour's has a free slot", async () => {
    const scene = createScene(2);
    const busy = getCoordinator(scene, "engine-0");
    for (let item = 0; item < Slots - 1; item++) {
        busy.slots.take("engine-0", true);
    }
    for (let request = 0; request < 1 + Slots; request++) {
        assert.is((await takeOnline(scene, busy)).waiting, 0);
    }
    assert.is(countYields(scene), 0);
    assert.equal(busy.slots.slotTable.getTotal("engine-0"), { online: 1, batch: Slots - 1 });
    assert.is((await takeOnline(scene, busy)).waiting, 0);
    assert.equal(busy.yielded, ["engine-0"]);
});

// Guards against a request without an own engine that waits although a neighbour's batch work can yield.
suite("a neighbour's batch work yields if no coordinator that was asked has a free slot", async () => {
    const scene = createScene(1);
    const [holder, requester] = getOthers(scene) as [Member, Member];
    await startItems(scene, holder, Slots - 1, 18_000);
    assert.is((await takeOnline(scene, requester)).waiting, 0);
    assert.is(countYields(scene), 0);
    assert.is((await takeOnline(scene, requester)).waiting, 0);
    assert.equal(holder.yielded, ["engine-0"]);
});

// Guards against a request without any upstream: the slots that could be yielded are gone when it asks for one of them.
suite("a request joins the queue of the coordinator that has no slot to yield any more", async () => {
    const scene = createScene(1);
    const coordinator = getCoordinator(scene, "engine-0");
    for (let item = 0; item < Slots; item++) {
        coordinator.slots.take("engine-0", true);
    }
    scene.hub.onSent = message => {
        if (message.kind === protocol.MessageKind.SlotRequest && message.allowsYield === undefined) {
            for (let slot = 0; slot < Slots; slot++) {
                coordinator.slots.release("engine-0", true);
                coordinator.slots.take("engine-0", false);
            }
        }
    };
    const choice = await takeOnline(scene, getOthers(scene)[0]!);
    assert.equal([choice.id, choice.waiting], ["engine-0", 1]);
});

// Guards against preempting an item that is almost due while an item of another member has time.
suite("the member whose item has the most slack yields", async () => {
    const scene = createScene(1);
    const [tight, relaxed, requester] = getOthers(scene) as [Member, Member, Member];
    await startItems(scene, tight, Slots - 2, 9_000);
    await startItems(scene, relaxed, 1, 18_000);
    await takeOnline(scene, requester);
    await takeOnline(scene, requester);
    assert.equal([tight.yielded, relaxed.yielded], [[], ["engine-0"]]);
});

// Guards against preempting an item that can be in time while another member has one that is late anyway. No notice tells
// of an item that has started on a granted slot.
suite("a member that was granted a slot for a late item yields first", async () => {
    const scene = createScene(1);
    const [late, relaxed, requester] = getOthers(scene) as [Member, Member, Member];
    await startItems(scene, late, 1, 12_000);
    await startItems(scene, relaxed, Slots - 3, 18_000);
    await startItems(scene, late, 1, 1_000);
    await takeOnline(scene, requester);
    await takeOnline(scene, requester);
    assert.equal([late.yielded, relaxed.yielded], [["engine-0"], []]);
});

// Guards against slots that go to the member that asked first while the item of another one becomes late.
suite("a freed slot is granted to the item that is due first, and an older peer's item isn't forgotten", async () => {
    const scene = createScene(1);
    const coordinator = getCoordinator(scene, "engine-0");
    for (let request = 0; request < Slots; request++) {
        await takeOnline(scene, coordinator);
    }
    const [patient, urgent, older] = getOthers(scene) as [Member, Member, Member];
    const granted: string[] = [];
    requestSlot(patient, granted, createItem(18_000));
    requestSlot(older, granted);
    requestSlot(urgent, granted, createItem(6_000));
    await scene.clock.advance(5);
    for (let request = 0; request < 4; request++) {
        coordinator.slots.release("engine-0", false);
    }
    await scene.clock.advance(5);
    assert.equal(granted, [urgent.id, older.id, patient.id]);
});

// Guards against a new request that overtakes, within the delay of the notice of free slots, an item that is due earlier.
suite("a slot left for the coordinator's own urgent item isn't granted to a later request", async () => {
    const scene = createScene(1);
    const coordinator = getCoordinator(scene, "engine-0");
    for (let request = 0; request < Slots; request++) {
        await takeOnline(scene, coordinator);
    }
    coordinator.urgent = createItem(6_000);
    coordinator.slots.release("engine-0", false);
    coordinator.slots.release("engine-0", false);
    const granted: string[] = [];
    const [patient, urgent] = getOthers(scene) as [Member, Member];
    requestSlot(patient, granted, createItem(18_000));
    await scene.clock.advance(5);
    assert.equal(granted, []);
    requestSlot(urgent, granted, createItem(5_000));
    await scene.clock.advance(5);
    assert.equal(granted, [urgent.id]);
});

// Guards against a YieldSlot notice that is lost: the online request would wait at the engine until an item ends.
suite("a lost yield notice is repeated", async () => {
    const scene = createScene(1);
    const coordinator = getCoordinator(scene, "engine-0");
    const [holder, requester] = getOthers(scene) as [Member, Member];
    await startItems(scene, holder, Slots - 1, 18_000);
    await takeOnline(scene, requester);
    scene.hub.inboundBlocked.add(holder.id);
    await takeOnline(scene, requester);
    scene.hub.inboundBlocked.delete(holder.id);
    assert.is(holder.yielded.length, 0);
    await scene.clock.advance(500);
    assert.is(holder.yielded.length, 1);
    assert.equal(coordinator.reasons, [gateway.YieldReason.NoFreeSlot, gateway.YieldReason.Repeated]);
});

// Guards against a preemption for every recent request of the engine when the notice of one of them is lost.
suite("only as many yield notices are repeated as were lost", async () => {
    const scene = createScene(1);
    const [holder, requester] = getOthers(scene) as [Member, Member];
    await startItems(scene, holder, Slots - 1, 18_000);
    await takeOnline(scene, requester);
    scene.hub.inboundBlocked.add(holder.id);
    await takeOnline(scene, requester);
    scene.hub.inboundBlocked.delete(holder.id);
    await takeOnline(scene, requester);
    await takeOnline(scene, requester);
    await scene.clock.advance(500);
    assert.is(holder.yielded.length, 3);
});

// Guards against a burst whose yields all go to the member with the most slack, which has only one item.
suite("a member isn't asked for more slots than its items have", async () => {
    const scene = createScene(1);
    const [tight, relaxed, requester] = getOthers(scene) as [Member, Member, Member];
    await startItems(scene, tight, Slots - 2, 9_000);
    await startItems(scene, relaxed, 1, 18_000);
    for (let request = 0; request < 3; request++) {
        await takeOnline(scene, requester);
    }
    assert.equal([tight.yielded, relaxed.yielded], [["engine-0"], ["engine-0"]]);
});

// Guards against control traffic for notices that report online requests only, which are most of them.
suite("a notice states slacks only of batch items", async () => {
    const scene = createScene(1);
    const notices: protocol.SlotUses[] = [];
    scene.hub.onSent = message => {
        if (message.kind === protocol.MessageKind.SlotUses) {
            notices.push(message);
        }
    };
    const [member] = getOthers(scene) as [Member];
    member.slots.take("engine-0", false);
    await scene.clock.advance(50);
    member.slack = 7_000;
    member.slots.take("engine-0", true);
    await scene.clock.advance(50);
    assert.equal(
        notices.map(({ slacks }) => slacks),
        [undefined, [["engine-0", 7_000]]],
    );
});

// Guards against slots that stay taken after the member that held them has died.
suite("the batch slots of a member that dies are granted again", async () => {
    const scene = createScene(1);
    const coordinator = getCoordinator(scene, "engine-0");
    const [dead, other] = getOthers(scene) as [Member, Member];
    await startItems(scene, dead, Slots - 1, 18_000);
    void coordinator.slots.run();
    scene.hub.remove(dead.id);
    await scene.clock.advance(13_000);
    const granted: string[] = [];
    requestSlot(other, granted, createItem(18_000));
    await scene.clock.advance(5);
    assert.equal(granted, [other.id]);
    await coordinator.slots[Symbol.asyncDispose]();
});

// Guards against a peer of an older version, which states no slack, keeping all its slots or yielding all of them first.
suite("an older peer's items yield after those with much slack and before those with little", async () => {
    for (const [dueInMilliseconds, isOlderFirst] of [
        [18_000, false],
        [6_000, true],
    ] as const) {
        const scene = createScene(1);
        const [older, newer, requester] = getOthers(scene) as [Member, Member, Member];
        requestSlot(older, []);
        await startItems(scene, newer, Slots - 2, dueInMilliseconds);
        await takeOnline(scene, requester);
        await takeOnline(scene, requester);
        assert.is(older.yielded.length, isOlderFirst ? 1 : 0);
        assert.is(newer.yielded.length, isOlderFirst ? 0 : 1);
    }
});

// Guards against a requester of an older version, which doesn't know `allowsYield`, getting no slot.
suite("a request that doesn't mention yields is granted a slot that batch work yields", async () => {
    const scene = createScene(1);
    const coordinator = getCoordinator(scene, "engine-0");
    for (let item = 0; item < Slots; item++) {
        coordinator.slots.take("engine-0", true);
    }
    const network = core.Debug.checkDefined(
        scene.hub.networks.get(getOthers(scene)[0]!.id),
        "the member has a network",
    );
    const request = { kind: protocol.MessageKind.SlotRequest, service: "service" } as const;
    const replyTo = async (message: protocol.SlotRequest): Promise<protocol.Message | undefined> => {
        const reply = await testFleet.advanceUntilSettled(scene.clock, network.request(coordinator.id, message));
        return reply.ok ? reply.message : undefined;
    };
    const refused = { kind: protocol.MessageKind.SlotReply, waiting: 0, free: Slots };
    assert.equal(await replyTo({ ...request, allowsYield: false }), refused);
    assert.is(coordinator.yielded.length, 0);
    assert.equal(await replyTo(request), { ...refused, upstream: "engine-0", free: 0 });
    assert.is(coordinator.yielded.length, 1);
});

// Guards against gauges that show the last values for ever after the fleet has shrunk.
suite("no online use is shown once coordinators no longer grant slots", async () => {
    const clock = new core.VirtualClock();
    let areSlotsGranted = true;
    const engine = fixtures.createUpstream("engine-0", { slots: Slots });
    const slotTable = fixtures.createSlotTable(() => 0);
    const reserve = new gateway.DemandReserve({
        slotTable,
        coordinators: {
            areSlotsGranted: () => areSlotsGranted,
            getAllOwnEngines: () => [engine],
        } as unknown as gateway.CoordinatorDirectory,
        clock,
        policy: { ...gateway.DefaultLoadPolicy, batchReserve: gateway.BatchReserve.Demand },
    });
    slotTable.take("engine-0", false);
    const stopper = new AbortController();
    const running = reserve.run(stopper.signal);
    await clock.advance(1_000);
    assert.equal(reserve.getOnlineUse(), { level: 1, peak: 1, keptFree: 1 });
    areSlotsGranted = false;
    assert.equal(reserve.getOnlineUse(), { level: 0, peak: 0, keptFree: 0 });
    stopper.abort();
    await running;
});

// Guards against items that the scheduler forgets or runs twice while batch work follows the demand, and against a yield
// in the log from which operators can't tell whether an item had time to spare.
suite("a preempted item is logged with its slack and continues after its last event", async () => {
    const policy = { ...gateway.DefaultLoadPolicy, batchReserve: gateway.BatchReserve.Demand };
    const fleet = await testFleet.createFleet(gateway.NeighbourCount + 3, 1, policy);
    const owner = fleet.members[0]!;
    await testFleet.submit(fleet, owner, "s", fixtures.createItems(10));
    await fleet.clock.advance(50);
    owner.scheduler.yieldSlot("engine-0");
    await fleet.clock.advance(4_000);
    const results = await testFleet.readAll(fleet, owner, "s");
    assert.is(results?.length, 10);
    results?.forEach(result => assert.is(result.text, testEngines.getExpectedText(result.id)));
    const yields = owner.log.events.filter(({ event }) => event === gateway.GatewayEvent.ItemYielded);
    assert.is(yields.length, 1);
    const slack = Number(yields[0]?.fields["slackMilliseconds"]);
    assert.ok(slack > 15_000 && slack <= 18_000, `${slack}`);
    const resumed = fleet.channels.runs.filter(run => run.after !== undefined);
    assert.equal(
        resumed.map(run => run.item),
        [yields[0]?.fields["item"]],
    );
});

// Guards against processor time that grows with the waiting items and the upstreams: all items are tried at each dispatch.
suite("a dispatch looks up the usable upstreams a few times, however many items wait", async () => {
    const policy = { ...gateway.DefaultLoadPolicy, batchReserve: gateway.BatchReserve.Demand };
    const fleet = await testFleet.createFleet(gateway.NeighbourCount + 3, 1, policy);
    const owner = fleet.members[0]!;
    await testFleet.submit(fleet, owner, "s", fixtures.createItems(100));
    await fleet.clock.advance(100);
    let lookups = 0;
    const getUsable = owner.view.getUsable.bind(owner.view);
    owner.view.getUsable = (service, now) => {
        lookups++;
        return getUsable(service, now);
    };
    owner.scheduler.dispatch();
    await fleet.clock.advance(30);
    assert.ok(lookups > 0 && lookups < 20, `${lookups}`);
});

suite.run();
