import type * as core from "@boragedale/core";
import * as decisions from "@boragedale/decisions";
import type * as protocol from "@boragedale/protocol";
import * as onlineWaiting from "./onlineWaiting.js";

/**
 * Coordinators asked for a free slot before the request waits. At a peak of usual demand a few slots are free somewhere:
 * with two asked, 12 slots were free and batch work held 15 while 32 requests waited elsewhere.
 */
const MaximumAskedWithoutWait = 6;
/**
 * Those that are asked even if they had no free slot a moment ago. The others are not: where demand exceeds the slots,
 * each would cost a trip and a message either way for nothing.
 */
const MinimumAskedWithoutWait = 2;
/**
 * How long a coordinator that had no free slot counts as full: a fifth of the time for which a request holds a slot, in
 * which an engine of 8 slots frees one or two.
 */
const KnownFullMilliseconds = 150;
/**
 * Coordinators asked for a free slot before batch work yields one, where that is avoided. With more, nearly each request
 * of a peak would pay for the trips and messages.
 */
const FreeSlotAttempts = 2;
/** Coordinators at which a request waits, one after the other, if they fail or refuse. */
const MaximumWaits = 3;
/** How long a coordinator that had no free slot is notified of freed slots without the usual delay. */
const ContentionMilliseconds = 500;

/** A slot for an online request. */
export interface GrantedSlotChoice extends decisions.SlotChoice {
    /** Whether the coordinator already counts the slot as used by this member. */
    readonly isCounted: boolean;
}

/** An online request that a caller waits for. */
export interface OnlineRequest extends onlineWaiting.SharedRequest {
    /** False if the request may have run, so that it joins an engine's queue if no coordinator accepts it. */
    readonly isRefusable: boolean;
    readonly isWanted: () => boolean;
}

export enum OnlineOutcomeKind {
    Chosen = "Chosen",
    /** No slot is expected to be free in time. */
    Refused = "Refused",
    /** No upstream is known. */
    None = "None",
}

export type OnlineOutcome =
    | { readonly kind: OnlineOutcomeKind.Chosen; readonly choice: GrantedSlotChoice }
    | { readonly kind: OnlineOutcomeKind.Refused; readonly expectedWaitMilliseconds: number }
    | { readonly kind: OnlineOutcomeKind.None };

/** The candidates of a request, by who grants their slots. */
export interface GroupedCandidates {
    readonly all: readonly decisions.SlotCandidate[];
    readonly own: readonly decisions.SlotCandidate[];
    readonly byCoordinator: ReadonlyMap<core.InstanceId, ReadonlySet<core.UpstreamId>>;
}

/** How a coordinator is asked for a slot. */
export interface AskOptions {
    /** Whether a slot may be granted that batch work has to yield first. */
    readonly allowsYield: boolean;
    /** Given if the order among customers matters. */
    readonly shared?: onlineWaiting.SharedRequest;
}

export interface OnlinePlacementParts {
    readonly waiting: onlineWaiting.OnlineWaiting;
    readonly clock: core.Clock;
    /** Whether a slot that batch work would have to yield comes after all free ones. */
    readonly avoidsYields: () => boolean;
    /** Chooses among candidates by the local slot table. */
    readonly tryChooseLocally: (
        service: string,
        candidates: readonly decisions.SlotCandidate[],
    ) => decisions.SlotChoice | undefined;
    /** Whether the choice is a free slot of a slow engine, which is used only if no other is free. */
    readonly isDeferred: (
        service: string,
        candidates: readonly decisions.SlotCandidate[],
        choice: decisions.SlotChoice | undefined,
    ) => boolean;
    readonly rank: (coordinators: readonly core.InstanceId[]) => readonly core.InstanceId[];
    /** Sends the request. Resolves to undefined if the coordinator gave no answer in time. */
    readonly ask: (
        coordinator: core.InstanceId,
        service: string,
        usable: ReadonlySet<core.UpstreamId>,
        options: AskOptions,
    ) => Promise<protocol.SlotReply | undefined>;
    readonly returnSlot: (upstream: core.UpstreamId) => void;
}

