import * as core from "@boragedale/core";
import * as backing from "@boragedale/backing";
import * as release from "@boragedale/release";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as fixtures from "./fixtures.js";
import * as testFleet from "./testFleet.js";

const suite = uvu.suite("rollout under failures");

interface SettledOptions extends Partial<testFleet.TestFleetOptions> {
    readonly note?: fixtures.FleetOptions;
}

async function createSettledFleet(settled: SettledOptions = {}): Promise<testFleet.TestFleet> {
    const { note, ...options } = settled;
    const fleet = await testFleet.TestFleet.start({ instances: 4, engines: 3, ...options });
    const checksFencing = options.checksFencing?.(0) ?? true;
    const outcome = await fleet.publish(fixtures.createFirstNote({ engines: 3, checksFencing, ...note }), 0);
    core.Debug.assert(outcome.kind === release.PublishKind.Published, "the first note is published");
    await fleet.advance(120_000 + 3 * (options.loadMilliseconds ?? 0));
    assert.equal(fleet.getVersions(), ["1", "1", "1"]);
    fleet.peakLoads = 0;
    return fleet;
}

/** Advances the clock until an engine has received an order for the version; returns the index of the engine. */
async function advanceToOrder(fleet: testFleet.TestFleet, version: string): Promise<number> {
    for (let turn = 0; turn < 600; turn++) {
        const index = fleet.engines.findIndex(engine =>
            engine.orders.at(-1)?.models.some(held => held.version === version),
        );
        if (index >= 0) {
            return index;
        }
        await fleet.advance(50);
    }
    throw new Error("no order was sent");
}

// The coordinator orders an engine and is killed before it reads the engine's report. The other engines serve the
// callers. The next coordinator finds a loading engine and the claim of the killed instance. It takes over the claim,
// so that no second engine is taken out of service, and reads the report.
suite("a new coordinator continues after its predecessor was killed between an order and the report", async () => {
    await using fleet = await createSettledFleet({ loadMilliseconds: 30_000 });
    fleet.peakLoads = 0;
    await fleet.publish(fixtures.createUpgradeNote("2"), 1);
    const index = await advanceToOrder(fleet, "2");
    const killed = fleet.getCoordinator(index);
    fleet.kill(killed);
    await fleet.advance(240_000);
    assert.equal(fleet.getVersions(), ["2", "2", "2"]);
    assert.is(fleet.getEngine(index).orders.filter(order => order.models[0]?.version === "2").length, 1);
    assert.is(fleet.peakLoads, 1);
    assert.equal(fleet.floorViolations, []);
    assert.ok(fleet.getPhases().every(phase => phase === release.UpstreamPhase.Reached));
});

/**
 * Moves an upstream to another coordinator while the old one keeps an outdated membership and still considers itself
 * the coordinator. Returns the index of the engine.
 */
async function runTwoCoordinators(fleet: testFleet.TestFleet): Promise<number> {
    fleet.orderDelayMilliseconds = 25_000;
    await fleet.publish(fixtures.createUpgradeNote("2"), 1);
    await fleet.advance(3_000);
    const claimed = [...fleet.get(0).noteCache.getChangingUpstreams()][0] ?? "";
    const index = fleet.engines.findIndex(engine => engine.id === claimed);
    const old = fleet.getCoordinator(index);
    const others = fleet.getRunning().filter(instance => instance !== old);
    fleet.orderDelayMilliseconds = 0;
    const publisher = core.Debug.checkDefined(others[0], "another instance");
    await fleet.publish(fixtures.createUpgradeNote("3"), 2, "amara", publisher);
    others.forEach(instance => instance.membership.setLive(others.map(other => other.id)));
    await fleet.advance(12_000);
    return index;
}

// The old coordinator's order for version 2 is in flight for 25 s. Meanwhile the upstream gets another coordinator,
// which orders version 3. The late order arrives last and is rejected because of its outdated fencing number.
suite("an engine that checks fencing numbers rejects a late order of a previous coordinator", async () => {
    await using fleet = await createSettledFleet();
    const index = await runTwoCoordinators(fleet);
    const engine = fleet.getEngine(index);
    await fleet.advance(240_000);
    assert.equal(
        engine.fenced.map(order => order.models[0]?.version),
        ["2"],
    );
    assert.is(engine.orders.filter(order => order.models[0]?.version === "2").length, 0);
    assert.equal(fleet.getVersions(), ["3", "3", "3"]);
});

