import * as decisions from "@boragedale/decisions";
import * as fastCheck from "fast-check";
import * as uvu from "uvu";
import * as assert from "uvu/assert";

const suite = uvu.suite("homes");

function createCandidates(name: string, count: number, dataCentres = 3): decisions.LocatedMember[] {
    return [...new Array(count).keys()].map(index => ({
        id: `${name}-${index}`,
        dataCentre: `data-centre-${index % dataCentres}`,
    }));
}

function countByHome(homes: ReadonlyMap<string, string>): number[] {
    const counts = new Map<string, number>();
    homes.forEach(home => counts.set(home, (counts.get(home) ?? 0) + 1));
    return [...counts.values()];
}

// Instances read their lists in the order in which entries came. Two that work out different homes both lend an engine's
// places, and callers queue there while another engine is idle.
suite("the order of the lists doesn't matter", () => {
    const upstreams = createCandidates("engine", 63);
    const instances = createCandidates("instance", 68);
    const expected = decisions.assignHomes(upstreams, instances);
    const property = fastCheck.property(fastCheck.infiniteStream(fastCheck.nat()), order => {
        const shuffle = <T>(list: readonly T[]): T[] =>
            list
                .map(value => ({ value, rank: order.next().value as number }))
                .sort((left, right) => left.rank - right.rank)
                .map(({ value }) => value);
        const homes = decisions.assignHomes(shuffle(upstreams), shuffle(instances));
        assert.equal([...homes].sort(), [...expected].sort());
    });
    fastCheck.assert(property, { seed: 1, numRuns: 20 });
});

// Plain rendezvous over 400 instances leaves a third of them with no engine to lend, and gives some seven: these are asked for
// places by everybody else.
suite("no instance is home of more than its even share, and homes are in the upstream's data centre", () => {
    for (const [upstreamCount, instanceCount] of [
        [13, 8],
        [63, 68],
        [1_100, 400],
    ] as const) {
        const upstreams = createCandidates("engine", upstreamCount);
        const instances = createCandidates("instance", instanceCount);
        const homes = decisions.assignHomes(upstreams, instances);
        const share = Math.ceil(Math.ceil(upstreamCount / 3) / Math.floor(instanceCount / 3));
        assert.is(homes.size, upstreamCount);
        assert.ok(Math.max(...countByHome(homes)) <= share);
        for (const upstream of upstreams) {
            const home = instances.find(instance => instance.id === homes.get(upstream.id));
            assert.is(home?.dataCentre, upstream.dataCentre);
        }
    }
});

suite("an upstream whose data centre has no instance has a home elsewhere", () => {
    const homes = decisions.assignHomes(createCandidates("engine", 6, 3), createCandidates("instance", 4, 2));
    assert.is(homes.size, 6);
});

// An instance is killed. Those who had borrowed from others go on as before: only its engines and a few more change hands.
suite("an instance that goes moves few upstreams beside its own", () => {
    const upstreams = createCandidates("engine", 300);
    const instances = createCandidates("instance", 120);
    const before = decisions.assignHomes(upstreams, instances);
    const after = decisions.assignHomes(
        upstreams,
        instances.filter(instance => instance.id !== "instance-7"),
    );
    const moved = upstreams.filter(({ id }) => before.get(id) !== after.get(id));
    assert.ok(moved.length <= 30, `${moved.length} moved`);
});

suite("without instances nothing has a home", () => {
    assert.is(decisions.assignHomes(createCandidates("engine", 3), []).size, 0);
});

suite("homes with free places are asked first, silent ones not at all, and hints grow old", () => {
    const order = new decisions.HomeOrder(() => 0);
    const homes = ["full", "unknown", "free", "silent"].map(id => ({ id, isNear: false }));
    order.noteFree("full", 0, 100);
    order.noteFree("free", 4, 100);
    order.noteSilent("silent", 100);
    assert.equal(order.rank(homes, 150), ["free", "unknown", "full"]);
    assert.equal(new Set(order.rank(homes, 5_000)), new Set(["full", "unknown", "free", "silent"]));
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
