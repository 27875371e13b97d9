import type * as core from "@boragedale/core";
import * as decisions from "@boragedale/decisions";
import type * as channelDirectory from "./channelDirectory.js";
import type * as fleetView from "./fleetView.js";
import * as gatewayLog from "./gatewayLog.js";
import * as itemRun from "./itemRun.js";
import * as ownedSubmission from "./ownedSubmission.js";
import * as routeTable from "./routeTable.js";
import * as slotLending from "./slotLending.js";
import type * as slotSharing from "./slotSharing.js";
import * as types from "./types.js";
import type * as wire from "./wire.js";

export interface SchedulerParts {
    readonly wire: wire.CallerWire;
    readonly view: fleetView.FleetView;
    readonly channels: channelDirectory.Channels;
    readonly slots: slotSharing.SlotSharing;
    readonly clock: core.Clock;
    readonly log: gatewayLog.GatewayLog;
    readonly dataCentre: core.DataCentre;
}

/** An engine sends an event each 30 ms; a queue before the first one lasts as long as a stream. */
const SilentMilliseconds = 1_500;
/** Pause of an item after an end that tells nothing of it. */
const PauseMilliseconds = 100;
/** An upstream that refused as full, or that could not be reached, is left out for this long. */
const FullPenaltyMilliseconds = 80;
const UnreachablePenaltyMilliseconds = 1_000;
/** An upstream whose home said no is left out until its next notices have come. */
const DeniedMilliseconds = 40;
/**
 * Notices of peers come every few milliseconds at a burst; looking through all waiting items at each was most of the
 * processor time of a loaded instance. An item runs for seconds.
 */
const DispatchDelayMilliseconds = 8;
const ExpiryLookMilliseconds = 500;
/** Items wait for room at most this long before it is looked for again, in case no notice told of it. */
const LookMilliseconds = 60;
/** An item that may be given up is kept this much longer, since the caller counts from its own first send. */
const KeepSlackMilliseconds = 1_500;
/** A submission whose route vanished is kept for this long, in case a newer configuration brings it back. */
const RouteGoneMilliseconds = 4_000;

interface ItemPlan {
    readonly route: types.Route;
    readonly service: string;
}

/** Runs the items of the submissions that this member owns, in the places that online work leaves. */
export class ItemScheduler {
    private readonly submissions = new Set<ownedSubmission.OwnedSubmission>();
    private readonly running = new Map<
        ownedSubmission.OwnedItem,
        { upstream: core.UpstreamId; run: itemRun.ItemRun }
    >();
    private readonly routeMissingSince = new Map<ownedSubmission.OwnedSubmission, core.MonotonicMilliseconds>();
    private stopLook: (() => void) | undefined;
    private stopDispatch: (() => void) | undefined;
    private nextExpiryLook: core.MonotonicMilliseconds = -Infinity;
    private readonly asking = new Map<core.UpstreamId, number>();
    private readonly deniedUntil = new Map<core.UpstreamId, core.MonotonicMilliseconds>();
    /** How long items run, by the name of their route. */
    private readonly lengths = new Map<string, decisions.ItemLength>();
    private isStopped = false;

    constructor(private readonly parts: SchedulerParts) {}

    add(submission: ownedSubmission.OwnedSubmission): void {
        this.submissions.add(submission);
        this.dispatch();
    }

    /** Stops the submission's items; used when it has ended or is somebody else's. */
    remove(submission: ownedSubmission.OwnedSubmission): void {
        this.submissions.delete(submission);
        this.routeMissingSince.delete(submission);
        for (const owned of submission.items) {
            this.running.get(owned)?.run.stop(itemRun.ItemOutcomeKind.Stopped, "its submission is over here");
        }
    }

    /** Starts no more items; those that run go on until they are removed. */
    stop(): void {
        this.isStopped = true;
    }

