import type * as core from "@boragedale/core";
import * as decisions from "@boragedale/decisions";
import * as batchSlotGranting from "./batchSlotGranting.js";
import type * as channelDirectory from "./channelDirectory.js";
import * as crashWatch from "./crashWatch.js";
import type * as fleetView from "./fleetView.js";
import * as gatewayLog from "./gatewayLog.js";
import * as itemEstimates from "./itemEstimates.js";
import * as itemOrigins from "./itemOrigins.js";
import * as itemRun from "./itemRun.js";
import * as ownedSubmission from "./ownedSubmission.js";
import * as routeTable from "./routeTable.js";
import * as silenceTimers from "./silenceTimer.js";
import type * as slotSharing from "./slotSharing.js";
import * as types from "./types.js";
import type * as upstreamRestarts from "./upstreamRestarts.js";
import type * as wire from "./wire.js";

/** Dependencies of `ItemScheduler`. */
export interface SchedulerParts {
    readonly wire: wire.CallerWire;
    readonly view: fleetView.FleetView;
    readonly channels: channelDirectory.Channels;
    readonly slots: slotSharing.SlotSharing;
    readonly crashWatch: crashWatch.CrashWatch;
    readonly restarts: upstreamRestarts.UpstreamRestarts;
    readonly clock: core.Clock;
    readonly log: gatewayLog.GatewayLog;
    readonly dataCentre: core.DataCentre;
}

/** Silence after which a run is stopped. Engines send an event every 30 ms, but the first one may wait for a whole stream. */
const SilenceTimeoutMilliseconds = 1_500;
/** Upper bound of the silence after which a run is stopped. It doubles with each silent run of the item: all engines may be slow. */
const MaximumSilenceTimeoutMilliseconds = 6_000;
/** Pause before an item whose run was lost is run again. It doubles with each run in a row that breaks off without an event. */
const RetryPauseMilliseconds = 100;
/**
 * Upper bound of the pause, so that an item that crashes each engine takes down few. The item stays owed, and runs again soon after
 * crashes of another cause have ended.
 */
const MaximumRetryPauseMilliseconds = 2_000;
/**
 * Maximum added to the pause, differently for each item, if the run had no event. Items of a submission that crash engines would
 * otherwise take down several at the same moment again and again, like a cause that has nothing to do with them.
 */
const RetrySpreadMilliseconds = 300;
/** Interval at which a quarantined item is checked for the end of its quarantine, and for a trial that it may be. */
const QuarantineCheckMilliseconds = 500;
/** Time for which an upstream that rejected an item as full is avoided. */
const FullPenaltyMilliseconds = 80;
/** Time for which an unreachable upstream is avoided. */
const UnreachablePenaltyMilliseconds = 1_000;
/** Time for which an upstream is avoided after its coordinator denied a slot: until updated slot counts have arrived. */
const DeniedPenaltyMilliseconds = 40;
/**
 * Delay that combines several dispatches into one. During a burst, peers report slot changes every few milliseconds, and examining
 * all waiting items each time takes most of the processor time of a loaded instance. Items run for seconds, so the delay is
 * negligible.
 */
const DispatchDelayMilliseconds = 8;
/**
 * The same where batch work follows the online demand: items wait for the demand to fall although slots are free, and
 * all of them are examined at each dispatch.
 */
const DemandDispatchDelayMilliseconds = 25;
const ExpiryCheckIntervalMilliseconds = 500;
/** Interval at which waiting items are dispatched even if no peer reported a free slot. */
const DispatchIntervalMilliseconds = 60;
/** Added to the time after which items are given up, since the caller measures it from when it first sent the submission. */
const ExpirySlackMilliseconds = 1_500;
/**
 * Time for which an item with events waits for an upstream of the software version that sent them. It starts over
 * anywhere after this time: an item takes five to ten seconds, and is due 18 seconds after its submission.
 */
const VersionWaitMilliseconds = 2_000;
/** Time for which items avoid an upstream that has restarted and hasn't changed its entry yet. */
const RestartedPenaltyMilliseconds = 1_000;
/** Time for which the items of a submission without a route are kept, in case a newer configuration restores the route. */
const MissingRouteGraceMilliseconds = 4_000;

