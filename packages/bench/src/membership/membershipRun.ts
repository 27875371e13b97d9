import * as gateway from "@boragedale/gateway";
import * as protocol from "@boragedale/protocol";
import * as standins from "@boragedale/standins";
import * as random from "../random.js";
import * as settledPlay from "../settledPlay.js";
import * as simulation from "../simulation.js";
import * as simulationClock from "../slots/simulationClock.js";
import * as plainCodec from "./plainCodec.js";

/** What happens to a fleet that has reached a steady state. */
export enum MembershipScene {
    Quiet = "Quiet",
    /** A third of the instances is killed at once and doesn't return. */
    KillThird = "KillThird",
    /** All instances are killed at once and return within a second and a third. */
    KillAll = "KillAll",
    /** The instances are stopped one after another, and each returns a second later. */
    RollingRestart = "Roll",
    /** Forty changes of upstreams, a fifth of a second apart. */
    UpstreamSeries = "UpstreamSeries",
}

export interface MembershipOptions {
    readonly scene: MembershipScene;
    readonly instances: number;
    readonly seed: number;
}

export interface MembershipResult extends MembershipOptions {
    /** Store calls of all instances in the scene; a lease renewal counts as a tenth, since it is priced so. */
    readonly calls: number;
    /** Most calls in one second; here a renewal counts as a whole call. */
    readonly mostCalls: number;
    /** Calls by kind and purpose, weighted by price. */
    readonly callsByPurpose: Readonly<Record<string, number>>;
    /**
     * Bytes per second that an instance sends to peers, including heartbeats: the mean, and the highest of any
     * instance.
     */
    readonly sentBytes: { readonly mean: number; readonly most: number };
    /** Milliseconds until the median and the last instance know of the change; undefined if nothing changes. */
    readonly knownAfter: { readonly middle: number; readonly last: number } | undefined;
}

/** Price of a lease renewal relative to other calls. */
const RenewalPrice = 0.1;
const DataCentres = 5;
/** Header of a WebSocket frame under 64 KB from a client: two bytes, two of length, four of mask. */
const FrameHeaderBytes = 8;
const SettleMilliseconds = 20_000;
const SceneMilliseconds = 30_000;
const StartSpreadMilliseconds = 300;
const RestartMilliseconds = 1_000;
const RollingRestartStepMilliseconds = 500;
const UpstreamChanges = 40;
const UpstreamStepMilliseconds = 200;
const PollMilliseconds = 20;

/** One call to the store, with its purpose and its price relative to a full call. */
interface StoreCall {
    readonly at: number;
    readonly purpose: string;
    readonly price: number;
}

interface Fleet {
    readonly time: simulation.Simulation;
    readonly registrySimulation: standins.RegistrySimulation;
    readonly calls: StoreCall[];
    /** Bytes sent to peers, by sender. */
    readonly sent: Map<string, number>;
    readonly draw: random.Random;
    members: standins.RegistryMember[];
}

/** Simulates one scene with the gateway's own registration and watches, on a store that replies without delay. */
export async function runMembership(options: MembershipOptions): Promise<MembershipResult> {
    const fleet = createFleet(options);
    await advance(fleet, SettleMilliseconds);
    fleet.calls.length = 0;
    fleet.sent.clear();
    const startedAt = fleet.time.now();
    const knownAfter = await playScene(fleet, options.scene);
    await advance(fleet, startedAt + SceneMilliseconds - fleet.time.now());
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
    const registrySimulation: standins.RegistrySimulation = {
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
    const fleet: Fleet = { time, registrySimulation, calls, sent, draw, members: [] };
    for (let index = 0; index < options.instances; index++) {
        startLater(fleet, index, 1, 0);
    }
    return fleet;
}

function startLater(fleet: Fleet, index: number, incarnation: number, milliseconds: number): void {
    const id = gateway.createMemberId(`instance-${index}`, String(incarnation));
    const dataCentre = `data-centre-${index % DataCentres}`;
    fleet.registrySimulation.clock.schedule(milliseconds + fleet.draw.nextInteger(StartSpreadMilliseconds), () =>
        fleet.members.push(standins.startRegistryMember(id, dataCentre, fleet.registrySimulation)),
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
        case MembershipScene.RollingRestart:
            startRollingRestart(fleet);
            return undefined;
        case MembershipScene.UpstreamSeries:
            return changeUpstreams(fleet);
    }
}

async function killThird(fleet: Fleet): Promise<MembershipResult["knownAfter"]> {
    const killed = fleet.members.splice(0, Math.floor(fleet.members.length / 3));
    killed.forEach(member => member.kill());
    return measureKnown(fleet, member =>
        killed.every(killedMember => member.directory.tryGet(killedMember.id) === undefined),
    );
}

async function killAll(fleet: Fleet): Promise<MembershipResult["knownAfter"]> {
    const killed = fleet.members;
    fleet.members = [];
    killed.forEach((member, index) => {
        member.kill();
        startLater(fleet, index, 2, RestartMilliseconds);
    });
    const knowsExactlyNewMembers = (member: standins.RegistryMember): boolean => {
        const known = member.directory.getMembers();
        return known.length === killed.length && known.every(({ id }) => !killed.some(old => old.id === id));
    };
    return measureKnown(fleet, knowsExactlyNewMembers, killed.length);
}

function startRollingRestart(fleet: Fleet): void {
    [...fleet.members].forEach((member, index) => {
        fleet.registrySimulation.clock.schedule(index * RollingRestartStepMilliseconds, () => {
            fleet.members = fleet.members.filter(other => other !== member);
            void member.stop();
            startLater(fleet, index, 2, RestartMilliseconds);
        });
    });
}

async function changeUpstreams(fleet: Fleet): Promise<MembershipResult["knownAfter"]> {
    for (let change = 0; change < UpstreamChanges; change++) {
        fleet.registrySimulation.metadata.put(`${plainCodec.UpstreamPrefix}${change}`, "changed");
        await advance(fleet, UpstreamStepMilliseconds);
    }
    const revision = fleet.registrySimulation.metadata.put(`${plainCodec.UpstreamPrefix}last`, "changed");
    return measureKnown(fleet, member => member.view.getRevision() >= revision);
}

/** Polls at short intervals which members are up to date, until all are or the scene is over. */
async function measureKnown(
    fleet: Fleet,
    isUpToDate: (member: standins.RegistryMember) => boolean,
    expected = fleet.members.length,
): Promise<MembershipResult["knownAfter"]> {
    const startedAt = fleet.time.now();
    const knownAt = new Map<standins.RegistryMember, number>();
    while (knownAt.size < expected && fleet.time.now() - startedAt < SceneMilliseconds) {
        await advance(fleet, PollMilliseconds);
        const newlyUpToDate = fleet.members.filter(member => !knownAt.has(member) && isUpToDate(member));
        newlyUpToDate.forEach(member => knownAt.set(member, fleet.time.now() - startedAt));
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

async function advance(fleet: Fleet, milliseconds: number): Promise<void> {
    await settledPlay.runSettlingPromises(fleet.time, fleet.time.now() + Math.max(0, milliseconds));
}