    /** Gives a place on the upstream up for online work: the item that would have got its place last. */
    yieldPlace(upstream: core.UpstreamId): void {
        const getOutlook = this.createOutlooks();
        let chosen: { owned: ownedSubmission.OwnedItem; run: itemRun.ItemRun } | undefined;
        for (const [owned, entry] of this.running) {
            const isLater =
                chosen === undefined || decisions.compareItems(getOutlook(owned), getOutlook(chosen.owned)) > 0;
            if (entry.upstream === upstream && isLater) {
                chosen = { owned, run: entry.run };
            }
        }
        if (chosen !== undefined) {
            this.parts.log.note(gatewayLog.GatewayEvent.ItemYielded, { item: chosen.owned.item.id, upstream });
            chosen.run.stop(itemRun.ItemOutcomeKind.Stopped, "its place went to online work");
        }
    }

    /** Something may have come free: items are started soon, once for all that came free together. */
    dispatch(): void {
        if (this.stopDispatch !== undefined || this.isStopped || this.submissions.size === 0) {
            return;
        }
        this.stopDispatch = this.parts.clock.schedule(DispatchDelayMilliseconds, () => {
            this.stopDispatch = undefined;
            this.startWaiting();
        });
    }

    /** Starts as many items as there are places for, earliest due first. */
    private startWaiting(): void {
        const now = this.parts.clock.now();
        if (now >= this.nextExpiryLook) {
            this.nextExpiryLook = now + ExpiryLookMilliseconds;
            this.giveUpExpired();
        }
        const waiting = this.getWaiting(now);
        const stuck = waiting.findIndex(owned => !this.tryStart(owned, now));
        if (stuck >= 0) {
            this.borrow(waiting.slice(stuck));
        }
        this.scheduleLook();
    }

    /** In a large fleet the engines of other homes are used by what these lend. */
    private borrow(waiting: readonly ownedSubmission.OwnedItem[]): void {
        const service = waiting[0] === undefined ? undefined : this.tryFindPlan(waiting[0])?.service;
        if (service === undefined || !this.parts.slots.isLending(service)) {
            return;
        }
        this.parts.slots.borrowForBatch(service, waiting.length, upstream => this.startOnLent(service, upstream));
    }

    /** Starts the most urgent item that waits now; the one that asked may have ended meanwhile. */
    private startOnLent(service: string, id: core.UpstreamId): boolean {
        const now = this.parts.clock.now();
        // The home may not have heard yet that the upstream leaves.
        const upstream = this.parts.view.getUsable(service, now).find(known => known.entry.id === id)?.entry;
        if (upstream === undefined || this.isStopped) {
            return false;
        }
        for (const owned of this.getWaiting(now)) {
            const plan = this.tryFindPlan(owned);
            if (plan?.service === service) {
                void this.run(owned, upstream, plan.route, true);
                return true;
            }
        }
        return false;
    }

    /** Where an item runs, as the configuration says now. */
    private tryFindPlan(owned: ownedSubmission.OwnedItem): ItemPlan | undefined {
        const head = owned.submission.getHead();
        const route = this.parts.view.getRoutes()?.tryFind(head.host, head.target);
        const service = route === undefined ? undefined : routeTable.chooseService(route, owned.item.id);
        return route === undefined || service === undefined ? undefined : { route, service };
    }

    private getWaiting(now: core.MonotonicMilliseconds): ownedSubmission.OwnedItem[] {
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
        const getOutlook = this.createOutlooks();
        return waiting
            .map(owned => ({ owned, outlook: getOutlook(owned) }))
            .sort((left, right) => decisions.compareItems(left.outlook, right.outlook))
            .map(({ owned }) => owned);
    }