/** The route and service of an item in the current configuration. */
interface ItemDestination {
    readonly route: types.Route;
    readonly service: string;
}

interface ItemWithOutlook {
    readonly owned: ownedSubmission.OwnedItem;
    readonly outlook: decisions.ItemEstimate;
}

/** Runs the items of the submissions that this member owns, in slots that online requests don't use. */
export class ItemScheduler {
    private readonly submissions = new Set<ownedSubmission.OwnedSubmission>();
    private readonly running = new Map<
        ownedSubmission.OwnedItem,
        { upstream: core.UpstreamId; run: itemRun.ItemRun }
    >();
    private readonly routeMissingSince = new Map<ownedSubmission.OwnedSubmission, core.MonotonicMilliseconds>();
    private cancelNextDispatch: (() => void) | undefined;
    private cancelDispatch: (() => void) | undefined;
    private nextExpiryCheck: core.MonotonicMilliseconds = -Infinity;
    /** Number of unanswered slot requests, by upstream. */
    private readonly pendingSlotRequests = new Map<core.UpstreamId, number>();
    private readonly deniedUntil = new Map<core.UpstreamId, core.MonotonicMilliseconds>();
    /** How crashes recognise the items, computed on first use. */
    private readonly prompts = new WeakMap<types.BatchItem, decisions.PromptRequest>();
    /** Items that wait or have waited because they were quarantined. */
    private readonly held = new WeakSet<ownedSubmission.OwnedItem>();
    private readonly estimates: itemEstimates.ItemEstimates;
    private isStopped = false;

    constructor(private readonly parts: SchedulerParts) {
        this.estimates = new itemEstimates.ItemEstimates(parts.view, parts.clock);
    }

    add(submission: ownedSubmission.OwnedSubmission): void {
        this.submissions.add(submission);
        this.dispatch();
    }

    /** Stops the submission's items, because it has ended or another member owns it. */
    remove(submission: ownedSubmission.OwnedSubmission): void {
        this.submissions.delete(submission);
        this.routeMissingSince.delete(submission);
        for (const owned of submission.items) {
            this.running
                .get(owned)
                ?.run.stop(itemRun.ItemOutcomeKind.Stopped, "its submission has ended or has another owner");
        }
    }

    /** Starts no more items. Running items continue until their submission is removed. */
    stop(): void {
        this.isStopped = true;
    }

    /** Stops the least urgent item on the upstream, to free its slot for an online request. */
    yieldSlot(upstream: core.UpstreamId): void {
        const compare = this.parts.slots.reserve.isActive()
            ? decisions.compareYielding
            : (left: decisions.ItemEstimate, right: decisions.ItemEstimate): number =>
                  decisions.compareItems(right, left);
        const chosen = this.getRunning(upstream).sort((left, right) => compare(left.outlook, right.outlook))[0];
        if (chosen !== undefined) {
            this.parts.log.recordEvent(gatewayLog.GatewayEvent.ItemYielded, {
                item: chosen.owned.item.id,
                upstream,
                slackMilliseconds: decisions.getReportedSlack(chosen.outlook),
            });
            chosen.run.stop(itemRun.ItemOutcomeKind.Stopped, "its slot was needed for an online request");
        }
    }

    /** The slack of the item that would yield its slot on the upstream; undefined if no item runs there. */
    tryGetSlack(upstream: core.UpstreamId): number | undefined {
        const outlooks = this.getRunning(upstream).map(({ outlook }) => outlook);
        const first = outlooks.sort(decisions.compareYielding)[0];
        return first === undefined ? undefined : decisions.getReportedSlack(first);
    }

    /** The most urgent item that waits for a slot of the service. */
    tryGetMostUrgent(service: string): decisions.ItemEstimate | undefined {
        const waiting = this.isStopped ? [] : this.getWaiting(this.parts.clock.now());
        return waiting.find(({ owned }) => this.tryFindDestination(owned)?.service === service)?.outlook;
    }

