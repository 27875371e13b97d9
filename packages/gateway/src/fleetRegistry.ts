import type * as core from "@boragedale/core";
import type * as protocol from "@boragedale/protocol";
import * as configurationRefresh from "./configurationRefresh.js";
import type * as fleetView from "./fleetView.js";
import * as gatewayLog from "./gatewayLog.js";
import * as memberDirectory from "./memberDirectory.js";
import type * as metadataStore from "./metadataStore.js";
import type * as registration from "./registration.js";
import * as registryRelay from "./registryRelay.js";
import * as storeWatcher from "./storeWatcher.js";
import type * as types from "./types.js";
import * as watchAssignment from "./watchDuty.js";
import type * as wire from "./wire.js";

/**
 * Duration of one watch call. A connection that went silent is noticed by other calls, which then have the watches
 * restarted, so the duration only bounds how often unchanged prefixes are polled. It is shorter than the store's
 * history; otherwise a watch without changes would end with a complete listing.
 */
const WatchWaitMilliseconds = 15_000;
/**
 * Longest times for which consecutive changes are gathered. Configuration: well below the two seconds within which it
 * must be in force. Upstreams: half of the two seconds within which a leaving upstream must no longer be used. Members:
 * a quarter of the lease after which a member is removed.
 */
const ConfigurationGatherMilliseconds = 600;
const UpstreamGatherMilliseconds = 1_000;
const MemberGatherMilliseconds = 1_000;
/**
 * A member that starts together with all others finds none of them listed, or only their previous incarnations. It
 * waits until they have registered before it decides whether to watch.
 */
const StartupDelayMilliseconds = 700;
/**
 * Pause between two watch calls for the members of a large fleet: a start or a rolling restart changes them every few
 * milliseconds.
 */
const LargeFleetGatherMilliseconds = 250;
const AssignmentCheckMilliseconds = 250;

export interface FleetRegistryParts {
    readonly store: metadataStore.MetadataStore;
    readonly clock: core.Clock;
    readonly log: gatewayLog.GatewayLog;
    readonly codec: wire.RegistryCodec;
    readonly view: fleetView.FleetView;
    readonly members: memberDirectory.MemberDirectory;
    readonly network: protocol.PeerNetwork;
    readonly registration: registration.Registration;
    /** Called with new entries under the fleet's prefix. */
    readonly onFleetEntries: (entries: readonly types.StoreEntry[]) => void;
    readonly random: () => number;
}

/**
 * Keeps this member's copy of the configuration, upstreams and members up to date: from the store's watches if this
 * member is assigned to watch, otherwise from the members that are.
 */
export class FleetRegistry implements AsyncDisposable {
    readonly watchers: readonly storeWatcher.StoreWatcher[];
    readonly assignment: watchAssignment.WatchAssignment;
    private readonly relay: registryRelay.RegistryRelay;
    private readonly fleetWatcher: storeWatcher.StoreWatcher;
    private readonly configurationRefresh: configurationRefresh.ConfigurationRefresh;
    private readonly stopper = new AbortController();
    private reason: watchAssignment.WatchReason | undefined;

    constructor(private readonly parts: FleetRegistryParts) {
        const { codec, view, members, network, clock, log } = parts;
        this.assignment = new watchAssignment.WatchAssignment(members, view, clock.now(), parts.random);
        this.relay = new registryRelay.RegistryRelay({
            view,
            network,
            clock,
            assignment: this.assignment,
            isWatching: () => this.isWatching(),
            apply: entries => void this.apply(entries),
            log,
        });
        this.configurationRefresh = new configurationRefresh.ConfigurationRefresh({
            store: parts.store,
            clock,
            configurationKey: codec.configurationKey,
            apply: entries => this.publish(view.apply(entries, clock.now())),
        });
        this.fleetWatcher = this.createWatcher(memberDirectory.FleetPrefix, MemberGatherMilliseconds);
        this.watchers = [
            this.createWatcher(codec.configurationKey, ConfigurationGatherMilliseconds),
            this.createWatcher(codec.upstreamPrefix, UpstreamGatherMilliseconds),
            this.fleetWatcher,
        ];
    }