// The engine ignores fencing numbers, so a late order of the previous coordinator reverts it to version 2. The
// coordinator still reads the engine's report every few seconds, finds a state that differs from the target, and orders
// again.
suite("the effect of a late order is corrected on an engine that ignores fencing numbers", async () => {
    await using fleet = await createSettledFleet({ checksFencing: () => false });
    const index = await runTwoCoordinators(fleet);
    const engine = fleet.getEngine(index);
    await fleet.advance(300_000);
    const versions = engine.orders.map(order => order.models[0]?.version);
    assert.is(versions.filter(version => version === "2").length, 1);
    assert.is(versions.at(-1), "3");
    assert.ok(versions.lastIndexOf("2") > versions.indexOf("3"));
    assert.equal(fleet.getVersions(), ["3", "3", "3"]);
});

// The weight store throttles, so loads fail for a minute. The coordinator reports the engine's own reason, releases the
// claim so that other engines can load, and retries with growing delays until the load succeeds.
suite("a load that the weight store throttles is retried and reported, and does not block other engines", async () => {
    await using fleet = await createSettledFleet();
    const engine = fleet.getEngine(0);
    engine.failure = "weight store: 429";
    await fleet.publish(fixtures.createUpgradeNote("2"), 1);
    await fleet.advance(90_000);
    assert.equal(fleet.getVersions(), ["", "2", "2"]);
    const progress = fleet.getCoordinator(0).rollout.getProgress();
    const line = progress.find(candidate => candidate.upstream === "engine-0");
    assert.is(line?.phase, release.UpstreamPhase.Failed);
    assert.match(line?.reason ?? "", /weight store: 429/);
    const tries = engine.orders.length;
    assert.ok(tries <= 6, `backed off, but ${tries} orders`);
    engine.failure = undefined;
    await fleet.advance(240_000);
    assert.equal(fleet.getVersions(), ["2", "2", "2"]);
});

// An engine accepts its order and its load never ends. The coordinator waits for the load timeout, reports the failure
// and releases the claim, so that the rest of the fleet reaches the note.
suite("an engine whose load never ends is reported and does not block other engines", async () => {
    await using fleet = await createSettledFleet({ limits: { loadTimeoutMilliseconds: 60_000 } });
    fleet.getEngine(1).isWedged = true;
    await fleet.publish(fixtures.createUpgradeNote("2"), 1);
    await fleet.advance(240_000);
    assert.equal(fleet.getVersions(), ["2", "", "2"]);
    const progress = fleet.getCoordinator(1).rollout.getProgress();
    const line = progress.find(candidate => candidate.upstream === "engine-1");
    assert.match(line?.reason ?? "", /^loads for/);
    fleet.getEngine(1).isWedged = false;
    await fleet.advance(700_000);
    assert.equal(fleet.getVersions(), ["2", "2", "2"]);
});

// The engine's report lags by 3 s: after the order it still shows the old version and no load. A coordinator that
// relied on it would order again and restart the load each time.
suite("a report that lags behind the order leads to no second order", async () => {
    await using fleet = await createSettledFleet();
    fleet.engines.forEach(engine => (engine.reportLagMilliseconds = 3_000));
    await fleet.publish(fixtures.createUpgradeNote("2"), 1);
    await fleet.advance(180_000);
    assert.equal(fleet.getVersions(), ["2", "2", "2"]);
    const orders = fleet.engines.map(engine => engine.orders.filter(order => order.models[0]?.version === "2").length);
    assert.equal(orders, [1, 1, 1]);
});

suite("an engine that is down is reported and does not block other engines", async () => {
    await using fleet = await createSettledFleet();
    fleet.getEngine(2).isDown = true;
    await fleet.publish(fixtures.createUpgradeNote("2"), 1);
    await fleet.advance(120_000);
    assert.equal(fleet.getVersions(), ["2", "2", "1"]);
    assert.is(fleet.getPhases()[2], release.UpstreamPhase.Unreachable);
    fleet.getEngine(2).isDown = false;
    await fleet.advance(60_000);
    assert.equal(fleet.getVersions(), ["2", "2", "2"]);
});

// Two of three engines are down when an upgrade is published. Taking the last one out of service for its load would
// leave callers without any engine, so it stays on the old version and reports the reason until another engine serves.
suite("the last serving engine is not taken out of service", async () => {
    await using fleet = await createSettledFleet();
    fleet.getEngine(1).isDown = true;
    fleet.getEngine(2).isDown = true;
    await fleet.publish(fixtures.createUpgradeNote("2"), 1);
    await fleet.advance(60_000);
    assert.is(fleet.getVersions()[0], "1");
    const line = fleet
        .getCoordinator(0)
        .rollout.getProgress()
        .find(candidate => candidate.upstream === "engine-0");
    assert.match(line?.reason ?? "", /under its floor of 1/);
    const writes = fleet.keyValue.writes.get(backing.CallPurpose.Claim);
    await fleet.advance(60_000);
    assert.is(fleet.keyValue.writes.get(backing.CallPurpose.Claim), writes, "waiting writes nothing");
    fleet.getEngine(1).isDown = false;
    fleet.getEngine(2).isDown = false;
    await fleet.advance(120_000);
    assert.equal(fleet.getVersions(), ["2", "2", "2"]);
    assert.equal(fleet.floorViolations, []);
});

