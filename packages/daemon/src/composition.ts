import * as awilix from "awilix";
import * as core from "@boragedale/core";
import * as decisions from "@boragedale/decisions";
import * as gateway from "@boragedale/gateway";
import * as platform from "@boragedale/platform";
import * as protocol from "@boragedale/protocol";
import type * as eventLog from "./eventLog.js";
import * as peers from "./peers.js";
import * as peerTelemetry from "./peerTelemetry.js";
import * as settingsReader from "./settings.js";

/** Lifecycle flags of the process, shared by all components. */
export interface LifecycleStatus {
    /** Whether the process is shutting down. */
    isStopping: boolean;
}

/** The components of a gateway process, by their registration names in the container. */
export interface Components {
    /** The settings at startup, for names and addresses, which can't change while the process runs. */
    readonly settings: settingsReader.Settings;
    readonly getSettings: () => settingsReader.Settings;
    readonly clock: core.Clock;
    readonly log: eventLog.EventLog;
    readonly lifecycle: LifecycleStatus;
    readonly wire: gateway.CallerWire;
    readonly codec: gateway.RegistryCodec;
    readonly platformStore: platform.PlatformStore;
    /** The platform's store, wrapped to count calls. */
    readonly store: gateway.MetadataStore;
    readonly view: gateway.FleetView;
    readonly storeReturn: gateway.StoreRecovery;
    readonly network: protocol.WebSocketPeerNetwork;
    readonly members: gateway.MemberDirectory;
    readonly coordinators: gateway.CoordinatorDirectory;
    readonly slots: gateway.SlotSharing;
    readonly stateOwners: gateway.StateOwners;
    readonly quotas: gateway.CustomerQuotas;
    readonly channels: gateway.ChannelDirectory;
    readonly crashWatch: gateway.CrashWatch;
    readonly softwareVersions: gateway.SoftwareVersions;
    readonly routeRecords: gateway.RouteRecords;
    readonly originRecords: gateway.StreamOriginRecords;
    readonly streamOrigins: gateway.StreamOrigins;
    readonly restarts: gateway.UpstreamRestarts;
    readonly registration: gateway.Registration;
    readonly scheduler: gateway.ItemScheduler;
    readonly submissions: gateway.SubmissionService;
    readonly forwarder: gateway.RequestForwarder;
    readonly server: gateway.CallerServer;
    readonly registry: gateway.FleetRegistry;
}

/** Timeout of a store call. A call takes a few milliseconds, or some hundred milliseconds when the store is slow. */
export const StoreTimeoutMilliseconds = 1_000;

/** Age up to which the registry's copy counts as current: members that watch the store send a heartbeat every second. */
const CurrentViewMilliseconds = 3_000;