    /** What is known now of when items are due and how long they still run. */
    private createOutlooks(): (owned: ownedSubmission.OwnedItem) => decisions.ItemOutlook {
        const wallNow = this.parts.clock.wallNow();
        const routes = this.parts.view.getRoutes();
        const found = new Map<ownedSubmission.OwnedSubmission, types.Route | undefined>();
        return owned => {
            const head = owned.submission.getHead();
            if (!found.has(owned.submission)) {
                found.set(owned.submission, routes?.tryFind(head.host, head.target));
            }
            const route = found.get(owned.submission);
            const dueAt = head.acceptedAt + (route?.runTargetMilliseconds ?? 0);
            return {
                dueInMilliseconds: dueAt - wallNow,
                remainingMilliseconds: this.lengths.get(route?.name ?? "")?.estimate(owned.texts.length) ?? 0,
                eventsSoFar: owned.texts.length,
            };
        };
    }

    private recordLength(route: types.Route, events: number, runEvents: number, milliseconds: number): void {
        const length = this.lengths.get(route.name) ?? new decisions.ItemLength();
        this.lengths.set(route.name, length);
        length.record(events, runEvents, milliseconds);
    }

    private tryStart(owned: ownedSubmission.OwnedItem, now: core.MonotonicMilliseconds): boolean {
        const plan = this.tryFindPlan(owned);
        if (plan === undefined) {
            return true;
        }
        const { route, service } = plan;
        const isLending = this.parts.slots.isLending(service);
        const candidates = this.parts.view
            .getUsable(service, now)
            .map(upstream => upstream.entry)
            .filter(entry => !isLending || this.parts.slots.isOwn(entry.id))
            .filter(entry => (this.deniedUntil.get(entry.id) ?? 0) <= now)
            .map(entry => ({
                ...entry,
                slots: entry.slots - (this.asking.get(entry.id) ?? 0),
                hasIdleConnection: this.parts.channels.hasIdleConnection(entry),
            }));
        const chosen = this.parts.slots.board.tryChooseBatch(
            candidates,
            slotLending.ReservedSlots,
            this.parts.dataCentre,
            now,
        );
        const upstream = chosen === undefined ? undefined : this.parts.view.tryGetUpstream(chosen);
        if (upstream === undefined) {
            return false;
        }
        if (isLending) {
            // This member is the home and its board is exact.
            void this.run(owned, upstream, route, false);
            return true;
        }
        void this.askAndRun(owned, upstream, route);
        return true;
    }