    private getRunning(upstream: core.UpstreamId): (ItemWithOutlook & { readonly run: itemRun.ItemRun })[] {
        const getOutlook = this.estimates.createEstimator();
        return [...this.running]
            .filter(([, entry]) => entry.upstream === upstream)
            .map(([owned, { run }]) => ({ owned, outlook: getOutlook(owned), run }));
    }

    /** Schedules a search for free slots. Calls within the dispatch delay are combined. */
    dispatch(): void {
        if (this.cancelDispatch !== undefined || this.isStopped || this.submissions.size === 0) {
            return;
        }
        const isDemandFollowed = this.parts.slots.reserve.isActive();
        const delay = isDemandFollowed ? DemandDispatchDelayMilliseconds : DispatchDelayMilliseconds;
        this.cancelDispatch = this.parts.clock.schedule(delay, () => {
            this.cancelDispatch = undefined;
            this.startWaiting();
        });
    }

    /** Starts waiting items, most urgent first, until there are no free slots. */
    private startWaiting(): void {
        const now = this.parts.clock.now();
        if (now >= this.nextExpiryCheck) {
            this.nextExpiryCheck = now + ExpiryCheckIntervalMilliseconds;
            this.giveUpExpired();
        }
        const waiting = this.getWaiting(now);
        if (this.parts.slots.reserve.isActive()) {
            // Another item may start where the first one must leave slots free for the next peak.
            this.requestRemoteSlots(this.startAllowed(waiting, now));
            this.parts.slots.servePeers();
        }
        else {
            this.requestRemoteSlots(this.startInOrder(waiting, now));
        }
        this.scheduleNextDispatch();
    }

    /**
     * Starts the items of each service until one finds no free slot, and returns the others. An item that waits for
     * upstreams of its software version doesn't hold up those behind it.
     */
    private startInOrder(waiting: readonly ItemWithOutlook[], now: core.MonotonicMilliseconds): ItemWithOutlook[] {
        const exhausted = new Set<string>();
        const findDestination = this.createDestinationFinder();
        return waiting.filter(item => {
            const destination = findDestination(item.owned);
            if (destination === undefined) {
                return false;
            }
            if (exhausted.has(destination.service)) {
                return true;
            }
            const usable = this.getUsable(destination.service, now);
            const isStarted = this.tryStartOn(item, destination, usable, now);
            if (!isStarted && !this.isVersionBound(item.owned, usable, now)) {
                exhausted.add(destination.service);
            }
            return !isStarted;
        });
    }

    /**
     * Starts the items that the reserve allows to start, and returns the others. The usable upstreams are determined only
     * once per service, since hundreds of items may wait, and a service without a slot for any item isn't tried again.
     */
    private startAllowed(waiting: readonly ItemWithOutlook[], now: core.MonotonicMilliseconds): ItemWithOutlook[] {
        const { reserve } = this.parts.slots;
        const usableByService = new Map<string, readonly types.UpstreamEntry[]>();
        const exhausted = new Set<string>();
        const findDestination = this.createDestinationFinder();
        return waiting.filter(item => {
            const destination = findDestination(item.owned);
            if (destination === undefined) {
                return false;
            }
            const { service } = destination;
            if (exhausted.has(service)) {
                return true;
            }
            const usable = usableByService.get(service) ?? this.getUsable(service, now);
            usableByService.set(service, usable);
            const isStarted = this.tryStartOn(item, destination, usable, now);
            if (!isStarted && this.isVersionBound(item.owned, usable, now)) {
                return true;
            }
            if (!isStarted && !(this.parts.slots.requiresGrant(service) && reserve.hasFreeSlot(usable))) {
                exhausted.add(service);
            }
            return !isStarted;
        });
    }

    /** In a large fleet, requests slots on engines that other members coordinate. */
    private requestRemoteSlots(waiting: readonly ItemWithOutlook[]): void {
        const outlooksByService = new Map<string, decisions.ItemEstimate[]>();
        const findDestination = this.createDestinationFinder();
        for (const { owned, outlook } of waiting) {
            const service = findDestination(owned)?.service;
            if (service !== undefined && this.parts.slots.requiresGrant(service)) {
                const outlooks = outlooksByService.get(service) ?? [];
                outlooksByService.set(service, outlooks);
                outlooks.push(outlook);
            }
        }
        for (const [service, outlooks] of outlooksByService) {
            const use = (upstream: core.UpstreamId): boolean => this.startOnRemoteSlot(service, upstream);
            this.parts.slots.requestBatchSlots(service, outlooks.length, use, outlooks);
        }
    }

