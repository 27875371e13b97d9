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

/** Whether the process takes part; all parts look at the same one. */
export interface LifeStatus {
    isStopping: boolean;
}

/** Every part of a gateway process, by the name under which the container knows it. */
export interface Parts {
    /** As they were at the start: names and faces. */
    readonly settings: settingsReader.Settings;
    readonly getSettings: () => settingsReader.Settings;
    readonly clock: core.Clock;
    readonly log: eventLog.EventLog;
    readonly life: LifeStatus;
    readonly wire: gateway.CallerWire;
    readonly codec: gateway.RegistryCodec;
    readonly platformStore: platform.PlatformStore;
    /** The platform's store with its calls counted. */
    readonly store: gateway.MetadataStore;
    readonly view: gateway.FleetView;
    readonly storeReturn: gateway.StoreReturn;
    readonly network: protocol.WebSocketPeerNetwork;
    readonly members: gateway.MemberDirectory;
    readonly homes: gateway.HomeDirectory;
    readonly slots: gateway.SlotSharing;
    readonly quotaKeepers: gateway.QuotaKeepers;
    readonly quotas: gateway.CustomerQuotas;
    readonly channels: gateway.ChannelDirectory;
    readonly crashes: gateway.CrashWatch;
    readonly registration: gateway.Registration;
    readonly scheduler: gateway.ItemScheduler;
    readonly submissions: gateway.SubmissionService;
    readonly forwarder: gateway.RequestForwarder;
    readonly server: gateway.CallerServer;
    readonly registry: gateway.FleetRegistry;
}

/** Time for an answer of the store; it takes milliseconds, and some hundred when it is slow. */
export const StoreTimeoutMilliseconds = 1_000;

/** Makes the parts; `owned` gives them back in reverse. The peer network listens when this resolves. */
export async function createParts(
    given: Pick<Parts, "settings" | "getSettings" | "clock" | "log">,
    owned: core.DisposalStack,
): Promise<Parts> {
    const container = awilix.createContainer<Parts>({ strict: true });
    container.register({
        settings: awilix.asValue(given.settings),
        getSettings: awilix.asValue(given.getSettings),
        clock: awilix.asValue(given.clock),
        log: awilix.asValue(given.log),
        life: awilix.asValue({ isStopping: false }),
        wire: awilix.asFunction(() => new platform.PlatformCallerWire()).singleton(),
        codec: awilix.asFunction(() => new platform.PlatformRegistryCodec()).singleton(),
        platformStore: awilix.asFunction(createPlatformStore).singleton(),
        store: awilix.asFunction(createStore).singleton(),
        view: awilix.asFunction(createView).singleton(),
        storeReturn: awilix
            .asFunction(({ view, clock, log }: Parts) => new gateway.StoreReturn(view, clock, log))
            .singleton(),
        homes: awilix
            .asFunction(({ members, view, clock }: Parts) => new gateway.HomeDirectory(members, view, clock))
            .singleton(),
        slots: awilix.asFunction(createSlots).singleton(),
        quotaKeepers: awilix.asFunction(({ members }: Parts) => new gateway.QuotaKeepers(members)).singleton(),
        quotas: awilix.asFunction(createQuotas).singleton(),
        channels: awilix.asFunction(({ clock }: Parts) => new gateway.ChannelDirectory(clock)).singleton(),
        crashes: awilix
            .asFunction(({ network, clock, log }: Parts) => new gateway.CrashWatch(network, clock, log))
            .singleton(),
        registration: awilix.asFunction(createRegistration).singleton(),
        scheduler: awilix.asFunction(createScheduler).singleton(),
        submissions: awilix.asFunction(createSubmissions).singleton(),
        forwarder: awilix
            .asFunction(
                (parts: Parts) =>
                    new gateway.RequestForwarder({
                        ...pickShared(parts),
                        crashes: parts.crashes,
                        random: Math.random,
                    }),
            )
            .singleton(),
        server: awilix.asFunction(createServer).singleton(),
        registry: awilix.asFunction(createRegistry).singleton(),
    });
    const parts = container.cradle;
    owned.use(parts.platformStore);
    await startNetwork(container, owned);
    owned.use(parts.slots);
    owned.use(parts.channels);
    owned.use(parts.registration);
    owned.use(parts.submissions);
    owned.use(parts.server);
    owned.use(parts.registry);
    parts.registry.watchers.forEach(watcher => parts.storeReturn.follow(watcher));
    return parts;
}