/** Creates the components and registers them for disposal. The peer network is listening when this resolves. */
export async function createComponents(
    given: Pick<Components, "settings" | "getSettings" | "clock" | "log">,
    disposables: core.DisposalStack,
): Promise<Components> {
    const container = awilix.createContainer<Components>({ strict: true });
    container.register({
        settings: awilix.asValue(given.settings),
        getSettings: awilix.asValue(given.getSettings),
        clock: awilix.asValue(given.clock),
        log: awilix.asValue(given.log),
        lifecycle: awilix.asValue({ isStopping: false }),
        wire: awilix.asFunction(() => new platform.PlatformCallerWire()).singleton(),
        codec: awilix.asFunction(() => new platform.PlatformRegistryCodec()).singleton(),
        platformStore: awilix.asFunction(createPlatformStore).singleton(),
        store: awilix.asFunction(createStore).singleton(),
        view: awilix.asFunction(createView).singleton(),
        storeReturn: awilix
            .asFunction(({ view, clock, log }: Components) => new gateway.StoreRecovery(view, clock, log))
            .singleton(),
        coordinators: awilix
            .asFunction(
                ({ members, view, clock }: Components) => new gateway.CoordinatorDirectory(members, view, clock),
            )
            .singleton(),
        slots: awilix.asFunction(createSlots).singleton(),
        stateOwners: awilix.asFunction(({ members }: Components) => new gateway.StateOwners(members)).singleton(),
        quotas: awilix.asFunction(createQuotas).singleton(),
        channels: awilix.asFunction(({ clock }: Components) => new gateway.ChannelDirectory(clock)).singleton(),
        crashWatch: awilix.asFunction(createCrashWatch).singleton(),
        softwareVersions: awilix
            .asFunction((components: Components) => new gateway.SoftwareVersions(getRecordParts(components)))
            .singleton(),
        routeRecords: awilix
            .asFunction((components: Components) => new gateway.RouteRecords(getRecordParts(components)))
            .singleton(),
        originRecords: awilix.asFunction(createOriginRecords).singleton(),
        streamOrigins: awilix.asFunction(createStreamOrigins).singleton(),
        restarts: awilix.asFunction(createRestarts).singleton(),
        registration: awilix.asFunction(createRegistration).singleton(),
        scheduler: awilix.asFunction(createScheduler).singleton(),
        submissions: awilix.asFunction(createSubmissions).singleton(),
        forwarder: awilix
            .asFunction(
                (components: Components) =>
                    new gateway.RequestForwarder({
                        ...pickSchedulerParts(components),
                        streamOrigins: components.streamOrigins,
                        softwareVersions: components.softwareVersions,
                        routeRecords: components.routeRecords,
                        random: Math.random,
                    }),
            )
            .singleton(),
        server: awilix.asFunction(createServer).singleton(),
        registry: awilix.asFunction(createRegistry).singleton(),
    });
    const components = container.cradle;
    disposables.use(components.platformStore);
    await startNetwork(container, disposables);
    disposables.use(components.slots);
    disposables.use(components.channels);
    disposables.use(components.softwareVersions);
    disposables.use(components.routeRecords);
    disposables.use(components.originRecords);
    disposables.use(components.registration);
    disposables.use(components.submissions);
    disposables.use(components.server);
    disposables.use(components.registry);
    components.registry.watchers.forEach(watcher => components.storeReturn.addWatcher(watcher));
    return components;
}

/** Starts the peer network before the member directory, because the member's entry contains the port, which the system may choose. */
async function startNetwork(
    container: awilix.AwilixContainer<Components>,
    disposables: core.DisposalStack,
): Promise<void> {
    const components = container.cradle;
    const { settings, getSettings, clock, log, view, lifecycle } = components;
    const address = settingsReader.getRequiredAddress(settings.peerAddress, "peerAddress");
    const id = gateway.createMemberId(settings.instance, gateway.createNonce().slice(0, 8));
    // Created after the network is listening, but needed by its callbacks.
    const late: { members?: gateway.MemberDirectory; registry?: gateway.FleetRegistry } = {};
    const network = await protocol.WebSocketPeerNetwork.start({
        instance: id,
        keys: [settings.peerKey],
        clock,
        telemetry: new peerTelemetry.PeerTelemetry(id, clock, log),
        host: address.host,
        port: address.port,
        getNeighbours: () =>
            late.members === undefined ? [] : peers.chooseNeighbours(late.members, getHubs(components, late.registry)),
        getSeeds: () => {
            const seeds = getSettings().peerSeeds.filter(seed => seed !== settings.peerAddress);
            return seeds.map(seed => `ws://${seed}`);
        },
        tryGetAddress: peer => (late.members === undefined ? undefined : peers.tryGetAddress(late.members, peer)),
        createHeartbeat: () => ({
            kind: protocol.MessageKind.Heartbeat,
            ...gateway.describeRegistry(view, late.registry?.isWatching() === true, clock.now()),
            logicalTime: 0,
            state: lifecycle.isStopping ? core.LifecycleState.Leaving : core.LifecycleState.Live,
        }),
    });
    disposables.use(network);
    const members = new gateway.MemberDirectory({
        id,
        dataCentre: settings.dataCentre,
        peerAddress: `${address.host}:${network.getPort()}`,
    });
    late.members = members;
    container.register({ network: awilix.asValue(network), members: awilix.asValue(members) });
    late.registry = components.registry;
}

/** Members that all other members, or all others of their data centre, stay connected to. */
function getHubs(components: Components, registry: gateway.FleetRegistry | undefined): readonly core.InstanceId[] {
    if (registry === undefined) {
        return [];
    }
    const hasLimits = components.view.getConfiguration()?.customers?.some(customer => customer.limit !== undefined);
    return [...registry.assignment.getWatchers(), ...(hasLimits === true ? components.stateOwners.getAll() : [])];
}

function createPlatformStore({ settings }: Components): platform.PlatformStore {
    return new platform.PlatformStore({
        address: settings.storeAddress,
        callTimeoutMilliseconds: StoreTimeoutMilliseconds,
    });
}

