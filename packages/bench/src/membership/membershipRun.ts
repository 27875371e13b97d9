import * as gateway from "@boragedale/gateway";
import * as standins from "@boragedale/standins";
import * as random from "../random.js";
import * as simulation from "../simulation.js";
import * as simulationClock from "../slots/simulationClock.js";
import * as membershipFleet from "./membershipFleet.js";

/** What happens to a fleet that has run for a while. */
export enum MembershipScene {
    Quiet = "Quiet",
    /** A third is killed at once, and is not back. */
    KillThird = "KillThird",
    /** All are killed at once, and are back within a second and a third. */
    KillAll = "KillAll",
    /** Each is stopped in turn, and is back a second later. */
    Roll = "Roll",
    /** Forty changes of upstreams, a fifth of a second apart. */
    UpstreamSeries = "UpstreamSeries",
}

export interface MembershipOptions {
    readonly scene: MembershipScene;
    readonly instances: number;
    readonly seed: number;
}

export interface MembershipResult extends MembershipOptions {
    /** Calls to the store of all instances in the scene, renewals at a tenth as they are priced. */
    readonly calls: number;
    /** Most calls in one second, each counted whole. */
    readonly mostCalls: number;
    /** Calls by kind and purpose, as priced. */
    readonly callsByPurpose: Readonly<Record<string, number>>;
    /** Milliseconds until the middle and the last instance know what changed; undefined where nothing does. */
    readonly knownAfter: { readonly middle: number; readonly last: number } | undefined;
}

const SettleMilliseconds = 20_000;
const SceneMilliseconds = 30_000;
const StartSpreadMilliseconds = 300;
const RestartMilliseconds = 1_000;
const RollStepMilliseconds = 500;
const UpstreamChanges = 40;
const UpstreamStepMilliseconds = 200;
const LookMilliseconds = 20;

interface Fleet {
    readonly time: simulation.Simulation;
    readonly clock: simulationClock.SimulationClock;
    readonly metadata: standins.MemoryMetadata;
    readonly calls: membershipFleet.StoreCall[];
    readonly draw: random.Random;
    members: membershipFleet.Member[];
}

/** Plays one scene with the deployed registration and watches over a store that answers at once. */
export async function runMembership(options: MembershipOptions): Promise<MembershipResult> {
    const fleet = createFleet(options);
    await play(fleet, SettleMilliseconds);
    fleet.calls.length = 0;
    const startedAt = fleet.time.now();
    const knownAfter = await playScene(fleet, options.scene);
    await play(fleet, startedAt + SceneMilliseconds - fleet.time.now());
    return { ...options, ...sumCalls(fleet.calls), knownAfter };
}

function createFleet(options: MembershipOptions): Fleet {
    const time = new simulation.Simulation();
    const clock = new simulationClock.SimulationClock(time);
    const metadata = new standins.MemoryMetadata(clock);
    const fleet: Fleet = { time, clock, metadata, calls: [], draw: new random.Random(options.seed), members: [] };
    for (let index = 0; index < options.instances; index++) {
        startLater(fleet, `instance-${index}`, 1, 0);
    }
    return fleet;
}

function startLater(fleet: Fleet, instance: string, life: number, milliseconds: number): void {
    const id = gateway.createMemberId(instance, String(life));
    fleet.clock.schedule(milliseconds + fleet.draw.below(StartSpreadMilliseconds), () =>
        fleet.members.push(membershipFleet.startMember(id, fleet.clock, fleet.metadata, fleet.calls)),
    );
}

async function playScene(fleet: Fleet, scene: MembershipScene): Promise<MembershipResult["knownAfter"]> {
    switch (scene) {
        case MembershipScene.Quiet:
            return undefined;
        case MembershipScene.KillThird:
            return killThird(fleet);
        case MembershipScene.KillAll:
            return killAll(fleet);
        case MembershipScene.Roll:
            roll(fleet);
            return undefined;
        case MembershipScene.UpstreamSeries:
            return changeUpstreams(fleet);
    }
}

async function killThird(fleet: Fleet): Promise<MembershipResult["knownAfter"]> {
    const killed = fleet.members.splice(0, Math.floor(fleet.members.length / 3));
    killed.forEach(member => member.kill());
    return measureKnown(fleet, member => killed.every(gone => member.directory.tryGet(gone.id) === undefined));
}

async function killAll(fleet: Fleet): Promise<MembershipResult["knownAfter"]> {
    const killed = fleet.members;
    fleet.members = [];
    killed.forEach((member, index) => {
        member.kill();
        startLater(fleet, `instance-${index}`, 2, RestartMilliseconds);
    });
    const isWhole = (member: membershipFleet.Member): boolean => {
        const known = member.directory.getMembers();
        return known.length === killed.length && known.every(({ id }) => !killed.some(gone => gone.id === id));
    };
    return measureKnown(fleet, isWhole, killed.length);
}

function roll(fleet: Fleet): void {
    [...fleet.members].forEach((member, index) => {
        fleet.clock.schedule(index * RollStepMilliseconds, () => {
            fleet.members = fleet.members.filter(other => other !== member);
            void member.stop();
            startLater(fleet, `instance-${index}`, 2, RestartMilliseconds);
        });
    });
}

async function changeUpstreams(fleet: Fleet): Promise<MembershipResult["knownAfter"]> {
    for (let change = 0; change < UpstreamChanges; change++) {
        fleet.metadata.put(`${membershipFleet.UpstreamPrefix}${change}`, "changed");
        await play(fleet, UpstreamStepMilliseconds);
    }
    const revision = fleet.metadata.put(`${membershipFleet.UpstreamPrefix}last`, "changed");
    return measureKnown(fleet, member => member.getRevision() >= revision);
}

/** Looks at short intervals who knows, until all do or the scene is over. */
async function measureKnown(
    fleet: Fleet,
    knows: (member: membershipFleet.Member) => boolean,
    expected = fleet.members.length,
): Promise<MembershipResult["knownAfter"]> {
    const startedAt = fleet.time.now();
    const knownAt = new Map<membershipFleet.Member, number>();
    while (knownAt.size < expected && fleet.time.now() - startedAt < SceneMilliseconds) {
        await play(fleet, LookMilliseconds);
        const news = fleet.members.filter(member => !knownAt.has(member) && knows(member));
        news.forEach(member => knownAt.set(member, fleet.time.now() - startedAt));
    }
    const times = [...knownAt.values()].sort((left, right) => left - right);
    const last = knownAt.size < expected ? Infinity : (times.at(-1) ?? 0);
    return { middle: times[Math.floor(times.length / 2)] ?? Infinity, last };
}

function sumCalls(
    calls: readonly membershipFleet.StoreCall[],
): Pick<MembershipResult, "calls" | "mostCalls" | "callsByPurpose"> {
    const callsByPurpose: Record<string, number> = {};
    const bySecond = new Map<number, number>();
    for (const { at, purpose, price } of calls) {
        callsByPurpose[purpose] = (callsByPurpose[purpose] ?? 0) + price;
        const second = Math.floor(at / 1_000);
        bySecond.set(second, (bySecond.get(second) ?? 0) + 1);
    }
    const total = calls.reduce((sum, call) => sum + call.price, 0);
    return { calls: total, mostCalls: Math.max(0, ...bySecond.values()), callsByPurpose };
}

async function play(fleet: Fleet, milliseconds: number): Promise<void> {
    const until = fleet.time.now() + Math.max(0, milliseconds);
    while (fleet.time.runNext(until)) {
        await new Promise<void>(resolve => setImmediate(resolve));
    }
}