    /** Starts the most urgent waiting item on a granted slot. The item for which the slot was requested may have ended. */
    private startOnRemoteSlot(service: string, id: core.UpstreamId): boolean {
        const now = this.parts.clock.now();
        // The coordinator may not know yet that the upstream is no longer usable.
        const upstream = this.parts.view.getUsable(service, now).find(known => known.entry.id === id)?.entry;
        if (upstream === undefined || this.isStopped) {
            return false;
        }
        for (const { owned } of this.getWaiting(now)) {
            const destination = this.tryFindDestination(owned);
            const mayRun = itemOrigins.isOriginOf(owned, upstream) || !this.isVersionBound(owned, [upstream], now);
            if (destination?.service === service && mayRun && !this.holdIfQuarantined(owned, now)) {
                void this.run(owned, upstream, destination.route, true);
                return true;
            }
        }
        return false;
    }

    /** Looks up the item's route and service in the current configuration. */
    private tryFindDestination(owned: ownedSubmission.OwnedItem): ItemDestination | undefined {
        return this.createDestinationFinder()(owned);
    }

    /** Like `tryFindDestination`, for many items: looks up the route of each submission once. */
    private createDestinationFinder(): (owned: ownedSubmission.OwnedItem) => ItemDestination | undefined {
        const routes = this.parts.view.getRoutes();
        const routeBySubmission = new Map<ownedSubmission.OwnedSubmission, types.Route | undefined>();
        return owned => {
            if (!routeBySubmission.has(owned.submission)) {
                const head = owned.submission.getHead();
                routeBySubmission.set(owned.submission, routes?.tryFind(head.host, head.target));
            }
            const route = routeBySubmission.get(owned.submission);
            const service = route === undefined ? undefined : routeTable.chooseService(route, owned.item.id);
            return route === undefined || service === undefined ? undefined : { route, service };
        };
    }

    private getWaiting(now: core.MonotonicMilliseconds): ItemWithOutlook[] {
        const waiting: ownedSubmission.OwnedItem[] = [];
        for (const submission of this.submissions) {
            if (submission.isActive()) {
                waiting.push(
                    ...submission.items.filter(
                        owned => owned.state === ownedSubmission.ItemState.Waiting && owned.notBefore <= now,
                    ),
                );
            }
        }
        const getOutlook = this.estimates.createEstimator();
        return waiting
            .map(owned => ({ owned, outlook: getOutlook(owned) }))
            .sort((left, right) => decisions.compareItems(left.outlook, right.outlook));
    }

    private getPrompt(item: types.BatchItem): decisions.PromptRequest {
        let prompt = this.prompts.get(item);
        if (prompt === undefined) {
            const head = this.parts.wire.readRequest(item.headers.flat());
            const fingerprint = crashWatch.createFingerprint(item.target, item.body);
            prompt = { id: item.id, fingerprint, parts: crashWatch.getSharedParts(head), isOwed: true };
            this.prompts.set(item, prompt);
        }
        return prompt;
    }

    /** If the item crashes upstreams, keeps it waiting until it is checked again. Returns whether it does. */
    private holdIfQuarantined(owned: ownedSubmission.OwnedItem, now: core.MonotonicMilliseconds): boolean {
        const { crashWatch: watch, log } = this.parts;
        if (!watch.isQuarantined(() => this.getPrompt(owned.item))) {
            return false;
        }
        if (!this.held.has(owned)) {
            this.held.add(owned);
            const fields = { submission: owned.submission.getId(), item: owned.item.id };
            log.recordEvent(gatewayLog.GatewayEvent.ItemHeld, fields);
        }
        owned.notBefore = now + QuarantineCheckMilliseconds;
        void this.tryBeginTrial(owned);
        return true;
    }

