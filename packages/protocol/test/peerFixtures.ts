import * as core from "@boragedale/core";
import * as protocol from "@boragedale/protocol";
import * as telemetry from "@boragedale/telemetry";

export interface Fixture {
    readonly network: protocol.WebSocketPeerNetwork;
    readonly telemetry: telemetry.Telemetry;
    readonly unreachable: core.InstanceId[];
}

export interface FixtureOptions {
    readonly id: core.InstanceId;
    readonly keys?: readonly string[];
    /** Addresses of the peers that this one knows. `createPeer` adds its own address. */
    readonly addresses: Map<core.InstanceId, protocol.PeerAddress>;
    readonly clock?: core.Clock;
    readonly neighbours?: readonly core.InstanceId[];
}

export async function createPeer(options: FixtureOptions): Promise<Fixture> {
    const clock = options.clock ?? new core.SystemClock();
    const peerTelemetry = new telemetry.Telemetry({ instance: options.id, logLevel: "silent" }, clock);
    const unreachable: core.InstanceId[] = [];
    const network = await protocol.WebSocketPeerNetwork.start({
        instance: options.id,
        host: "127.0.0.1",
        port: 0,
        keys: options.keys ?? ["shared"],
        clock,
        telemetry: peerTelemetry,
        getNeighbours: () => (options.neighbours ?? []).flatMap(id => options.addresses.get(id) ?? []),
        tryGetAddress: id => options.addresses.get(id),
        createHeartbeat: () => createHeartbeat(3),
        onUnreachable: peer => unreachable.push(peer),
    });
    options.addresses.set(options.id, { id: options.id, url: `ws://127.0.0.1:${network.getPort()}` });
    return { network, telemetry: peerTelemetry, unreachable };
}

export function createHeartbeat(generation: core.Generation): protocol.Heartbeat {
    return { kind: protocol.MessageKind.Heartbeat, generation, logicalTime: 5, state: core.LifecycleState.Live };
}
