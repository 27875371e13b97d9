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
import * as watchDuty from "./watchDuty.js";
import type * as wire from "./wire.js";

/**
 * How long one watch waits. A connection that went silent is noticed by other calls, and the watches are then restarted; the wait
 * only bounds how often they are asked for nothing. Shorter than the store's history, or a watch that saw no change would end
 * with a whole listing.
 */
const WatchMilliseconds = 15_000;
/**
 * Longest time for which changes in a series are gathered: well under the two seconds in which a configuration must be in
 * force, half of those in which a leaving upstream must be left alone, a quarter of the lease after which a member is gone.
 */
const ConfigurationGatherMilliseconds = 600;
const UpstreamGatherMilliseconds = 1_000;
const MemberGatherMilliseconds = 1_000;
/**
 * A member that starts with all others lists none of them, or only their former lives, and decides whether to watch when these
 * have registered.
 */
const StartMilliseconds = 700;
/** Pause between two looks at the members of a large fleet: a start or a roll is a change every few milliseconds. */
const MemberPauseMilliseconds = 250;
const DutyMilliseconds = 250;

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
 * Keeps this member's copy of configuration, upstreams and members: from the store's watches where it has the duty to watch,
 * else from the members that have.
 */
export class FleetRegistry implements AsyncDisposable {
    readonly watchers: readonly storeWatcher.StoreWatcher[];
    readonly duty: watchDuty.WatchDuty;
    private readonly relay: registryRelay.RegistryRelay;
    private readonly fleetWatcher: storeWatcher.StoreWatcher;
    private readonly configurationRefresh: configurationRefresh.ConfigurationRefresh;
    private readonly stopper = new AbortController();
    private reason: watchDuty.WatchReason | undefined;

    constructor(private readonly parts: FleetRegistryParts) {
        const { codec, view, members, network, clock, log } = parts;
        this.duty = new watchDuty.WatchDuty(members, view, clock.now(), parts.random);
        this.relay = new registryRelay.RegistryRelay({
            view,
            network,
            clock,
            duty: this.duty,
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

    /** How old this member's copy may be, in milliseconds: the time since the store or a watching member was heard of. */
    getAge(): number {
        return this.isWatching() ? 0 : this.duty.getUnheardMilliseconds(this.parts.clock.now());
    }

    /** Looks whether the store has a later configuration; how often is bounded. */
    async refreshConfiguration(): Promise<void> {
        await this.configurationRefresh.refresh();
    }

    /** The task: lists, then watches or follows until it is disposed. */
    async run(): Promise<void> {
        const { clock, members } = this.parts;
        const { signal } = this.stopper;
        this.watchers.forEach(watcher => void watcher.run());
        await this.whenListed;
        if (members.countOtherInstances() === 0 || this.duty.isLargeFleet()) {
            await clock.sleep(MemberPauseMilliseconds, signal);
            this.fleetWatcher.setActive(true);
            await clock.sleep(StartMilliseconds - MemberPauseMilliseconds, signal);
        }
        while (!signal.aborted) {
            this.reconsider();
            await clock.sleep(DutyMilliseconds, signal);
        }
    }

    async [Symbol.asyncDispose](): Promise<void> {
        this.stopper.abort();
        await Promise.all(this.watchers.map(watcher => watcher[Symbol.asyncDispose]()));
    }

    private reconsider(): void {
        const reason = this.duty.decide(this.parts.clock.now());
        if (reason === this.reason) {
            return;
        }
        const from = this.reason ?? "";
        const unheard = this.duty.getUnheardMilliseconds(this.parts.clock.now());
        this.reason = reason;
        this.parts.log.note(gatewayLog.GatewayEvent.WatchDutyChanged, { from, to: reason, unheard });
        this.watchers.forEach(watcher => watcher.setActive(reason !== watchDuty.WatchReason.Following));
    }

    private createWatcher(prefix: string, longestGatherMilliseconds: number): storeWatcher.StoreWatcher {
        const { store, clock, log, view } = this.parts;
        return new storeWatcher.StoreWatcher(
            { store, clock, log },
            {
                prefix,
                waitMilliseconds: WatchMilliseconds,
                longestGatherMilliseconds,
                getShortestGatherMilliseconds: () => this.getShortestGather(prefix),
                isActive: false,
                onWatchBegun: () => this.parts.registration.renewEarly(),
                applyListing: listing => this.publish(view.applyListing(prefix, listing, clock.now())),
                applyChanges: entries => this.publish(view.apply(entries, clock.now())),
            },
        );
    }

    private getShortestGather(prefix: string): number {
        return prefix === memberDirectory.FleetPrefix && this.duty.isLargeFleet() ? MemberPauseMilliseconds : 0;
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
