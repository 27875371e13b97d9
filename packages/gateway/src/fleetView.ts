import type * as core from "@boragedale/core";
import * as customers from "@boragedale/customers";
import * as decisions from "@boragedale/decisions";
import * as memberDirectory from "./memberDirectory.js";
import * as metadataStore from "./metadataStore.js";
import * as routeHistory from "./routeHistory.js";
import * as routeTable from "./routeTable.js";
import * as settledRevision from "./settledRevision.js";
import * as types from "./types.js";
import type * as wire from "./wire.js";

/** An upstream that may currently be used. */
export interface KnownUpstream {
    readonly entry: types.UpstreamEntry;
    readonly revision: types.Revision;
    /** Set if the entry was removed although the upstream may be alive. Until this time the upstream stays in use. */
    readonly heldUntil: core.MonotonicMilliseconds | undefined;
}

/** Summarizes the entries under a prefix, so that differing views can be told apart. */
export interface RegistrySummary {
    /** The highest revision of an entry, including removals. Entries with earlier revisions may be missing. */
    readonly revision: types.Revision;
    /** A 32 bit sum over the existing entries. */
    readonly digest: number;
}

interface KnownEntry {
    entry: types.StoreEntry;
    /** The last decoded value. Kept while a removed entry is held. */
    upstream: types.UpstreamEntry | undefined;
    heldUntil: core.MonotonicMilliseconds | undefined;
}

/**
 * Time for which a removed entry stays in use while the store is unreliable. Living upstreams are listed again within
 * two seconds of the store's recovery. Without this, an outage in which leases expire would leave no upstream at all.
 */
export const ExpiredLeaseHoldMilliseconds = 2_500;
/**
 * Time for which removals are suspect after a failed store call: the platform's bound for a store to count as stable.
 */
const SuspicionMilliseconds = 3_000;
/**
 * Time for which removals are suspect after the first answer of a store that had failed. Living upstreams are listed
 * again by then. An upstream that leaves after the recovery must no longer be used after two seconds. If the time were
 * counted from the last failure, a member whose calls the store had rejected would go on sending to that upstream for
 * up to five.
 */
const RecoverySuspicionMilliseconds = 1_900;
/**
 * If at least this fraction of a service's upstreams is removed at once, their leases are taken to have expired;
 * otherwise they have left.
 */
const MassRemovalFraction = 0.4;
const MassRemovalWindowMilliseconds = 300;
/**
 * Time for which a mass removal is held if the store seemed healthy. Shorter than the bound for departed upstreams (2
 * s).
 */
const MassRemovalHoldMilliseconds = 1_500;

/**
 * This instance's view of the configuration, upstreams and members: a copy of the store's entries, merged by revision.
 * The same entry may come from a listing, a watch or a peer, in any order; the highest revision of a key wins, so that
 * no entry reverts to an earlier state. Pure: time is passed in.
 */
export class FleetView {
    private readonly entries = new Map<string, KnownEntry>();
    private configuration: types.Configuration | undefined;
    private routes: routeTable.RouteTable | undefined;
    private customers: customers.CustomerDirectory | undefined;
    private revision: types.Revision = 0;
    private readonly settled = new settledRevision.SettledRevision();
    private readonly summaries = new Map<string, RegistrySummary>();
    private changedAt: core.MonotonicMilliseconds = -Infinity;
    private suspectUntil: core.MonotonicMilliseconds = -Infinity;
    /** When the store answered again after a failure; undefined while it fails. */
    private recoveredAt: core.MonotonicMilliseconds | undefined = -Infinity;
    private readonly removals: {
        readonly service: string;
        readonly at: core.MonotonicMilliseconds;
        readonly key: string;
    }[] = [];
    private readonly listeners = new Set<() => void>();
    private readonly versions = new decisions.VersionHistory();
    /** The routes of earlier configurations. */
    readonly routeHistory = new routeHistory.RouteHistory();
    /** Revisions of the complete listings, by prefix. */
    private readonly listedRevisions = new Map<string, types.Revision>();
    private hasCompletePeerCopy = false;
    private readonly prefixes: readonly string[];

    constructor(
        private readonly codec: wire.RegistryCodec,
        private readonly onFindings: (findings: readonly core.Finding[]) => void,
    ) {
        this.prefixes = [codec.configurationKey, codec.upstreamPrefix, memberDirectory.FleetPrefix];
    }

    getConfiguration(): types.Configuration | undefined {
        return this.configuration;
    }

    getRoutes(): routeTable.RouteTable | undefined {
        return this.routes;
    }

