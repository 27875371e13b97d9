import * as path from "node:path";
import * as awilix from "awilix";
import * as core from "@boragedale/core";
import * as backing from "@boragedale/backing";
import * as protocol from "@boragedale/protocol";
import * as release from "@boragedale/release";
import * as telemetry from "@boragedale/telemetry";
import * as upstreams from "@boragedale/upstreams";
import * as work from "@boragedale/work";
import * as dispatch from "./dispatch/index.js";
import * as membership from "./membership/index.js";
import type * as settings from "./settings.js";

/** All parts of an instance by their names in the container. */
export interface Parts {
    readonly settings: settings.EntrySettings;
    readonly description: core.InstanceDescription;
    readonly clock: core.Clock;
    readonly telemetry: telemetry.Telemetry;
    readonly keyValue: backing.PacedKeyValueService;
    /** Stores results until the key-value service accepts them. Undefined on an instance without a disk. */
    readonly spool: backing.Spool | undefined;
    readonly instanceList: backing.InstanceList;
    readonly membership: membership.FleetMembership;
    readonly network: protocol.WebSocketPeerNetwork;
    readonly keeper: release.NoteCache;
    readonly publisher: release.NotePublisher;
    readonly ledger: work.CallLedger;
    readonly jobs: work.JobStore;
    readonly dispatcher: dispatch.Dispatcher;
    readonly executor: work.ItemExecutor;
    readonly runner: work.JobRunner;
    readonly rollout: release.Rollout;
}

export type PartsContainer = awilix.AwilixContainer<Parts>;

/**
 * Creates the container. Parts that must listen or read before they can be used (network, membership, keeper) are
 * registered by `startParts` when they run. All others are created when they are first needed.
 */
export function createContainer(given: Pick<Parts, "settings" | "clock">): PartsContainer {
    const container = awilix.createContainer<Parts>({ strict: true });
    container.register({
        settings: awilix.asValue(given.settings),
        clock: awilix.asValue(given.clock),
        telemetry: awilix.asFunction(createTelemetry).singleton(),
        keyValue: awilix.asFunction(createKeyValue).singleton(),
        instanceList: awilix.asFunction(createInstanceList).singleton(),
        publisher: awilix.asFunction(createPublisher).singleton(),
        ledger: awilix.asFunction(createLedger).singleton(),
        jobs: awilix.asFunction(createJobs).singleton(),
        dispatcher: awilix.asFunction(createDispatcher).singleton(),
        executor: awilix.asFunction(createExecutor).singleton(),
        runner: awilix.asFunction(createRunner).singleton(),
        rollout: awilix.asFunction(createRollout).singleton(),
    });
    return container;
}

/** Parts that the peer network uses although they start after it, since they need its port. */
interface LateParts {
    membership?: membership.FleetMembership;
    keeper?: release.NoteCache;
}

/** Starts the parts in the order of their dependencies. `owned` disposes them in reverse order. */
export async function startParts(
    container: PartsContainer,
    ports: EndpointPorts,
    owned: core.DisposalStack,
): Promise<Parts> {
    const parts = container.cradle;
    const late: LateParts = {};
    const network = owned.use(await startNetwork(parts, late));
    const description = createDescription(parts.settings, ports, network.getPort());
    container.register({ network: awilix.asValue(network), description: awilix.asValue(description) });
    const fleet = await membership.FleetMembership.start({ ...pick(parts), self: description });
    late.membership = owned.use(fleet);
    container.register({ membership: awilix.asValue(fleet) });
    fleet.attach(network);
    owned.use(parts.keyValue);
    container.register({ spool: awilix.asValue(await openSpool(parts.settings, owned)) });
    const keeper = owned.use(await startKeeper(parts));
    late.keeper = keeper;
    container.register({ keeper: awilix.asValue(keeper) });
    owned.use(parts.ledger);
    owned.use(parts.dispatcher);
    owned.use(parts.rollout);
    owned.use(parts.runner);
    return parts;
}

export interface EndpointPorts {
    readonly caller: number;
    readonly operator: number;
}

function pick(parts: Parts): Pick<Parts, "instanceList" | "clock"> {
    return { instanceList: parts.instanceList, clock: parts.clock };
}

function createDescription(
    given: settings.EntrySettings,
    ports: EndpointPorts,
    peerPort: number,
): core.InstanceDescription {
    const host = given.advertisedHost;
    return {
        id: given.instance,
        dataCentre: given.dataCentre,
        state: core.LifecycleState.Live,
        callerUrl: `http://${host}:${ports.caller}`,
        operatorUrl: `http://${host}:${ports.operator}`,
        peerUrl: `ws://${host}:${peerPort}`,
    };
}

async function startNetwork(parts: Parts, late: LateParts): Promise<protocol.WebSocketPeerNetwork> {
    const { settings: given, clock, telemetry: events } = parts;
    return protocol.WebSocketPeerNetwork.start({
        instance: given.instance,
        host: given.host,
        port: given.peerPort,
        keys: [given.peerKey],
        clock,
        telemetry: events,
        getNeighbours: () => late.membership?.getNeighbours() ?? [],
        tryGetAddress: peer => late.membership?.tryGetAddress(peer),
        createHeartbeat: () => ({
            kind: protocol.MessageKind.Heartbeat,
            generation: late.keeper?.tryGetNote()?.generation ?? 0,
            logicalTime: events.timeLine.getLogicalTime(),
            state: late.membership?.getState() ?? core.LifecycleState.Live,
        }),
        onUnreachable: peer => late.membership?.recordUnreachable(peer),
    });
}

const LongestRetentionMilliseconds = 30 * 24 * 3_600_000;
/** Limit on the results that wait on the disk. Holds more than an hour of bookings. */
const SpoolLimitBytes = 256 * 1_024 * 1_024;

