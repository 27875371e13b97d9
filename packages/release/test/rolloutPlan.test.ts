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

/** The view of a coordinator that has been assigned an engine on version 1 for an hour and has sent no order. */
function createView(changes: Partial<release.UpstreamView> = {}): release.UpstreamView {
    return {
        now: 3_600_000,
        target,
        state: createState("1"),
        load: undefined,
        checksFencing: true,
        isLeaving: false,
        coordinatorSince: 0,
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

// A previous coordinator may have sent an order just before it failed. An engine that ignores fencing numbers would
// execute it even after an order of the new coordinator, which therefore waits until the old order must have arrived.
suite("a new coordinator waits for earlier orders only if the engine ignores fencing numbers", () => {
    const coordinatorSince = 3_600_000 - limits.longestOrderMilliseconds + 1;
    assert.is(decideKind({ coordinatorSince, checksFencing: true }), release.StepKind.Claim);
    assert.is(decideKind({ coordinatorSince, checksFencing: false }), release.StepKind.Observe);
    assert.is(decideKind({ coordinatorSince: coordinatorSince - 1, checksFencing: false }), release.StepKind.Claim);
});

// The engine reports its target, but an older order may still be in flight. If the engine counted as reached now,
// operators would see the note in force and the engine revert a moment later.
suite("an engine that ignores fencing numbers counts as reached only once no order can be in flight", () => {
    const state = createState("2");
    const lastOrder = { at: 3_600_000 - limits.longestOrderMilliseconds + 1, targetText: release.formatTarget(target) };
    assert.is(decideKind({ state, lastOrder, checksFencing: true }), release.StepKind.Rest);
    assert.is(decideKind({ state, lastOrder, checksFencing: false }), release.StepKind.Observe);
    const earlier = { ...lastOrder, at: lastOrder.at - 1 };
    assert.is(decideKind({ state, lastOrder: earlier, checksFencing: false }), release.StepKind.Rest);
});

suite("a load for an older target is replaced by a new order, and a load for the current target is awaited", () => {
    const state = createState("1", { models: [], isLoading: true });
    const claimed = { state, claimedSince: 3_590_000, loadingSince: 3_590_000 };
    const older = { at: 3_590_000, targetText: "heron@1 (Mixed)" };
    const current = { at: 3_590_000, targetText: release.formatTarget(target) };
    assert.is(decideKind({ ...claimed, lastOrder: older }), release.StepKind.Order);
    assert.is(decideKind({ ...claimed, lastOrder: current }), release.StepKind.Observe);
});

suite("an order waits for running requests until the drain timeout", () => {
    const load = { running: 1, waiting: 0, cacheUsage: 0, ageMilliseconds: 0 };
    const claimedSince = 3_600_000 - limits.propagationMilliseconds;
    assert.is(decideKind({ claimedSince, load }), release.StepKind.Observe);
    assert.is(decideKind({ claimedSince, load: { ...load, running: 0 } }), release.StepKind.Order);
    assert.is(decideKind({ claimedSince: claimedSince + 1, load: { ...load, running: 0 } }), release.StepKind.Observe);
    assert.is(decideKind({ claimedSince: 3_600_000 - limits.drainMilliseconds, load }), release.StepKind.Order);
});

suite("the retry delay doubles up to its maximum", () => {
    const waits = [1, 2, 3, 4, 100].map(failures => release.getRetryDelayMilliseconds(failures, limits));
    assert.equal(waits, [5_000, 10_000, 20_000, 40_000, 300_000]);
});

suite.run();