    /** Starts a held item as a trial of its quarantine, if one may be sent now. */
    private async tryBeginTrial(owned: ownedSubmission.OwnedItem): Promise<void> {
        const isGranted = await this.parts.crashWatch.tryBeginTrial(this.getPrompt(owned.item));
        if (isGranted && owned.state === ownedSubmission.ItemState.Waiting) {
            owned.notBefore = this.parts.clock.now();
            this.dispatch();
        }
    }

    /** The upstreams of the service on which this member may start items. */
    private getUsable(service: string, now: core.MonotonicMilliseconds): readonly types.UpstreamEntry[] {
        const isLending = this.parts.slots.requiresGrant(service);
        return this.parts.view
            .getUsable(service, now)
            .map(upstream => upstream.entry)
            .filter(entry => !isLending || this.parts.slots.isOwnEngine(entry.id));
    }

    /**
     * Whether the item must wait for an upstream of the software version that sent its events, and leaves out some of the usable ones
     * until then. If there is none, or none has had a free slot for a while, the item starts over.
     */
    private isVersionBound(
        owned: ownedSubmission.OwnedItem,
        usable: readonly types.UpstreamEntry[],
        now: core.MonotonicMilliseconds,
    ): boolean {
        const [service] = owned.origin ?? [];
        const hasWaited = now - owned.waitingSince >= VersionWaitMilliseconds;
        if (service === undefined || owned.texts.length === 0 || hasWaited) {
            return false;
        }
        // With one version, which is usual, the upstreams of the whole service need not be looked through for each waiting item.
        if (usable.every(entry => itemOrigins.isOriginOf(owned, entry))) {
            return false;
        }
        return this.parts.view.getUsable(service, now).some(({ entry }) => itemOrigins.isOriginOf(owned, entry));
    }

    private tryStartOn(
        { owned, outlook }: ItemWithOutlook,
        { route, service }: ItemDestination,
        usable: readonly types.UpstreamEntry[],
        now: core.MonotonicMilliseconds,
    ): boolean {
        if (this.holdIfQuarantined(owned, now)) {
            return true;
        }
        const { slots } = this.parts;
        const isLending = slots.requiresGrant(service);
        const followsDemand = isLending && slots.reserve.isActive();
        const fitting = this.isVersionBound(owned, usable, now)
            ? usable.filter(entry => itemOrigins.isOriginOf(owned, entry))
            : usable;
        const allowed = followsDemand ? slots.reserve.filterStarts(service, fitting, outlook) : fitting;
        if (allowed.length === 0) {
            return false;
        }
        const candidates = allowed
            .filter(entry => (this.deniedUntil.get(entry.id) ?? 0) <= now)
            .map(entry => ({
                ...entry,
                slots: entry.slots - (this.pendingSlotRequests.get(entry.id) ?? 0),
                hasIdleConnection: this.parts.channels.hasIdleConnection(entry),
            }));
        const chosen = slots.slotTable.tryChooseBatch(
            this.preferInTime(outlook, slots.annotate(service, candidates), now),
            batchSlotGranting.ReservedSlots,
            this.parts.dataCentre,
            now,
        );
        const upstream = chosen === undefined ? undefined : this.parts.view.tryGetUpstream(chosen);
        if (upstream === undefined) {
            return false;
        }
        if (isLending) {
            // This member coordinates the upstream, so its slot table is exact.
            void this.run(owned, upstream, route, false);
            return true;
        }
        void this.requestSlotAndRun(owned, upstream, route);
        return true;
    }

    /** Leaves out engines that are so slow that the item would end late there, if any other has a free slot. */
    private preferInTime(
        outlook: decisions.ItemEstimate,
        candidates: readonly decisions.SlotCandidate[],
        now: core.MonotonicMilliseconds,
    ): readonly decisions.SlotCandidate[] {
        if (!candidates.some(candidate => (candidate.relativeSpeed ?? 1) < 1)) {
            return candidates;
        }
        const inTime = candidates.filter(
            candidate => outlook.remainingMilliseconds / (candidate.relativeSpeed ?? 1) <= outlook.dueInMilliseconds,
        );
        const { slotTable } = this.parts.slots;
        const found = slotTable.tryChooseBatch(inTime, batchSlotGranting.ReservedSlots, this.parts.dataCentre, now);
        return found === undefined ? candidates : inTime;
    }