/** Listens for peers first: the member's entry tells the port, which the system may have chosen. */
async function startNetwork(container: awilix.AwilixContainer<Parts>, owned: core.DisposalStack): Promise<void> {
    const parts = container.cradle;
    const { settings, getSettings, clock, log, view, life } = parts;
    const face = settingsReader.getFace(settings.peerAddress, "peerAddress");
    const id = gateway.createMemberId(settings.instance, gateway.createNonce().slice(0, 8));
    const late: { members?: gateway.MemberDirectory; registry?: gateway.FleetRegistry } = {};
    const network = await protocol.WebSocketPeerNetwork.start({
        instance: id,
        keys: [settings.peerKey],
        clock,
        telemetry: new peerTelemetry.PeerTelemetry(id, clock, log),
        host: face.host,
        port: face.port,
        getNeighbours: () =>
            late.members === undefined ? [] : peers.chooseNeighbours(late.members, getHubs(parts, late.registry)),
        getSeeds: () => {
            const seeds = getSettings().peerSeeds.filter(seed => seed !== settings.peerAddress);
            return seeds.map(seed => `ws://${seed}`);
        },
        tryGetAddress: peer => (late.members === undefined ? undefined : peers.tryGetAddress(late.members, peer)),
        createHeartbeat: () => ({
            kind: protocol.MessageKind.Heartbeat,
            ...gateway.describeRegistry(view, late.registry?.isWatching() === true, clock.now()),
            logicalTime: 0,
            state: life.isStopping ? core.LifeState.Leaving : core.LifeState.Live,
        }),
    });
    owned.use(network);
    const members = new gateway.MemberDirectory({
        id,
        dataCentre: settings.dataCentre,
        peerAddress: `${face.host}:${network.getPort()}`,
    });
    late.members = members;
    container.register({ network: awilix.asValue(network), members: awilix.asValue(members) });
    late.registry = parts.registry;
}

/** Members that every other one, or every one of their data centre, stays linked to. */
function getHubs(parts: Parts, registry: gateway.FleetRegistry | undefined): readonly core.InstanceId[] {
    if (registry === undefined) {
        return [];
    }
    const hasLimits = parts.view.getConfiguration()?.customers?.some(customer => customer.limit !== undefined);
    return [...registry.duty.getWatchers(), ...(hasLimits === true ? parts.quotaKeepers.getAll() : [])];
}

function createPlatformStore({ settings }: Parts): platform.PlatformStore {
    return new platform.PlatformStore({
        address: settings.storeAddress,
        callTimeoutMilliseconds: StoreTimeoutMilliseconds,
    });
}

function createStore({ platformStore, clock, log, storeReturn }: Parts): gateway.MetadataStore {
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

function createView({ codec, log }: Parts): gateway.FleetView {
    return new gateway.FleetView(codec, findings =>
        findings.forEach(finding =>
            log.note(gateway.GatewayEvent.EntryUnusable, { text: core.formatFinding(finding) }),
        ),
    );
}

function createSlots({ members, network, clock, homes, settings, log }: Parts): gateway.SlotSharing {
    const self = members.self.id;
    const board = new decisions.SlotBoard(Math.random, upstream => decisions.hashToUnit(`${self}/${upstream}`));
    const slots = new gateway.SlotSharing({
        board,
        network,
        clock,
        homes,
        dataCentre: settings.dataCentre,
        random: Math.random,
        onHomeSilent: (home, text) => log.note(gateway.GatewayEvent.HomeSilent, { home, text }),
    });
    members.onChange(gone => slots.forget(gone));
    return slots;
}

function createQuotas({ members, quotaKeepers, network, view, clock, settings, log }: Parts): gateway.CustomerQuotas {
    const quotas = new gateway.CustomerQuotas({
        self: members.self.id,
        keepers: quotaKeepers,
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

function createRegistration({ store, members, clock, log }: Parts): gateway.Registration {
    return new gateway.Registration(store, members, clock, log);
}

function createScheduler(parts: Parts): gateway.ItemScheduler {
    return new gateway.ItemScheduler(pickShared(parts));
}

function createSubmissions(parts: Parts): gateway.SubmissionService {
    const { store, members, registration, network, scheduler, clock, log, settings, slots } = parts;
    slots.connect(
        upstream => scheduler.yieldPlace(upstream),
        () => scheduler.dispatch(),
    );
    return new gateway.SubmissionService({
        store,
        submissions: new gateway.SubmissionStore(store),
        members,
        registration,
        network,
        scheduler,
        clock,
        log,
        retentionMilliseconds: settings.retentionMilliseconds,
    });
}

function createServer(parts: Parts): gateway.CallerServer {
    const { wire, view, forwarder, submissions, quotas, registry, clock, log, life } = parts;
    const isReady = (): boolean => view.getConfiguration() !== undefined && !life.isStopping;
    const identity = new gateway.CallerIdentity({
        view,
        refreshConfiguration: () => registry.refreshConfiguration(),
    });
    return new gateway.CallerServer({ wire, view, forwarder, submissions, identity, quotas, clock, log, isReady });
}

function createRegistry(parts: Parts): gateway.FleetRegistry {
    const { store, clock, log, codec, view, members, network, registration, submissions } = parts;
    const registry = new gateway.FleetRegistry({
        store,
        clock,
        log,
        codec,
        view,
        members,
        network,
        registration,
        onFleetEntries: entries => submissions.applyEndedMarks(entries),
        random: Math.random,
    });
    log.metrics.observeGauge("boragedale_registry_age_seconds", {}, () => registry.getAge() / 1_000);
    return registry;
}

function pickShared(parts: Parts): gateway.SchedulerParts {
    const { wire, view, channels, slots, clock, log, settings } = parts;
    return { wire, view, channels, slots, clock, log, dataCentre: settings.dataCentre };
}
