import type * as simulation from "../simulation.js";
import type * as quotasFleet from "./quotasFleet.js";

/** What happens to the fleet while customers send. In all but the calm ones the largest customer is hot. */
export enum QuotaScene {
    Calm = "Calm",
    Hot = "Hot",
    /** A sixth of the members is cut off from the others, while callers and upstreams reach all of them. */
    CutSixth = "CutSixth",
    CutHalves = "CutHalves",
    CalmCutSixth = "CalmCutSixth",
    /** Half of the members are killed at once; they are back after two seconds, and their leases end after four. */
    KillHalf = "KillHalf",
    CalmKillHalf = "CalmKillHalf",
    AddThreeQuarters = "AddThreeQuarters",
}

/** Times the usual of the hot customer. */
export const HotFactor = 7.5;

const FaultAtMilliseconds = 9_000;
const CutMilliseconds = 6_000;
const RestartMilliseconds = 2_000;
const LeaseMilliseconds = 4_000;
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
    }
}

function cut(share: number, fleet: quotasFleet.QuotaFleet, time: simulation.Simulation): void {
    time.schedule(FaultAtMilliseconds, () => fleet.hub.cut(chooseMembers(fleet, share).map(member => member.id)));
    time.schedule(FaultAtMilliseconds + CutMilliseconds, () => fleet.hub.cut([]));
}

function chooseMembers(fleet: quotasFleet.QuotaFleet, share: number): readonly quotasFleet.QuotaMember[] {
    return fleet.members.slice(0, Math.round(fleet.members.length * share));
}