    /** Undefined if no customers are configured. */
    getCustomers(): customers.CustomerDirectory | undefined {
        return this.customers;
    }

    /**
     * Whether a request's credentials are forwarded to the upstream. If customers are or were configured, the
     * credentials are meant for the gateway only.
     */
    forwardsCredentials(customer: string | undefined): boolean {
        return customer === undefined && this.customers === undefined;
    }

    /** Highest revision that this view has seen. Earlier ones may be missing. */
    getRevision(): types.Revision {
        return this.revision;
    }

    /** The revision up to which nothing is missing here, judging by the time that has passed. */
    getSettledRevision(now: core.MonotonicMilliseconds): types.Revision {
        return this.settled.get(now);
    }

    /**
     * A 32 bit sum over the existing entries. Views with the same highest revision may differ, since watches deliver
     * changes out of order; their digests differ then.
     */
    getDigest(): number {
        return [...this.summaries.values()].reduce((sum, summary) => (sum + summary.digest) >>> 0, 0);
    }

    /** When an entry last changed. */
    getChangedAt(): core.MonotonicMilliseconds {
        return this.changedAt;
    }

    getConfigurationRevision(): types.Revision {
        return this.getSummary(this.codec.configurationKey).revision;
    }

    getUpstreamsSummary(): RegistrySummary {
        return this.getSummary(this.codec.upstreamPrefix);
    }

    /**
     * Whether all entries of the store have been received, here or by the peer that sent its copy. The revision does
     * not show this: a notice of one late change raises it although everything before is missing.
     */
    isComplete(): boolean {
        return this.hasCompletePeerCopy || this.tryGetListedRevision() !== undefined;
    }

    /** Records that a peer with a complete copy has sent all its entries. */
    noteComplete(): void {
        this.hasCompletePeerCopy = true;
    }

    onChange(listener: () => void): void {
        this.listeners.add(listener);
    }

    /** Upstreams of a service that may be given new work. */
    getUsable(service: string, now: core.MonotonicMilliseconds): KnownUpstream[] {
        const usable: KnownUpstream[] = [];
        for (const known of this.entries.values()) {
            const upstream = known.upstream;
            if (upstream === undefined || upstream.service !== service) {
                continue;
            }
            if (upstream.state === types.UpstreamState.Ready && isPresent(known, now)) {
                usable.push({ entry: upstream, revision: known.entry.revision, heldUntil: known.heldUntil });
            }
        }
        return usable;
    }

    /** The upstream, if it may be given new work. */
    tryGetUsable(id: core.UpstreamId, now: core.MonotonicMilliseconds): types.UpstreamEntry | undefined {
        const known = this.entries.get(this.codec.upstreamPrefix + id);
        const isUsable = known?.upstream?.state === types.UpstreamState.Ready && isPresent(known, now);
        return isUsable ? known.upstream : undefined;
    }

    tryGetUpstream(id: core.UpstreamId): types.UpstreamEntry | undefined {
        return this.entries.get(this.codec.upstreamPrefix + id)?.upstream;
    }

    /** The software versions of a service's upstreams. */
    getListedVersions(service: string): ReadonlySet<string> {
        return this.versions.getListed(service);
    }

    /** The software versions of a service's upstreams, and of those that have been removed since the given time. */
    getRecentVersions(service: string, since: core.MonotonicMilliseconds): ReadonlySet<string> {
        return this.versions.getRecent(service, since);
    }

    /** All entries after a revision, including tombstones, for a peer that is behind. */
    getEntriesAfter(revision: types.Revision): types.StoreEntry[] {
        return [...this.entries.values()].map(known => known.entry).filter(entry => entry.revision > revision);
    }

    /**
     * Records that a store call failed or timed out: entries that are removed now may belong to living upstreams. A
     * call that began before the store's recovery and ends after it says nothing about the current state and is
     * ignored.
     */
    noteStoreFailure(now: core.MonotonicMilliseconds, startedAt = now): void {
        if (this.recoveredAt !== undefined && startedAt < this.recoveredAt) {
            return;
        }
        this.recoveredAt = undefined;
        this.suspectUntil = Math.max(this.suspectUntil, now + SuspicionMilliseconds);
        // An outage may last longer than a hold that was set during it.
        this.forEachHeld(now, known => (known.heldUntil = this.suspectUntil + ExpiredLeaseHoldMilliseconds));
    }

    /**
     * Records that the store answered. The first answer after a failure marks the store's recovery, from which the time
     * for living upstreams to be listed again is counted. Returns whether this answer does.
     */
    noteStoreAnswer(now: core.MonotonicMilliseconds): boolean {
        if (this.recoveredAt !== undefined) {
            return false;
        }
        this.recoveredAt = now;
        this.suspectUntil = now + RecoverySuspicionMilliseconds;
        this.forEachHeld(now, known => (known.heldUntil = Math.min(known.heldUntil ?? Infinity, this.suspectUntil)));
        return true;
    }

