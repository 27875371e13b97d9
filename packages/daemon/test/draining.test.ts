import * as core from "@boragedale/core";
import * as daemon from "@boragedale/daemon";
import * as uvu from "uvu";
import * as assert from "uvu/assert";

const suite = uvu.suite("draining");

const Times: daemon.DrainTimes = { graceMilliseconds: 10_000, balancerMilliseconds: 2_000 };

interface Scene {
    readonly clock: core.VirtualClock;
    /** Idle connections are closed at the next `closeIdleConnections`. */
    readonly state: { inProgress: number; activeSubmissions: number; idleConnections: number };
    readonly isDone: () => boolean;
}

/** Starts to drain a server with one request in progress. */
function startDraining(): Scene {
    const clock = new core.VirtualClock();
    const state = { inProgress: 1, activeSubmissions: 0, idleConnections: 0 };
    let isDone = false;
    const server = {
        limitDeadlines: () => undefined,
        startClosing: () => undefined,
        closeIdleConnections: () => {
            state.idleConnections = 0;
        },
        hasIdleConnections: () => state.idleConnections > 0,
        getInProgressCount: () => state.inProgress,
    };
    const submissions = { getActiveCount: () => state.activeSubmissions };
    void daemon.drain({ clock, server, submissions }, Times).then(() => (isDone = true));
    return { clock, state, isDone: () => isDone };
}

suite("the process exits when the last request has ended", async () => {
    const { clock, state, isDone } = startDraining();
    await clock.advance(4_000);
    assert.is(isDone(), false);
    state.inProgress = 0;
    await clock.advance(100);
    assert.is(isDone(), true);
});

suite("the process keeps serving while requests may be in transit", async () => {
    const { clock, state, isDone } = startDraining();
    state.inProgress = 0;
    await clock.advance(2_900);
    assert.is(isDone(), false);
    await clock.advance(300);
    assert.is(isDone(), true);
});

suite("the process exits before the end of the grace period", async () => {
    const { clock, isDone } = startDraining();
    await clock.advance(9_500);
    assert.is(isDone(), false);
    await clock.advance(200);
    assert.is(isDone(), true);
});

// Guards against a request that is cut off because it arrived on a kept connection while the stop waited for submissions only.
suite("the process waits for a request that arrives while it waits for submissions", async () => {
    const { clock, state, isDone } = startDraining();
    state.inProgress = 0;
    state.activeSubmissions = 1;
    await clock.advance(4_000);
    state.inProgress = 1;
    state.activeSubmissions = 0;
    await clock.advance(1_000);
    assert.is(isDone(), false);
    state.inProgress = 0;
    await clock.advance(100);
    assert.is(isDone(), true);
});

// Guards against connections that stay open while the stop waits for submissions, so that callers send requests on them.
suite("idle connections are closed while the process waits for submissions", async () => {
    const { clock, state } = startDraining();
    state.inProgress = 0;
    state.activeSubmissions = 1;
    await clock.advance(4_000);
    state.idleConnections = 1;
    await clock.advance(100);
    assert.is(state.idleConnections, 0);
});

// Guards against a request that is sent on a connection that has just become idle, and is cut off by the exit.
suite("the process does not exit before idle connections are closed", async () => {
    const { clock, state, isDone } = startDraining();
    await clock.advance(4_000);
    state.inProgress = 0;
    state.idleConnections = 1;
    await clock.advance(100);
    assert.is(state.idleConnections, 0);
    await clock.advance(100);
    assert.is(isDone(), true);
});

suite.run();
