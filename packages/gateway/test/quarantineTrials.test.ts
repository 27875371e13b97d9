import * as core from "@boragedale/core";
import * as gateway from "@boragedale/gateway";
import * as protocol from "@boragedale/protocol";
import * as standins from "@boragedale/standins";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as fixtures from "./fixtures.js";
import type * as forwarderScenes from "./forwarderScenes.js";
import * as scenes from "./gatewayScenes.js";
import * as testEngines from "./testEngines.js";
import * as testFleet from "./testFleet.js";

const suite = uvu.suite("quarantineTrials");

const Part = "blamed";
const TenMinutes = 600_000;

interface TrialScene extends scenes.GatewaysScene {
    /** Sends a request and answers it in full; returns whether it was refused. */
    readonly sendSound: (member: scenes.TestGateway, name: string, parts: readonly string[]) => Promise<boolean>;
    /** Sends a request with the part, which crashes each upstream that it reaches. Returns the number of them. */
    readonly sendCrashing: (member: scenes.TestGateway, name: string) => Promise<number>;
}

function createScene(gatewayCount: number): TrialScene {
    const scene = scenes.createGateways(gatewayCount, Object.fromEntries([..."abcdefgh"].map(id => [id, "v1"])));
    const sendSound = async (member: scenes.TestGateway, name: string, parts: readonly string[]): Promise<boolean> => {
        const response = await member.forward(name, { parts });
        if (response.headersSent) {
            return true;
        }
        scenes.answerLatest(member, name, 0, 24).handler.onComplete();
        await scene.clock.advance(10);
        return false;
    };
    const crash = async (attempt: forwarderScenes.Attempt): Promise<void> => {
        scene.crashUpstream(attempt.upstream);
        await scenes.breakOff(scene, attempt);
        scene.restartUpstream(attempt.upstream);
    };
    const sendCrashing = async (member: scenes.TestGateway, name: string): Promise<number> => {
        const sentBefore = member.channels.attempts.length;
        let sent = sentBefore;
        await member.forward(name, { parts: ["shared", Part, `${name}-own`] });
        while (member.channels.attempts.length > sent) {
            sent = member.channels.attempts.length;
            await crash(scenes.answerLatest(member, name, 0, -1));
        }
        return sent - sentBefore;
    };
    return { ...scene, sendSound, sendCrashing };
}

/** The entry by which a store tells members of a quarantine. */
async function createRecord(
    clock: core.VirtualClock,
    quarantine: protocol.QuarantineKind,
    name: string,
): Promise<readonly gateway.StoreEntry[]> {
    const metadata = new standins.MemoryMetadata(clock);
    const records = new gateway.QuarantineRecords({ store: metadata.createClient(), clock, random: () => 0 });
    const change = { quarantine, name, remainingMilliseconds: TenMinutes, failures: 0 };
    await testFleet.advanceUntilSettled(
        clock,
        records.write(change, () => true).then(() => true),
    );
    return metadata.list(gateway.FleetPrefix).entries;
}

// Guards against sound requests that are refused for ten minutes, because the verdict stops each request that could refute it.
suite("after a false verdict on a part, sound streams are served again at each gateway within seconds", async () => {
    const scene = createScene(5);
    const record = await createRecord(scene.clock, protocol.QuarantineKind.Part, Part);
    scene.gateways.forEach(member => member.applyFleetEntries(record));
    let refused = 0;
    let refusedLate = 0;
    for (let round = 0; round < 60; round++) {
        const isRefused = await scene.sendSound(scene.gateways[round % 5]!, `s${round}`, [
            "shared",
            Part,
            `own${round}`,
        ]);
        refused += isRefused ? 1 : 0;
        refusedLate += isRefused && round >= 30 ? 1 : 0;
        await scene.clock.advance(80);
    }
    assert.is(refusedLate, 0);
    assert.ok(refused > 0 && refused <= 15, `${refused} of 60 requests were refused`);
});

// Guards against a record that is listed again after the store was away, and quarantines the part once more.
suite("a verdict that was refuted doesn't return with its record", async () => {
    const scene = createScene(2);
    const record = await createRecord(scene.clock, protocol.QuarantineKind.Part, Part);
    scene.gateways.forEach(member => member.applyFleetEntries(record));
    for (let round = 0; round < 20; round++) {
        await scene.sendSound(scene.gateways[round % 2]!, `s${round}`, ["shared", Part, `own${round}`]);
        await scene.clock.advance(80);
    }
    scene.gateways.forEach(member => member.applyFleetEntries(record));
    assert.is(await scene.sendSound(scene.gateways[0]!, "late-0", ["shared", Part, "own"]), false);
    assert.is(await scene.sendSound(scene.gateways[1]!, "late-1", ["shared", Part, "own"]), false);
});

// Guards against a verdict that was refuted and returns, because the store carries out the write of its record late.
for (const lateWrites of [1, 3]) {
    suite(`a record whose first ${lateWrites} writes are late doesn't outlive its verdict`, async () => {
        const clock = new core.VirtualClock();
        const metadata = new standins.MemoryMetadata(clock);
        const store = metadata.createClient();
        store.faults.delayedTransactions = lateWrites;
        store.faults.transactionDelayMilliseconds = 3_000;
        const records = new gateway.QuarantineRecords({ store, clock, random: () => 0 });
        const change = {
            quarantine: protocol.QuarantineKind.Part,
            name: Part,
            remainingMilliseconds: TenMinutes,
            failures: 0,
        };
        let isCurrent = true;
        void records.write(change, () => isCurrent);
        await clock.advance(500);
        isCurrent = false;
        await clock.advance(10_000);
        assert.equal(metadata.list(gateway.FleetPrefix).entries, []);
    });
}

