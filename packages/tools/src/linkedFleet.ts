import * as core from "@boragedale/core";
import * as entry from "@boragedale/entry";
import * as backing from "@boragedale/backing";
import * as protocol from "@boragedale/protocol";
import * as release from "@boragedale/release";
import * as standins from "@boragedale/standins";
import * as telemetry from "@boragedale/telemetry";

/** Instances that measurements link over real sockets in one process, each with membership and note keeping. */

export enum Way {
    Watch = "watch",
    NoWatch = "watch lost",
    Outage = "watch lost, service down after one instance read it",
}

interface Instance {
    readonly network: protocol.WebSocketPeerNetwork;
    readonly membership: entry.membership.FleetMembership;
    readonly keeper: release.KeyValueNoteCache;
}

/** What an instance of an idle fleet costs, on average over the fleet. */
export interface IdleCost {
    readonly links: number;
    readonly bytesPerSecond: number;
    readonly corePercent: number;
    readonly heapMegabytes: number;
}

/** The network asks for these before they exist: it must listen first, so that its port is known. */
interface LateParts {
    membership?: entry.membership.FleetMembership;
    keeper?: release.KeyValueNoteCache;
}

/** A list that every instance of the run reads; it does not lag here. */
class SharedInstanceList extends backing.InstanceList {
    readonly instances: core.InstanceDescription[] = [];

    override async tryRead(): Promise<readonly core.InstanceDescription[] | undefined> {
        return [...this.instances];
    }
}

/** Runs `size` instances with a note in force and nothing to do. Memory needs `--expose-gc`. */
export async function measureIdle(size: number, milliseconds: number): Promise<IdleCost> {
    globalThis.gc?.();
    const heapBefore = process.memoryUsage().heapUsed;
    await using fleet = await LinkedFleet.start(size);
    await fleet.publish(1, Way.Watch);
    const before = { traffic: fleet.getBytesSent(), cpu: process.cpuUsage(), at: performance.now() };
    await new Promise<void>(resolve => setTimeout(resolve, milliseconds));
    const seconds = (performance.now() - before.at) / 1_000;
    const cpu = process.cpuUsage(before.cpu);
    const bytesPerSecond = (fleet.getBytesSent() - before.traffic) / seconds / size;
    const corePercent = ((cpu.user + cpu.system) / 1_000_000 / seconds / size) * 100;
    globalThis.gc?.();
    const heapMegabytes = (process.memoryUsage().heapUsed - heapBefore) / size / 1_048_576;
    return { links: fleet.getLinksEach(), bytesPerSecond, corePercent, heapMegabytes };
}

/** Instances over real sockets around one key-value service in memory. */
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
        // Everyone reads the whole list and links its neighbours.
        await new Promise<void>(resolve => setTimeout(resolve, 3_500));
        return fleet;
    }

    /** Publishes one note; returns the milliseconds until every instance has it. */
    async publish(generation: core.Generation, way: Way): Promise<number> {
        this.keyValue.faults.isWatchCut = way !== Way.Watch;
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
        // An instance that starts just now reads the note before the service goes; the others have only its word.
        const told = way === Way.Outage ? await this.createInstance(`told-${generation}`) : undefined;
        this.keyValue.faults.isDown = way === Way.Outage;
        await inForce;
        const milliseconds = performance.now() - startedAt;
        this.keyValue.faults.isDown = false;
        this.keyValue.resumeWatches();
        if (told !== undefined) {
            this.list.instances.pop();
            await stopInstance(told);
        }
        return milliseconds;
    }

    getBytesSent(): number {
        return this.instances.reduce((sum, instance) => sum + instance.network.getTraffic().sent, 0);
    }

    getLinksEach(): number {
        const links = this.instances.reduce((sum, instance) => sum + instance.network.getConnectedPeers().length, 0);
        return links / this.instances.length;
    }

    async [Symbol.asyncDispose](): Promise<void> {
        await Promise.all(this.instances.map(stopInstance));
    }

    private async createInstance(id: core.InstanceId): Promise<Instance> {
        const late: LateParts = {};
        const instanceTelemetry = createTelemetry(id, this.clock);
        const network = await protocol.WebSocketPeerNetwork.start({
            instance: id,
            host: "127.0.0.1",
            port: 0,
            keys: ["measure"],
            clock: this.clock,
            telemetry: instanceTelemetry,
            getNeighbours: () => late.membership?.getNeighbours() ?? [],
            tryGetAddress: peer => late.membership?.tryGetAddress(peer),
            createHeartbeat: () => ({
                kind: protocol.MessageKind.Heartbeat,
                generation: late.keeper?.tryGetNote()?.generation ?? 0,
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
        late.membership = membership;
        membership.attach(network);
        const keeper = await release.KeyValueNoteCache.start({
            keyValue: this.keyValue,
            network,
            heartbeats: membership,
            clock: this.clock,
            telemetry: instanceTelemetry,
            countInstances: () => this.instances.length,
        });
        late.keeper = keeper;
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

/** About as large as a small fleet's: what a pull has to carry. */
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
