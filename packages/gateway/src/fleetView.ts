import type * as core from "@boragedale/core";
import * as customers from "@boragedale/customers";
import * as decisions from "@boragedale/decisions";
import * as memberDirectory from "./memberDirectory.js";
import * as metadataStore from "./metadataStore.js";
import * as routeTable from "./routeTable.js";
import * as settledRevision from "./settledRevision.js";
import * as types from "./types.js";
import type * as wire from "./wire.js";

/** An upstream as it may be used now. */
export interface KnownUpstream {
    readonly entry: types.UpstreamEntry;
    readonly revision: types.Revision;
    /** Set where its entry vanished although it may live: until then it stays in use. */
    readonly heldUntil: core.MonotonicMilliseconds | undefined;
}

/** Tells views of the same prefix apart. */
export interface RegistryMark {
    /** The highest revision of an entry, removed ones included; of earlier ones some may be missing. */
    readonly revision: types.Revision;
    /** A 32 bit sum over the entries that stand. */
    readonly digest: number;
}

interface KnownEntry {
    entry: types.StoreEntry;
    /** Decoded last; kept while the key is only held. */
    upstream: types.UpstreamEntry | undefined;
    heldUntil: core.MonotonicMilliseconds | undefined;
}

/**
 * Time for which a vanished entry stays in use while the store is unreliable. Living upstreams are listed again within two
 * seconds of the store's return; without this, an outage in which leases run out would leave no upstream at all.
 */
export const LapseHoldMilliseconds = 2_500;
/** A failed store call makes removals doubtful for this long: the platform's bound for a store to count as stable. */
const DoubtMilliseconds = 3_000;
/**
 * Doubt after the first answer of a store that had failed. Living upstreams are back by then. An upstream that leaves after
 * the return must be left alone within two seconds: with the doubt counted from the last failure, a member that the store
 * had turned away went on sending to one for up to five.
 */
const ReturnDoubtMilliseconds = 1_900;
/** Fraction of a service's upstreams that vanish at once beyond which it is taken as a lapse, not as departures. */
const MassRemovalFraction = 0.4;
const MassRemovalWindowMilliseconds = 300;
/** Hold of a mass removal with a store that looked sound; shorter than the bound for departed upstreams (2 s). */
const MassRemovalHoldMilliseconds = 1_500;

/**
 * What this instance believes of configuration and upstreams: a copy of the store's entries, those of the members among them,
 * merged by revision. The
 * same entry may come from a listing, a watch or a peer, in any order; the highest revision of a key wins, so that
 * nothing ever goes back. Pure: time is passed in.
 */
export class FleetView {
    private readonly entries = new Map<string, KnownEntry>();
    private configuration: types.Configuration | undefined;
    private routes: routeTable.RouteTable | undefined;
    private customers: customers.CustomerDirectory | undefined;
    private revision: types.Revision = 0;
    private readonly settled = new settledRevision.SettledRevision();
    private readonly marks = new Map<string, RegistryMark>();
    private changedAt: core.MonotonicMilliseconds = -Infinity;
    private doubtUntil: core.MonotonicMilliseconds = -Infinity;
    /** When the store answered again after it had failed; undefined while it fails. */
    private returnedAt: core.MonotonicMilliseconds | undefined = -Infinity;
    private readonly removals: {
        readonly service: string;
        readonly at: core.MonotonicMilliseconds;
        readonly key: string;
    }[] = [];
    private readonly listeners = new Set<() => void>();
    /** Revisions of the whole listings, by prefix. */
    private readonly listedRevisions = new Map<string, types.Revision>();
    private isWholeByPeer = false;
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

    /** Undefined: no customers are configured. */
    getCustomers(): customers.CustomerDirectory | undefined {
        return this.customers;
    }

    /** Whether a request's credentials are meant for the upstream: they are the gateway's own matter where customers are or were configured. */
    passesCredentials(customer: string | undefined): boolean {
        return customer === undefined && this.customers === undefined;
    }

    /** Highest revision that this view has seen; of earlier ones some may be missing. */
    getRevision(): types.Revision {
        return this.revision;
    }

    /** The revision up to which nothing is missing here, as far as time tells. */
    getSettledRevision(now: core.MonotonicMilliseconds): types.Revision {
        return this.settled.get(now);
    }