// Guards against an operator who can't end a false verdict without restarting all gateways.
suite("removing the record ends a quarantine of a part or a request at once", async () => {
    const scene = createScene(2);
    const fingerprint = gateway.createFingerprint("/a/x", Buffer.from("repeated"));
    const records = [
        ...(await createRecord(scene.clock, protocol.QuarantineKind.Part, Part)),
        ...(await createRecord(scene.clock, protocol.QuarantineKind.Request, fingerprint)),
    ];
    const [first, second] = [scene.gateways[0]!, scene.gateways[1]!];
    [first, second].forEach(member => member.applyFleetEntries(records));
    assert.is(await scene.sendSound(first, "s0", ["shared", Part, "own"]), true);
    assert.is(await scene.sendSound(first, "repeated", []), true);
    const removals = records.map(({ key, revision }) => ({ key, revision: revision + 10, value: undefined }));
    [first, second].forEach(member => member.applyFleetEntries(removals));
    assert.is(await scene.sendSound(first, "s1", ["shared", Part, "own"]), false);
    assert.is(await scene.sendSound(second, "repeated", []), false);
});

// Guards against trials that crash more upstreams than the platform allows, at several gateways at once or after restarts.
suite("trials of a part that crashes upstreams stay rare", async () => {
    const scene = createScene(5);
    let crashes = 0;
    let lateCrashes = 0;
    let thirdAt = Infinity;
    for (let round = 0; round < 600; round++) {
        const now = scene.clock.now();
        const member = scene.gateways[round % scene.gateways.length]!;
        const sent = await scene.sendCrashing(member, `c${round}`);
        crashes += sent;
        thirdAt = crashes >= 3 ? Math.min(thirdAt, now) : thirdAt;
        lateCrashes += now > thirdAt + 3_000 ? sent : 0;
        await scene.clock.advance(80);
        if (round === 300) {
            const restarted = scene.addGateway();
            await scene.clock.advance(100);
            assert.is(await scene.sendCrashing(restarted, "restarted"), 0);
        }
    }
    assert.ok(crashes >= 5, `${crashes} crashes: no trials`);
    assert.ok(lateCrashes <= 2, `${lateCrashes} crashes later than three seconds after the third`);
});

// Guards against a single request that upstreams crashed under by coincidence, and that is refused for a quarter of an hour.
suite("after a false verdict on a whole request, it is served again at each gateway within seconds", async () => {
    const scene = createScene(3);
    const name = "repeated";
    const fingerprint = gateway.createFingerprint("/a/x", Buffer.from(name));
    const record = await createRecord(scene.clock, protocol.QuarantineKind.Request, fingerprint);
    scene.gateways.forEach(member => member.applyFleetEntries(record));
    assert.is(await scene.sendSound(scene.gateways[0]!, name, []), true);
    await scene.clock.advance(10_000);
    assert.is(await scene.sendSound(scene.gateways[0]!, name, []), false);
    assert.is(await scene.sendSound(scene.gateways[1]!, name, []), false);
    assert.is(await scene.sendSound(scene.gateways[2]!, name, []), false);
});

// Guards against accepted items that are neither run nor listed for minutes after a false verdict on a part that they share.
suite("items that are held by a false verdict complete within seconds", async () => {
    const fleet = await testFleet.createFleet(3, 3);
    const store = fleet.metadata.createClient();
    const records = new gateway.QuarantineRecords({ store, clock: fleet.clock, random: () => 0 });
    const change = {
        quarantine: protocol.QuarantineKind.Part,
        name: Part,
        remainingMilliseconds: TenMinutes,
        failures: 0,
    };
    await testFleet.advanceUntilSettled(
        fleet.clock,
        records.write(change, () => true).then(() => true),
    );
    await fleet.clock.advance(200);
    const items = fixtures.createItems(20).map(item => ({
        ...item,
        headers: [["parts", `shared,${Part},${item.id}`]] as const,
    }));
    await testFleet.submit(fleet, fleet.members[0]!, "s", items);
    const held = fleet.members[0]!.log.events.filter(({ event }) => event === gateway.GatewayEvent.ItemHeld);
    assert.is(held.length, 20);
    await fleet.clock.advance(5_000);
    const results = await testFleet.readAll(fleet, fleet.members[0]!, "s");
    assert.is(results?.length, 20);
    results?.forEach(result => assert.is(result.text, testEngines.getExpectedText(result.id)));
});

// Guards against held items that are never listed: the part crashes each engine, so no trial ends its quarantine.
suite("items that are held by a true verdict are listed as given up when they have expired", async () => {
    const fleet = await testFleet.createFleet(2, 3);
    const items = fixtures.createItems(6).map(item => ({
        ...item,
        headers: [["parts", `shared,${Part},${item.id}`]] as const,
    }));
    items.forEach(item => fleet.channels.behaviour.crashing.add(item.id));
    await testFleet.submit(fleet, fleet.members[0]!, "s", items);
    await fleet.clock.advance(50_000);
    assert.is((await testFleet.readAll(fleet, fleet.members[0]!, "s"))?.length, 0);
    await fleet.clock.advance(15_000);
    const results = await testFleet.readAll(fleet, fleet.members[0]!, "s");
    assert.equal(
        results?.map(({ state }) => state),
        items.map(() => gateway.ResultState.GivenUp),
    );
});

suite.run();
