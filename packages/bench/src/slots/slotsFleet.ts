import type * as core from "@boragedale/core";
import * as decisions from "@boragedale/decisions";
import * as gateway from "@boragedale/gateway";
import * as random from "../random.js";
import type * as simulation from "../simulation.js";
import * as simulatedNetwork from "./simulatedNetwork.js";
import * as simulationClock from "./simulationClock.js";

/** How instances learn which slots are free. */
export enum Sharing {
    /** Each knows only its own requests, and uses all engines. */
    Alone = "Alone",
    /** Each knows only its own requests, and uses a fixed subset of the engines. */
    Subset = "Subset",
    /** Each notifies its linked neighbours of the slots that it takes and frees. */
    Neighbours = "Neighbours",
    /** Each notifies all other instances. */
    Everyone = "Everyone",
    /** Coordinators grant slots; in small fleets, each notifies all others. This is what the gateway does. */
    Coordinators = "Homes",
}

export const Service = "engines";
/** Engines in one instance's subset: three times what it needs at the peak of a burst, with one engine per instance. */
const SubsetSize = 16;

/** One instance of the simulated fleet. */
export interface Member {
    readonly id: core.InstanceId;
    readonly slots: gateway.SlotSharing;
    readonly network: simulatedNetwork.SimulatedNetwork;
    readonly candidates: readonly gateway.UpstreamEntry[];
}

export interface FleetOptions {
    readonly sharing: Sharing;
    readonly instances: number;
    readonly engines: number;
    readonly slotsPerEngine: number;
    readonly seed: number;
    /** Number of data centres; 3 if absent. */
    readonly dataCentres?: number;
    /** `DefaultLoadPolicy` if absent. */
    readonly policy?: gateway.LoadPolicy;
}

const DefaultDataCentres = 3;

/** A coordinator directory that never grants slots, whatever the size of the fleet. */
class NonGrantingCoordinatorDirectory extends gateway.CoordinatorDirectory {
    override areSlotsGranted(): boolean {
        return false;
    }
}

/** Creates the instances, which share slots with the gateway's own code over a simulated network. */
export function createFleet(time: simulation.Simulation, options: FleetOptions): readonly Member[] {
    const clock = new simulationClock.SimulationClock(time);
    const hub = new simulatedNetwork.SimulatedHub(clock);
    const view = createView(options);
    const dataCentres = options.dataCentres ?? DefaultDataCentres;
    const ids = [...new Array(options.instances).keys()].map(
        index => `front-${getDataCentre(index, dataCentres)}-${index}~0123abcd`,
    );
    const entries = ids.map((id, index) => ({
        key: gateway.MemberPrefix + id,
        revision: index + 1,
        value: gateway.encodeMember({ id, dataCentre: getDataCentre(index, dataCentres), peerAddress: "127.0.0.1:1" }),
    }));
    const members = ids.map((id, index) => {
        const network = hub.createNetwork(id);
        const dataCentre = getDataCentre(index, dataCentres);
        const directory = new gateway.MemberDirectory({ id, dataCentre, peerAddress: "127.0.0.1:1" });
        directory.apply(entries);
        const source = new random.Random(options.seed * 10_000 + index);
        const draw = (): number => source.next();
        const slotTable = new decisions.SlotTable(draw, upstream => decisions.hashToUnit(`${id}/${upstream}`));
        const usesCoordinators = options.sharing === Sharing.Coordinators;
        const coordinators = new (usesCoordinators ? gateway.CoordinatorDirectory : NonGrantingCoordinatorDirectory)(
            directory,
            view,
            clock,
        );
        const onCoordinatorUnresponsive = (): void => undefined;
        const slots = new gateway.SlotSharing({
            slotTable: slotTable,
            network,
            clock,
            coordinators: coordinators,
            dataCentre,
            random: draw,
            onCoordinatorUnresponsive,
            policy: options.policy,
        });
        void slots.run();
        return { id, slots, network, candidates: chooseCandidates(id, view, options.sharing) };
    });
    linkMembers(hub, ids, options.sharing);
    return members;
}

function chooseCandidates(id: string, view: gateway.FleetView, sharing: Sharing): readonly gateway.UpstreamEntry[] {
    const all = view.getUsable(Service, 0).map(known => known.entry);
    if (sharing !== Sharing.Subset) {
        return all;
    }
    const names = all.map(entry => entry.id);
    const chosen = new Set(decisions.chooseSubset(id, names, SubsetSize));
    return all.filter(entry => chosen.has(entry.id));
}

function linkMembers(hub: simulatedNetwork.SimulatedHub, ids: readonly string[], sharing: Sharing): void {
    if (sharing === Sharing.Alone || sharing === Sharing.Subset) {
        return;
    }
    for (const id of ids) {
        const others = ids.filter(other => other !== id);
        const isFullMesh = sharing === Sharing.Everyone || others.length <= gateway.NeighbourCount;
        const linked = isFullMesh ? others : decisions.chooseSubset(id, others, gateway.NeighbourCount);
        linked.forEach(other => hub.link(id, other));
    }
}

function createView(options: FleetOptions): gateway.FleetView {
    const view = new gateway.FleetView(new JsonCodec(), () => undefined);
    const services = [{ name: Service, healthPath: "/", connectionLimit: 500, isEngine: true }];
    const limits = { headerBytes: 1, bodyBytes: 1, headerTimeoutMilliseconds: 1, idleTimeoutMilliseconds: 1 };
    const configuration: gateway.Configuration = { version: 1, routes: [], services, limits };
    const engines = [...new Array(options.engines).keys()].map((index): gateway.UpstreamEntry => ({
        id: `i-${(index + 0x10000000).toString(16)}`,
        service: Service,
        address: "127.0.0.1:1",
        dataCentre: getDataCentre(index, options.dataCentres ?? DefaultDataCentres),
        state: gateway.UpstreamState.Ready,
        softwareVersion: "v1",
        slots: options.slotsPerEngine,
        bornMilliseconds: 1,
    }));
    const put = (key: string, revision: number, value: unknown): gateway.StoreEntry => ({
        key,
        revision,
        value: Buffer.from(JSON.stringify(value)),
    });
    view.apply(
        [
            put("configuration", 1, configuration),
            ...engines.map((engine, index) => put(`upstreams/${engine.id}`, index + 2, engine)),
        ],
        0,
    );
    return view;
}

function getDataCentre(index: number, dataCentres: number): string {
    return `centre-${index % dataCentres}`;
}

/** Entries of the simulated store are the gateway's types encoded as JSON. */
class JsonCodec extends gateway.RegistryCodec {
    override readonly configurationKey = "configuration";
    override readonly upstreamPrefix = "upstreams/";
    override readonly retirementPrefix = "retire/";

    override decodeConfiguration(value: Uint8Array): gateway.Decoded<gateway.Configuration> {
        return { ok: true, value: JSON.parse(Buffer.from(value).toString()) as gateway.Configuration };
    }

    override decodeUpstream(key: string, value: Uint8Array): gateway.Decoded<gateway.UpstreamEntry> {
        return { ok: true, value: JSON.parse(Buffer.from(value).toString()) as gateway.UpstreamEntry };
    }

    override createRetirementConfirmation(machine: string): { readonly key: string; readonly value: Uint8Array } {
        return { key: machine, value: new Uint8Array() };
    }
}
