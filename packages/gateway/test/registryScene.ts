import * as core from "@boragedale/core";
import * as gateway from "@boragedale/gateway";
import * as standins from "@boragedale/standins";
import * as assert from "uvu/assert";
import * as fixtures from "./fixtures.js";

export const MemberCount = 40;
export const DataCentres = ["a", "b"];
export const OneDataCentre = ["a"];
/**
 * Time within which a change must be known when nothing fails, and while members are killed or rejected by the store.
 */
export const KnownMilliseconds = 1_000;
export const KnownDuringFaultsMilliseconds = 2_000;

export interface Scene {
    readonly clock: core.VirtualClock;
    readonly metadata: standins.MemoryMetadata;
    readonly hub: standins.MemoryPeerHub;
    readonly world: standins.RegistrySimulation;
    readonly calls: string[];
    readonly start: (index: number, incarnation?: number) => standins.RegistryMember;
    readonly getMembers: () => readonly standins.RegistryMember[];
}

export function createId(index: number, incarnation: number): core.InstanceId {
    return gateway.createMemberId(`member-${index}`, String(incarnation));
}

export function createScene(dataCentres: readonly string[] = DataCentres): Scene {
    const clock = new core.VirtualClock();
    const metadata = new standins.MemoryMetadata(clock);
    const hub = new standins.MemoryPeerHub();
    const calls: string[] = [];
    let drawn = 0;
    const world: standins.RegistrySimulation = {
        clock,
        metadata,
        hub,
        codec: new fixtures.TestCodec(),
        random: () => (drawn++ * 0.618_034) % 1,
        onStoreCall: (call, purpose) => void calls.push(`${call} ${purpose}`),
        members: new Map(),
        neighbours: new Map(),
    };
    metadata.put("configuration", JSON.stringify(fixtures.createConfiguration(1)));
    metadata.put("upstreams/a", JSON.stringify(fixtures.createUpstream("a")));
    const start = (index: number, incarnation = 1): standins.RegistryMember => {
        return standins.startRegistryMember(
            createId(index, incarnation),
            dataCentres[index % dataCentres.length]!,
            world,
        );
    };
    return { clock, metadata, hub, world, calls, start, getMembers: () => [...world.members.values()] };
}

export async function createFleet(dataCentres: readonly string[] = DataCentres): Promise<Scene> {
    const scene = createScene(dataCentres);
    for (let index = 0; index < MemberCount; index++) {
        scene.start(index);
        await scene.clock.advance(7);
    }
    await scene.clock.advance(5_000);
    return scene;
}

export async function endFleet(scene: Scene): Promise<void> {
    scene.getMembers().forEach(member => member.kill());
    await scene.clock.advance(2_000);
}

export function getWatching(scene: Scene): readonly standins.RegistryMember[] {
    return scene.getMembers().filter(member => member.registry.isWatching());
}

export function changeConfiguration(scene: Scene, version: number): void {
    scene.metadata.put("configuration", JSON.stringify(fixtures.createConfiguration(version)));
}

export function assertKnown(scene: Scene, version: number): void {
    const behind = scene.getMembers().filter(member => member.view.getConfiguration()?.version !== version);
    assert.equal(
        behind.map(member => member.id),
        [],
    );
}