// An engine reports that it is leaving, while the note still lists it as available. It gets no order to load, and it
// does not count towards the floor, so only one of the other two may be out of service at a time.
suite("an engine that reports that it is leaving gets no order and does not count towards the floor", async () => {
    await using fleet = await createSettledFleet({ note: { onlineFloor: 1, concurrentLoads: 3 } });
    const leaving = fleet.getEngine(2);
    leaving.markLeaving();
    await fleet.publish(fixtures.createUpgradeNote("2"), 1);
    await fleet.advance(120_000);
    assert.equal(fleet.getVersions(), ["2", "2", "1"]);
    assert.equal(fleet.floorViolations, []);
    assert.is(fleet.peakLoads, 1);
    const line = fleet
        .getCoordinator(2)
        .rollout.getProgress()
        .find(candidate => candidate.upstream === "engine-2");
    assert.is(line?.reason, "is leaving and takes no orders");
});

// A note marks engine-2 as leaving, and the next note contains the upgrade.
suite("an engine that a note marks as leaving gets no order and does not count towards the floor", async () => {
    await using fleet = await createSettledFleet({ note: { onlineFloor: 1, concurrentLoads: 3 } });
    await fleet.publish("changed: { upstreams: [{ id: engine-2, isLeaving: true }] }", 1);
    await fleet.publish(fixtures.createUpgradeNote("2"), 2);
    await fleet.advance(120_000);
    assert.equal(fleet.getVersions(), ["2", "2", "1"]);
    assert.is(fleet.peakLoads, 1);
});

// The key-value service fails for 40 s at different steps of the rollout. No order is sent without a claim, and once
// the service has recovered the rollout continues from the state of the engines.
suite("a rollout survives an outage of the key-value service at each step", async () => {
    for (const downAfter of [0, 500, 1_200, 2_500, 8_000, 10_000, 12_000]) {
        await using fleet = await createSettledFleet();
        fleet.peakLoads = 0;
        await fleet.publish(fixtures.createUpgradeNote("2"), 1);
        await fleet.advance(downAfter);
        fleet.keyValue.faults.isDown = true;
        await fleet.advance(40_000);
        fleet.keyValue.faults.isDown = false;
        await fleet.advance(180_000);
        assert.equal(fleet.getVersions(), ["2", "2", "2"], `down after ${downAfter} ms`);
        assert.equal(fleet.floorViolations, []);
        assert.is(fleet.peakLoads, 1);
    }
});

// A coordinator is paused for 30 s while it holds a claim. The others take over its assignments and finish the rollout.
// After it resumes it must neither send orders based on outdated information nor revert to the old note.
suite("a coordinator that was paused for 30 s sends no outdated order", async () => {
    await using fleet = await createSettledFleet();
    await fleet.publish(fixtures.createUpgradeNote("2"), 1);
    await fleet.advance(1_500);
    const claimed = [...fleet.get(0).noteCache.getChangingUpstreams()][0] ?? "";
    const index = fleet.engines.findIndex(engine => engine.id === claimed);
    const paused = fleet.getCoordinator(index);
    fleet.pause(paused, 30_000);
    await fleet.publish(fixtures.createUpgradeNote("3"), 2);
    await fleet.advance(240_000);
    assert.equal(fleet.getVersions(), ["3", "3", "3"]);
    assert.equal(fleet.floorViolations, []);
    const orders = fleet.engines.flatMap(engine => engine.orders.map(order => Number(order.models[0]?.version)));
    const perEngine = fleet.engines.map(engine => engine.orders.map(order => Number(order.models[0]?.version)));
    assert.ok(orders.length > 0);
    assert.ok(perEngine.every(versions => versions.every((version, at) => version >= (versions[at - 1] ?? 0))));
});

// A coordinator is paused during the call that renews its claim, and the engines ignore fencing numbers. The renewal
// takes effect; when the coordinator resumes, another one has ordered version 3, and the engine would execute a late
// order for version 2.
suite("a coordinator that was paused while it renewed its claim sends no order", async () => {
    await using fleet = await createSettledFleet({ checksFencing: () => false });
    await fleet.publish(fixtures.createUpgradeNote("2"), 1);
    await fleet.advance(700);
    fleet.keyValue.faults.delayMilliseconds = 3_000;
    const claimed = [...fleet.get(0).noteCache.getChangingUpstreams()][0] ?? "";
    const index = fleet.engines.findIndex(engine => engine.id === claimed);
    const paused = fleet.getCoordinator(index);
    await fleet.advance(2_000);
    fleet.pause(paused, 30_000);
    fleet.keyValue.faults.delayMilliseconds = 0;
    const other = core.Debug.checkDefined(
        fleet.getRunning().find(instance => instance !== paused),
        "another instance",
    );
    await fleet.publish(fixtures.createUpgradeNote("3"), 2, "amara", other);
    await fleet.advance(240_000);
    assert.equal(fleet.getVersions(), ["3", "3", "3"]);
    assert.equal(
        fleet.getEngine(index).orders.map(order => order.models[0]?.version),
        ["1", "3"],
    );
});

