import * as core from "@boragedale/core";
import * as decisions from "@boragedale/decisions";
import * as gateway from "@boragedale/gateway";
import * as standins from "@boragedale/standins";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as fixtures from "./fixtures.js";
import * as testFleet from "./testFleet.js";

const suite = uvu.suite("batchSlotReach");

/** More than the members that know the use of every slot, so that coordinators grant the slots. */
const MemberCount = gateway.NeighbourCount + 5;
/** Interval at which the scheduler asks again for the items that wait. */
const DispatchMilliseconds = 60;
const LimitMilliseconds = 15_000;

/** A member in data centre `a` of a fleet over two, with engines of one service in `a` and of another one in `b`. */
function createMember(clock: core.VirtualClock): gateway.SlotSharing {
    const hub = new standins.MemoryPeerHub();
    const members = [...new Array(MemberCount).keys()].map(index => ({
        id: gateway.createMemberId(`member-${index}`, "1"),
        dataCentre: index % 2 === 0 ? "a" : "b",
        peerAddress: "127.0.0.1:1",
    }));
    const memberEntries = members.map((member, index) => ({
        key: gateway.MemberPrefix + member.id,
        revision: index + 1,
        value: gateway.encodeMember(member),
    }));
    const services = ["near", "far"].map(name => ({ name, healthPath: "/", connectionLimit: 9, isEngine: true }));
    const configuration = { ...fixtures.createConfiguration(1), services };
    const engines = [...new Array(MemberCount).keys()].map(index => {
        const isFar = index === MemberCount - 1;
        const place = { service: isFar ? "far" : "near", dataCentre: isFar ? "b" : "a" };
        return fixtures.createEntry(`upstreams/${index}`, index + 2, fixtures.createUpstream(String(index), place));
    });
    const created = members.map(({ id, dataCentre }) => {
        const directory = new gateway.MemberDirectory({ id, dataCentre, peerAddress: "127.0.0.1:1" });
        directory.apply(memberEntries);
        const view = new gateway.FleetView(new fixtures.TestCodec(), () => undefined);
        view.apply([fixtures.createEntry("configuration", 1, configuration), ...engines], 0);
        let drawn = 0;
        return new gateway.SlotSharing({
            slotTable: fixtures.createSlotTable(upstream => decisions.hashToUnit(`${id}/${upstream}`)),
            network: hub.createNetwork(id),
            clock,
            coordinators: new gateway.CoordinatorDirectory(directory, view, clock),
            dataCentre,
            random: () => decisions.hashToUnit(`${id}/${drawn++}`),
            onCoordinatorUnresponsive: () => undefined,
        });
    });
    return core.Debug.checkDefined(created[0], "there are members");
}

// Guards against an item that never runs: its service's idle engines are in another data centre, and its member asks only
// coordinators of its own data centre, which coordinate no engine of that service.
suite("an item is granted a slot of an idle engine in another data centre", async () => {
    const clock = new core.VirtualClock();
    const slots = createMember(clock);
    let granted: string | undefined;
    while (granted === undefined && clock.now() < LimitMilliseconds) {
        slots.requestBatchSlots("far", 1, upstream => {
            granted = upstream;
            return true;
        });
        await clock.advance(DispatchMilliseconds);
    }
    assert.is(granted, String(MemberCount - 1));
});

// Guards against items that never run: the first item that waits belongs to a service without upstreams. Where members start items
// by themselves, it holds up all items behind it; where coordinators grant slots, these are requested for its service only.
for (const memberCount of [3, MemberCount]) {
    suite(
        `items of one service of a split route run while the other has no upstreams: ${memberCount} members`,
        async () => {
            const fleet = await testFleet.createFleet(memberCount, 0);
            const split = ["present", "absent"].map(service => ({ service, weight: 1 }));
            const route = fixtures.createRoute({ kind: gateway.RouteKind.Batch, attempts: 3, services: split });
            const services = ["present", "absent"].map(name => ({
                name,
                healthPath: "/",
                connectionLimit: 9,
                isEngine: true,
            }));
            const configuration = { ...fixtures.createConfiguration(2, [route]), services };
            fleet.metadata.put("configuration", JSON.stringify(configuration));
            const engine = fixtures.createUpstream("engine", { service: "present" });
            fleet.metadata.put("upstreams/engine", JSON.stringify(engine));
            await fleet.clock.advance(2_000);
            const items = fixtures.createItems(6);
            assert.ok((await testFleet.submit(fleet, fleet.members[0]!, "s", items)).ok);
            await fleet.clock.advance(LimitMilliseconds);
            const expected = items
                .filter(({ id }) => gateway.chooseService(route, id) === "present")
                .map(({ id }) => id);
            assert.equal([...new Set(fleet.channels.runs.map(run => run.item))].sort(), expected.sort());
        },
    );
}

suite.run();
