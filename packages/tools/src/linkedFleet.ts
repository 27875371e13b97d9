import * as core from "@boragedale/core";
import * as entry from "@boragedale/entry";
import * as backing from "@boragedale/backing";
import * as protocol from "@boragedale/protocol";
import * as release from "@boragedale/release";
import * as standins from "@boragedale/standins";
import * as telemetry from "@boragedale/telemetry";

/** Instances for measurements, linked by real sockets in one process. Each has a fleet membership and receives notes. */

export enum PublishCondition {
    Watch = "watch",
    NoWatch = "watch lost",
    Outage = "watch lost, service down after one instance read it",
}

interface Instance {
    readonly network: protocol.WebSocketPeerNetwork;
    readonly membership: entry.membership.FleetMembership;
    readonly keeper: release.KeyValueNoteCache;
}

/** The cost of an instance of an idle fleet, averaged over the fleet. */
export interface IdleCost {
    readonly links: number;
    readonly bytesPerSecond: number;
    readonly corePercent: number;
    readonly heapMegabytes: number;
}

/** Parts that are created after the network, which must listen first so that its port is known. Its callbacks use them. */
interface DeferredParts {
    membership?: entry.membership.FleetMembership;
    keeper?: release.KeyValueNoteCache;
}

/** The instance list that all instances of a measurement read. It is always up to date. */
class SharedInstanceList extends backing.InstanceList {
    readonly instances: core.InstanceDescription[] = [];

    override async tryRead(): Promise<readonly core.InstanceDescription[] | undefined> {
        return [...this.instances];
    }
}

/** Measures `size` idle instances with a note in force. The memory figure needs `--expose-gc`. */
export async function measureIdle(size: number, milliseconds: number): Promise<IdleCost> {
    globalThis.gc?.();
    const heapBefore = process.memoryUsage().heapUsed;
    await using fleet = await LinkedFleet.start(size);
    await fleet.publish(1, PublishCondition.Watch);
    const before = { traffic: fleet.getBytesSent(), cpu: process.cpuUsage(), at: performance.now() };
    await new Promise<void>(resolve => setTimeout(resolve, milliseconds));
    const seconds = (performance.now() - before.at) / 1_000;
    const cpu = process.cpuUsage(before.cpu);
    const bytesPerSecond = (fleet.getBytesSent() - before.traffic) / seconds / size;
    const corePercent = ((cpu.user + cpu.system) / 1_000_000 / seconds / size) * 100;
    globalThis.gc?.();
    const heapMegabytes = (process.memoryUsage().heapUsed - heapBefore) / size / 1_048_576;
    return { links: fleet.getLinksPerInstance(), bytesPerSecond, corePercent, heapMegabytes };
}

/** Instances that are linked by real sockets and share one key-value service in memory. */
export class LinkedFleet implements AsyncDisposable {
    private readonly clock = new core.SystemClock();
    private readonly keyValue = new standins.MemoryKeyValueService(this.clock);
    private readonly list = new SharedInstanceList();
    private readonly instances: Instance[] = [];

    static async start(size: number): Promise<LinkedFleet> {
        const fleet = new LinkedFleet();
        for (let index = 0; index < size; index++) {
            fleet.instances.push(await fleet.createInstance(`entry-${index}`));
        }
        // Gives all instances time to read the complete list and to connect to their neighbours.
        await new Promise<void>(resolve => setTimeout(resolve, 3_500));
        return fleet;
    }

