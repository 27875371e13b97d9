import type * as core from "@boragedale/core";
import * as protocol from "@boragedale/protocol";
import type * as fleetView from "./fleetView.js";
import * as coordinatorDirectory from "./homeDirectory.js";
import type * as memberDirectory from "./memberDirectory.js";
import type * as routeRecords from "./routeRecords.js";
import type * as softwareVersions from "./softwareVersions.js";
import * as streamOriginRecords from "./streamOriginRecords.js";
import type * as stateOwners from "./stateOwners.js";

/** Age up to which a stream may still be in progress, so that its origin is announced when a second version appears. */
const RunningStreamMilliseconds = 15_000;
/** Members to which each origin is announced, so that it outlives its gateway and one of them. */
const AnnouncedMembers = 2;
/** Delay that combines the origins of several streams into one message. */
const AnnounceDelayMilliseconds = 10;
/** Delay after which an announcement is repeated to a member without an open link. */
const AnnounceRetryMilliseconds = 200;
/** Origins in one message, which must fit into a frame of the control lane. */
const MaximumAnnouncedOrigins = 100;
/** Longer ids of callers are not kept: they would exceed the limits of the messages between members. */
const MaximumIdLength = 100;
/** Time for members, and for the store before and after them, to answer. A caller that continues a stream waits for the answers. */
const LookupTimeoutMilliseconds = 150;

/** Dependencies of `StreamOrigins`. */
export interface StreamOriginParts {
    readonly view: fleetView.FleetView;
    readonly members: memberDirectory.MemberDirectory;
    readonly owners: stateOwners.StateOwners;
    readonly network: protocol.PeerNetwork;
    readonly clock: core.Clock;
    readonly versions: softwareVersions.SoftwareVersions;
    readonly routes: routeRecords.RouteRecords;
    readonly records: streamOriginRecords.StreamOriginRecords;
    /** Whether the view was recently confirmed by the store or by a member that watches it. */
    readonly isViewCurrent: () => boolean;
}

/** How the software version of a continued stream was found. */
export enum StreamVersionSource {
    /** This member kept the stream's origin. */
    Own = "Own",
    /** Another member kept it. */
    Member = "Member",
    /** The metadata store had it. */
    Store = "Store",
    /** No other version can have begun the stream, as far as is known. */
    OnlyVersion = "OnlyVersion",
    Unknown = "Unknown",
}

/** The software version at which a continued stream must go on. */
export interface ResolvedVersion {
    /** Undefined if the stream may have begun at any of several versions. */
    readonly softwareVersion: string | undefined;
    readonly source: StreamVersionSource;
    /** Recent versions of the service, as far as they are known; empty if they weren't needed. */
    readonly knownVersions: readonly string[];
    /** Whether somebody who may know the stream has not answered. */
    readonly isAnswerMissing: boolean;
}

interface StreamOrigin {
    readonly service: string;
    readonly softwareVersion: string;
    readonly notedAt: core.MonotonicMilliseconds;
}

/**
 * Knows the software version at which each recent stream began. A caller whose connection broke continues its stream at
 * any member, which must choose an upstream of that version.
 *
 * Origins are kept in memory. While a service has several versions, each origin is also announced to two other members,
 * since the member that began a stream may be killed, and written to the store, since all of them may be. A stream whose
 * origin is lost is refused, unless the store has no record of another version that can have begun it.
 */
export class StreamOrigins {
    private readonly origins = new Map<string, StreamOrigin>();
    /** Origins that have not been sent yet, by member. */
    private readonly unsent = new Map<core.InstanceId, streamOriginRecords.StreamOriginRow[]>();
    private stopAnnouncing: (() => void) | undefined;
    /** The versions of each service for which the origins of running streams have been announced. */
    private readonly knownVersions = new Map<string, ReadonlySet<string>>();

    /** Called before a stream's origin is used. It may change the origin, by `note`. */
    confirm: (stream: string) => Promise<void> = async () => undefined;

    constructor(private readonly parts: StreamOriginParts) {
        const { network, view } = parts;
        network.handle(protocol.MessageKind.StreamOrigins, async message => {
            for (const [stream, service, softwareVersion] of message.origins) {
                this.keep(stream, service, softwareVersion);
            }
            return undefined;
        });
        network.handle(protocol.MessageKind.StreamOriginRequest, async ({ stream, service }) => {
            if (stream !== undefined && this.origins.has(stream)) {
                await this.confirm(stream);
            }
            const known = stream === undefined ? undefined : this.tryGet(stream, service);
            const isRead = known === undefined && stream !== undefined && this.isLargeFleet();
            const softwareVersion = isRead ? (await this.readRecord(stream, service)).softwareVersion : known;
            return {
                kind: protocol.MessageKind.StreamOriginReply,
                recentVersions: [...this.parts.versions.getPossible(service)],
                ...(softwareVersion === undefined ? {} : { softwareVersion }),
            };
        });
        view.onChange(() => this.announceForNewVersions());
    }

