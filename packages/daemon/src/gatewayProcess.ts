import * as http from "node:http";
import * as core from "@boragedale/core";
import * as decisions from "@boragedale/decisions";
import * as gateway from "@boragedale/gateway";
import * as platform from "@boragedale/platform";
import * as protocol from "@boragedale/protocol";
import * as telemetry from "@boragedale/telemetry";
import type * as eventLog from "./eventLog.js";
import * as peers from "./peers.js";
import * as settingsReader from "./settings.js";

/** Time for an answer of the store; it takes milliseconds, and some hundred when it is slow. */
const StoreTimeoutMilliseconds = 1_000;
/** How long one watch waits: the longest time for which a silent connection to the store goes unnoticed. */
const WatchMilliseconds = 6_000;
/** After a stop signal callers still come until the balancer has asked twice; then connections are closed. */
const BalancerMilliseconds = 2_300;
/** A stop takes at least this long, for requests that are on their way. */
const ShortestStopMilliseconds = 3_300;
/** What is not over so long before the kill ends with the process. */
const StopMarginMilliseconds = 400;
const StopLookMilliseconds = 50;

/** The process on the machines that callers reach. */
export class GatewayProcess implements AsyncDisposable {
    private readonly stack = new core.DisposalStack();
    private isStopping = false;
    private isKnowing = false;

    private constructor(
        private readonly settings: settingsReader.Settings,
        private readonly clock: core.Clock,
        private readonly log: eventLog.EventLog,
    ) {}

    /** Starts all parts and runs until `stop` resolves and the last request has ended. */
    static async run(
        settings: settingsReader.Settings,
        clock: core.Clock,
        log: eventLog.EventLog,
        stop: Promise<void>,
    ): Promise<void> {
        await using instance = new GatewayProcess(settings, clock, log);
        await instance.runUntilStopped(stop);
    }

    async [Symbol.asyncDispose](): Promise<void> {
        await this.stack[Symbol.asyncDispose]();
    }