async function openSpool(given: settings.EntrySettings, owned: core.DisposalStack): Promise<backing.Spool | undefined> {
    if (given.dataFolder === undefined) {
        return undefined;
    }
    const folder = path.join(given.dataFolder, "results");
    return owned.use(await backing.Spool.open({ folder, maximumBytes: SpoolLimitBytes }));
}

async function startKeeper(parts: Parts): Promise<release.KeyValueNoteCache> {
    return release.KeyValueNoteCache.start({
        keyValue: parts.keyValue,
        network: parts.network,
        heartbeats: parts.membership,
        clock: parts.clock,
        telemetry: parts.telemetry,
        countInstances: () => parts.membership.getLiveInstances().length,
        dataFolder: parts.settings.dataFolder,
    });
}

function createTelemetry(parts: Parts): telemetry.Telemetry {
    const { instance, logLevel } = parts.settings;
    return new telemetry.Telemetry({ instance, logLevel }, parts.clock);
}

function createKeyValue(parts: Parts): backing.PacedKeyValueService {
    const { settings: given, clock, telemetry: events } = parts;
    const service = new backing.HttpKeyValueService({ url: given.keyValueUrl }, clock);
    return new backing.PacedKeyValueService(service, {
        clock,
        telemetry: events,
        // The list may be read after the first calls. Until then this instance counts only itself.
        getFleetSize: () => Math.max(1, parts.membership.getLiveInstances().length),
        getLedgerPart: createLedgerShare(parts.membership),
        random: Math.random,
        budget: { writesPerSecond: given.keyValueWritesPerSecond, readsPerSecond: given.keyValueReadsPerSecond },
    });
}

/**
 * The share of the ledger's shards that this instance holds. Recomputed when instances join or leave, not at each call,
 * since it ranks all instances for each shard.
 */
function createLedgerShare(fleet: membership.FleetMembership): () => number {
    let part: number | undefined;
    fleet.onChange(() => (part = undefined));
    return () => {
        part ??= countHeldShards(fleet) / work.DefaultLedgerShards;
        return part;
    };
}

function countHeldShards(fleet: membership.FleetMembership): number {
    const shards = Array.from({ length: work.DefaultLedgerShards }, (unused, shard) => shard);
    return shards.filter(shard => fleet.tryGetHolder(work.getLedgerAssignment(shard)) === fleet.getSelf()).length;
}

function createInstanceList(parts: Parts): backing.InstanceList {
    return new backing.HttpInstanceList({ url: parts.settings.instanceListUrl });
}

function createPublisher({ keyValue, clock, telemetry: events }: Parts): release.NotePublisher {
    return new release.KeyValueNotePublisher({ keyValue, clock, telemetry: events });
}

function createExecutor({ clock, dispatcher }: Parts): work.ItemExecutor {
    return new dispatch.DispatchingItemExecutor({ clock, dispatcher });
}

function createLedger(parts: Parts): work.CallLedger {
    return work.createShardedCallLedger({
        ...pickWork(parts),
        membership: parts.membership,
        spool: parts.spool,
        getRetentionMilliseconds: () => getRetention(parts),
    });
}

function createJobs(parts: Parts): work.JobStore {
    return work.createJobStore(pickWork(parts));
}

function createRunner(parts: Parts): work.JobRunner {
    return work.createJobRunner({
        ...pickWork(parts),
        membership: parts.membership,
        executor: parts.executor,
        getRetentionMilliseconds: () => getRetention(parts),
        getItemAttempts: () => parts.keeper.tryGetNote()?.fleet.policy.itemAttempts ?? 1,
    });
}

/**
 * Before the first release note, nothing can have been accepted, and the longest retention keeps anything from removal.
 */
function getRetention(parts: Parts): number {
    return parts.keeper.tryGetNote()?.fleet.policy.retentionMilliseconds ?? LongestRetentionMilliseconds;
}

function pickWork(parts: Parts): Omit<work.KeyValueJobStoreOptions, "createId"> {
    return {
        keyValue: parts.keyValue,
        peers: parts.network,
        clock: parts.clock,
        telemetry: parts.telemetry,
        instance: parts.settings.instance,
    };
}

function createDispatcher(parts: Parts): dispatch.Dispatcher {
    const { clock, telemetry: events } = parts;
    return new dispatch.FleetDispatcher({
        clock,
        telemetry: events,
        ledger: parts.ledger,
        membership: parts.membership,
        peers: parts.network,
        notes: parts.keeper,
        createEngineClient: upstream =>
            new upstreams.HttpEngineClient({ upstream: upstream.id, url: upstream.url, clock, telemetry: events }),
        createServiceClient: upstream =>
            new upstreams.HttpServiceClient({ upstream: upstream.id, url: upstream.url, clock }),
    });
}

/** The rollout has clients of its own, so that its orders don't queue behind callers' requests. */
function createRollout(parts: Parts): release.Rollout {
    const { clock, telemetry: events } = parts;
    const clients = new Map<string, upstreams.EngineClient>();
    const getEngine = (upstream: core.UpstreamDescription): upstreams.EngineClient => {
        const key = `${upstream.id} ${upstream.url}`;
        let client = clients.get(key);
        if (client === undefined) {
            client = new upstreams.HttpEngineClient({
                upstream: upstream.id,
                url: upstream.url,
                clock,
                telemetry: events,
            });
            clients.set(key, client);
        }
        return client;
    };
    const { membership: fleet, keeper, keyValue } = parts;
    return new release.UpstreamRollout({ membership: fleet, noteCache: keeper, getEngine, keyValue, clock, telemetry: events });
}
