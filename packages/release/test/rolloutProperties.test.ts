import * as core from "@boragedale/core";
import * as backing from "@boragedale/backing";
import * as release from "@boragedale/release";
import * as fastCheck from "fast-check";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as fixtures from "./fixtures.js";
import * as testFleet from "./testFleet.js";

const suite = uvu.suite("release properties");

enum EventKind {
    Publish = "Publish",
    Kill = "Kill",
    Pause = "Pause",
    Outage = "Outage",
    CutWatch = "CutWatch",
    LoseReplies = "LoseReplies",
    SlowOrders = "SlowOrders",
    Wait = "Wait",
}

interface RandomEvent {
    readonly kind: EventKind;
    readonly pick: number;
    /** Duration of the event. */
    readonly milliseconds: number;
    /** Time until the next event. */
    readonly wait: number;
}

const Engines = 4;
const Floor = 3;
const ConcurrentLoads = 2;
/** Longer than any retry delay, lease or pause that is still pending at the end of a run. */
const SettleMilliseconds = 400_000;

function createEventsArbitrary(): fastCheck.Arbitrary<readonly RandomEvent[]> {
    return fastCheck.array(
        fastCheck.record({
            kind: fastCheck.constantFrom(...Object.values(EventKind)),
            pick: fastCheck.nat(100),
            milliseconds: fastCheck.integer({ min: 100, max: 30_000 }),
            wait: fastCheck.integer({ min: 0, max: 9_000 }),
        }),
        { minLength: 4, maxLength: 16 },
    );
}

async function run(events: readonly RandomEvent[]): Promise<void> {
    const fleet = await testFleet.TestFleet.start({
        instances: 4,
        engines: Engines,
        checksFencing: engine => engine % 2 === 0,
        loadMilliseconds: 6_000,
        limits: { longestRetryMilliseconds: 20_000, loadTimeoutMilliseconds: 60_000 },
    });
    await using owned = fleet;
    const note = fixtures.createFirstNote({
        engines: Engines,
        onlineFloor: Floor,
        concurrentLoads: ConcurrentLoads,
        checksFencing: (engine: number) => engine % 2 === 0,
    });
    assert.is((await owned.publish(note, 0)).kind, release.PublishKind.Published);
    await owned.advance(60_000);
    owned.floor = Floor;
    let accepted = 1;
    for (const event of events) {
        accepted = await apply(owned, event, accepted);
        await owned.advance(event.wait);
    }
    await owned.advance(SettleMilliseconds);
    await check(owned, accepted);
}

/** Applies the event; returns the newest accepted generation. */
async function apply(
    fleet: testFleet.TestFleet,
    event: RandomEvent,
    accepted: core.Generation,
): Promise<core.Generation> {
    const running = fleet.getRunning();
    const awake = running.filter(instance => !instance.gate.isClosed());
    const picked = core.Debug.checkDefined(awake[event.pick % awake.length], "an instance is running");
    switch (event.kind) {
        case EventKind.Publish: {
            const source = fixtures.createUpgradeNote(String(accepted + 1));
            const outcome = await fleet.publish(source, accepted, "amara", picked);
            return getAccepted(outcome, accepted);
        }
        case EventKind.Kill:
            if (awake.length > 1) {
                fleet.kill(picked);
                await fleet.wait(fleet.addInstance());
            }
            return accepted;
        case EventKind.Pause:
            if (awake.length > 1) {
                fleet.pause(picked, event.milliseconds);
            }
            return accepted;
        case EventKind.Outage:
            fleet.keyValue.faults.isDown = true;
            fleet.clock.schedule(event.milliseconds, () => (fleet.keyValue.faults.isDown = false));
            return accepted;
        case EventKind.CutWatch:
            fleet.keyValue.faults.isWatchCut = true;
            fleet.clock.schedule(event.milliseconds, () => fleet.keyValue.resumeWatches());
            return accepted;
        case EventKind.LoseReplies:
            fleet.keyValue.faults.lostReplies = 1 + (event.pick % 3);
            return accepted;
        case EventKind.SlowOrders:
            fleet.orderDelayMilliseconds = event.pick * 30;
            return accepted;
        case EventKind.Wait:
            await fleet.advance(event.milliseconds);
            return accepted;
    }
}

function getAccepted(outcome: release.PublishOutcome, accepted: core.Generation): core.Generation {
    switch (outcome.kind) {
        case release.PublishKind.Published:
            return accepted + 1;
        case release.PublishKind.Conflict:
            // An earlier publish that ended as unavailable did write its note.
            return outcome.current?.generation ?? accepted;
        case release.PublishKind.Invalid:
        case release.PublishKind.Unavailable:
            return accepted;
    }
}

async function check(fleet: testFleet.TestFleet, accepted: core.Generation): Promise<void> {
    for (const instance of fleet.instances.values()) {
        const generations = instance.generations;
        assert.ok(
            generations.every((generation, at) => at === 0 || generation > (generations[at - 1] ?? 0)),
            `${instance.id} went ${generations.join(", ")}`,
        );
    }
    const stored = await readStored(fleet);
    assert.ok(stored >= accepted, `stored ${stored}, but ${accepted} was accepted`);
    const inForce = fleet.getRunning().map(instance => instance.noteCache.tryGetNote()?.generation);
    assert.ok(
        inForce.every(generation => generation === stored),
        `in force ${inForce.join(", ")}, stored ${stored}`,
    );
    const version = String(stored);
    assert.equal(
        fleet.getVersions(),
        fleet.engines.map(() => version),
    );
    assert.ok(fleet.getPhases().every(phase => phase === release.UpstreamPhase.Reached));
    assert.equal(fleet.floorViolations, []);
    assert.ok(fleet.peakLoads <= ConcurrentLoads, `${fleet.peakLoads} loads at once`);
}

async function readStored(fleet: testFleet.TestFleet): Promise<core.Generation> {
    const entry = await fleet.keyValue.get(release.CurrentNoteKey, backing.CallPurpose.Read);
    core.Debug.assert(entry.ok && entry.value !== undefined, "there is a note");
    return release.tryDecodeNote(entry.value.value)?.generation ?? 0;
}

// Random publishes, kills, pauses, slow orders and outages. No instance's generation may decrease, no model may fall
// below its floor, and the weight store's load limit must hold. Once the failures are over, the fleet must reach the
// state of the last note.
suite("generations never decrease, the fleet converges, and floors and the load limit hold", async () => {
    const property = fastCheck.asyncProperty(createEventsArbitrary(), run);
    await fastCheck.assert(property, { seed: 6, numRuns: 40 });
});

suite.run();