    private async runUntilStopped(stop: Promise<void>): Promise<void> {
        const { settings, clock, log } = this;
        const callerFace = getFace(settings.callerAddress, "callerAddress");
        const readinessFace = getFace(settings.readinessAddress, "readinessAddress");
        const peerFace = getFace(settings.peerAddress, "peerAddress");
        const self: gateway.Member = {
            id: `${settings.instance}~${gateway.createNonce().slice(0, 8)}`,
            dataCentre: settings.dataCentre,
            peerAddress: core.Debug.checkDefined(settings.peerAddress, "checked above"),
        };
        const wire = new platform.PlatformCallerWire();
        const codec = new platform.PlatformRegistryCodec();
        const store = this.stack.use(
            new platform.PlatformStore({
                address: settings.storeAddress,
                callTimeoutMilliseconds: StoreTimeoutMilliseconds,
            }),
        );
        const view = new gateway.FleetView(codec, findings =>
            findings.forEach(finding =>
                log.note(gateway.GatewayEvent.EntryUnusable, { text: core.formatFinding(finding) }),
            ),
        );
        const onDoubt = (): void => view.noteDoubt(clock.now());
        const members = new gateway.MemberDirectory(self);
        const network = this.stack.use(
            await protocol.WebSocketPeerNetwork.start({
                instance: self.id,
                keys: [settings.peerKey],
                clock,
                telemetry: new telemetry.Telemetry({ instance: self.id, logLevel: "silent" }, clock),
                host: peerFace.host,
                port: peerFace.port,
                getNeighbours: () => peers.chooseNeighbours(members),
                tryGetAddress: id => peers.tryGetAddress(members, id),
                createHeartbeat: () => ({
                    kind: protocol.MessageKind.Heartbeat,
                    generation: view.getRevision(),
                    logicalTime: 0,
                    state: this.isStopping ? core.LifeState.Leaving : core.LifeState.Live,
                }),
            }),
        );
        const slots = this.stack.use(new gateway.SlotSharing(new decisions.SlotBoard(Math.random, upstream => decisions.hashToUnit(`${self.id}/${upstream}`)), network, clock, upstream => {
                const home = members.chooseHome(upstream);
                return home === self.id ? decisions.SelfInstance : home;
            }));
        const channels = this.stack.use(new gateway.ChannelDirectory(clock));
        const registration = this.stack.use(new gateway.Registration(store, self, clock, log, onDoubt));
        const shared = { wire, view, channels, slots, clock, log, dataCentre: settings.dataCentre };
        const scheduler = new gateway.ItemScheduler(shared);
        const submissions = this.stack.use(
            new gateway.SubmissionService({
                store,
                submissions: new gateway.SubmissionStore(store),
                members,
                registration,
                network,
                scheduler,
                clock,
                log,
                retentionMilliseconds: settings.retentionMilliseconds,
            }),
        );
        slots.connect(
            upstream => scheduler.yieldPlace(upstream),
            () => scheduler.dispatch(),
        );
        const forwarder = new gateway.RequestForwarder({ ...shared, random: Math.random });
        const isReady = (): boolean => this.isKnowing && !this.isStopping;
        const server = this.stack.use(
            new gateway.CallerServer({ wire, view, forwarder, submissions, clock, log, isReady }),
        );
        const relay = new peers.RegistryRelay(view, network, clock);
        const watchParts = { store, clock, log, onDoubt };
        const watchers = [codec.configurationKey, codec.upstreamPrefix].map(prefix =>
            this.stack.use(
                new gateway.StoreWatcher(watchParts, {
                    prefix,
                    waitMilliseconds: WatchMilliseconds,
                    applyListing: listing => relay.tell(view.applyListing(prefix, listing, clock.now())),
                    applyChanges: entries => relay.tell(view.apply(entries, clock.now())),
                }),
            ),
        );
        const fleetWatcher = this.stack.use(
            new gateway.StoreWatcher(watchParts, {
                prefix: gateway.FleetPrefix,
                waitMilliseconds: WatchMilliseconds,
                applyListing: listing => {
                    members.applyListing(
                        listing.entries.filter(entry => entry.key.startsWith(gateway.MemberPrefix)),
                        listing.revision,
                    );
                    submissions.applyEndedMarks(listing.entries);
                },
                applyChanges: entries => {
                    members.apply(entries);
                    submissions.applyEndedMarks(entries);
                },
            }),
        );
        await server.listen(callerFace.host, callerFace.port);
        const readiness = http.createServer((request, response) => {
            request.resume();
            response.writeHead(isReady() ? 200 : 503, { "Content-Length": 0 }).end();
        });
        readiness.listen(readinessFace.port, readinessFace.host);
        this.stack.defer(() => {
            readiness.close();
            readiness.closeAllConnections();
        });
        registration.start();
        [...watchers, fleetWatcher].forEach(watcher => void watcher.run());
        void slots.run();
        void submissions.run();
        log.record(telemetry.events.InstanceStarted, { member: self.id, address: settings.callerAddress });
        view.onChange(() => {
            this.isKnowing ||= view.getConfiguration() !== undefined;
        });
        await stop;
        this.isStopping = true;
        log.record(telemetry.events.InstanceDraining, { inProgress: server.getInProgress() });
        scheduler.stop();
        network.announceLeaving();
        const handedOver = submissions.handOver();
        await this.drain(server, handedOver);
        log.record(telemetry.events.InstanceStopped, { inProgress: server.getInProgress() });
    }

    /** Goes on answering while the balancer still sends, then until the last request has ended or the time is up. */
    private async drain(server: gateway.CallerServer, handedOver: Promise<void>): Promise<void> {
        const startedAt = this.clock.now();
        await this.clock.sleep(BalancerMilliseconds);
        server.startClosing();
        const latest = startedAt + this.settings.graceMilliseconds - StopMarginMilliseconds;
        while (this.clock.now() < latest) {
            server.server.closeIdleConnections();
            const isOver = server.getInProgress() === 0 && this.clock.now() - startedAt > ShortestStopMilliseconds;
            if (isOver) {
                break;
            }
            await this.clock.sleep(StopLookMilliseconds);
        }
        await Promise.race([handedOver, this.clock.sleep(Math.max(0, latest - this.clock.now()))]);
    }
}

function getFace(address: string | undefined, name: string): { readonly host: string; readonly port: number } {
    return settingsReader.splitAddress(core.Debug.checkDefined(address, `a gateway needs ${name}`));
}