    /**
     * Updates the assumed state of the store after a call has ended. Returns whether the call marks the store's
     * recovery.
     */
    noteStoreCall(outcome: string, startedAt: core.MonotonicMilliseconds, now: core.MonotonicMilliseconds): boolean {
        switch (outcome) {
            case metadataStore.StoreFailureKind.NotDone:
            case metadataStore.StoreFailureKind.Unknown:
                this.noteStoreFailure(now, startedAt);
                return false;
            case metadataStore.StoreFailureKind.BrokenOff:
                return false;
            case metadataStore.StoreFailureKind.LeaseGone:
                // The store answers, but has let leases expire, and not only this one.
                this.noteStoreFailure(now);
                return this.noteStoreAnswer(now);
            default:
                return this.noteStoreAnswer(now);
        }
    }

    /** When the store answered this member again after a failure; undefined while it fails. */
    tryGetStoreRecoveredAt(): core.MonotonicMilliseconds | undefined {
        return this.recoveredAt;
    }

    isStoreSuspect(now: core.MonotonicMilliseconds): boolean {
        return now < this.suspectUntil;
    }

    /** Applies a complete listing: known keys of the prefix that it lacks were removed at its revision or before. */
    applyListing(
        prefix: string,
        listing: { entries: readonly types.StoreEntry[]; revision: types.Revision },
        now: core.MonotonicMilliseconds,
    ): types.StoreEntry[] {
        this.listedRevisions.set(prefix, listing.revision);
        this.settled.noteComplete(this.tryGetListedRevision() ?? 0);
        return this.apply([...listing.entries, ...this.findMissing(listing.entries, listing.revision, prefix)], now);
    }

    /** Removals of the known keys that a complete copy as of a revision lacks. */
    findMissing(entries: readonly types.StoreEntry[], revision: types.Revision, prefix = ""): types.StoreEntry[] {
        const present = new Set(entries.map(entry => entry.key));
        return [...this.entries.values()]
            .map(known => known.entry)
            .filter(
                entry =>
                    entry.key.startsWith(prefix) &&
                    entry.value !== undefined &&
                    !present.has(entry.key) &&
                    entry.revision < revision,
            )
            .map(entry => ({ key: entry.key, revision, value: undefined }));
    }

    /** Whether this view keeps entries with the key. */
    isRegistryKey(key: string): boolean {
        return this.tryGetPrefix(key) !== undefined;
    }

    /** Merges entries. Returns those that changed the view, which peers may lack as well. */
    apply(entries: readonly types.StoreEntry[], now: core.MonotonicMilliseconds): types.StoreEntry[] {
        const changes = entries.filter(entry => this.applyEntry(entry, now));
        for (const entry of entries) {
            this.revision = Math.max(this.revision, entry.revision);
        }
        this.settled.note(this.revision, now);
        if (changes.length > 0) {
            this.changedAt = now;
            this.listeners.forEach(listener => listener());
        }
        return changes;
    }

    /** The revision up to which listings have shown everything; undefined until each prefix has been listed. */
    private tryGetListedRevision(): types.Revision | undefined {
        const revisions = this.prefixes.map(prefix => this.listedRevisions.get(prefix) ?? -1);
        return revisions.includes(-1) ? undefined : Math.min(...revisions);
    }

    private tryGetPrefix(key: string): string | undefined {
        if (key === this.codec.configurationKey) {
            return key;
        }
        return this.prefixes.find(prefix => prefix !== this.codec.configurationKey && key.startsWith(prefix));
    }

    private getSummary(prefix: string): RegistrySummary {
        return this.summaries.get(prefix) ?? { revision: 0, digest: 0 };
    }

    private forEachHeld(now: core.MonotonicMilliseconds, action: (known: KnownEntry) => void): void {
        for (const known of this.entries.values()) {
            if (known.heldUntil !== undefined && now < known.heldUntil) {
                action(known);
            }
        }
    }

