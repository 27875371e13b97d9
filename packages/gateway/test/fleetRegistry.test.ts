import * as gateway from "@boragedale/gateway";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as fixtures from "./fixtures.js";
import * as registryScene from "./registryScene.js";

const suite = uvu.suite("fleetRegistry");

suite("three members of each data centre watch, and all members know of changes and of each other", async () => {
    const scene = await registryScene.createFleet();
    const watching = registryScene.getWatching(scene);
    for (const dataCentre of registryScene.DataCentres) {
        assert.is(watching.filter(member => member.directory.self.dataCentre === dataCentre).length, 3);
    }
    assert.ok(scene.getMembers().every(member => member.directory.getMembers().length === registryScene.MemberCount));
    registryScene.changeConfiguration(scene, 2);
    await scene.clock.advance(registryScene.KnownMilliseconds);
    registryScene.assertKnown(scene, 2);
    await registryScene.endFleet(scene);
});

// Guards against a store call by each member for each change, which overloads the store while a fleet starts or
// restarts.
suite("a series of changes causes store calls by the watching members only", async () => {
    const scene = await registryScene.createFleet();
    scene.calls.length = 0;
    for (let change = 0; change < 20; change++) {
        scene.metadata.put(`upstreams/${change}`, JSON.stringify(fixtures.createUpstream(String(change))));
        await scene.clock.advance(200);
    }
    const watches = scene.calls.filter(call => call.startsWith(gateway.StoreCall.Watch));
    assert.ok(watches.length <= 6 * 20, `${watches.length} watches`);
    await registryScene.endFleet(scene);
});

// Guards against followers that wait for watching members which have just been killed.
suite("a change right after the watching members of a data centre were killed is known in time", async () => {
    const scene = await registryScene.createFleet();
    registryScene
        .getWatching(scene)
        .filter(member => member.directory.self.dataCentre === "a")
        .forEach(member => member.kill());
    registryScene.changeConfiguration(scene, 2);
    await scene.clock.advance(registryScene.KnownDuringFaultsMilliseconds);
    registryScene.assertKnown(scene, 2);
    await scene.clock.advance(5_000);
    assert.is(registryScene.getWatching(scene).filter(member => member.directory.self.dataCentre === "a").length, 3);
    await registryScene.endFleet(scene);
});

// Guards against followers that receive no changes while their watching member is paused and its lease is still valid.
suite("the followers of a paused member are notified by the other watching members", async () => {
    const scene = await registryScene.createFleet(registryScene.OneDataCentre);
    const [paused, ...others] = registryScene.getWatching(scene);
    scene.hub.offline.add(paused!.id);
    await scene.clock.advance(registryScene.KnownDuringFaultsMilliseconds);
    const notified = others.flatMap(member => member.registry.assignment.getFollowers(scene.clock.now()));
    assert.is(new Set(notified).size, registryScene.MemberCount - others.length - 1);
    await registryScene.endFleet(scene);
});

// Guards against a removal that reaches followers seconds late, because their watching member is among the removed.
suite("members whose leases end at once are removed everywhere within two seconds", async () => {
    const scene = await registryScene.createFleet();
    const killed = [...scene.getMembers().slice(0, registryScene.MemberCount / 3)];
    killed.push(...registryScene.getWatching(scene).filter(member => member.directory.self.dataCentre === "a"));
    killed.forEach(member => member.kill());
    await scene.clock.advance(gateway.LeaseMilliseconds + registryScene.KnownDuringFaultsMilliseconds);
    for (const member of scene.getMembers()) {
        assert.ok(
            killed.every(removed => member.directory.tryGet(removed.id) === undefined),
            member.id,
        );
    }
    await registryScene.endFleet(scene);
});

// Guards against followers that receive no heartbeat of a watching member and wait for the leases of the paused ones to
// expire.
suite("a change is known in time while every watching member is paused", async () => {
    const scene = await registryScene.createFleet(registryScene.OneDataCentre);
    const paused = registryScene.getWatching(scene);
    for (const member of paused) {
        scene.hub.offline.add(member.id);
        member.faults.isDown = true;
    }
    registryScene.changeConfiguration(scene, 2);
    await scene.clock.advance(registryScene.KnownDuringFaultsMilliseconds);
    const behind = scene.getMembers().filter(member => member.view.getConfiguration()?.version !== 2);
    assert.equal(
        behind.filter(member => !paused.includes(member)).map(member => member.id),
        [],
    );
    await registryScene.endFleet(scene);
});

