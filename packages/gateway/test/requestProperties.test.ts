import * as gateway from "@boragedale/gateway";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as requestSearch from "./requestSearch.js";
import * as searchChecks from "./searchChecks.js";

const suite = uvu.suite("request properties");

/** Long manual runs set other values. */
const Seed = Number(process.env["BORAGEDALE_SEED"] ?? 40);
const Runs = Number(process.env["BORAGEDALE_RUNS"] ?? 12);

const SmallFleet = 3;
/** Coordinators grant the slots of engines. */
const LargeFleet = gateway.NeighbourCount + 2;
/** A large fleet takes as much time as this number of small ones. */
const SmallFleetsPerLarge = 4;

const sound = { breaks: 0, silencesForGood: 0, slowFirstEvents: 0.03 };
const faulty = { breaks: 0.08, silencesForGood: 0.01, slowFirstEvents: 0.03 };
const shares = { ...gateway.DefaultLoadPolicy, onlineOrder: gateway.OnlineOrder.Shares };

const { BrokenOff, Failed, EndedEarly } = searchChecks.FaultKind;
/** What ends an attempt early, or its answer, because its upstream was silent. */
const silenceKinds = new Set([BrokenOff, Failed, EndedEarly]);

const scenes: Readonly<Record<string, requestSearch.SearchOptions>> = {
    "upstreams that are silent for a second": {
        memberCount: SmallFleet,
        stallsMembers: false,
        faults: sound,
        policy: gateway.DefaultLoadPolicy,
    },
    "upstreams that break streams off, and stalled members": {
        memberCount: SmallFleet,
        stallsMembers: true,
        faults: faulty,
        policy: gateway.DefaultLoadPolicy,
    },
    "a large fleet": {
        memberCount: LargeFleet,
        stallsMembers: true,
        faults: faulty,
        policy: gateway.DefaultLoadPolicy,
    },
    "a large fleet whose coordinators order requests": {
        memberCount: LargeFleet,
        stallsMembers: true,
        faults: faulty,
        policy: shares,
    },
};

// Guards against whatever loses a request or an item beside a change of the configuration. Answers that
// end with a failure for a silence of their upstream are left to requestSilence.test.ts.
for (const [name, options] of Object.entries(scenes)) {
    suite(
        `requests are answered or refused, and items listed, beside changes of the configuration: ${name}`,
        async () => {
            const runs = options.memberCount > SmallFleet ? Math.ceil(Runs / SmallFleetsPerLarge) : Runs;
            for (let seed = Seed; seed < Seed + runs; seed++) {
                const { faults } = await requestSearch.runSearch(seed, options);
                const unexpected = faults.filter(fault => !(fault.isSilence && silenceKinds.has(fault.kind)));
                assert.equal(
                    unexpected.map(({ kind, text }) => `seed ${seed}: ${kind}: ${text}`),
                    [],
                );
            }
        },
    );
}

suite.run();
