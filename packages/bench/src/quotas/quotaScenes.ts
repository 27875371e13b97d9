import type * as core from "@boragedale/core";
import type * as simulation from "../simulation.js";
import type * as quotasFleet from "./quotasFleet.js";

/** What happens to the fleet while customers send. In all but the `Calm...` scenes, the largest customer is hot. */
export enum QuotaScene {
    Calm = "Calm",
    Hot = "Hot",
    /** A sixth of the members is partitioned from the others, while callers and upstreams reach all of them. */
    CutSixth = "CutSixth",
    CutHalves = "CutHalves",
    CalmCutSixth = "CalmCutSixth",
    /** Half of the members are killed at once. They return after two seconds; the old leases end after four. */
    KillHalf = "KillHalf",
    CalmKillHalf = "CalmKillHalf",
    AddThreeQuarters = "AddThreeQuarters",
    /** A sixth of the members still receives messages, but those that it sends are lost. */
    CutOneWay = "CutOneWay",
    /** The quota owner of the hot customer is paused, and then resumes without noticing. */
    PauseOwner = "PauseKeeper",
    /** Messages to and from the quota owner of the hot customer take longer than the request timeout. */
    SlowOwner = "SlowKeeper",
    /** The hot customer's limit is reduced to a quarter. */
    LowerLimit = "LowerLimit",
    /** The hot customer's limit is doubled. */
    RaiseLimit = "RaiseLimit",
    /** The hot customer's limit is removed. */
    LiftLimit = "LiftLimit",
}

/** Customers are numbered by decreasing request rate; the first is hot in most scenes. */
export function getCustomerName(index: number): string {
    return `customer-${index}`;
}

const HotCustomer = getCustomerName(0);
/** The hot customer's request rate, relative to its usual one. */
export const HotFactor = 7.5;

const FaultAtMilliseconds = 9_000;
const CutMilliseconds = 6_000;
const RestartMilliseconds = 2_000;
const LeaseMilliseconds = 4_000;
const PauseMilliseconds = 3_000;
/** Added in each direction. */
const AddedDelayMilliseconds = 150;
const LowerFactor = 0.25;
const RaiseFactor = 2;
const SixthShare = 0.17;
const HalfShare = 0.5;
const AddedShare = 0.75;

export function isHot(scene: QuotaScene): boolean {
    return ![QuotaScene.Calm, QuotaScene.CalmCutSixth, QuotaScene.CalmKillHalf].includes(scene);
}

export function prepareScene(scene: QuotaScene, fleet: quotasFleet.QuotaFleet, time: simulation.Simulation): void {
    switch (scene) {
        case QuotaScene.Calm:
        case QuotaScene.Hot:
            return;
        case QuotaScene.CutSixth:
        case QuotaScene.CalmCutSixth:
            cut(SixthShare, fleet, time);
            return;
        case QuotaScene.CutHalves:
            cut(HalfShare, fleet, time);
            return;
        case QuotaScene.KillHalf:
        case QuotaScene.CalmKillHalf:
            time.schedule(FaultAtMilliseconds, () => chooseMembers(fleet, HalfShare).forEach(fleet.kill));
            time.schedule(FaultAtMilliseconds + RestartMilliseconds, fleet.restartKilled);
            time.schedule(FaultAtMilliseconds + LeaseMilliseconds, fleet.delistKilled);
            return;
        case QuotaScene.AddThreeQuarters:
            time.schedule(FaultAtMilliseconds, () => chooseMembers(fleet, AddedShare).forEach(fleet.add));
            return;
        case QuotaScene.CutOneWay:
            time.schedule(FaultAtMilliseconds, () => fleet.hub.muteAll(getIds(chooseMembers(fleet, SixthShare))));
            time.schedule(FaultAtMilliseconds + CutMilliseconds, () => fleet.hub.muteAll([]));
            return;
        case QuotaScene.PauseOwner:
            time.schedule(FaultAtMilliseconds, () => fleet.hub.pause(fleet.rankOwners(HotCustomer).slice(0, 1)));
            time.schedule(FaultAtMilliseconds + PauseMilliseconds, () => fleet.hub.resume());
            return;
        case QuotaScene.SlowOwner:
            time.schedule(FaultAtMilliseconds, () =>
                fleet
                    .rankOwners(HotCustomer)
                    .slice(0, 1)
                    .forEach(owner => fleet.hub.delays.set(owner, AddedDelayMilliseconds)),
            );
            time.schedule(FaultAtMilliseconds + CutMilliseconds, () => fleet.hub.delays.clear());
            return;
        case QuotaScene.LowerLimit:
        case QuotaScene.RaiseLimit:
        case QuotaScene.LiftLimit:
            return;
    }
}

/** A change of a customer's limit. */
export interface LimitChange {
    readonly at: core.MonotonicMilliseconds;
    /** Factor on the previous limit; undefined removes the limit. */
    readonly factor: number | undefined;
}

/** The change of the hot customer's limit in a scene, if any. */
export function tryGetLimitChange(scene: QuotaScene): LimitChange | undefined {
    switch (scene) {
        case QuotaScene.LowerLimit:
            return { at: FaultAtMilliseconds, factor: LowerFactor };
        case QuotaScene.RaiseLimit:
            return { at: FaultAtMilliseconds, factor: RaiseFactor };
        case QuotaScene.LiftLimit:
            return { at: FaultAtMilliseconds, factor: undefined };
        default:
            return undefined;
    }
}

function getIds(members: readonly quotasFleet.QuotaMember[]): readonly core.InstanceId[] {
    return members.map(member => member.id);
}

function cut(share: number, fleet: quotasFleet.QuotaFleet, time: simulation.Simulation): void {
    time.schedule(FaultAtMilliseconds, () => fleet.hub.cut(getIds(chooseMembers(fleet, share))));
    time.schedule(FaultAtMilliseconds + CutMilliseconds, () => fleet.hub.cut([]));
}

function chooseMembers(fleet: quotasFleet.QuotaFleet, share: number): readonly quotasFleet.QuotaMember[] {
    return fleet.members.slice(0, Math.round(fleet.members.length * share));
}
