import * as gateway from "@boragedale/gateway";
import * as uvu from "uvu";
import * as assert from "uvu/assert";

const suite = uvu.suite("memberDirectory");

function createMember(id: string): gateway.Member {
    return { id, dataCentre: "a", peerAddress: "127.0.0.1:1" };
}

function getIds(members: readonly gateway.Member[]): readonly string[] {
    return members.map(member => member.id).sort();
}

// Requests and heartbeats use lists that are kept between changes. A list that outlives a change would send slot requests to members
// that have left, and keep links to them instead of to those that have joined.
suite("the lists of members and the neighbours follow every change", () => {
    const directory = new gateway.MemberDirectory(createMember("self~1"));
    const apply = (id: string, revision: number, isRemoved: boolean): void => {
        const value = isRemoved ? undefined : gateway.encodeMember(createMember(id));
        directory.apply([{ key: gateway.MemberPrefix + id, revision, value }]);
    };
    const listed = new Set<string>();
    const names = ["self~1", ...new Array(gateway.NeighbourCount + 3).keys()].map(name => `${name}`);
    const changes = [...names.map(name => [name, false] as const), ...names.map(name => [name, true] as const)];
    changes.forEach(([name, isRemoved], index) => {
        apply(name, index + 1, isRemoved);
        if (isRemoved) {
            listed.delete(name);
        }
        else {
            listed.add(name);
        }
        const others = [...listed].filter(id => id !== "self~1").sort();
        assert.equal(getIds(directory.getMembers()), [...listed].sort());
        assert.equal(getIds(directory.getOthers()), others);
        const neighbours = gateway.chooseNeighbours(directory, []);
        assert.is(neighbours.length, Math.min(others.length, gateway.NeighbourCount));
        assert.ok(neighbours.every(id => others.includes(id)));
    });
});

suite.run();