    /** Records the version that began a stream. Call at its first event, and again when it breaks. */
    note(stream: string, service: string, softwareVersion: string): void {
        if (stream === "" || stream.length > MaximumIdLength) {
            return;
        }
        this.keep(stream, service, softwareVersion);
        if (this.parts.versions.hasSeveral(service)) {
            this.announce([stream, service, softwareVersion]);
        }
    }

    /**
     * Determines the version at which a caller's stream must continue. `stream` is undefined if the caller doesn't name it. If
     * the route `hasMoved` from another service, the stream may have begun there, so the service's only version is no proof.
     */
    async resolve(
        stream: string | undefined,
        service: string,
        hasMoved: () => boolean = () => false,
    ): Promise<ResolvedVersion> {
        if (stream !== undefined && this.origins.has(stream)) {
            await this.confirm(stream);
        }
        const own = stream === undefined ? undefined : this.origins.get(stream);
        if (own !== undefined) {
            return own.service === service
                ? createKnown(own.softwareVersion, StreamVersionSource.Own, [])
                : createUnknown(new Set());
        }
        const mayBeOnly = !hasMoved() && !this.parts.versions.hasSeveral(service);
        if (mayBeOnly && (await this.confirmRecords(service))) {
            const resolved = resolveToOnly(this.parts.versions.getPossible(service));
            if (resolved.softwareVersion !== undefined && !hasMoved()) {
                // Another version may appear before the caller's next try.
                this.note(stream ?? "", service, resolved.softwareVersion);
                return resolved;
            }
        }
        const asked = await this.ask(stream, service, hasMoved);
        const isRead = this.isReadByAsked(stream) && !asked.isAnswerMissing;
        if (asked.softwareVersion !== undefined || stream === undefined || isRead) {
            return asked;
        }
        return this.readOwn(stream, service, asked);
    }

    /** Looks for a stream's origin in the store after other members did not know it. */
    private async readOwn(stream: string, service: string, asked: ResolvedVersion): Promise<ResolvedVersion> {
        const { isRead, softwareVersion } = await this.readRecord(stream, service);
        return softwareVersion === undefined
            ? { ...asked, isAnswerMissing: asked.isAnswerMissing || !isRead }
            : createKnown(softwareVersion, StreamVersionSource.Store, asked.knownVersions);
    }

    /** Finds out which versions and routes the store has records of. Returns whether it answered in time. */
    private async confirmRecords(service: string): Promise<boolean> {
        const { versions, routes } = this.parts;
        const confirmed = Promise.all([versions.confirm(service), routes.confirm()]);
        return this.waitFor(
            confirmed.then(results => results.every(isConfirmed => isConfirmed)),
            false,
        );
    }

    /** Looks for a stream's origin in the store. */
    private async readRecord(
        stream: string,
        service: string,
    ): Promise<Awaited<ReturnType<streamOriginRecords.StreamOriginRecords["find"]>>> {
        return this.waitFor(this.parts.records.find(stream, service), { isRead: false });
    }

    /** Waits for an answer of the store, or returns the given one if there is none in time. */
    private async waitFor<T>(answer: Promise<T>, late: T): Promise<T> {
        const timeout = new AbortController();
        const isLate = this.parts.clock.sleep(LookupTimeoutMilliseconds, timeout.signal).then(() => late);
        const first = await Promise.race([answer, isLate]);
        timeout.abort();
        return first;
    }

    /** Asks other members. The first one that knows the stream decides; without one, all answers are needed. */
    private async ask(stream: string | undefined, service: string, hasMoved: () => boolean): Promise<ResolvedVersion> {
        const possible = new Set<string>();
        let isAnswerMissing = false;
        const message = {
            kind: protocol.MessageKind.StreamOriginRequest,
            service,
            ...(stream === undefined || stream.length > MaximumIdLength ? {} : { stream }),
        } as const;
        const options = { lane: protocol.Lane.Control, timeoutMilliseconds: LookupTimeoutMilliseconds };
        return new Promise(resolve => {
            const questions = this.getMembersToAsk(stream ?? service).map(async member => {
                const reply = await this.parts.network.request(member, message, options);
                if (!reply.ok || reply.message.kind !== protocol.MessageKind.StreamOriginReply) {
                    isAnswerMissing = true;
                    return;
                }
                reply.message.recentVersions.forEach(version => possible.add(version));
                const { softwareVersion } = reply.message;
                if (softwareVersion !== undefined) {
                    resolve(createKnown(softwareVersion, StreamVersionSource.Member, [...possible]));
                }
            });
            void Promise.all(questions).then(() => {
                this.parts.versions.getPossible(service).forEach(version => possible.add(version));
                // The member that doesn't answer may be the one that began the stream, at a version unknown here.
                const isCertain = !isAnswerMissing && this.parts.view.isComplete() && this.parts.isViewCurrent();
                const resolved = isCertain && !hasMoved() ? resolveToOnly(possible) : createUnknown(possible);
                resolve({ ...resolved, isAnswerMissing: !isCertain });
            });
        });
    }