async function writeClaim(
    fleet: testFleet.TestFleet,
    instance: core.InstanceId,
    upstream: core.UpstreamId,
    generation: core.Generation,
): Promise<release.ClaimStore> {
    const store = new release.ClaimStore(fleet.keyValue, fleet.clock, instance);
    const claim = await store.tryWrite({ upstream, generation, needsLoad: true, replaces: undefined });
    core.Debug.assert(claim !== undefined, "the claim is written");
    return store;
}

// An instance lost the assignment of an upstream right after its order but is still live, so its lease keeps the claim.
// The claim is no longer needed, and without a takeover it would use up the only allowed load permanently.
suite("a claim that a previous coordinator left is taken over and released", async () => {
    await using fleet = await createSettledFleet();
    const former = core.Debug.checkDefined(
        fleet.getRunning().find(instance => instance !== fleet.getCoordinator(0)),
        "an instance that is not the coordinator",
    );
    await using owned = await writeClaim(fleet, former.id, "engine-0", 1);
    assert.ok(owned.isLeaseValid());
    await fleet.advance(20_000);
    assert.equal([...fleet.get(0).noteCache.getChangingUpstreams()], []);
    await fleet.publish(fixtures.createUpgradeNote("2"), 1);
    await fleet.advance(90_000);
    assert.equal(fleet.getVersions(), ["2", "2", "2"]);
});

// A coordinator that doesn't have the newest note finds a claim made under that note. It must not take over the claim
// and send orders for the older note.
suite("a claim made under a newer note is not taken over", async () => {
    await using fleet = await createSettledFleet();
    const store = await writeClaim(fleet, "entry-elsewhere", "engine-0", 9);
    fleet.getEngine(0).restartEmpty();
    const orders = fleet.getEngine(0).orders.length;
    await fleet.advance(30_000);
    assert.is(fleet.getEngine(0).orders.length, orders);
    const line = fleet
        .getCoordinator(0)
        .rollout.getProgress()
        .find(candidate => candidate.upstream === "engine-0");
    assert.match(line?.reason ?? "", /under generation 9/);
    await store[Symbol.asyncDispose]();
    await fleet.advance(90_000);
    assert.equal(fleet.getVersions(), ["1", "1", "1"]);
});

// A load takes longer than a lease. The claim must last as long as the load, since it keeps new requests away from the
// engine and the next coordinator relies on it.
suite("a claim lasts as long as its load", async () => {
    await using fleet = await createSettledFleet({ loadMilliseconds: 120_000 });
    await fleet.publish(fixtures.createUpgradeNote("2"), 1);
    const index = await advanceToOrder(fleet, "2");
    await fleet.advance(100_000);
    assert.equal([...fleet.get(0).noteCache.getChangingUpstreams()], [fleet.getEngine(index).id]);
});

// All leases expire in an outage of the key-value service while an engine loads. After the outage the claim no longer
// exists, but the load is still running, so the other coordinators must not begin a second one.
suite("a load whose lease expired in an outage still counts towards the load limit", async () => {
    await using fleet = await createSettledFleet({ loadMilliseconds: 120_000 });
    fleet.peakLoads = 0;
    await fleet.publish(fixtures.createUpgradeNote("2"), 1);
    await advanceToOrder(fleet, "2");
    fleet.keyValue.faults.isDown = true;
    await fleet.advance(70_000);
    fleet.keyValue.faults.isDown = false;
    await fleet.advance(400_000);
    assert.equal(fleet.getVersions(), ["2", "2", "2"]);
    assert.is(fleet.peakLoads, 1);
});

// Half of the instances are replaced during the rollout, one every few seconds, and assignments move each time.
suite("a rollout completes while half of the instances are replaced", async () => {
    await using fleet = await createSettledFleet();
    fleet.peakLoads = 0;
    await fleet.publish(fixtures.createUpgradeNote("2"), 1);
    for (const index of [0, 1]) {
        await fleet.advance(4_000);
        fleet.kill(fleet.get(index));
        await fleet.advance(3_000);
        await fleet.addInstance();
    }
    await fleet.advance(240_000);
    assert.equal(fleet.getVersions(), ["2", "2", "2"]);
    assert.equal(fleet.floorViolations, []);
    assert.is(fleet.peakLoads, 1);
    assert.ok(fleet.getRunning().every(instance => instance.noteCache.tryGetNote()?.generation === 2));
});

suite.run();
