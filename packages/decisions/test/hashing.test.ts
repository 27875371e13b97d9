import * as fastCheck from "fast-check";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as decisions from "@boragedale/decisions";

const suite = uvu.suite("rendezvous hashing");

const members = fastCheck.uniqueArray(fastCheck.string({ minLength: 1 }), { minLength: 1, maxLength: 20 });

suite("removing a member moves only its own keys", () => {
    fastCheck.assert(
        fastCheck.property(fastCheck.string(), members, (key, all) => {
            const owner = decisions.rendezvous(key, all);
            for (const removed of all.filter(member => member !== owner)) {
                assert.is(
                    decisions.rendezvous(
                        key,
                        all.filter(member => member !== removed),
                    ),
                    owner,
                );
            }
        }),
        { seed: 1 },
    );
});

suite("the order of the members doesn't matter, and the owner ranks first", () => {
    fastCheck.assert(
        fastCheck.property(fastCheck.string(), members, (key, all) => {
            const ranked = decisions.rankByRendezvous(key, all);
            assert.equal(ranked, decisions.rankByRendezvous(key, [...all].reverse()));
            assert.is(ranked[0], decisions.rendezvous(key, [...all].reverse()));
        }),
        { seed: 2 },
    );
});

suite("subsets leave no upstream without instances with 1,100 upstreams and 400 instances", () => {
    const upstreams = Array.from(Array(1_100).keys(), index => `engine-${index}`);
    const size = decisions.getSubsetSize(upstreams.length, 400);
    const users = new Map(upstreams.map(upstream => [upstream, 0]));
    for (let instance = 0; instance < 400; instance++) {
        for (const upstream of decisions.chooseSubset(`instance-${instance}`, upstreams, size)) {
            users.set(upstream, (users.get(upstream) ?? 0) + 1);
        }
    }
    assert.ok(size < 200);
    assert.ok(Math.min(...users.values()) >= 8, `fewest users: ${Math.min(...users.values())}`);
});

suite.run();