    private tryGet(stream: string, service: string): string | undefined {
        const origin = this.origins.get(stream);
        return origin?.service === service ? origin.softwareVersion : undefined;
    }

    private keep(stream: string, service: string, softwareVersion: string): void {
        const now = this.parts.clock.now();
        // Entries are in the order of their times, because a repeated one moves to the end.
        this.origins.delete(stream);
        this.origins.set(stream, { service, softwareVersion, notedAt: now });
        for (const [oldest, { notedAt }] of this.origins) {
            if (now - notedAt < streamOriginRecords.OriginMemoryMilliseconds) {
                break;
            }
            this.origins.delete(oldest);
        }
    }

    /** When a service gets a further version, announces the streams that began before. */
    private announceForNewVersions(): void {
        const services = this.parts.view.getConfiguration()?.services ?? [];
        for (const { name } of services) {
            const possible = this.parts.versions.getPossible(name);
            const known = this.knownVersions.get(name) ?? possible;
            this.knownVersions.set(name, possible);
            if ([...possible].some(version => !known.has(version))) {
                this.announceRunning(name);
            }
        }
    }

    private announceRunning(service: string): void {
        const since = this.parts.clock.now() - RunningStreamMilliseconds;
        this.origins.forEach((origin, stream) => {
            if (origin.service === service && origin.notedAt >= since) {
                this.announce([stream, service, origin.softwareVersion]);
            }
        });
    }

    private announce(row: streamOriginRecords.StreamOriginRow): void {
        const { owners, members, network } = this.parts;
        const silent = new Set(network.getSilentPeers());
        this.parts.records.add(row);
        const ranked = owners.rank(row[0], silent).filter(id => id !== members.self.id);
        for (const member of ranked.slice(0, AnnouncedMembers)) {
            this.unsent.set(member, [...(this.unsent.get(member) ?? []), row].slice(-MaximumAnnouncedOrigins));
        }
        this.stopAnnouncing ??= this.parts.clock.schedule(AnnounceDelayMilliseconds, () => this.sendUnsent());
    }

    private sendUnsent(): void {
        this.stopAnnouncing = undefined;
        for (const [member, origins] of this.unsent) {
            const message = { kind: protocol.MessageKind.StreamOrigins, origins } as const;
            const isGone = this.parts.members.tryGet(member) === undefined;
            if (isGone || this.parts.network.notify(member, message, protocol.Lane.Control)) {
                this.unsent.delete(member);
            }
        }
        if (this.unsent.size > 0) {
            this.stopAnnouncing = this.parts.clock.schedule(AnnounceRetryMilliseconds, () => this.sendUnsent());
        }
    }

    /** In a small fleet all others, since few streams break; in a large one those to which the origin was announced. */
    private getMembersToAsk(key: string): readonly core.InstanceId[] {
        const { members, owners } = this.parts;
        const asked = this.isLargeFleet() ? owners.rank(key) : members.getOthers().map(({ id }) => id);
        return asked.filter(id => id !== members.self.id);
    }

    /**
     * Whether the members that are asked for a stream read the store. In a small fleet, or if this member is one of them, the
     * one that asks does.
     */
    private isReadByAsked(stream: string | undefined): boolean {
        const { members, owners } = this.parts;
        return stream !== undefined && this.isLargeFleet() && !owners.rank(stream).includes(members.self.id);
    }

    private isLargeFleet(): boolean {
        return this.parts.members.getOthers().length > coordinatorDirectory.NeighbourCount;
    }
}

/** Takes the only version for the one that began the stream, if there is only one. */
function resolveToOnly(versions: ReadonlySet<string>): ResolvedVersion {
    const [softwareVersion] = versions;
    return versions.size === 1 && softwareVersion !== undefined
        ? createKnown(softwareVersion, StreamVersionSource.OnlyVersion, [...versions])
        : createUnknown(versions);
}

function createKnown(
    softwareVersion: string,
    source: StreamVersionSource,
    knownVersions: readonly string[],
): ResolvedVersion {
    return { softwareVersion, source, knownVersions, isAnswerMissing: false };
}

function createUnknown(versions: ReadonlySet<string>): ResolvedVersion {
    const knownVersions = [...versions];
    return { softwareVersion: undefined, source: StreamVersionSource.Unknown, knownVersions, isAnswerMissing: false };
}
