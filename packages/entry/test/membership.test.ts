import * as core from "@boragedale/core";
import * as entry from "@boragedale/entry";
import * as backing from "@boragedale/backing";
import * as protocol from "@boragedale/protocol";
import * as standins from "@boragedale/standins";
import * as uvu from "uvu";
import * as assert from "uvu/assert";

const suite = uvu.suite("membership");

/** An instance list that a test sets. `undefined` means that it can't be read. */
class TestInstanceList extends backing.InstanceList {
    instances: readonly core.InstanceDescription[] | undefined = [];

    override async tryRead(): Promise<readonly core.InstanceDescription[] | undefined> {
        return this.instances;
    }
}

interface Fixture {
    readonly clock: core.VirtualClock;
    readonly list: TestInstanceList;
    readonly hub: standins.MemoryPeerHub;
    readonly membership: entry.membership.FleetMembership;
}

async function createFixture(...others: readonly string[]): Promise<Fixture> {
    const clock = new core.VirtualClock();
    const list = new TestInstanceList();
    const self = createInstance("entry-0");
    list.instances = [self, ...others.map(id => createInstance(id))];
    const hub = new standins.MemoryPeerHub();
    const membership = await entry.membership.FleetMembership.start({ self, instanceList: list, clock });
    membership.attach(hub.createNetwork("entry-0"));
    return { clock, list, hub, membership };
}

function createInstance(
    id: core.InstanceId,
    dataCentre = "colombo-1",
    state = core.LifecycleState.Live,
): core.InstanceDescription {
    const peerUrl = `ws://127.0.0.1/${id}`;
    return { id, dataCentre, state, callerUrl: "", peerUrl, operatorUrl: "" };
}

function beat(hub: standins.MemoryPeerHub, from: core.InstanceId, state = core.LifecycleState.Live): void {
    const network = hub.networks.get(from) ?? hub.createNetwork(from);
    const heartbeat: protocol.Heartbeat = {
        kind: protocol.MessageKind.Heartbeat,
        generation: 4,
        logicalTime: 1,
        state,
    };
    network.notify("entry-0", heartbeat);
}

function getLive(membership: protocol.Membership): readonly core.InstanceId[] {
    return membership.getLiveInstances().map(instance => instance.id);
}

suite("membership follows the list and stays unchanged while it can't be read", async () => {
    const { clock, list, membership } = await createFixture("entry-1", "entry-2");
    await using owned = membership;
    assert.equal(getLive(owned), ["entry-0", "entry-1", "entry-2"]);
    list.instances = [createInstance("entry-0"), createInstance("entry-2"), createInstance("entry-3")];
    await clock.advance(2_000);
    assert.equal(getLive(owned), ["entry-0", "entry-2", "entry-3"]);
    list.instances = undefined;
    await clock.advance(10_000);
    assert.equal(getLive(owned), ["entry-0", "entry-2", "entry-3"]);
});

// An instance that stops notifies its peers. The list shows it as live for seconds, but it must get no new assignments.
suite("a leaving message takes effect at once, whatever the list says", async () => {
    const { clock, hub, membership } = await createFixture("entry-1", "entry-2");
    await using owned = membership;
    const leaving: protocol.Leaving = { kind: protocol.MessageKind.Leaving, instance: "entry-1" };
    hub.createNetwork("entry-1").notify("entry-0", leaving);
    beat(hub, "entry-2", core.LifecycleState.Leaving);
    await clock.advance(0);
    assert.equal(getLive(owned), ["entry-0"]);
    beat(hub, "entry-1");
    await clock.advance(4_000);
    assert.equal(getLive(owned), ["entry-0"]);
});

