import * as gateway from "@boragedale/gateway";
import * as protocol from "@boragedale/protocol";
import * as standins from "@boragedale/standins";
import * as random from "../random.js";
import * as settledPlay from "../settledPlay.js";
import * as simulation from "../simulation.js";
import * as simulationClock from "../slots/simulationClock.js";
import * as plainCodec from "./plainCodec.js";

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
    /** Bytes a second that an instance sends to peers, heartbeats among them: the mean, and the most of any one. */
    readonly sentBytes: { readonly mean: number; readonly most: number };
    /** Milliseconds until the middle and the last instance know what changed; undefined where nothing does. */
    readonly knownAfter: { readonly middle: number; readonly last: number } | undefined;
}

/** A renewal of a lease is priced at this part of another call. */
const RenewalPrice = 0.1;
const DataCentres = 5;
/** Of a WebSocket frame under 64 KB that a client sends: two bytes, two of length, four of mask. */
const FrameHeaderBytes = 8;
const SettleMilliseconds = 20_000;
const SceneMilliseconds = 30_000;
const StartSpreadMilliseconds = 300;
const RestartMilliseconds = 1_000;
const RollStepMilliseconds = 500;
const UpstreamChanges = 40;
const UpstreamStepMilliseconds = 200;
const LookMilliseconds = 20;

/** One call to the store, for what, and what it costs beside a whole one. */
interface StoreCall {
    readonly at: number;
    readonly purpose: string;
    readonly price: number;
}

interface Fleet {
    readonly time: simulation.Simulation;
    readonly world: standins.RegistryWorld;
    readonly calls: StoreCall[];
    /** Bytes sent to peers, by sender. */
    readonly sent: Map<string, number>;
    readonly draw: random.Random;
    members: standins.RegistryMember[];
}

/** Plays one scene with the deployed registration and watches over a store that answers at once. */
export async function runMembership(options: MembershipOptions): Promise<MembershipResult> {
    const fleet = createFleet(options);
    await play(fleet, SettleMilliseconds);
    fleet.calls.length = 0;
    fleet.sent.clear();
    const startedAt = fleet.time.now();
    const knownAfter = await playScene(fleet, options.scene);
    await play(fleet, startedAt + SceneMilliseconds - fleet.time.now());
    return { ...options, ...sumCalls(fleet.calls), sentBytes: sumBytes(fleet), knownAfter };
}

function createFleet(options: MembershipOptions): Fleet {
    const time = new simulation.Simulation();
    const clock = new simulationClock.SimulationClock(time);
    const draw = new random.Random(options.seed);
    const calls: StoreCall[] = [];
    const sent = new Map<string, number>();
    const hub = new standins.MemoryPeerHub();
    hub.onSent = (message, from) => void sent.set(from, (sent.get(from) ?? 0) + getFrameBytes(message));
    const world: standins.RegistryWorld = {
        clock,
        metadata: new standins.MemoryMetadata(clock),
        hub,
        codec: new plainCodec.PlainCodec(),
        random: () => draw.next(),
        onStoreCall: (call, purpose) => {
            const price = call === gateway.StoreCall.RenewLease ? RenewalPrice : 1;
            calls.push({ at: clock.now(), purpose: `${call} ${purpose}`.trimEnd(), price });
        },
        members: new Map(),
        neighbours: new Map(),
    };
    const fleet: Fleet = { time, world, calls, sent, draw, members: [] };
    for (let index = 0; index < options.instances; index++) {
        startLater(fleet, index, 1, 0);
    }
    return fleet;
}

function startLater(fleet: Fleet, index: number, life: number, milliseconds: number): void {
    const id = gateway.createMemberId(`instance-${index}`, String(life));
    const dataCentre = `data-centre-${index % DataCentres}`;
    fleet.world.clock.schedule(milliseconds + fleet.draw.below(StartSpreadMilliseconds), () =>
        fleet.members.push(standins.startRegistryMember(id, dataCentre, fleet.world)),
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
        startLater(fleet, index, 2, RestartMilliseconds);
    });
    const isWhole = (member: standins.RegistryMember): boolean => {
        const known = member.directory.getMembers();
        return known.length === killed.length && known.every(({ id }) => !killed.some(gone => gone.id === id));
    };
    return measureKnown(fleet, isWhole, killed.length);
}

function roll(fleet: Fleet): void {
    [...fleet.members].forEach((member, index) => {
        fleet.world.clock.schedule(index * RollStepMilliseconds, () => {
            fleet.members = fleet.members.filter(other => other !== member);
            void member.stop();
            startLater(fleet, index, 2, RestartMilliseconds);
        });
    });
}

async function changeUpstreams(fleet: Fleet): Promise<MembershipResult["knownAfter"]> {
    for (let change = 0; change < UpstreamChanges; change++) {
        fleet.world.metadata.put(`${plainCodec.UpstreamPrefix}${change}`, "changed");
        await play(fleet, UpstreamStepMilliseconds);
    }
    const revision = fleet.world.metadata.put(`${plainCodec.UpstreamPrefix}last`, "changed");
    return measureKnown(fleet, member => member.view.getRevision() >= revision);
}

/** Looks at short intervals who knows, until all do or the scene is over. */
async function measureKnown(
    fleet: Fleet,
    knows: (member: standins.RegistryMember) => boolean,
    expected = fleet.members.length,
): Promise<MembershipResult["knownAfter"]> {
    const startedAt = fleet.time.now();
    const knownAt = new Map<standins.RegistryMember, number>();
    while (knownAt.size < expected && fleet.time.now() - startedAt < SceneMilliseconds) {
        await play(fleet, LookMilliseconds);
        const news = fleet.members.filter(member => !knownAt.has(member) && knows(member));
        news.forEach(member => knownAt.set(member, fleet.time.now() - startedAt));
    }
    const times = [...knownAt.values()].sort((left, right) => left - right);
    const last = knownAt.size < expected ? Infinity : (times.at(-1) ?? 0);
    return { middle: times[Math.floor(times.length / 2)] ?? Infinity, last };
}

function getFrameBytes(message: protocol.Message): number {
    const encoded = protocol.encodeFrame({ message }, protocol.Lane.Bulk, protocol.FrameForm.Packed);
    return (encoded.ok ? encoded.bytes.byteLength : 0) + FrameHeaderBytes;
}

function sumBytes({ sent }: Fleet): MembershipResult["sentBytes"] {
    const seconds = SceneMilliseconds / 1_000;
    const rates = [...sent.values()].map(bytes => bytes / seconds);
    const total = rates.reduce((sum, rate) => sum + rate, 0);
    return { mean: total / Math.max(1, rates.length), most: Math.max(0, ...rates) };
}

function sumCalls(calls: readonly StoreCall[]): Pick<MembershipResult, "calls" | "mostCalls" | "callsByPurpose"> {
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
    await settledPlay.play(fleet.time, fleet.time.now() + Math.max(0, milliseconds));
}