    /** Asks the coordinator for the slot. Until it replies, the slot counts as taken, so that the next item tries another one. */
    private async requestSlotAndRun(
        owned: ownedSubmission.OwnedItem,
        upstream: types.UpstreamEntry,
        route: types.Route,
    ): Promise<void> {
        owned.state = ownedSubmission.ItemState.Running;
        this.pendingSlotRequests.set(upstream.id, (this.pendingSlotRequests.get(upstream.id) ?? 0) + 1);
        const isGranted = await this.parts.slots.mayStartBatch(upstream, batchSlotGranting.ReservedSlots);
        this.pendingSlotRequests.set(upstream.id, (this.pendingSlotRequests.get(upstream.id) ?? 1) - 1);
        if (owned.state !== ownedSubmission.ItemState.Running) {
            return;
        }
        if (!isGranted || !owned.submission.isActive() || this.isStopped || !this.submissions.has(owned.submission)) {
            owned.state = ownedSubmission.ItemState.Waiting;
            if (!isGranted) {
                this.deniedUntil.set(upstream.id, this.parts.clock.now() + DeniedPenaltyMilliseconds);
            }
            return;
        }
        await this.run(owned, upstream, route, false);
    }

    private async run(
        owned: ownedSubmission.OwnedItem,
        upstream: types.UpstreamEntry,
        route: types.Route,
        isCounted: boolean,
    ): Promise<void> {
        owned.state = ownedSubmission.ItemState.Running;
        this.parts.slots.take(upstream.id, true, isCounted);
        if (owned.texts.length > 0 && !(await this.mayGoOnAt(owned, upstream))) {
            this.parts.slots.release(upstream.id, true);
            return;
        }
        const droppedEvents = itemOrigins.prepareProgress(owned, upstream);
        this.parts.log.recordEvent(gatewayLog.GatewayEvent.ItemStarted, {
            item: owned.item.id,
            upstream: upstream.id,
            version: upstream.softwareVersion,
            events: owned.texts.length,
            droppedEvents,
            ...this.parts.slots.slotTable.getTotal(upstream.id),
        });
        const silenceLimit = getSilenceLimit(owned);
        const silenceTimer = new silenceTimers.SilenceTimer(this.parts.clock, () => {
            owned.silentRuns++;
            run.stop(itemRun.ItemOutcomeKind.Silent, `silent for ${silenceLimit} ms`);
        });
        const restartSilenceTimer = (): void => silenceTimer.restart(silenceLimit);
        const meter = this.parts.slots.speeds?.startStream(upstream.id, upstream.service);
        const prompt = this.getPrompt(owned.item);
        let events = 0;
        const run = new itemRun.ItemRun(owned, this.parts.wire, restartSilenceTimer, newEvents => {
            meter?.onEvents(newEvents, this.parts.clock.now());
            if (owned.texts.length === newEvents) {
                this.noteBeginning(owned, upstream);
            }
            events += newEvents;
            owned.brokenRuns = 0;
            if (events >= crashWatch.BeginningEvents && events - newEvents < crashWatch.BeginningEvents) {
                this.parts.crashWatch.onAnswered(upstream, prompt);
                // An item that is past its beginning runs for seconds, in which its engine may crash for other reasons.
                this.parts.crashWatch.onFinished(upstream, prompt);
            }
        });
        this.running.set(owned, { upstream: upstream.id, run });
        const { host, customer } = owned.submission.getHead();
        const headers = this.parts.wire.createItemHeaders(owned.item, host, {
            upstream: upstream.id,
            remainingMilliseconds: undefined,
            customer,
            passesCredentials: this.parts.view.forwardsCredentials(customer),
            lastEventId: owned.lastEventId === undefined ? undefined : String(owned.lastEventId),
        });
        const request = {
            attemptId: owned.item.id,
            method: "POST",
            target: owned.item.target,
            headers,
            body: Buffer.from(owned.item.body),
        };
        const startedAt = this.parts.clock.now();
        this.parts.crashWatch.onSent(upstream, prompt);
        const eventsBefore = owned.texts.length;
        run.attach(this.parts.channels.get(upstream).start(request, run));
        restartSilenceTimer();
        const outcome = await run.outcome;
        silenceTimer.stop();
        this.running.delete(owned);
        await this.reportToCrashWatch(prompt, upstream, outcome);
        if (outcome.kind === itemRun.ItemOutcomeKind.Completed) {
            const allEvents = owned.texts.length;
            // Converted to an engine of usual speed.
            const speed = this.parts.slots.speeds?.getRelativeSpeed(upstream.service, upstream.id) ?? 1;
            const milliseconds = (this.parts.clock.now() - startedAt) * speed;
            this.estimates.recordLength(route, allEvents, allEvents - eventsBefore, milliseconds);
        }
        this.handleOutcome(owned, upstream, route, outcome, run.getFraming());
        this.parts.slots.release(upstream.id, true);
    }

