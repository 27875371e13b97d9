import * as core from "@boragedale/core";
import * as decisions from "@boragedale/decisions";
import * as gateway from "@boragedale/gateway";
import * as protocol from "@boragedale/protocol";
import * as standins from "@boragedale/standins";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as fixtures from "./fixtures.js";

const suite = uvu.suite("onlineWaiting");

const Slots = 2;

interface Member {
    readonly id: string;
    readonly slots: gateway.SlotSharing;
    readonly candidates: readonly gateway.UpstreamEntry[];
}

interface Fleet {
    readonly clock: core.VirtualClock;
    readonly hub: standins.MemoryPeerHub;
    /** Coordinator of the first engine. */
    readonly coordinator: Member;
    /** Members that coordinate no engine. */
    readonly others: readonly Member[];
    readonly members: readonly Member[];
}

/** Creates a fleet in which coordinators grant slots. */
function createFleet(
    engines: readonly string[] = ["engine"],
    batchReserve: gateway.BatchReserve = gateway.BatchReserve.Fixed,
): Fleet {
    const clock = new core.VirtualClock();
    const hub = new standins.MemoryPeerHub();
    const ids = [...new Array(20).keys()].map(index => gateway.createMemberId(`member-${index}`, "1"));
    const entries = ids.map((id, index) => ({
        key: gateway.MemberPrefix + id,
        revision: index + 1,
        value: gateway.encodeMember({ id, dataCentre: "a", peerAddress: "127.0.0.1:1" }),
    }));
    const upstreams = engines.map((name, index) =>
        fixtures.createEntry(`upstreams/${name}`, index + 2, fixtures.createUpstream(name, { slots: Slots })),
    );
    const members = ids.map((id): Member => {
        const directory = new gateway.MemberDirectory({ id, dataCentre: "a", peerAddress: "127.0.0.1:1" });
        directory.apply(entries);
        const view = new gateway.FleetView(new fixtures.TestCodec(), () => undefined);
        view.apply([fixtures.createEntry("configuration", 1, fixtures.createConfiguration(1))], 0);
        view.apply(upstreams, 0);
        const slots = new gateway.SlotSharing({
            slotTable: fixtures.createSlotTable(() => 0),
            network: hub.createNetwork(id),
            clock,
            coordinators: new gateway.CoordinatorDirectory(directory, view, clock),
            dataCentre: "a",
            random: () => 0.5,
            onCoordinatorUnresponsive: () => undefined,
            policy: { ...gateway.DefaultLoadPolicy, onlineOrder: gateway.OnlineOrder.Shares, batchReserve },
        });
        return { id, slots, candidates: view.getUsable("service", 0).map(({ entry }) => entry) };
    });
    const coordinator = getCoordinator(members, "engine");
    const others = members.filter(({ slots }) => !engines.some(engine => slots.isOwnEngine(engine)));
    return { clock, hub, coordinator, others, members };
}

function getCoordinator(members: readonly Member[], engine: string): Member {
    const coordinator = members.find(({ slots }) => slots.isOwnEngine(engine));
    return core.Debug.checkDefined(coordinator, "each engine has a coordinator");
}

interface Placing {
    outcome: gateway.OnlineOutcome | undefined;
}

/** Starts to look for a slot, and takes it once it is granted. */
function place(member: Member, share: string, change: Partial<gateway.OnlineRequest> = {}): Placing {
    const placing: Placing = { outcome: undefined };
    const request = {
        share,
        weight: 1,
        priority: 0,
        remainingMilliseconds: 5_000,
        waitMilliseconds: 2_000,
        isRefusable: true,
        isWanted: () => true,
        ...change,
    };
    void member.slots.placeOnline("service", member.candidates, request).then(outcome => {
        placing.outcome = outcome;
        if (outcome.kind === gateway.OnlineOutcomeKind.Chosen) {
            member.slots.take(outcome.choice.id, false, outcome.choice.isCounted);
        }
    });
    return placing;
}

async function fill({ clock, coordinator }: Fleet): Promise<void> {
    for (let slot = 0; slot < Slots; slot++) {
        place(coordinator, "running");
        await clock.advance(1);
    }
}

async function free({ clock, coordinator }: Fleet): Promise<void> {
    coordinator.slots.release("engine", false);
    await clock.advance(1);
}

function isPlaced({ outcome }: Placing): boolean {
    return outcome?.kind === gateway.OnlineOutcomeKind.Chosen && outcome.choice.isCounted;
}

// One customer sends a burst to several members before another sends a single request. In order of arrival, the single
// request would be the last to get a slot.
suite("a freed slot goes to the customer that uses less than its share", async () => {
    const fleet = createFleet();
    await fill(fleet);
    const burst = [];
    for (let index = 0; index < 4; index++) {
        burst.push(place(fleet.others[index]!, "busy"));
        await fleet.clock.advance(1);
    }
    const single = place(fleet.others[5]!, "quiet");
    await fleet.clock.advance(1);
    await free(fleet);
    await free(fleet);
    assert.ok(isPlaced(single));
    assert.is(burst.filter(isPlaced).length, 1);
    assert.is(fleet.coordinator.slots.getWaitingOnlineCount(), 3);
    assert.equal(fleet.coordinator.slots.slotTable.getTotal("engine"), { online: Slots, batch: 0 });
});