/** A coordinator at which the request could wait. */
interface WaitOffer {
    readonly coordinator: core.InstanceId;
    readonly expectedWaitMilliseconds: number;
}

/** What is known while one request looks for a slot. */
interface Search {
    readonly service: string;
    readonly candidates: GroupedCandidates;
    readonly request: OnlineRequest;
    readonly startedAt: core.MonotonicMilliseconds;
    readonly offers: WaitOffer[];
    /** Coordinators without a free slot at which batch work could yield some. */
    readonly yieldable: Map<core.InstanceId, number>;
    /** Coordinators that have not been asked, best first. */
    readonly unasked: core.InstanceId[];
    /** The shortest queue of an engine, as told by coordinators that don't order requests. */
    queued: GrantedSlotChoice | undefined;
    shortestWait: number | undefined;
}

/**
 * Finds a slot for an online request where coordinators order waiting requests: a free slot if there is one, otherwise a
 * place at the coordinator with the shortest expected wait.
 *
 * At a peak no slot is free. A request that joined an engine's queue could not be overtaken there by one of a customer
 * that uses less than its share.
 */
export class OnlinePlacement {
    /** When each coordinator last had no free slot. */
    private readonly fullAt = new Map<core.InstanceId, core.MonotonicMilliseconds>();

    constructor(private readonly parts: OnlinePlacementParts) {}

    async place(service: string, candidates: GroupedCandidates, request: OnlineRequest): Promise<OnlineOutcome> {
        const { waiting, clock, tryChooseLocally } = this.parts;
        if (!waiting.hasWaiting(service)) {
            const choice = tryChooseLocally(service, candidates.own);
            const isYield = choice?.yielder !== undefined && this.parts.avoidsYields();
            if (choice?.waiting === 0 && !isYield && !this.parts.isDeferred(service, candidates.own, choice)) {
                return choose({ ...choice, isCounted: false });
            }
        }
        const search: Search = {
            service,
            candidates,
            request,
            startedAt: clock.now(),
            offers: [],
            yieldable: new Map(),
            unasked: [...this.parts.rank([...candidates.byCoordinator.keys()])],
            queued: undefined,
            shortestWait: undefined,
        };
        const granted =
            (await this.askForFreeSlot(search)) ?? (await this.askForYield(search)) ?? (await this.waitForSlot(search));
        if (granted !== undefined) {
            return choose(granted);
        }
        return this.end(search);
    }

    /** Whether requests have recently found no free slot at the coordinator. */
    isContended(coordinator: core.InstanceId): boolean {
        return this.wasFullWithin(coordinator, ContentionMilliseconds);
    }

    forget(removed: readonly core.InstanceId[]): void {
        removed.forEach(member => this.fullAt.delete(member));
    }

    private wasFullWithin(coordinator: core.InstanceId, milliseconds: number): boolean {
        return this.parts.clock.now() - (this.fullAt.get(coordinator) ?? -Infinity) < milliseconds;
    }

    /** Asks the coordinators that are most likely to have a free slot, without a wait. */
    private async askForFreeSlot(search: Search): Promise<GrantedSlotChoice | undefined> {
        const avoidsYields = this.parts.avoidsYields();
        const maximum = Math.min(MaximumAskedWithoutWait, search.unasked.length);
        for (let asked = 0; asked < maximum; asked++) {
            const isLastFreeAttempt = asked >= FreeSlotAttempts;
            const coordinator = search.unasked[0];
            if (coordinator === undefined || (avoidsYields && isLastFreeAttempt && this.isYieldKnown(search))) {
                break;
            }
            if (asked >= MinimumAskedWithoutWait && this.wasFullWithin(coordinator, KnownFullMilliseconds)) {
                break;
            }
            search.unasked.shift();
            const granted = await this.ask(search, coordinator, 0, !avoidsYields || isLastFreeAttempt);
            if (granted !== undefined) {
                return granted;
            }
        }
        if (maximum < MaximumAskedWithoutWait) {
            // If there are few links, as right after a start, engines of coordinators that can't be asked are chosen by
            // the local slot table.
            const unreachable = this.tryChooseUnreachable(search);
            if (unreachable?.waiting === 0) {
                return unreachable;
            }
        }
        return undefined;
    }

