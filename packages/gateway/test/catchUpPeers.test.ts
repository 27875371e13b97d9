import * as gateway from "@boragedale/gateway";
import type * as standins from "@boragedale/standins";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as fixtures from "./fixtures.js";
import * as registryScene from "./registryScene.js";

const suite = uvu.suite("catch-up peers");

/** Time between two member starts in a quick rolling restart. */
const ChangeIntervalMilliseconds = 150;

/** Longer than a change can be in transit. */
const SettledMilliseconds = 6_000;

function addMember(scene: registryScene.Scene, name: string): void {
    const id = gateway.createMemberId(name, "1");
    const member = { id, dataCentre: registryScene.OneDataCentre[0]!, peerAddress: "127.0.0.1:2" };
    scene.metadata.put(gateway.MemberPrefix + id, gateway.encodeMember(member));
}

/**
 * Makes a follower miss a change of the configuration and receive a later change, so that only the digest shows the
 * difference.
 */
async function missChange(
    scene: registryScene.Scene,
    version: number,
    follower: standins.RegistryMember,
): Promise<void> {
    scene.hub.inboundBlocked.add(follower.id);
    registryScene.changeConfiguration(scene, version);
    await scene.clock.advance(100);
    const key = `upstreams/${version}`;
    scene.metadata.put(key, JSON.stringify(fixtures.createUpstream(String(version))));
    await scene.clock.advance(100);
    const later = scene.metadata.get(key);
    assert.ok(later);
    follower.view.apply([later], scene.clock.now());
}

// Guards against a member that keeps asking the same unreachable peer, while others would answer.
suite("a member that can ask only one of the watching members finds it in time", async () => {
    const scene = await registryScene.createFleet(registryScene.OneDataCentre);
    const follower = scene.getMembers().find(member => !member.registry.isWatching())!;
    const watching = registryScene.getWatching(scene);
    let version = 1;
    for (const reachable of watching) {
        for (let phase = 0; phase < 1_000; phase += 100) {
            watching.filter(member => member !== reachable).forEach(member => scene.hub.requestsBlocked.add(member.id));
            await missChange(scene, ++version, follower);
            await scene.clock.advance(phase);
            scene.hub.inboundBlocked.delete(follower.id);
            await scene.clock.advance(registryScene.KnownDuringFaultsMilliseconds);
            assert.is(follower.view.getConfiguration()?.version, version, `${reachable.id}, ${phase} ms`);
            scene.hub.requestsBlocked.clear();
            await scene.clock.advance(1_000);
        }
    }
    await registryScene.endFleet(scene);
});

// Guards against a member that receives heartbeats of watching members and can ask none of them, while every other peer
// would answer.
suite("a member that can't ask any watching member asks its other peers", async () => {
    const scene = await registryScene.createFleet(registryScene.OneDataCentre);
    const follower = scene.getMembers().find(member => !member.registry.isWatching())!;
    registryScene.getWatching(scene).forEach(member => scene.hub.requestsBlocked.add(member.id));
    await missChange(scene, 2, follower);
    scene.hub.inboundBlocked.delete(follower.id);
    await scene.clock.advance(registryScene.KnownDuringFaultsMilliseconds);
    assert.is(follower.view.getConfiguration()?.version, 2);
    await registryScene.endFleet(scene);
});

// Guards against a change that stays unknown as long as others follow it, because the digests never belong to the same
// revision.
suite("a member that missed a configuration receives it while members come and go", async () => {
    for (let phase = 0; phase < 1_000; phase += 100) {
        const scene = await registryScene.createFleet(registryScene.OneDataCentre);
        const follower = scene.getMembers().find(member => !member.registry.isWatching())!;
        await scene.clock.advance(phase);
        scene.hub.inboundBlocked.add(follower.id);
        registryScene.changeConfiguration(scene, 2);
        await scene.clock.advance(100);
        scene.hub.inboundBlocked.delete(follower.id);
        for (
            let change = 0;
            change * ChangeIntervalMilliseconds < registryScene.KnownDuringFaultsMilliseconds;
            change++
        ) {
            addMember(scene, `other-${change}`);
            await scene.clock.advance(ChangeIntervalMilliseconds);
        }
        assert.is(follower.view.getConfiguration()?.version, 2, `${phase} ms`);
        await registryScene.endFleet(scene);
    }
});

// Guards against an upstream that left and stays in use, because the entries after its removal are requested twice
// without finding it.
suite(
    "a member that missed a removal long ago finds it within two seconds of being reconnected to its peers",
    async () => {
        for (let phase = 0; phase < 1_000; phase += 100) {
            const scene = await registryScene.createFleet(registryScene.OneDataCentre);
            const follower = scene.getMembers().find(member => !member.registry.isWatching())!;
            follower.faults.isDown = true;
            scene.hub.offline.add(follower.id);
            scene.metadata.remove("upstreams/a");
            await scene.clock.advance(1_100);
            scene.metadata.put("upstreams/b", JSON.stringify(fixtures.createUpstream("b")));
            follower.view.apply([scene.metadata.get("upstreams/b")!], scene.clock.now());
            await scene.clock.advance(SettledMilliseconds + phase);
            scene.hub.offline.delete(follower.id);
            await scene.clock.advance(registryScene.KnownDuringFaultsMilliseconds);
            const { view } = registryScene.getWatching(scene)[0]!;
            assert.equal(follower.view.getUpstreamsSummary(), view.getUpstreamsSummary(), `${phase} ms`);
            await registryScene.endFleet(scene);
        }
    },
);

suite.run();
