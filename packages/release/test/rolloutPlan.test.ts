import * as core from "@boragedale/core";
import * as release from "@boragedale/release";
import type * as upstreams from "@boragedale/upstreams";
import * as uvu from "uvu";
import * as assert from "uvu/assert";

const suite = uvu.suite("rollout plan");

const limits = release.DefaultLimits;
const target: release.Target = {
    models: [{ model: "heron", version: "2", adapters: [] }],
    role: core.UpstreamRole.Mixed,
};

function createState(version: string, changes: Partial<upstreams.UpstreamState> = {}): upstreams.UpstreamState {
    return {
        models: [{ model: "heron", version, adapters: [] }],
        role: core.UpstreamRole.Mixed,
        fencing: undefined,
        isLoading: false,
        isLeaving: false,
        ...changes,
    };
}

/** The home of an engine on version 1, an hour in duty, that nobody has ordered yet. */
function createView(changes: Partial<release.UpstreamView> = {}): release.UpstreamView {
    return {
        now: 3_600_000,
        target,
        state: createState("1"),
        load: undefined,
        checksFencing: true,
        isLeaving: false,
        homeSince: 0,
        unreachableSince: undefined,
        loadingSince: undefined,
        claimedSince: undefined,
        lastOrder: undefined,
        retryAt: undefined,
        failure: "",
        limits,
        ...changes,
    };
}

function decideKind(changes: Partial<release.UpstreamView>): release.StepKind {
    return release.decideStep(createView(changes)).kind;
}

// The home before may have sent an order just before it was lost. An engine that ignores fencing numbers would obey it
// even after the new home's order, so the new home waits until it must have arrived.
suite("a new home waits out the earlier one's order only where numbers are ignored", () => {
    const homeSince = 3_600_000 - limits.longestOrderMilliseconds + 1;
    assert.is(decideKind({ homeSince, checksFencing: true }), release.StepKind.Claim);
    assert.is(decideKind({ homeSince, checksFencing: false }), release.StepKind.Observe);
    assert.is(decideKind({ homeSince: homeSince - 1, checksFencing: false }), release.StepKind.Claim);
});

// The engine reports what was asked, but an older order may still be on its way. Told "reached" now, operators would
// see the note in force and the engine go back a moment later.
suite("an engine that ignores numbers is reached only after a quiet time", () => {
    const state = createState("2");
    const lastOrder = { at: 3_600_000 - limits.longestOrderMilliseconds + 1, target: release.formatTarget(target) };
    assert.is(decideKind({ state, lastOrder, checksFencing: true }), release.StepKind.Rest);
    assert.is(decideKind({ state, lastOrder, checksFencing: false }), release.StepKind.Observe);
    const earlier = { ...lastOrder, at: lastOrder.at - 1 };
    assert.is(decideKind({ state, lastOrder: earlier, checksFencing: false }), release.StepKind.Rest);
});

suite("a load for an older target is replaced, one for this target is awaited", () => {
    const state = createState("1", { models: [], isLoading: true });
    const claimed = { state, claimedSince: 3_590_000, loadingSince: 3_590_000 };
    const older = { at: 3_590_000, target: "heron@1 (Mixed)" };
    const current = { at: 3_590_000, target: release.formatTarget(target) };
    assert.is(decideKind({ ...claimed, lastOrder: older }), release.StepKind.Order);
    assert.is(decideKind({ ...claimed, lastOrder: current }), release.StepKind.Observe);
});

suite("an order waits for what runs, but not for ever", () => {
    const load = { running: 1, waiting: 0, cacheUsage: 0, ageMilliseconds: 0 };
    const claimedSince = 3_600_000 - limits.noticeMilliseconds;
    assert.is(decideKind({ claimedSince, load }), release.StepKind.Observe);
    assert.is(decideKind({ claimedSince, load: { ...load, running: 0 } }), release.StepKind.Order);
    assert.is(decideKind({ claimedSince: claimedSince + 1, load: { ...load, running: 0 } }), release.StepKind.Observe);
    assert.is(decideKind({ claimedSince: 3_600_000 - limits.drainMilliseconds, load }), release.StepKind.Order);
});

suite("retries wait twice as long each time, up to the longest", () => {
    const waits = [1, 2, 3, 4, 100].map(failures => release.getRetryWait(failures, limits));
    assert.equal(waits, [5_000, 10_000, 20_000, 40_000, 300_000]);
});

suite.run();