    /** Finds a slot that batch work yields, at an own engine if possible. */
    private async askForYield(search: Search): Promise<GrantedSlotChoice | undefined> {
        const { service, candidates, request } = search;
        const choice = this.tryChooseOwn(search);
        if (choice !== undefined) {
            return choice;
        }
        const [most] = [...search.yieldable].sort(([, one], [, other]) => other - one);
        const granted = most === undefined ? undefined : await this.ask(search, most[0], 0, true);
        if (granted === undefined && candidates.own.length > 0) {
            const expectedWaitMilliseconds = this.parts.waiting.estimateWait(service, request);
            search.offers.push({ coordinator: decisions.SelfInstance, expectedWaitMilliseconds });
            this.noteWait(search, expectedWaitMilliseconds);
        }
        return granted;
    }

    private isYieldKnown(search: Search): boolean {
        return search.yieldable.size > 0 || this.tryChooseOwn(search) !== undefined;
    }

    private tryChooseOwn({ service, candidates }: Search): GrantedSlotChoice | undefined {
        if (this.parts.waiting.hasWaiting(service)) {
            return undefined;
        }
        const choice = this.parts.tryChooseLocally(service, candidates.own);
        return choice?.waiting === 0 ? { ...choice, isCounted: false } : undefined;
    }

    private async waitForSlot(search: Search): Promise<GrantedSlotChoice | undefined> {
        for (let waits = 0; waits < MaximumWaits; waits++) {
            const left = search.request.waitMilliseconds - (this.parts.clock.now() - search.startedAt);
            search.offers.sort((one, other) => one.expectedWaitMilliseconds - other.expectedWaitMilliseconds);
            const offer = search.offers.shift();
            const coordinator = offer?.coordinator ?? search.unasked.shift();
            if (coordinator === undefined || left < 1 || (offer?.expectedWaitMilliseconds ?? 0) > left) {
                return undefined;
            }
            const granted =
                coordinator === decisions.SelfInstance
                    ? await this.waitHere(search, left)
                    : await this.ask(search, coordinator, left, true);
            if (granted !== undefined || !search.request.isWanted()) {
                return granted;
            }
        }
        return undefined;
    }

    private async waitHere(search: Search, waitMilliseconds: number): Promise<GrantedSlotChoice | undefined> {
        const { service, request, candidates } = search;
        const except = this.parts.waiting.getOtherEngines(service, candidates.own);
        const outcome = await this.parts.waiting.wait({
            ...this.createShared(search, waitMilliseconds),
            service,
            from: decisions.SelfInstance,
            except,
            isWanted: request.isWanted,
        });
        if (outcome.kind === onlineWaiting.WaitOutcomeKind.Granted) {
            if (candidates.own.some(({ id }) => id === outcome.choice.id)) {
                return { ...outcome.choice, yielder: undefined, isCounted: true };
            }
            // The engine was added while the request waited.
            this.parts.returnSlot(outcome.choice.id);
            return undefined;
        }
        this.noteWait(search, outcome.expectedWaitMilliseconds);
        return undefined;
    }