function createStore({ platformStore, clock, log, storeReturn }: Components): gateway.MetadataStore {
    let answeredAt = clock.now();
    log.metrics.observeGauge("boragedale_store_silent_seconds", {}, () => (clock.now() - answeredAt) / 1_000);
    return new gateway.CountedStore(
        platformStore,
        () => clock.now(),
        (call, purpose, outcome, milliseconds) => {
            log.metrics.count("boragedale_store_calls_total", { call, purpose, outcome });
            storeReturn.noteStoreCall(call, outcome, milliseconds);
            if (outcome !== gateway.DoneOutcome) {
                return;
            }
            answeredAt = clock.now();
            if (call !== gateway.StoreCall.Watch) {
                log.metrics.recordDuration("boragedale_store_call_seconds", { call }, milliseconds);
            }
        },
    );
}

function createView({ codec, log }: Components): gateway.FleetView {
    return new gateway.FleetView(codec, findings =>
        findings.forEach(finding =>
            log.recordEvent(gateway.GatewayEvent.EntryUnusable, { text: core.formatFinding(finding) }),
        ),
    );
}

/** An instance's fixed order of upstreams. Each hash is kept, since every placement asks for those of all engines. */
function createPreference(self: core.InstanceId): (upstream: core.UpstreamId) => number {
    const known = new Map<core.UpstreamId, number>();
    return upstream => {
        const preference = known.get(upstream) ?? decisions.hashToUnit(`${self}/${upstream}`);
        known.set(upstream, preference);
        return preference;
    };
}

function createSlots({ members, network, clock, coordinators, settings, log }: Components): gateway.SlotSharing {
    const self = members.self.id;
    const slotTable = new decisions.SlotTable(Math.random, createPreference(self));
    const slots = new gateway.SlotSharing({
        slotTable,
        network,
        clock,
        coordinators,
        dataCentre: settings.dataCentre,
        random: Math.random,
        onCoordinatorUnresponsive: (coordinator, text) =>
            log.recordEvent(gateway.GatewayEvent.HomeSilent, { home: coordinator, text }),
        policy: settings,
        onEngineExclusion: ({ upstream, isExcluded, slowdown }) => {
            const event = isExcluded ? gateway.GatewayEvent.EngineExcluded : gateway.GatewayEvent.EngineReturned;
            log.recordEvent(event, { upstream, slowdown: Math.round(slowdown * 100) / 100 });
        },
        onEngineMeasured: (upstream, getSpeed) =>
            log.metrics.observeGauge("boragedale_engine_speed", { upstream }, getSpeed),
        onWaitEnded: outcome => log.metrics.count("boragedale_online_waits_total", { outcome }),
        onYieldRequested: reason => log.metrics.count("boragedale_batch_yields_total", { reason }),
    });
    if (settings.onlineOrder === gateway.OnlineOrder.Shares) {
        log.metrics.observeGauge("boragedale_online_waiting", {}, () => slots.getWaitingOnlineCount());
    }
    log.metrics.observeGauge("boragedale_online_slots", { measure: "level" }, () => slots.reserve.getOnlineUse().level);
    log.metrics.observeGauge("boragedale_online_slots", { measure: "peak" }, () => slots.reserve.getOnlineUse().peak);
    log.metrics.observeGauge("boragedale_batch_kept_free_slots", {}, () => slots.reserve.getOnlineUse().keptFree);
    members.onChange(removedMembers => slots.forget(removedMembers));
    return slots;
}

function createQuotas({
    members,
    stateOwners,
    network,
    view,
    clock,
    settings,
    log,
}: Components): gateway.CustomerQuotas {
    const quotas = new gateway.CustomerQuotas({
        self: members.self.id,
        owners: stateOwners,
        network,
        getCustomers: () => view.getCustomers(),
        clock,
        terms: {
            windowMilliseconds: settings.quotaWindowSeconds * 1_000,
            overShare: settings.quotaOverShare,
            slack: settings.quotaSlack,
        },
        random: Math.random,
    });
    log.metrics.observeGauge("boragedale_quota_accounts", {}, () => quotas.getAccountCount());
    return quotas;
}

