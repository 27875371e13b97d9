import * as decisions from "@boragedale/decisions";
import * as fastCheck from "fast-check";
import * as uvu from "uvu";
import * as assert from "uvu/assert";

const suite = uvu.suite("coordinators");

function createCandidates(name: string, count: number, dataCentres = 3): decisions.LocatedMember[] {
    return [...new Array(count).keys()].map(index => ({
        id: `${name}-${index}`,
        dataCentre: `data-centre-${index % dataCentres}`,
    }));
}

function countByCoordinator(coordinators: ReadonlyMap<string, string>): number[] {
    const counts = new Map<string, number>();
    coordinators.forEach(coordinator => counts.set(coordinator, (counts.get(coordinator) ?? 0) + 1));
    return [...counts.values()];
}

// Guards against instances that compute different coordinators because they read the lists in the order in which
// entries arrived. Both coordinators would grant an engine's slots, and callers would queue there while another engine
// is idle.
suite("the order of the lists doesn't matter", () => {
    const upstreams = createCandidates("engine", 63);
    const instances = createCandidates("instance", 68);
    const expected = decisions.assignCoordinators(upstreams, instances);
    const property = fastCheck.property(fastCheck.infiniteStream(fastCheck.nat()), order => {
        const shuffle = <T>(list: readonly T[]): T[] =>
            list
                .map(value => ({ value, rank: order.next().value as number }))
                .sort((left, right) => left.rank - right.rank)
                .map(({ value }) => value);
        const coordinators = decisions.assignCoordinators(shuffle(upstreams), shuffle(instances));
        assert.equal([...coordinators].sort(), [...expected].sort());
    });
    fastCheck.assert(property, { seed: 1, numRuns: 20 });
});

// Guards against an uneven assignment. Plain rendezvous hashing over 400 instances leaves a third of them without an
// engine and assigns seven to some, which are then asked for slots by all the others.
suite("no instance coordinates more than its even share, and coordinators are in the upstream's data centre", () => {
    for (const [upstreamCount, instanceCount] of [
        [13, 8],
        [63, 68],
        [1_100, 400],
    ] as const) {
        const upstreams = createCandidates("engine", upstreamCount);
        const instances = createCandidates("instance", instanceCount);
        const coordinators = decisions.assignCoordinators(upstreams, instances);
        const share = Math.ceil(Math.ceil(upstreamCount / 3) / Math.floor(instanceCount / 3));
        assert.is(coordinators.size, upstreamCount);
        assert.ok(Math.max(...countByCoordinator(coordinators)) <= share);
        for (const upstream of upstreams) {
            const coordinator = instances.find(instance => instance.id === coordinators.get(upstream.id));
            assert.is(coordinator?.dataCentre, upstream.dataCentre);
        }
    }
});

suite("an upstream whose data centre has no instance has a coordinator elsewhere", () => {
    const coordinators = decisions.assignCoordinators(createCandidates("engine", 6, 3), createCandidates("instance", 4, 2));
    assert.is(coordinators.size, 6);
});

// Guards against a large reassignment when an instance is killed: except for its engines and a few more, all keep their
// coordinators, so that instances which requested slots from others aren't affected.
suite("removing an instance moves few upstreams besides its own", () => {
    const upstreams = createCandidates("engine", 300);
    const instances = createCandidates("instance", 120);
    const before = decisions.assignCoordinators(upstreams, instances);
    const after = decisions.assignCoordinators(
        upstreams,
        instances.filter(instance => instance.id !== "instance-7"),
    );
    const moved = upstreams.filter(({ id }) => before.get(id) !== after.get(id));
    assert.ok(moved.length <= 30, `${moved.length} moved`);
});

suite("without instances no upstream has a coordinator", () => {
    assert.is(decisions.assignCoordinators(createCandidates("engine", 3), []).size, 0);
});

suite("coordinators with free slots are asked first, those that didn't answer are skipped, and both expire", () => {
    const order = new decisions.CoordinatorOrder(() => 0);
    const coordinators = ["full", "unknown", "free", "silent"].map(id => ({ id, isNear: false }));
    order.recordFreeSlots("full", 0, 100);
    order.recordFreeSlots("free", 4, 100);
    order.recordNoAnswer("silent", 100);
    assert.equal(order.rank(coordinators, 150), ["free", "unknown", "full"]);
    assert.equal(new Set(order.rank(coordinators, 5_000)), new Set(["full", "unknown", "free", "silent"]));
    assert.is(
        order.rank(
            [
                { id: "far", isNear: false },
                { id: "near", isNear: true },
            ],
            5_000,
        )[0],
        "near",
    );
});

suite.run();