    /** Asks a coordinator for a slot, and for one that becomes free within the given time. */
    private async ask(
        search: Search,
        coordinator: core.InstanceId,
        waitMilliseconds: number,
        allowsYield: boolean,
    ): Promise<GrantedSlotChoice | undefined> {
        const usable = search.candidates.byCoordinator.get(coordinator) ?? new Set();
        const shared = this.createShared(search, waitMilliseconds);
        const reply = await this.parts.ask(coordinator, search.service, usable, { allowsYield, shared });
        if (reply === undefined) {
            return undefined;
        }
        const { upstream, waiting, expectedWaitMilliseconds } = reply;
        if (upstream === undefined) {
            if (expectedWaitMilliseconds !== undefined) {
                this.fullAt.set(coordinator, this.parts.clock.now());
                this.noteWait(search, expectedWaitMilliseconds);
                if (waitMilliseconds === 0) {
                    search.offers.push({ coordinator, expectedWaitMilliseconds });
                }
            }
            else if (!allowsYield && reply.free > 0) {
                search.yieldable.set(coordinator, reply.free);
            }
            return undefined;
        }
        if (!usable.has(upstream)) {
            // The coordinator knows an engine that is not known here yet, or that has been removed here.
            this.parts.returnSlot(upstream);
            return undefined;
        }
        const choice = { id: upstream, waiting, yielder: undefined, isCounted: waiting === 0 };
        if (waiting === 0) {
            return choice;
        }
        if (waiting < (search.queued?.waiting ?? Infinity)) {
            search.queued = choice;
        }
        return undefined;
    }

    /** Ends a search that found no slot: in an engine's queue only if no coordinator orders its requests. */
    private end(search: Search): OnlineOutcome {
        const { service, request, candidates, queued, shortestWait } = search;
        if (queued !== undefined) {
            return choose(queued);
        }
        if (shortestWait !== undefined && request.isRefusable) {
            return { kind: OnlineOutcomeKind.Refused, expectedWaitMilliseconds: shortestWait };
        }
        const local = this.tryChooseUnreachable(search) ?? this.parts.tryChooseLocally(service, candidates.all);
        return local === undefined ? { kind: OnlineOutcomeKind.None } : choose({ ...local, isCounted: false });
    }

    private tryChooseUnreachable({ service, candidates }: Search): GrantedSlotChoice | undefined {
        const linked = new Set([...candidates.byCoordinator.values()].flatMap(ids => [...ids]));
        const own = new Set(candidates.own.map(({ id }) => id));
        const unreachable = candidates.all.filter(({ id }) => !linked.has(id) && !own.has(id));
        const choice = this.parts.tryChooseLocally(service, unreachable);
        return choice === undefined ? undefined : { ...choice, isCounted: false };
    }

    private noteWait(search: Search, expectedWaitMilliseconds: number): void {
        search.shortestWait = Math.min(search.shortestWait ?? Infinity, expectedWaitMilliseconds);
    }

    private createShared({ request, startedAt }: Search, waitMilliseconds: number): onlineWaiting.SharedRequest {
        const { share, weight, priority } = request;
        const remainingMilliseconds = request.remainingMilliseconds - (this.parts.clock.now() - startedAt);
        return { share, weight, priority, remainingMilliseconds, waitMilliseconds };
    }
}

function choose(choice: GrantedSlotChoice): OnlineOutcome {
    return { kind: OnlineOutcomeKind.Chosen, choice };
}

/** The fields of a message that state a request's share. Usual values are omitted. */
export function createShareFields(request: onlineWaiting.SharedRequest): Partial<protocol.SlotRequest> {
    const { share, weight, priority, remainingMilliseconds, waitMilliseconds } = request;
    return {
        customer: share,
        ...(weight === 1 ? {} : { weight }),
        ...(priority === 0 ? {} : { priority }),
        remainingMilliseconds: Math.round(remainingMilliseconds),
        ...(waitMilliseconds < 1 ? {} : { waitMilliseconds: Math.floor(waitMilliseconds) }),
    };
}

export function readShareFields(message: protocol.SlotRequest): onlineWaiting.SharedRequest {
    return {
        share: message.customer ?? "",
        weight: message.weight ?? 1,
        priority: message.priority ?? 0,
        remainingMilliseconds: message.remainingMilliseconds ?? 0,
        waitMilliseconds: message.waitMilliseconds ?? 0,
    };
}
