import * as gateway from "@boragedale/gateway";
import type * as standins from "@boragedale/standins";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as fixtures from "./fixtures.js";
import * as registryScene from "./registryScene.js";

const suite = uvu.suite("peers to catch up with");

/** Time between two starts in a quick roll. */
const ChangeMilliseconds = 150;

/** Longer than what may still be on its way. */
const LongMilliseconds = 6_000;

function addMember(scene: registryScene.Scene, name: string): void {
    const id = gateway.createMemberId(name, "1");
    const member = { id, dataCentre: registryScene.OneDataCentre[0]!, peerAddress: "127.0.0.1:2" };
    scene.metadata.put(gateway.MemberPrefix + id, gateway.encodeMember(member));
}

/** Has a follower miss a change of the configuration and hear of a later one, so that only the digest tells. */
async function missChange(
    scene: registryScene.Scene,
    version: number,
    follower: standins.RegistryMember,
): Promise<void> {
    scene.hub.deaf.add(follower.id);
    registryScene.changeConfiguration(scene, version);
    await scene.clock.advance(100);
    const key = `upstreams/${version}`;
    scene.metadata.put(key, JSON.stringify(fixtures.createUpstream(String(version))));
    await scene.clock.advance(100);
    const later = scene.metadata.get(key);
    assert.ok(later);
    follower.view.apply([later], scene.clock.now());
}

// Guards against a member that asks the same peer for ever which it can't reach, while others would answer.
suite("a member that can't ask one of the watching members asks another one in time", async () => {
    const scene = await registryScene.createFleet(registryScene.OneDataCentre);
    const follower = scene.getMembers().find(member => !member.registry.isWatching())!;
    const watching = registryScene.getWatching(scene);
    let version = 1;
    for (const askable of watching) {
        for (let phase = 0; phase < 1_000; phase += 100) {
            watching.filter(member => member !== askable).forEach(member => scene.hub.unaskable.add(member.id));
            await missChange(scene, ++version, follower);
            await scene.clock.advance(phase);
            scene.hub.deaf.delete(follower.id);
            await scene.clock.advance(registryScene.KnownInTroubleMilliseconds);
            assert.is(follower.view.getConfiguration()?.version, version, `${askable.id}, ${phase} ms`);
            scene.hub.unaskable.clear();
            await scene.clock.advance(1_000);
        }
    }
    await registryScene.endFleet(scene);
});

// Guards against a member that hears of watching members and can't reach one of them, while every other peer would answer.
suite("a member that can't ask any watching member asks its other peers", async () => {
    const scene = await registryScene.createFleet(registryScene.OneDataCentre);
    const follower = scene.getMembers().find(member => !member.registry.isWatching())!;
    registryScene.getWatching(scene).forEach(member => scene.hub.unaskable.add(member.id));
    await missChange(scene, 2, follower);
    scene.hub.deaf.delete(follower.id);
    await scene.clock.advance(registryScene.KnownInTroubleMilliseconds);
    assert.is(follower.view.getConfiguration()?.version, 2);
    await registryScene.endFleet(scene);
});

// Guards against a change that stays unknown for as long as others follow it, since the digests are never of the same revision.
suite("a member that missed a configuration finds it while members come and go", async () => {
    for (let phase = 0; phase < 1_000; phase += 100) {
        const scene = await registryScene.createFleet(registryScene.OneDataCentre);
        const follower = scene.getMembers().find(member => !member.registry.isWatching())!;
        await scene.clock.advance(phase);
        scene.hub.deaf.add(follower.id);
        registryScene.changeConfiguration(scene, 2);
        await scene.clock.advance(100);
        scene.hub.deaf.delete(follower.id);
        for (let change = 0; change * ChangeMilliseconds < registryScene.KnownInTroubleMilliseconds; change++) {
            addMember(scene, `other-${change}`);
            await scene.clock.advance(ChangeMilliseconds);
        }
        assert.is(follower.view.getConfiguration()?.version, 2, `${phase} ms`);
        await registryScene.endFleet(scene);
    }
});

// Guards against an upstream that left and stays in use, since what came after its removal was asked for twice in vain.
suite("a member that missed a removal long ago finds it within two seconds of its return to its peers", async () => {
    for (let phase = 0; phase < 1_000; phase += 100) {
        const scene = await registryScene.createFleet(registryScene.OneDataCentre);
        const follower = scene.getMembers().find(member => !member.registry.isWatching())!;
        follower.faults.isDown = true;
        scene.hub.cutOff.add(follower.id);
        scene.metadata.remove("upstreams/a");
        await scene.clock.advance(1_100);
        scene.metadata.put("upstreams/b", JSON.stringify(fixtures.createUpstream("b")));
        follower.view.apply([scene.metadata.get("upstreams/b")!], scene.clock.now());
        await scene.clock.advance(LongMilliseconds + phase);
        scene.hub.cutOff.delete(follower.id);
        await scene.clock.advance(registryScene.KnownInTroubleMilliseconds);
        const { view } = registryScene.getWatching(scene)[0]!;
        assert.equal(follower.view.getUpstreamsMark(), view.getUpstreamsMark(), `${phase} ms`);
        await registryScene.endFleet(scene);
    }
});

suite.run();
