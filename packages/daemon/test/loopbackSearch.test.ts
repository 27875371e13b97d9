import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as loopbackSearch from "./loopbackSearch.js";

const suite = uvu.suite("loopback search");

/** Long manual runs set other values. */
const Seed = Number(process.env["BORAGEDALE_SEED"] ?? 1);
const Runs = Number(process.env["BORAGEDALE_RUNS"] ?? 1);

/** Numbers from 0 up to but excluding 1, by a linear congruential generator. */
function createRandom(seed: number): () => number {
    let state = seed;
    return () => {
        state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0;
        return state / 4_294_967_296;
    };
}

// Guards against requests that a kept connection, a pool of connections or a slow caller loses while upstreams are silent for a second
// and the configuration changes. The choices follow the seed, their order within milliseconds does not.
suite("requests are answered or refused while upstreams are silent and the configuration changes", async () => {
    for (let seed = Seed; seed < Seed + Runs; seed++) {
        const result = await loopbackSearch.runLoopbackSearch(createRandom(seed));
        if (process.env["BORAGEDALE_RUNS"] !== undefined) {
            console.log(`seed ${seed}: ${JSON.stringify(result)}`);
        }
        assert.equal(
            result.faults.map(fault => `seed ${seed}: ${fault}`),
            [],
        );
    }
});

suite.run();