// A peak exceeds the slots. A caller that waits until its latency target has passed has lost the time for a retry.
suite("a request that would wait past its latency target is refused at once", async () => {
    const fleet = createFleet();
    await fill(fleet);
    const placing = place(fleet.others[0]!, "customer", { waitMilliseconds: 200 });
    await fleet.clock.advance(1);
    const { outcome } = placing;
    assert.ok(outcome?.kind === gateway.OnlineOutcomeKind.Refused && outcome.expectedWaitMilliseconds > 200);
    const retries = [1, 300, 5_000].map(wait => decisions.getOnlineRetryAfter(wait, () => 0.5));
    assert.equal(retries, [150, 450, 1_500]);
});

// The engine that ran a stream was lost, and a refusal would interrupt the answer that the caller has begun to read.
suite("a request that has run is not refused", async () => {
    const fleet = createFleet();
    await fill(fleet);
    const placing = place(fleet.others[0]!, "customer", { waitMilliseconds: 200, isRefusable: false });
    await fleet.clock.advance(1);
    assert.is(placing.outcome?.kind, gateway.OnlineOutcomeKind.Chosen);
});

// A coordinator dies while a request waits there. The request must not end without an answer or wait until its deadline.
suite("a request whose coordinator dies waits at another one", async () => {
    const fleet = createFleet(["engine", "spare"]);
    const spare = getCoordinator(fleet.members, "spare");
    for (let slot = 0; slot < 2 * Slots; slot++) {
        place(spare, "running");
        await fleet.clock.advance(1);
    }
    // The first wait is the shortest, and its link closes after 50 ms.
    fleet.hub.networks.get(fleet.coordinator.id)?.handle(protocol.MessageKind.SlotRequest, async message => {
        if (message.waitMilliseconds !== undefined) {
            await fleet.clock.sleep(50);
            return undefined;
        }
        return { kind: protocol.MessageKind.SlotReply, waiting: 1, free: 0, expectedWaitMilliseconds: 1 };
    });
    const placing = place(fleet.others[0]!, "customer");
    await fleet.clock.advance(10);
    assert.is(spare.slots.getWaitingOnlineCount(), 0);
    await fleet.clock.advance(50);
    assert.is(spare.slots.getWaitingOnlineCount(), 1);
    spare.slots.release("spare", false);
    await fleet.clock.advance(1);
    assert.ok(isPlaced(placing));
});

// The only coordinator is cut off. Its callers must be answered while they can still go elsewhere.
suite("a request that waits at a coordinator that is cut off ends when its wait is over", async () => {
    const fleet = createFleet();
    await fill(fleet);
    const placing = place(fleet.others[0]!, "customer");
    await fleet.clock.advance(10);
    assert.is(fleet.coordinator.slots.getWaitingOnlineCount(), 1);
    fleet.hub.remove(fleet.coordinator.id);
    await fleet.clock.advance(2_100);
    assert.is(placing.outcome?.kind, gateway.OnlineOutcomeKind.Refused);
    assert.is(fleet.coordinator.slots.getWaitingOnlineCount(), 0);
});

// A requester dies while its request waits. The next freed slot must not be granted to it.
suite("requests of a removed member are dropped", async () => {
    const fleet = createFleet();
    await fill(fleet);
    place(fleet.others[0]!, "first");
    await fleet.clock.advance(1);
    const second = place(fleet.others[1]!, "second");
    await fleet.clock.advance(1);
    fleet.coordinator.slots.forget([fleet.others[0]!.id]);
    await free(fleet);
    assert.ok(isPlaced(second));
    assert.is(fleet.coordinator.slots.getWaitingOnlineCount(), 0);
});

// A caller leaves while its request waits at its own instance. A slot granted to it would be idle, or lost for ever.
suite("a request whose caller has left is not granted a slot", async () => {
    const fleet = createFleet();
    await fill(fleet);
    let isWanted = true;
    const left = place(fleet.coordinator, "left", { isWanted: () => isWanted });
    const next = place(fleet.others[0]!, "next");
    await fleet.clock.advance(1);
    isWanted = false;
    await free(fleet);
    assert.not(isPlaced(left));
    assert.ok(isPlaced(next));
    assert.equal(fleet.coordinator.slots.slotTable.getTotal("engine"), { online: Slots, batch: 0 });
});

// A waiting request is granted a slot of its own instance, but its deadline passes before it takes the slot.
suite("an own slot that was granted and is returned goes to the next request", async () => {
    const fleet = createFleet();
    await fill(fleet);
    const { slots, candidates } = fleet.coordinator;
    const request = { share: "late", weight: 1, priority: 0, remainingMilliseconds: 5_000, waitMilliseconds: 2_000 };
    const returned = slots
        .placeOnline("service", candidates, { ...request, isRefusable: true, isWanted: () => true })
        .then(() => slots.returnSlot("engine"));
    const next = place(fleet.others[0]!, "next");
    await fleet.clock.advance(1);
    await free(fleet);
    await returned;
    await fleet.clock.advance(1);
    assert.ok(isPlaced(next));
    assert.equal(slots.slotTable.getTotal("engine"), { online: Slots, batch: 0 });
});

