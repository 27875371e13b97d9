import * as core from "@boragedale/core";
import * as gateway from "@boragedale/gateway";
import * as protocol from "@boragedale/protocol";
import type * as memoryMetadataStore from "./memoryMetadataStore.js";
import type * as memoryPeers from "./memoryPeers.js";

const HeartbeatMilliseconds = 1_000;

/** Environment shared by the members of a simulated fleet. */
export interface RegistrySimulation {
    readonly clock: core.Clock;
    readonly metadata: memoryMetadataStore.MemoryMetadata;
    readonly hub: memoryPeers.MemoryPeerHub;
    readonly codec: gateway.RegistryCodec;
    /** Returns a number from 0 up to but excluding 1. */
    readonly random: () => number;
    /** Called for each call that reaches the store. */
    readonly onStoreCall: (call: gateway.StoreCall, purpose: string) => void;
    /** Live members by id. */
    readonly members: Map<core.InstanceId, RegistryMember>;
    /** Peers to which each member keeps connections open. */
    readonly neighbours: Map<core.InstanceId, ReadonlySet<core.InstanceId>>;
}

/** One incarnation of an instance, running only the components that maintain its registry. */
export interface RegistryMember {
    readonly id: core.InstanceId;
    readonly directory: gateway.MemberDirectory;
    readonly view: gateway.FleetView;
    readonly registry: gateway.FleetRegistry;
    readonly faults: memoryMetadataStore.MetadataFaults;
    /** Sends a heartbeat to a peer. */
    readonly sendHeartbeat: (peer: core.InstanceId) => void;
    /** Stops like a killed process, without ending its lease, which then expires. */
    readonly kill: () => void;
    /** Stops like an instance in a planned stop. */
    readonly stop: () => Promise<void>;
}

/** A log that discards everything. */
export class NullLog extends gateway.GatewayLog {
    override finished(): void {}
    override refused(): void {}
    override attemptEnded(): void {}
    override recordEvent(): void {}
}

export function startRegistryMember(
    id: core.InstanceId,
    dataCentre: core.DataCentre,
    simulation: RegistrySimulation,
): RegistryMember {
    const { clock, metadata, hub, codec, random, members } = simulation;
    const log = new NullLog();
    const client = metadata.createClient();
    const directory = new gateway.MemberDirectory({ id, dataCentre, peerAddress: "127.0.0.1:1" });
    const view = new gateway.FleetView(codec, () => undefined);
    const storeReturn = new gateway.StoreRecovery(view, clock, log);
    const store = new gateway.CountedStore(
        client,
        () => clock.now(),
        (call, purpose, outcome, milliseconds) => {
            storeReturn.noteStoreCall(call, outcome, milliseconds);
            if (!client.faults.isDown) {
                simulation.onStoreCall(call, purpose);
            }
        },
    );
    const network = hub.createNetwork(id);
    const registration = new gateway.Registration(store, directory, clock, log);
    const registry = new gateway.FleetRegistry({
        store,
        clock,
        log,
        codec,
        view,
        members: directory,
        network,
        registration,
        onFleetEntries: () => undefined,
        random,
    });
    registry.watchers.forEach(watcher => storeReturn.addWatcher(watcher));
    registration.start(registry.whenListed);
    void registry.run();
    const stopController = new AbortController();
    const shutDown = (): void => {
        stopController.abort();
        hub.remove(id);
        members.delete(id);
        simulation.neighbours.delete(id);
        void registry[Symbol.asyncDispose]();
    };
    const member: RegistryMember = {
        id,
        directory,
        view,
        registry,
        faults: client.faults,
        sendHeartbeat: peer => void network.notify(peer, createHeartbeat(member, clock.now())),
        kill: () => {
            client.faults.isDown = true;
            shutDown();
            void registration[Symbol.asyncDispose]();
        },
        stop: async () => {
            shutDown();
            await registration[Symbol.asyncDispose]();
        },
    };
    members.set(id, member);
    void runHeartbeats(member, simulation, stopController.signal);
    return member;
}

function createHeartbeat({ view, registry }: RegistryMember, now: core.MonotonicMilliseconds): protocol.Heartbeat {
    return {
        kind: protocol.MessageKind.Heartbeat,
        ...gateway.describeRegistry(view, registry.isWatching(), now),
        logicalTime: 0,
        state: core.LifecycleState.Live,
    };
}

/** Sends a member's heartbeats on all its connections at the same time, whichever end opened them. */
async function runHeartbeats(member: RegistryMember, simulation: RegistrySimulation, signal: AbortSignal): Promise<void> {
    const { clock, random, neighbours } = simulation;
    await clock.sleep(random() * HeartbeatMilliseconds, signal);
    while (!signal.aborted) {
        const watchers = member.registry.assignment.getWatchers();
        const chosen = new Set(gateway.chooseNeighbours(member.directory, watchers));
        neighbours.set(member.id, chosen);
        chosen.forEach(peer => member.sendHeartbeat(peer));
        for (const [peer, peerNeighbours] of neighbours) {
            if (peerNeighbours.has(member.id) && !chosen.has(peer)) {
                member.sendHeartbeat(peer);
            }
        }
        await clock.sleep(HeartbeatMilliseconds, signal);
    }
}