// A data centre is cut off: its instances are listed as live but can't be reached. Their assignments move when the
// connections are lost, and return with the first heartbeat.
suite("an instance that can't be reached gets no assignments until its next heartbeat", async () => {
    const { clock, hub, membership } = await createFixture("entry-1", "entry-2");
    await using owned = membership;
    owned.recordUnreachable("entry-1");
    assert.equal(getLive(owned), ["entry-0", "entry-2"]);
    assert.not.ok(owned.isRemoved("entry-1"));
    beat(hub, "entry-1");
    await clock.advance(0);
    assert.equal(getLive(owned), ["entry-0", "entry-1", "entry-2"]);
    assert.is(owned.getGenerations().get("entry-1"), 4);
});

// The list drops an instance for a moment although it is alive and sends heartbeats. If it counted as removed, its
// non-idempotent calls would be settled as lost while they run.
suite("an instance counts as removed only if the list dropped it and it sends no heartbeats", async () => {
    const { clock, list, hub, membership } = await createFixture("entry-1", "entry-2");
    await using owned = membership;
    list.instances = [createInstance("entry-0")];
    for (let second = 0; second < 20; second++) {
        beat(hub, "entry-1");
        await clock.advance(1_000);
    }
    assert.not.ok(owned.isRemoved("entry-1"));
    assert.ok(owned.isRemoved("entry-2"));
    assert.not.ok(owned.isRemoved("entry-0"));
    assert.ok(owned.isRemoved("never-seen"));
});

suite("an instance that leaves gives up its assignments and reports its state", async () => {
    const { membership } = await createFixture("entry-1");
    await using owned = membership;
    let changes = 0;
    owned.onChange(() => changes++);
    owned.leave();
    assert.equal(getLive(owned), ["entry-1"]);
    assert.is(owned.tryGetHolder("ledger/3"), "entry-1");
    assert.is(owned.getState(), core.LifecycleState.Leaving);
    assert.is(changes, 1);
});

suite("an assignment of a data centre stays in it while it has a live instance", async () => {
    const { clock, list, membership } = await createFixture();
    await using owned = membership;
    const near = createInstance("entry-1", "kandy-1");
    list.instances = [createInstance("entry-0"), near, createInstance("entry-2")];
    await clock.advance(2_000);
    const assignments = [...Array(30).keys()].map(index => `upstream/${index}`);
    assert.ok(assignments.every(assignment => owned.tryGetHolderIn("kandy-1", assignment) === "entry-1"));
    list.instances = [createInstance("entry-0"), { ...near, state: core.LifecycleState.Leaving }, createInstance("entry-2")];
    await clock.advance(2_000);
    const holders = new Set(assignments.map(assignment => owned.tryGetHolderIn("kandy-1", assignment)));
    assert.equal([...holders].sort(), ["entry-0", "entry-2"]);
});

suite("the number of neighbours does not grow with the fleet", async () => {
    const others = [...Array(60).keys()].map(index => `entry-${index + 1}`);
    const { membership } = await createFixture(...others);
    await using owned = membership;
    const neighbours = owned.getNeighbours();
    assert.is(neighbours.length, 4);
    assert.equal(owned.getNeighbours(), neighbours);
});

// An instance is removed. The assignments of all others must stay: each move costs a takeover, and moving all of them
// at once would pause the rollout, the ledger and the batch work of the whole fleet for seconds.
suite("when an instance is removed, only its own assignments move", async () => {
    const others = [...Array(8).keys()].map(index => `entry-${index + 1}`);
    const { clock, list, membership } = await createFixture(...others);
    await using owned = membership;
    const assignments = [...Array(200).keys()].map(index => `duty/${index}`);
    const before = assignments.map(assignment => owned.tryGetHolder(assignment));
    list.instances = (list.instances ?? []).filter(instance => instance.id !== "entry-5");
    await clock.advance(2_000);
    const after = assignments.map(assignment => owned.tryGetHolder(assignment));
    const moved = assignments.filter((assignment, index) => before[index] !== after[index]);
    assert.equal(
        moved,
        assignments.filter((assignment, index) => before[index] === "entry-5"),
    );
    assert.ok(moved.length > 5 && moved.length < 60);
});

suite.run();