    /** The place is counted as taken while its home is asked, so that the next item looks elsewhere. */
    private async askAndRun(
        owned: ownedSubmission.OwnedItem,
        upstream: types.UpstreamEntry,
        route: types.Route,
    ): Promise<void> {
        owned.state = ownedSubmission.ItemState.Running;
        this.asking.set(upstream.id, (this.asking.get(upstream.id) ?? 0) + 1);
        const isGranted = await this.parts.slots.mayStartBatch(upstream, slotLending.ReservedSlots);
        this.asking.set(upstream.id, (this.asking.get(upstream.id) ?? 1) - 1);
        if (owned.state !== ownedSubmission.ItemState.Running) {
            return;
        }
        if (!isGranted || !owned.submission.isActive() || this.isStopped || !this.submissions.has(owned.submission)) {
            owned.state = ownedSubmission.ItemState.Waiting;
            if (!isGranted) {
                this.deniedUntil.set(upstream.id, this.parts.clock.now() + DeniedMilliseconds);
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
        this.parts.log.note(gatewayLog.GatewayEvent.ItemStarted, {
            item: owned.item.id,
            upstream: upstream.id,
            events: owned.texts.length,
            ...this.parts.slots.board.getTotal(upstream.id),
        });
        owned.state = ownedSubmission.ItemState.Running;
        let stopSilence = (): void => undefined;
        const watchSilence = (): void => {
            stopSilence();
            stopSilence = this.parts.clock.schedule(SilentMilliseconds, () =>
                run.stop(itemRun.ItemOutcomeKind.Lost, `silent for ${SilentMilliseconds} ms`),
            );
        };
        const run = new itemRun.ItemRun(owned, this.parts.wire, watchSilence);
        this.running.set(owned, { upstream: upstream.id, run });
        this.parts.slots.take(upstream.id, true, isCounted);
        const { host, customer } = owned.submission.getHead();
        const headers = this.parts.wire.createItemHeaders(owned.item, host, {
            upstream: upstream.id,
            remainingMilliseconds: undefined,
            customer,
            passesCredentials: this.parts.view.passesCredentials(customer),
            lastEventId: owned.lastEventId === undefined ? undefined : String(owned.lastEventId),
        });
        const request = {
            method: "POST",
            target: owned.item.target,
            headers,
            body: Buffer.from(owned.item.body),
        };
        const startedAt = this.parts.clock.now();
        const eventsBefore = owned.texts.length;
        run.attach(this.parts.channels.get(upstream).start(request, run));
        watchSilence();
        const outcome = await run.outcome;
        stopSilence();
        this.running.delete(owned);
        if (outcome.kind === itemRun.ItemOutcomeKind.Completed) {
            const events = owned.texts.length;
            this.recordLength(route, events, events - eventsBefore, this.parts.clock.now() - startedAt);
        }
        this.settle(owned, upstream, route, outcome);
        this.parts.slots.release(upstream.id, true);
    }

    private settle(
        owned: ownedSubmission.OwnedItem,
        upstream: types.UpstreamEntry,
        route: types.Route,
        outcome: itemRun.ItemOutcome,
    ): void {
        const now = this.parts.clock.now();
        const kinds = itemRun.ItemOutcomeKind;
        if (owned.state === ownedSubmission.ItemState.Finished) {
            return;
        }
        owned.state = ownedSubmission.ItemState.Waiting;
        switch (outcome.kind) {
            case kinds.Completed:
                owned.submission.finish(owned, types.ResultState.Completed);
                return;
            case kinds.Impossible:
                this.giveUp(owned, outcome.text);
                return;
            case kinds.Failed:
                owned.failures++;
                if (owned.failures >= route.attempts) {
                    this.giveUp(owned, `${owned.failures} failed attempts`);
                    return;
                }
                break;
            case kinds.NotRun:
                this.parts.slots.board.penalize(upstream.id, now + FullPenaltyMilliseconds);
                break;
            case kinds.NotSent:
                this.parts.slots.board.penalize(upstream.id, now + UnreachablePenaltyMilliseconds);
                break;
            case kinds.Lost:
                owned.notBefore = now + PauseMilliseconds;
                break;
            case kinds.Stopped:
                return;
        }
        this.parts.log.note(gatewayLog.GatewayEvent.ItemRetried, {
            submission: owned.submission.getId(),
            item: owned.item.id,
            upstream: upstream.id,
            outcome: outcome.kind,
            text: outcome.text,
            events: owned.texts.length,
        });
    }

    private giveUp(owned: ownedSubmission.OwnedItem, reason: string): void {
        this.parts.log.note(gatewayLog.GatewayEvent.ItemGivenUp, {
            submission: owned.submission.getId(),
            item: owned.item.id,
            reason,
        });
        owned.submission.finish(owned, types.ResultState.GivenUp);
    }

    /** Gives up what is past its time or has no route any more. */
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
                if (now - since > RouteGoneMilliseconds) {
                    this.giveUpAll(submission, "its route is gone");
                }
                continue;
            }
            this.routeMissingSince.delete(submission);
            if (wallNow - head.acceptedAt > route.keepMilliseconds + KeepSlackMilliseconds) {
                this.giveUpAll(submission, "its time is over");
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

    private scheduleLook(): void {
        if (this.stopLook !== undefined || this.submissions.size === 0) {
            return;
        }
        this.stopLook = this.parts.clock.schedule(LookMilliseconds, () => {
            this.stopLook = undefined;
            this.dispatch();
        });
    }
}