    /**
     * A 32 bit sum over the entries that stand. Views of the same highest revision may differ, since watches bring changes out
     * of their order; then their digests do.
     */
    getDigest(): number {
        return [...this.marks.values()].reduce((sum, mark) => (sum + mark.digest) >>> 0, 0);
    }

    /** When an entry was changed last. */
    getChangedAt(): core.MonotonicMilliseconds {
        return this.changedAt;
    }

    getConfigurationRevision(): types.Revision {
        return this.getMark(this.codec.configurationKey).revision;
    }

    getUpstreamsMark(): RegistryMark {
        return this.getMark(this.codec.upstreamPrefix);
    }

    /**
     * Whether everything that the store had was seen, here or at a peer. A notice of one late change raises the revision
     * though all before it is missing.
     */
    isWhole(): boolean {
        return this.isWholeByPeer || this.tryGetListedRevision() !== undefined;
    }

    /** A peer that has seen everything sent all its entries. */
    noteWhole(): void {
        this.isWholeByPeer = true;
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

    tryGetUpstream(id: core.UpstreamId): types.UpstreamEntry | undefined {
        return this.entries.get(this.codec.upstreamPrefix + id)?.upstream;
    }

    /** Every entry with a value or a tombstone, for a peer that is behind. */
    getEntriesAfter(revision: types.Revision): types.StoreEntry[] {
        return [...this.entries.values()].map(known => known.entry).filter(entry => entry.revision > revision);
    }

    /**
     * The store failed, or answered out of time: entries that vanish now may belong to living upstreams. A call that began
     * before the store's return and ends after it says nothing new.
     */
    noteDoubt(now: core.MonotonicMilliseconds, startedAt = now): void {
        if (this.returnedAt !== undefined && startedAt < this.returnedAt) {
            return;
        }
        this.returnedAt = undefined;
        this.doubtUntil = Math.max(this.doubtUntil, now + DoubtMilliseconds);
        // An outage may last longer than any hold that was given in it.
        this.forEachHeld(now, known => (known.heldUntil = this.doubtUntil + LapseHoldMilliseconds));
    }

    /**
     * The store answered; after a failure that is its return, from which on the time of living upstreams to be back runs.
     * Returns whether it is.
     */
    noteAnswered(now: core.MonotonicMilliseconds): boolean {
        if (this.returnedAt !== undefined) {
            return false;
        }
        this.returnedAt = now;
        this.doubtUntil = now + ReturnDoubtMilliseconds;
        this.forEachHeld(now, known => (known.heldUntil = Math.min(known.heldUntil ?? Infinity, this.doubtUntil)));
        return true;
    }

    /** Learns from the end of a call whether the store is to be believed; returns whether it is the store's return. */
    noteStoreCall(outcome: string, startedAt: core.MonotonicMilliseconds, now: core.MonotonicMilliseconds): boolean {
        switch (outcome) {
            case metadataStore.StoreFailureKind.NotDone:
            case metadataStore.StoreFailureKind.Unknown:
                this.noteDoubt(now, startedAt);
                return false;
            case metadataStore.StoreFailureKind.BrokenOff:
                return false;
            case metadataStore.StoreFailureKind.LeaseGone:
                // The store answers, but has let leases run out, and not only this one.
                this.noteDoubt(now);
                return this.noteAnswered(now);
            default:
                return this.noteAnswered(now);
        }
    }

    /** When the store answered this member again after a failure; undefined while it fails. */
    tryGetStoreReturn(): core.MonotonicMilliseconds | undefined {
        return this.returnedAt;
    }

    isDoubtful(now: core.MonotonicMilliseconds): boolean {
        return now < this.doubtUntil;
    }

    /** Takes a whole listing: keys of the prefix that it lacks were removed at its revision or before. */
    applyListing(
        prefix: string,
        listing: { entries: readonly types.StoreEntry[]; revision: types.Revision },
        now: core.MonotonicMilliseconds,
    ): types.StoreEntry[] {
        this.listedRevisions.set(prefix, listing.revision);
        this.settled.noteWhole(this.tryGetListedRevision() ?? 0);
        return this.apply([...listing.entries, ...this.findMissing(listing.entries, listing.revision, prefix)], now);
    }

    /** Removals of the keys that stand here and that a whole copy as of a revision lacks. */
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

    /** Merges entries; returns those that were news, which peers may lack too. */
    apply(entries: readonly types.StoreEntry[], now: core.MonotonicMilliseconds): types.StoreEntry[] {
        const news = entries.filter(entry => this.applyOne(entry, now));
        for (const entry of entries) {
            this.revision = Math.max(this.revision, entry.revision);
        }
        this.settled.note(this.revision, now);
        if (news.length > 0) {
            this.changedAt = now;
            this.listeners.forEach(listener => listener());
        }
        return news;
    }

    /** The revision up to which listings showed everything; undefined until there was one of each prefix. */
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

    private getMark(prefix: string): RegistryMark {
        return this.marks.get(prefix) ?? { revision: 0, digest: 0 };
    }

    private forEachHeld(now: core.MonotonicMilliseconds, action: (known: KnownEntry) => void): void {
        for (const known of this.entries.values()) {
            if (known.heldUntil !== undefined && now < known.heldUntil) {
                action(known);
            }
        }
    }

    private applyOne(entry: types.StoreEntry, now: core.MonotonicMilliseconds): boolean {
        const known = this.entries.get(entry.key);
        if (known !== undefined && known.entry.revision >= entry.revision) {
            return false;
        }
        const prefix = this.tryGetPrefix(entry.key);
        if (prefix === undefined) {
            return false;
        }
        const mark = this.getMark(prefix);
        this.marks.set(prefix, {
            revision: Math.max(mark.revision, entry.revision),
            digest: (mark.digest - digestEntry(known?.entry) + digestEntry(entry)) >>> 0,
        });
        if (entry.key === this.codec.configurationKey) {
            this.entries.set(entry.key, { entry, upstream: undefined, heldUntil: undefined });
            this.applyConfiguration(entry);
            return true;
        }
        if (entry.key.startsWith(memberDirectory.FleetPrefix)) {
            this.entries.set(entry.key, { entry, upstream: undefined, heldUntil: undefined });
            return true;
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
        this.entries.set(entry.key, { entry, upstream, heldUntil: undefined });
        return true;
    }

    /** Versions only rise: a configuration that a late peer or a restored store brings again is not taken. */
    private applyConfiguration(entry: types.StoreEntry): void {
        if (entry.value === undefined) {
            return;
        }
        const decoded = this.codec.decodeConfiguration(entry.value);
        if (!decoded.ok) {
            this.onFindings(decoded.findings);
            return;
        }
        if (this.configuration === undefined || decoded.value.version > this.configuration.version) {
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
        const heldUntil = this.chooseHold(upstream.service, entry.key, now);
        this.entries.set(entry.key, { entry, upstream, heldUntil });
    }

    /**
     * An entry that vanishes while the store is sound names an upstream that left: it gets nothing more. While the store
     * is doubtful, or when a good part of a service vanishes at once, leases have run out instead.
     */
    private chooseHold(service: string, key: string, now: core.MonotonicMilliseconds): core.MonotonicMilliseconds {
        if (this.isDoubtful(now)) {
            return this.returnedAt === undefined ? this.doubtUntil + LapseHoldMilliseconds : this.doubtUntil;
        }
        while (this.removals.length > 0 && (this.removals[0]?.at ?? now) < now - MassRemovalWindowMilliseconds) {
            this.removals.shift();
        }
        this.removals.push({ service, at: now, key });
        const vanished = this.removals.filter(removal => removal.service === service);
        const remaining = this.getUsable(service, now).filter(upstream => upstream.heldUntil === undefined).length - 1;
        const isMass =
            vanished.length >= 3 && vanished.length >= MassRemovalFraction * (vanished.length + Math.max(0, remaining));
        if (!isMass) {
            return now;
        }
        for (const removal of vanished) {
            const known = this.entries.get(removal.key);
            if (known !== undefined && known.entry.value === undefined) {
                known.heldUntil = now + MassRemovalHoldMilliseconds;
            }
        }
        return now + MassRemovalHoldMilliseconds;
    }
}

/** What an entry adds to the digest; removed ones add nothing, since who lists later never hears of them. */
function digestEntry(entry: types.StoreEntry | undefined): number {
    return entry?.value === undefined ? 0 : decisions.hashText(`${entry.key}@${entry.revision}`);
}

function isPresent(known: KnownEntry, now: core.MonotonicMilliseconds): boolean {
    return known.entry.value !== undefined || (known.heldUntil !== undefined && now < known.heldUntil);
}