    /** Publishes one note and returns the time in milliseconds until every instance has it. */
    async publish(generation: core.Generation, condition: PublishCondition): Promise<number> {
        this.keyValue.faults.isWatchCut = condition !== PublishCondition.Watch;
        const publisher = new release.KeyValueNotePublisher({
            keyValue: this.keyValue,
            clock: this.clock,
            telemetry: createTelemetry("publisher", this.clock),
        });
        const source = generation === 1 ? FirstNote : `policy: { itemAttempts: ${1 + (generation % 50)} }`;
        const startedAt = performance.now();
        const inForce = Promise.all(this.instances.map(instance => waitForGeneration(instance.keeper, generation)));
        const request = { source, file: "note.yaml", replaces: generation - 1, author: "measure" };
        const outcome = await publisher.publish(request);
        core.Debug.assert(outcome.kind === release.PublishKind.Published, "the note is published");
        // An instance that starts now reads the note before the service goes down. The others can only get it from a peer.
        const lateInstance =
            condition === PublishCondition.Outage ? await this.createInstance(`told-${generation}`) : undefined;
        this.keyValue.faults.isDown = condition === PublishCondition.Outage;
        await inForce;
        const milliseconds = performance.now() - startedAt;
        this.keyValue.faults.isDown = false;
        this.keyValue.resumeWatches();
        if (lateInstance !== undefined) {
            this.list.instances.pop();
            await stopInstance(lateInstance);
        }
        return milliseconds;
    }

    getBytesSent(): number {
        return this.instances.reduce((sum, instance) => sum + instance.network.getTraffic().sent, 0);
    }

    getLinksPerInstance(): number {
        const links = this.instances.reduce((sum, instance) => sum + instance.network.getConnectedPeers().length, 0);
        return links / this.instances.length;
    }

    async [Symbol.asyncDispose](): Promise<void> {
        await Promise.all(this.instances.map(stopInstance));
    }

    private async createInstance(id: core.InstanceId): Promise<Instance> {
        const deferredParts: DeferredParts = {};
        const instanceTelemetry = createTelemetry(id, this.clock);
        const network = await protocol.WebSocketPeerNetwork.start({
            instance: id,
            host: "127.0.0.1",
            port: 0,
            keys: ["measure"],
            clock: this.clock,
            telemetry: instanceTelemetry,
            getNeighbours: () => deferredParts.membership?.getNeighbours() ?? [],
            tryGetAddress: peer => deferredParts.membership?.tryGetAddress(peer),
            createHeartbeat: () => ({
                kind: protocol.MessageKind.Heartbeat,
                generation: deferredParts.keeper?.tryGetNote()?.generation ?? 0,
                logicalTime: instanceTelemetry.timeLine.getLogicalTime(),
                state: core.LifecycleState.Live,
            }),
        });
        const self: core.InstanceDescription = {
            id,
            dataCentre: "loopback",
            state: core.LifecycleState.Live,
            callerUrl: "",
            peerUrl: `ws://127.0.0.1:${network.getPort()}`,
            operatorUrl: "",
        };
        this.list.instances.push(self);
        const membership = await entry.membership.FleetMembership.start({
            self,
            instanceList: this.list,
            clock: this.clock,
        });
        deferredParts.membership = membership;
        membership.attach(network);
        const keeper = await release.KeyValueNoteCache.start({
            keyValue: this.keyValue,
            network,
            heartbeats: membership,
            clock: this.clock,
            telemetry: instanceTelemetry,
            countInstances: () => this.instances.length,
        });
        deferredParts.keeper = keeper;
        return { network, membership, keeper };
    }
}

async function stopInstance(instance: Instance): Promise<void> {
    await instance.keeper[Symbol.asyncDispose]();
    await instance.membership[Symbol.asyncDispose]();
    await instance.network[Symbol.asyncDispose]();
}

async function waitForGeneration(keeper: release.NoteCache, generation: core.Generation): Promise<void> {
    if ((keeper.tryGetNote()?.generation ?? 0) >= generation) {
        return;
    }
    await new Promise<void>(resolve => {
        const stop = keeper.onNote(note => {
            if (note.generation >= generation) {
                stop();
                resolve();
            }
        });
    });
}

function createTelemetry(instance: string, clock: core.Clock): telemetry.Telemetry {
    return new telemetry.Telemetry({ instance, logLevel: "silent" }, clock);
}

/** About as large as the note of a small fleet, because an instance that pulls a note transfers all of it. */
const FirstNote = [
    "added:",
    "    models:",
    '        - { id: heron, version: "1" }',
    "    upstreams:",
    ...[...Array(12).keys()].map(
        index =>
            `        - { id: engine-${index}, kind: Engine, url: "http://127.0.0.1:${9000 + index}", ` +
            "dataCentre: loopback, models: [heron] }",
    ),
].join("\n");
