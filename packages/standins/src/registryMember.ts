import * as core from "@boragedale/core";
import * as gateway from "@boragedale/gateway";
import * as protocol from "@boragedale/protocol";
import type * as memoryMetadataStore from "./memoryMetadataStore.js";
import type * as memoryPeers from "./memoryPeers.js";

const HeartbeatMilliseconds = 1_000;

/** What the members of a fleet share. */
export interface RegistryWorld {
    readonly clock: core.Clock;
    readonly metadata: memoryMetadataStore.MemoryMetadata;
    readonly hub: memoryPeers.MemoryPeerHub;
    readonly codec: gateway.RegistryCodec;
    /** From 0 up to 1. */
    readonly random: () => number;
    /** Told each call that reaches the store. */
    readonly onStoreCall: (call: gateway.StoreCall, purpose: string) => void;
    /** The members that live, by id. */
    readonly members: Map<core.InstanceId, RegistryMember>;
    /** The peers to which each member keeps links open. */
    readonly neighbours: Map<core.InstanceId, ReadonlySet<core.InstanceId>>;
}

/** One life of an instance, of which only what keeps its registry runs. */
export interface RegistryMember {
    readonly id: core.InstanceId;
    readonly directory: gateway.MemberDirectory;
    readonly view: gateway.FleetView;
    readonly registry: gateway.FleetRegistry;
    readonly faults: memoryMetadataStore.MetadataFaults;
    /** Sends its heartbeat to a peer. */
    readonly beat: (peer: core.InstanceId) => void;
    /** Ends as a kill does: its lease runs out. */
    readonly kill: () => void;
    /** Ends as a planned stop does. */
    readonly stop: () => Promise<void>;
}

/** Tells nobody anything. */
export class SilentLog extends gateway.GatewayLog {
    override finished(): void {}
    override refused(): void {}
    override attemptEnded(): void {}
    override recordEvent(): void {}
}

export function startRegistryMember(
    id: core.InstanceId,
    dataCentre: core.DataCentre,
    world: RegistryWorld,
): RegistryMember {
    const { clock, metadata, hub, codec, random, members } = world;
    const log = new SilentLog();
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
                world.onStoreCall(call, purpose);
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
    const stopper = new AbortController();
    const end = (): void => {
        stopper.abort();
        hub.remove(id);
        members.delete(id);
        world.neighbours.delete(id);
        void registry[Symbol.asyncDispose]();
    };
    const member: RegistryMember = {
        id,
        directory,
        view,
        registry,
        faults: client.faults,
        beat: peer => void network.notify(peer, createHeartbeat(member, clock.now())),
        kill: () => {
            client.faults.isDown = true;
            end();
            void registration[Symbol.asyncDispose]();
        },
        stop: async () => {
            end();
            await registration[Symbol.asyncDispose]();
        },
    };
    members.set(id, member);
    void runHeartbeats(member, world, stopper.signal);
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

/** All links of a member, whichever end opened them, carry its heartbeats at the same moment. */
async function runHeartbeats(member: RegistryMember, world: RegistryWorld, signal: AbortSignal): Promise<void> {
    const { clock, random, neighbours } = world;
    await clock.sleep(random() * HeartbeatMilliseconds, signal);
    while (!signal.aborted) {
        const watchers = member.registry.assignment.getWatchers();
        const chosen = new Set(gateway.chooseNeighbours(member.directory, watchers));
        neighbours.set(member.id, chosen);
        chosen.forEach(peer => member.beat(peer));
        for (const [peer, theirs] of neighbours) {
            if (theirs.has(member.id) && !chosen.has(peer)) {
                member.beat(peer);
            }
        }
        await clock.sleep(HeartbeatMilliseconds, signal);
    }
}