    /**
     * Whether an item with events, for which a slot has been taken, still goes on there. It must not at an upstream that has
     * restarted and still has its old entry, since that may have another software version now.
     */
    private async mayGoOnAt(owned: ownedSubmission.OwnedItem, upstream: types.UpstreamEntry): Promise<boolean> {
        const hasRestarted = await this.parts.restarts.hasRestarted(upstream);
        if (owned.state !== ownedSubmission.ItemState.Running) {
            return false;
        }
        const isWanted = owned.submission.isActive() && this.submissions.has(owned.submission) && !this.isStopped;
        if (hasRestarted || !isWanted) {
            owned.state = ownedSubmission.ItemState.Waiting;
        }
        if (hasRestarted) {
            const until = this.parts.clock.now() + RestartedPenaltyMilliseconds;
            this.deniedUntil.set(upstream.id, until);
            owned.notBefore = this.parts.clock.now() + RetryPauseMilliseconds;
        }
        return isWanted && !hasRestarted;
    }

    /** Corrects the item's origin if its upstream turns out to have restarted before its first event. */
    private noteBeginning(owned: ownedSubmission.OwnedItem, upstream: types.UpstreamEntry): void {
        const { origin } = owned;
        this.parts.restarts.noteBeginning(owned.item.id, upstream, softwareVersion => {
            if (owned.origin === origin) {
                owned.origin = [upstream.service, softwareVersion];
            }
        });
    }

    private async reportToCrashWatch(
        prompt: decisions.PromptRequest,
        upstream: types.UpstreamEntry,
        outcome: itemRun.ItemOutcome,
    ): Promise<void> {
        const { crashWatch: watch } = this.parts;
        switch (outcome.kind) {
            case itemRun.ItemOutcomeKind.Lost:
                await watch.onBroken(upstream, prompt);
                break;
            case itemRun.ItemOutcomeKind.Completed:
                watch.onAnswered(upstream, prompt);
                watch.onFinished(upstream, prompt);
                break;
            case itemRun.ItemOutcomeKind.Failed:
            case itemRun.ItemOutcomeKind.Impossible:
                watch.onFinished(upstream, prompt);
                break;
            case itemRun.ItemOutcomeKind.Silent:
            case itemRun.ItemOutcomeKind.NotRun:
            case itemRun.ItemOutcomeKind.Misdirected:
            case itemRun.ItemOutcomeKind.NotSent:
            case itemRun.ItemOutcomeKind.Stopped:
                break;
        }
        watch.onEnded(upstream, prompt);
    }

