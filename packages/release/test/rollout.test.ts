import * as core from "@boragedale/core";
import * as backing from "@boragedale/backing";
import * as release from "@boragedale/release";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as fixtures from "./fixtures.js";
import * as testFleet from "./testFleet.js";

const suite = uvu.suite("rollout");

/** A fleet whose engines hold version 1 under generation 1. */
async function createSettledFleet(
    options: Partial<testFleet.TestFleetOptions> & { readonly note?: fixtures.FleetOptions } = {},
): Promise<testFleet.TestFleet> {
    const { note, ...fleetOptions } = options;
    const fleet = await testFleet.TestFleet.start({ instances: 3, engines: 3, ...fleetOptions });
    const outcome = await fleet.publish(fixtures.createFirstNote({ engines: 3, ...note }), 0);
    core.Debug.assert(outcome.kind === release.PublishKind.Published, "the first note is published");
    await fleet.advance(120_000);
    assert.ok(fleet.getPhases().every(phase => phase === release.UpstreamPhase.Reached));
    fleet.peakLoads = 0;
    return fleet;
}

suite("a first note loads every engine within the weight store's load limit", async () => {
    await using fleet = await testFleet.TestFleet.start({ instances: 3, engines: 5 });
    await fleet.publish(fixtures.createFirstNote({ engines: 5, concurrentLoads: 2 }), 0);
    await fleet.advance(60_000);
    assert.equal(fleet.getVersions(), ["1", "1", "1", "1", "1"]);
    assert.ok(fleet.getPhases().every(phase => phase === release.UpstreamPhase.Reached));
    assert.is(fleet.peakLoads, 2);
});

suite("an upgrade proceeds engine by engine, keeps the floor and leaves no claim", async () => {
    await using fleet = await createSettledFleet({ note: { concurrentLoads: 3, onlineFloor: 2 } });
    fleet.floor = 2;
    await fleet.publish(fixtures.createUpgradeNote("2"), 1);
    await fleet.advance(120_000);
    assert.equal(fleet.getVersions(), ["2", "2", "2"]);
    assert.equal(fleet.floorViolations, []);
    assert.is(fleet.peakLoads, 1);
    const claims = await fleet.keyValue.list({
        prefix: release.ClaimPrefix,
        limit: 10,
        purpose: backing.CallPurpose.Read,
    });
    assert.equal(claims, { ok: true, value: [] });
});

// An engine has to change while it streams answers, which an immediate order would interrupt. The claim keeps every
// instance from sending it new requests, and the order waits until the last stream has ended.
suite("an engine is ordered only after its running requests have finished", async () => {
    await using fleet = await createSettledFleet();
    fleet.engines.forEach(engine => (engine.running = 2));
    await fleet.publish(fixtures.createUpgradeNote("2"), 1);
    await fleet.advance(20_000);
    assert.equal(fleet.getVersions(), ["1", "1", "1"]);
    const changing = [...fleet.get(0).noteCache.getChangingUpstreams()];
    assert.is(changing.length, 1);
    assert.equal([...fleet.get(2).noteCache.getChangingUpstreams()], changing);
    const usable = fleet.get(1).noteCache.tryGetUsableFleet();
    const leaving = usable?.upstreams.filter(upstream => upstream.isLeaving).map(upstream => upstream.id);
    assert.equal(leaving, changing);
    assert.is(fleet.get(1).noteCache.tryGetUsableFleet(), usable, "routing compares by identity");
    fleet.engines.forEach(engine => (engine.running = 0));
    await fleet.advance(60_000);
    assert.equal(fleet.getVersions(), ["2", "2", "2"]);
    assert.equal([...fleet.get(0).noteCache.getChangingUpstreams()], []);
    assert.is(fleet.get(1).noteCache.tryGetUsableFleet(), fleet.get(1).noteCache.tryGetNote()?.fleet);
});