    private applyEntry(entry: types.StoreEntry, now: core.MonotonicMilliseconds): boolean {
        const known = this.entries.get(entry.key);
        if (known !== undefined && known.entry.revision >= entry.revision) {
            return false;
        }
        const prefix = this.tryGetPrefix(entry.key);
        if (prefix === undefined) {
            return false;
        }
        const summary = this.getSummary(prefix);
        this.summaries.set(prefix, {
            revision: Math.max(summary.revision, entry.revision),
            digest: (summary.digest - digestEntry(known?.entry) + digestEntry(entry)) >>> 0,
        });
        if (entry.key === this.codec.configurationKey) {
            this.entries.set(entry.key, { entry, upstream: undefined, heldUntil: undefined });
            this.applyConfiguration(entry, now);
            return true;
        }
        if (entry.key.startsWith(memberDirectory.FleetPrefix)) {
            this.entries.set(entry.key, { entry, upstream: undefined, heldUntil: undefined });
            return true;
        }
        const listed = known?.entry.value === undefined ? undefined : known.upstream;
        if (listed !== undefined) {
            this.versions.remove(listed.service, listed.softwareVersion, now);
        }
        if (entry.value === undefined) {
            this.applyRemoval(entry, known, now);
            return true;
        }
        const decoded = this.codec.decodeUpstream(entry.key, entry.value);
        if (!decoded.ok) {
            this.onFindings(decoded.findings);
        }
        const upstream = decoded.ok ? decoded.value : undefined;
        if (upstream !== undefined) {
            this.versions.add(upstream.service, upstream.softwareVersion);
        }
        this.entries.set(entry.key, { entry, upstream, heldUntil: undefined });
        return true;
    }

    /** Versions only increase: an older configuration from a late peer or a restored store is ignored. */
    private applyConfiguration(entry: types.StoreEntry, now: core.MonotonicMilliseconds): void {
        if (entry.value === undefined) {
            return;
        }
        const decoded = this.codec.decodeConfiguration(entry.value);
        if (!decoded.ok) {
            this.onFindings(decoded.findings);
            return;
        }
        if (this.configuration === undefined || decoded.value.version > this.configuration.version) {
            if (this.routes !== undefined) {
                this.routeHistory.add(this.routes, now);
            }
            this.configuration = decoded.value;
            this.routes = new routeTable.RouteTable(decoded.value);
            this.customers =
                decoded.value.customers === undefined
                    ? undefined
                    : new customers.CustomerDirectory(decoded.value.customers, this.customers);
        }
    }

    private applyRemoval(
        entry: types.StoreEntry,
        known: KnownEntry | undefined,
        now: core.MonotonicMilliseconds,
    ): void {
        const upstream = known?.upstream;
        if (upstream === undefined || upstream.state === types.UpstreamState.Draining) {
            this.entries.set(entry.key, { entry, upstream: undefined, heldUntil: undefined });
            return;
        }
        const heldUntil = this.chooseHeldUntil(upstream.service, entry.key, now);
        this.entries.set(entry.key, { entry, upstream, heldUntil });
    }

    /**
     * A removal while the store is healthy means that the upstream has left, and it gets no more work. While the store
     * is suspect, or if a large part of a service is removed at once, leases are taken to have expired instead, and the
     * upstream is held.
     */
    private chooseHeldUntil(service: string, key: string, now: core.MonotonicMilliseconds): core.MonotonicMilliseconds {
        if (this.isStoreSuspect(now)) {
            return this.recoveredAt === undefined
                ? this.suspectUntil + ExpiredLeaseHoldMilliseconds
                : this.suspectUntil;
        }
        while (this.removals.length > 0 && (this.removals[0]?.at ?? now) < now - MassRemovalWindowMilliseconds) {
            this.removals.shift();
        }
        this.removals.push({ service, at: now, key });
        const recentRemovals = this.removals.filter(removal => removal.service === service);
        const remaining = this.getUsable(service, now).filter(upstream => upstream.heldUntil === undefined).length - 1;
        const isMassRemoval =
            recentRemovals.length >= 3 &&
            recentRemovals.length >= MassRemovalFraction * (recentRemovals.length + Math.max(0, remaining));
        if (!isMassRemoval) {
            return now;
        }
        for (const removal of recentRemovals) {
            const known = this.entries.get(removal.key);
            if (known !== undefined && known.entry.value === undefined) {
                known.heldUntil = now + MassRemovalHoldMilliseconds;
            }
        }
        return now + MassRemovalHoldMilliseconds;
    }
}

/**
 * An entry's contribution to the digest. Removed entries contribute nothing, since members that list the store later
 * never see them.
 */
function digestEntry(entry: types.StoreEntry | undefined): number {
    return entry?.value === undefined ? 0 : decisions.hashText(`${entry.key}@${entry.revision}`);
}

function isPresent(known: KnownEntry, now: core.MonotonicMilliseconds): boolean {
    return known.entry.value !== undefined || (known.heldUntil !== undefined && now < known.heldUntil);
}