// Guards against a member that is cut off only from the watching members and stays behind, although other peers know
// more.
suite("a follower that no watching member reaches asks its other peers", async () => {
    const scene = await registryScene.createFleet(registryScene.OneDataCentre);
    const follower = scene.getMembers().find(member => !member.registry.isWatching())!;
    follower.faults.isDown = true;
    const watching = registryScene.getWatching(scene);
    const blocked = (): void => watching.forEach(member => scene.world.members.delete(member.id));
    blocked();
    watching.forEach(member => scene.hub.offline.add(member.id));
    const informed = scene.getMembers().find(member => member !== follower)!;
    informed.view.apply([{ key: "upstreams/a", revision: 1_000, value: undefined }], scene.clock.now());
    await scene.clock.advance(registryScene.KnownDuringFaultsMilliseconds);
    assert.is(follower.view.getRevision(), 1_000);
    await registryScene.endFleet(scene);
});

// Guards against watching members whose calls the store rejects, and that leave their followers with old entries.
suite(
    "a change is known in time while the store rejects a third of the members and all watching ones of a data centre",
    async () => {
        const scene = await registryScene.createFleet();
        const rejected = [
            ...registryScene.getWatching(scene).filter(member => member.directory.self.dataCentre === "a"),
            ...scene.getMembers().slice(0, registryScene.MemberCount / 3),
        ];
        rejected.forEach(member => (member.faults.isDown = true));
        await scene.clock.advance(1_000);
        registryScene.changeConfiguration(scene, 2);
        await scene.clock.advance(registryScene.KnownDuringFaultsMilliseconds);
        registryScene.assertKnown(scene, 2);
        rejected.forEach(member => (member.faults.isDown = false));
        await registryScene.endFleet(scene);
    },
);

// Guards against a follower that lost an update and never receives the removal in it, because later updates make it
// seem up to date.
suite("a follower that missed a removal long ago detects it by the digest", async () => {
    const scene = await registryScene.createFleet();
    const follower = scene.getMembers().find(member => !member.registry.isWatching())!;
    scene.hub.inboundBlocked.add(follower.id);
    scene.metadata.remove("upstreams/a");
    await scene.clock.advance(100);
    scene.hub.inboundBlocked.delete(follower.id);
    follower.view.apply(
        [{ key: "upstreams/b", revision: scene.metadata.list("").revision + 1, value: undefined }],
        scene.clock.now(),
    );
    await scene.clock.advance(6_000);
    scene.metadata.put("upstreams/c", JSON.stringify(fixtures.createUpstream("c")));
    scene.metadata.put("upstreams/d", JSON.stringify(fixtures.createUpstream("d")));
    await scene.clock.advance(6_000);
    const usable = follower.view.getUsable("service", scene.clock.now()).map(upstream => upstream.entry.id);
    assert.equal(usable.sort(), ["c", "d"]);
    await registryScene.endFleet(scene);
});

suite(
    "a fleet that was killed as a whole knows its new incarnations within a second and a half of their start",
    async () => {
        const scene = await registryScene.createFleet();
        scene.getMembers().forEach(member => member.kill());
        await scene.clock.advance(1_000);
        for (let index = 0; index < registryScene.MemberCount; index++) {
            scene.start(index, 2);
            await scene.clock.advance(7);
        }
        await scene.clock.advance(1_500);
        for (const member of scene.getMembers()) {
            assert.is(member.directory.getMembers().length, registryScene.MemberCount, member.id);
        }
        await registryScene.endFleet(scene);
    },
);

// Guards against a fleet that starts during a store outage and afterwards finds neither the store nor its members.
suite("a fleet that starts during a store outage is complete after the store's recovery", async () => {
    const scene = registryScene.createScene();
    for (let index = 0; index < registryScene.MemberCount; index++) {
        scene.start(index).faults.isDown = true;
    }
    await scene.clock.advance(6_000);
    scene.getMembers().forEach(member => (member.faults.isDown = false));
    await scene.clock.advance(4_000);
    registryScene.assertKnown(scene, 1);
    assert.ok(scene.getMembers().every(member => member.directory.getMembers().length === registryScene.MemberCount));
    assert.is(registryScene.getWatching(scene).length, 6);
    await registryScene.endFleet(scene);
});

// Guards against every member listing the store at the end of an outage.
suite("no follower watches the store because the watching members lost it for a while", async () => {
    const scene = await registryScene.createFleet();
    scene.getMembers().forEach(member => (member.faults.isDown = true));
    scene.metadata.areLeaseExpiriesPaused = true;
    await scene.clock.advance(6_000);
    scene.getMembers().forEach(member => (member.faults.isDown = false));
    scene.calls.length = 0;
    registryScene.changeConfiguration(scene, 2);
    await scene.clock.advance(3_000);
    registryScene.assertKnown(scene, 2);
    const watches = scene.calls.filter(call => call.startsWith(gateway.StoreCall.Watch));
    assert.ok(watches.length <= 6 * 8, `${watches.length} watches`);
    await registryScene.endFleet(scene);
});

suite.run();