// A grant is sent, but the requester has lost the link and gives up. The slot must not be counted as used for ever.
suite("a slot granted to a requester that gave up is returned", async () => {
    const fleet = createFleet();
    await fill(fleet);
    place(fleet.others[0]!, "customer", { waitMilliseconds: 1_500 });
    await fleet.clock.advance(1);
    fleet.hub.inboundBlocked.add(fleet.others[0]!.id);
    await free(fleet);
    assert.is(fleet.coordinator.slots.slotTable.getTotal("engine").online, Slots);
    await fleet.clock.advance(100);
    assert.is(fleet.coordinator.slots.slotTable.getTotal("engine").online, Slots - 1);
});

// During a rollout, instances of the previous version ask and answer. Neither may take the other's reply for a refusal.
suite("a request of the previous version is told an engine's queue, and never waits", async () => {
    const fleet = createFleet();
    await fill(fleet);
    const network = core.Debug.checkDefined(fleet.hub.networks.get(fleet.others[0]!.id), "the member has a network");
    const reply = await network.request(fleet.coordinator.id, {
        kind: protocol.MessageKind.SlotRequest,
        service: "service",
    });
    const message = { kind: protocol.MessageKind.SlotReply, upstream: "engine", waiting: 1, free: 0 };
    assert.equal(reply, { ok: true, message });
});

suite("a request joins an engine's queue if the coordinator is of the previous version", async () => {
    const fleet = createFleet();
    await fill(fleet);
    fleet.hub.networks.get(fleet.coordinator.id)?.handle(protocol.MessageKind.SlotRequest, async () => ({
        kind: protocol.MessageKind.SlotReply,
        upstream: "engine",
        waiting: 2,
        free: 0,
    }));
    const placing = place(fleet.others[0]!, "customer");
    await fleet.clock.advance(1);
    const choice = { id: "engine", waiting: 2, yielder: undefined, isCounted: false };
    assert.equal(placing.outcome, { kind: gateway.OnlineOutcomeKind.Chosen, choice });
});

// A batch item and an online request wait for the same engine. The caller of the online request has far less time.
suite("a freed slot goes to a waiting online request before a batch item", async () => {
    const fleet = createFleet();
    await fill(fleet);
    let granted: string | undefined;
    fleet.others[1]!.slots.requestBatchSlots("service", 1, upstream => {
        granted = upstream;
        return true;
    });
    const placing = place(fleet.others[0]!, "customer");
    await fleet.clock.advance(1);
    await free(fleet);
    assert.ok(isPlaced(placing));
    assert.is(granted, undefined);
});

// At a peak, an online request that preempts batch work while a slot is free elsewhere wastes what the item has done.
suite("batch work yields only after all asked coordinators had no free slot, and before a request waits", async () => {
    const fleet = createFleet(["engine", "spare"], gateway.BatchReserve.Demand);
    const spare = getCoordinator(fleet.members, "spare");
    const yielded: string[] = [];
    fleet.coordinator.slots.connect(
        upstream => {
            yielded.push(upstream);
            fleet.coordinator.slots.release(upstream, true);
        },
        () => undefined,
    );
    for (let slot = 0; slot < Slots; slot++) {
        fleet.coordinator.slots.take("engine", true);
        spare.slots.take("spare", false);
    }
    spare.slots.release("spare", false);
    const first = place(fleet.others[0]!, "customer");
    await fleet.clock.advance(5);
    assert.ok(isPlaced(first));
    assert.equal(yielded, []);
    const second = place(fleet.others[0]!, "customer");
    await fleet.clock.advance(5);
    assert.ok(isPlaced(second));
    assert.equal(yielded, ["engine"]);
    assert.is(fleet.coordinator.slots.getWaitingOnlineCount() + spare.slots.getWaitingOnlineCount(), 0);
});

// Where demand exceeds the slots, asking six coordinators for each request would cost their processors more than the
// requests are worth.
suite("a request asks no more than two coordinators that had no free slot a moment ago", async () => {
    const fleet = createFleet(["engine", ...[...new Array(7).keys()].map(index => `engine-${index}`)]);
    let asked = 0;
    for (const { id } of fleet.members) {
        fleet.hub.networks.get(id)?.handle(protocol.MessageKind.SlotRequest, async () => {
            asked++;
            return { kind: protocol.MessageKind.SlotReply, waiting: 1, free: 0, expectedWaitMilliseconds: 5_000 };
        });
    }
    const placeOne = async (): Promise<number> => {
        asked = 0;
        place(fleet.others[0]!, "customer");
        await fleet.clock.advance(5);
        return asked;
    };
    const coordinators = fleet.members.filter(({ slots }) => fleet.others.every(other => other.slots !== slots));
    assert.is(await placeOne(), Math.min(6, coordinators.length));
    await placeOne();
    assert.is(await placeOne(), 2);
    await fleet.clock.advance(400);
    assert.is(await placeOne(), Math.min(6, coordinators.length));
});

suite.run();