    /** Resolves after the first listing of the members. */
    get whenListed(): Promise<void> {
        return this.fleetWatcher.whenListed;
    }

    /** Whether this member's copy comes from watches that the store answers. */
    isWatching(): boolean {
        return this.watchers.every(watcher => watcher.isCurrent());
    }

    /**
     * Maximum age of this member's copy: 0 while this member watches, otherwise the time since the last heartbeat of a
     * watching member.
     */
    getAgeMilliseconds(): number {
        return this.isWatching() ? 0 : this.assignment.getMillisecondsSinceHeartbeat(this.parts.clock.now());
    }

    /** Checks the store for a later configuration, at a limited rate. */
    async refreshConfiguration(): Promise<void> {
        await this.configurationRefresh.refresh();
    }

    /** The background task: lists, then watches or follows until it is disposed. */
    async run(): Promise<void> {
        const { clock, members } = this.parts;
        const { signal } = this.stopper;
        this.watchers.forEach(watcher => void watcher.run());
        await this.whenListed;
        if (members.countOtherInstances() === 0 || this.assignment.isLargeFleet()) {
            await clock.sleep(LargeFleetGatherMilliseconds, signal);
            this.fleetWatcher.setActive(true);
            await clock.sleep(StartupDelayMilliseconds - LargeFleetGatherMilliseconds, signal);
        }
        while (!signal.aborted) {
            this.updateAssignment();
            await clock.sleep(AssignmentCheckMilliseconds, signal);
        }
    }

    async [Symbol.asyncDispose](): Promise<void> {
        this.stopper.abort();
        await Promise.all(this.watchers.map(watcher => watcher[Symbol.asyncDispose]()));
    }

    private updateAssignment(): void {
        const reason = this.assignment.decide(this.parts.clock.now());
        if (reason === this.reason) {
            return;
        }
        const from = this.reason ?? "";
        const unheard = this.assignment.getMillisecondsSinceHeartbeat(this.parts.clock.now());
        this.reason = reason;
        this.parts.log.recordEvent(gatewayLog.GatewayEvent.WatchDutyChanged, { from, to: reason, unheard });
        this.watchers.forEach(watcher => watcher.setActive(reason !== watchAssignment.WatchReason.Following));
    }

    private createWatcher(prefix: string, longestGatherMilliseconds: number): storeWatcher.StoreWatcher {
        const { store, clock, log, view } = this.parts;
        return new storeWatcher.StoreWatcher(
            { store, clock, log },
            {
                prefix,
                waitMilliseconds: WatchWaitMilliseconds,
                longestGatherMilliseconds,
                getShortestGatherMilliseconds: () => this.getShortestGatherMilliseconds(prefix),
                isActive: false,
                onWatchBegun: () => this.parts.registration.renewEarly(),
                applyListing: listing => this.publish(view.applyListing(prefix, listing, clock.now())),
                applyChanges: entries => this.publish(view.apply(entries, clock.now())),
            },
        );
    }

    private getShortestGatherMilliseconds(prefix: string): number {
        return prefix === memberDirectory.FleetPrefix && this.assignment.isLargeFleet() ? LargeFleetGatherMilliseconds : 0;
    }

    private apply(entries: readonly types.StoreEntry[]): void {
        this.distribute(this.parts.view.apply(entries, this.parts.clock.now()));
    }

    private publish(updates: readonly types.StoreEntry[]): void {
        this.distribute(updates);
        this.relay.publish(updates);
    }

    private distribute(updates: readonly types.StoreEntry[]): void {
        const entries = updates.filter(entry => entry.key.startsWith(memberDirectory.FleetPrefix));
        if (entries.length > 0) {
            this.parts.members.apply(entries);
            this.parts.onFleetEntries(entries);
        }
    }
}