// A second note is published halfway through the rollout of the first one. Engines that hold version 2, that load it,
// or that still hold version 1 all go to version 3; no further order for version 2 is sent.
suite("a note published during a rollout is planned from what the engines hold", async () => {
    await using fleet = await createSettledFleet();
    await fleet.publish(fixtures.createUpgradeNote("2"), 1);
    await fleet.advance(14_000);
    assert.is(fleet.getVersions().filter(version => version === "2").length, 1);
    const publishedAt = fleet.engines.map(engine => engine.orders.length);
    await fleet.publish(fixtures.createUpgradeNote("3"), 2);
    await fleet.advance(120_000);
    assert.equal(fleet.getVersions(), ["3", "3", "3"]);
    assert.equal(fleet.floorViolations, []);
    const later = fleet.engines.flatMap((engine, index) => engine.orders.slice(publishedAt[index]));
    assert.ok(later.every(order => order.models.every(held => held.version === "3")));
});

suite("withdrawing a model unloads it from the engines without a load", async () => {
    await using fleet = await createSettledFleet();
    const source = [
        "changed:",
        "    upstreams:",
        ...[0, 1, 2].map(index => `        - { id: engine-${index}, models: [] }`),
        "withdrawn: { models: [heron] }",
    ].join("\n");
    const outcome = await fleet.publish(source, 1);
    assert.is(outcome.kind, release.PublishKind.Published);
    await fleet.advance(60_000);
    assert.equal(fleet.getVersions(), ["", "", ""]);
    assert.is(fleet.peakLoads, 0);
});

// Three instances upgrade six engines with two concurrent loads of a minute each. The weight store's load limit allows
// three rounds at best; claiming, draining, reading reports and going on to the next engine may add a fifth to that
// time.
suite("an upgrade takes at most 1.2 times the minimum that the weight store's load limit allows", async () => {
    const note = { engines: 6, concurrentLoads: 2 };
    const loadMilliseconds = 60_000;
    await using fleet = await testFleet.TestFleet.start({ instances: 3, engines: 6, loadMilliseconds });
    await fleet.publish(fixtures.createFirstNote(note), 0);
    await fleet.advance(300_000);
    const checked = release.checkNote(fixtures.createUpgradeNote("2"), "note.yaml", fixtures.createFleet(note));
    core.Debug.assert(checked.ok, "the upgrade is valid");
    const bound = checked.value.rounds * loadMilliseconds;
    await fleet.publish(fixtures.createUpgradeNote("2"), 1);
    const startedAt = fleet.clock.now();
    while (fleet.getVersions().some(version => version !== "2") && fleet.clock.now() - startedAt < 2 * bound) {
        await fleet.advance(500);
    }
    const took = fleet.clock.now() - startedAt;
    assert.ok(took <= 1.2 * bound, `${took} ms, bound ${bound} ms`);
    assert.is(fleet.peakLoads, 2);
});

// An operator reads the history during a rollout, after a rollout, and after a note was replaced halfway.
suite("the history shows which notes the fleet reached", async () => {
    await using fleet = await createSettledFleet();
    const readOutcomes = async (): Promise<readonly (release.NoteOutcome | undefined)[]> => {
        const history = await fleet.wait(fleet.get(0).publisher.readHistory());
        core.Debug.assert(history.ok, "the service answers");
        return history.value.map(entry => entry.outcome);
    };
    await fleet.publish(fixtures.createUpgradeNote("2"), 1);
    await fleet.advance(10_000);
    assert.equal(await readOutcomes(), [release.NoteOutcome.Reached, release.NoteOutcome.InProgress]);
    await fleet.publish(fixtures.createUpgradeNote("3"), 2);
    await fleet.advance(120_000);
    const { Reached: reached, Replaced: replaced } = release.NoteOutcome;
    assert.equal(await readOutcomes(), [reached, replaced, reached]);
});

suite("an upstream that a note does not affect gets no order", async () => {
    await using fleet = await createSettledFleet();
    const orders = fleet.engines.map(engine => engine.orders.length);
    await fleet.publish("policy: { batchWeight: 0.9 }", 1);
    await fleet.advance(30_000);
    assert.equal(
        fleet.engines.map(engine => engine.orders.length),
        orders,
    );
    assert.is(fleet.get(1).noteCache.tryGetNote()?.generation, 2);
});

suite.run();
