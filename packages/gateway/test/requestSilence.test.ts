import * as gateway from "@boragedale/gateway";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as requestSearch from "./requestSearch.js";
import * as searchChecks from "./searchChecks.js";

const suite = uvu.suite("request silence");

/** Long manual runs set other values. */
const Seed = Number(process.env["BORAGEDALE_SEED"] ?? 1);
const Runs = Number(process.env["BORAGEDALE_RUNS"] ?? 12);

const options: requestSearch.SearchOptions = {
    memberCount: 3,
    stallsMembers: false,
    faults: { breaks: 0, silencesForGood: 0, slowFirstEvents: 0.03 },
    policy: gateway.DefaultLoadPolicy,
};

// Guards against answers that are broken off, or replaced by a failure, because their upstream was silent for up to 1.6 s. Runs that
// are ended so that the request goes on at another upstream are no fault if the caller gets the whole answer.
suite("an upstream's silence of up to 1.6 s is no reason to end an answer", async () => {
    const { BrokenOff, Failed } = searchChecks.FaultKind;
    const ended: string[] = [];
    for (let seed = Seed; seed < Seed + Runs; seed++) {
        const { faults } = await requestSearch.runSearch(seed, options);
        ended.push(
            ...faults
                .filter(({ isSilence, kind }) => isSilence && (kind === BrokenOff || kind === Failed))
                .map(({ kind, text }) => `seed ${seed}: ${kind}: ${text}`),
        );
    }
    assert.equal(ended, []);
});

suite.run();