function createCrashWatch({ network, members, stateOwners, store, clock, log }: Components): gateway.CrashWatch {
    const records = new gateway.QuarantineRecords({ store, clock, random: Math.random });
    return new gateway.CrashWatch({ network, members, owners: stateOwners, records, clock, log });
}

function getRecordParts(components: Components): gateway.RetainedRecordParts {
    const { store, view, clock } = components;
    return { store, view, clock, random: Math.random, isViewCurrent: () => isRegistryCurrent(components) };
}

function createStreamOrigins(components: Components): gateway.StreamOrigins {
    const {
        view,
        members,
        stateOwners,
        network,
        clock,
        softwareVersions: versions,
        originRecords,
        routeRecords,
    } = components;
    const isViewCurrent = (): boolean => isRegistryCurrent(components);
    return new gateway.StreamOrigins({
        view,
        members,
        owners: stateOwners,
        network,
        clock,
        versions,
        routes: routeRecords,
        records: originRecords,
        isViewCurrent,
    });
}

function createOriginRecords({
    store,
    members,
    stateOwners,
    clock,
    settings,
}: Components): gateway.StreamOriginRecords {
    return new gateway.StreamOriginRecords({
        store,
        self: members.self.id,
        clock,
        storeWritesPerSecond: settings.storeWritesPerSecond,
        getMemberCount: () => stateOwners.getMemberCount(),
    });
}

function isRegistryCurrent({ registry }: Components): boolean {
    return registry.getAgeMilliseconds() < CurrentViewMilliseconds;
}

function createRestarts(components: Components): gateway.UpstreamRestarts {
    const { view, clock, channels, wire, softwareVersions } = components;
    const startReader = new gateway.ChannelStartReader({ channels, wire, clock });
    const mayHaveRestarted = (upstream: gateway.UpstreamEntry): boolean =>
        softwareVersions.hasSeveral(upstream.service) ||
        view.isStoreSuspect(clock.now()) ||
        !channels.hasSteadyConnection(upstream);
    return new gateway.UpstreamRestarts({ view, clock, startReader, mayHaveRestarted });
}

function createRegistration({ store, members, clock, log }: Components): gateway.Registration {
    return new gateway.Registration(store, members, clock, log);
}

function createScheduler(components: Components): gateway.ItemScheduler {
    return new gateway.ItemScheduler(pickSchedulerParts(components));
}

function createSubmissions(components: Components): gateway.SubmissionService {
    const { store, members, registration, network, scheduler, clock, log, settings, slots } = components;
    slots.connect(
        upstream => scheduler.yieldSlot(upstream),
        () => scheduler.dispatch(),
        scheduler,
    );
    return new gateway.SubmissionService({
        store,
        submissionStore: new gateway.SubmissionStore(store),
        members,
        registration,
        network,
        scheduler,
        clock,
        log,
        retentionMilliseconds: settings.retentionMilliseconds,
    });
}

function createServer(components: Components): gateway.CallerServer {
    const { wire, view, forwarder, submissions, quotas, registry, clock, log, lifecycle } = components;
    const isReady = (): boolean => view.getConfiguration() !== undefined && !lifecycle.isStopping;
    const identity = new gateway.CallerIdentity({
        view,
        refreshConfiguration: () => registry.refreshConfiguration(),
    });
    return new gateway.CallerServer({ wire, view, forwarder, submissions, identity, quotas, clock, log, isReady });
}

function createRegistry(components: Components): gateway.FleetRegistry {
    const {
        store,
        clock,
        log,
        codec,
        view,
        members,
        network,
        registration,
        submissions,
        crashWatch,
        softwareVersions,
        routeRecords,
    } = components;
    const registry = new gateway.FleetRegistry({
        store,
        clock,
        log,
        codec,
        view,
        members,
        network,
        registration,
        onFleetEntries: entries => {
            submissions.applyEndMarkers(entries);
            crashWatch.applyEntries(entries);
            softwareVersions.applyEntries(entries);
            routeRecords.applyEntries(entries);
        },
        random: Math.random,
    });
    log.metrics.observeGauge("boragedale_registry_age_seconds", {}, () => registry.getAgeMilliseconds() / 1_000);
    return registry;
}

function pickSchedulerParts(components: Components): gateway.SchedulerParts {
    const { wire, view, channels, slots, crashWatch, restarts, clock, log, settings } = components;
    return { wire, view, channels, slots, crashWatch, restarts, clock, log, dataCentre: settings.dataCentre };
}