    private handleOutcome(
        owned: ownedSubmission.OwnedItem,
        upstream: types.UpstreamEntry,
        route: types.Route,
        outcome: itemRun.ItemOutcome,
        framing: core.BodyFraming | undefined,
    ): void {
        const now = this.parts.clock.now();
        const kinds = itemRun.ItemOutcomeKind;
        if (owned.state === ownedSubmission.ItemState.Finished) {
            return;
        }
        owned.state = ownedSubmission.ItemState.Waiting;
        owned.waitingSince = now;
        switch (outcome.kind) {
            case kinds.Completed:
                this.parts.log.recordEvent(gatewayLog.GatewayEvent.ItemCompleted, {
                    item: owned.item.id,
                    upstream: upstream.id,
                    version: upstream.softwareVersion,
                    framing,
                    events: owned.texts.length,
                });
                owned.submission.finish(owned, types.ResultState.Completed);
                return;
            case kinds.Impossible:
                this.giveUp(owned, outcome.text);
                owned.submission.noteFailure();
                return;
            case kinds.Failed:
                owned.failures++;
                owned.submission.noteFailure();
                if (owned.failures >= route.attempts) {
                    this.giveUp(owned, `${owned.failures} failed attempts`);
                    return;
                }
                break;
            case kinds.NotRun:
                this.parts.slots.slotTable.penalize(upstream.id, now + FullPenaltyMilliseconds);
                break;
            case kinds.NotSent:
            case kinds.Misdirected:
                this.parts.slots.slotTable.penalize(upstream.id, now + UnreachablePenaltyMilliseconds);
                break;
            case kinds.Lost:
                owned.notBefore = now + getRetryPause(owned) + getRetrySpread(owned);
                owned.brokenRuns++;
                break;
            case kinds.Silent:
                owned.notBefore = now + RetryPauseMilliseconds + getRetrySpread(owned);
                break;
            case kinds.Stopped:
                return;
        }
        this.parts.log.recordEvent(gatewayLog.GatewayEvent.ItemRetried, {
            submission: owned.submission.getId(),
            item: owned.item.id,
            upstream: upstream.id,
            version: upstream.softwareVersion,
            outcome: outcome.kind,
            text: outcome.text,
            framing,
            events: owned.texts.length,
        });
    }

    private giveUp(owned: ownedSubmission.OwnedItem, reason: string): void {
        this.parts.log.recordEvent(gatewayLog.GatewayEvent.ItemGivenUp, {
            submission: owned.submission.getId(),
            item: owned.item.id,
            reason,
        });
        owned.submission.finish(owned, types.ResultState.GivenUp);
    }

    /** Gives up items that have expired or whose route no longer exists. */
    private giveUpExpired(): void {
        const now = this.parts.clock.now();
        const wallNow = this.parts.clock.wallNow();
        const routes = this.parts.view.getRoutes();
        for (const submission of this.submissions) {
            if (!submission.isActive() || routes === undefined) {
                continue;
            }
            const head = submission.getHead();
            const route = routes.tryFind(head.host, head.target);
            if (route === undefined) {
                const since = this.routeMissingSince.get(submission) ?? now;
                this.routeMissingSince.set(submission, since);
                if (now - since > MissingRouteGraceMilliseconds) {
                    this.giveUpAll(submission, "its route no longer exists");
                }
                continue;
            }
            this.routeMissingSince.delete(submission);
            if (wallNow - head.acceptedAt > route.giveUpAfterMilliseconds + ExpirySlackMilliseconds) {
                this.giveUpAll(submission, "it has expired");
            }
        }
    }

    private giveUpAll(submission: ownedSubmission.OwnedSubmission, reason: string): void {
        for (const owned of submission.items) {
            if (owned.state !== ownedSubmission.ItemState.Finished) {
                this.running.get(owned)?.run.stop(itemRun.ItemOutcomeKind.Stopped, reason);
                this.giveUp(owned, reason);
            }
        }
    }

    private scheduleNextDispatch(): void {
        if (this.cancelNextDispatch !== undefined || this.submissions.size === 0) {
            return;
        }
        this.cancelNextDispatch = this.parts.clock.schedule(DispatchIntervalMilliseconds, () => {
            this.cancelNextDispatch = undefined;
            this.dispatch();
        });
    }
}

function getRetryPause({ brokenRuns }: ownedSubmission.OwnedItem): number {
    return Math.min(MaximumRetryPauseMilliseconds, RetryPauseMilliseconds * 2 ** brokenRuns);
}

function getRetrySpread({ item, texts }: ownedSubmission.OwnedItem): number {
    return texts.length > 0 ? 0 : decisions.hashToUnit(item.id) * RetrySpreadMilliseconds;
}

function getSilenceLimit({ silentRuns }: ownedSubmission.OwnedItem): number {
    return Math.min(MaximumSilenceTimeoutMilliseconds, SilenceTimeoutMilliseconds * 2 ** silentRuns);
}
