import * as core from "@boragedale/core";
import * as plan from "./plan.js";

/** How much happens in one run. */
export interface PlanSize {
    /** Releases; each begins while streams of the one before may still be in progress. */
    readonly episodes: 1 | 2 | 3;
    readonly streams: number;
    readonly callerMilliseconds: number;
    readonly batchItems: number;
}

export const WholeSize: PlanSize = { episodes: 3, streams: 60, callerMilliseconds: 12_000, batchItems: 12 };
const FirstEpisodeAt = 800;
const EpisodeMilliseconds = 2_200;

/** Creates a plan in which releases of upstreams, kills of gateways and faults of the store overlap. */
export function createRandomPlan(seed: number, size = WholeSize): plan.SoakPlan {
    return new RandomPlan(plan.createRandom(seed)).create(size);
}

class RandomPlan {
    private readonly steps: plan.PlannedStep[] = [];
    private readonly gatewayCount: number;
    /** Upstreams that don't go in an earlier release. */
    private current: plan.PlannedUpstream[] = [];
    private created = 0;

    constructor(private readonly random: () => number) {
        this.gatewayCount = this.pickInteger(3, 5);
    }

    create(size: PlanSize): plan.SoakPlan {
        this.current = ["v1", ...(this.random() < 0.3 ? ["v2"] : [])].flatMap(version => this.createUpstreams(version));
        const upstreams = this.current;
        // Also a release that is taken back: the version that had gone comes again.
        const versions = this.choose([
            ["v2", "v3", "v1"],
            ["v2", "v1", "v2"],
            ["v2", "v1", "v3"],
        ]);
        for (let index = 0; index < size.episodes; index++) {
            const at = FirstEpisodeAt + index * EpisodeMilliseconds;
            this.addEpisode(at, core.Debug.checkDefined(versions[index], "one each"));
        }
        const lastStart = FirstEpisodeAt + size.episodes * EpisodeMilliseconds;
        const streams = [...new Array(size.streams).keys()].map(index => ({
            name: `s${index}`,
            at: this.pickInteger(0, lastStart),
            gateway: this.pickInteger(0, this.gatewayCount - 1),
            events: this.pickInteger(20, 80),
        }));
        const steps = this.steps.sort((left, right) => left.at - right.at);
        const { callerMilliseconds, batchItems } = size;
        return { gatewayCount: this.gatewayCount, upstreams, streams, steps, callerMilliseconds, batchItems };
    }

    private addEpisode(at: number, version: string): void {
        const comesAt = at + this.pickInteger(0, 1_500);
        const goesAt = at + this.pickInteger(0, 1_500);
        const isAtOnce = this.random() < 0.5;
        const stagger = (): number => (isAtOnce ? 0 : this.pickInteger(0, 600));
        const old = this.current;
        const arrivals = this.createUpstreams(version);
        for (const upstream of arrivals) {
            this.steps.push({ at: comesAt + stagger(), kind: plan.StepKind.UpstreamComes, upstream });
        }
        // In a partial release some upstreams of the version before stay, so that both remain.
        const staying = this.random() < 0.4 ? old.slice(0, 1) : [];
        const departure = this.createDeparture();
        for (const { id } of old.filter(upstream => !staying.includes(upstream))) {
            this.steps.push({ at: goesAt + stagger(), kind: plan.StepKind.UpstreamGoes, id, ...departure });
        }
        this.current = [...staying, ...arrivals].slice(-4);
        staying
            .filter(upstream => !this.current.includes(upstream))
            .forEach(({ id }) => this.steps.push({ at: goesAt, kind: plan.StepKind.UpstreamGoes, id, ...departure }));
        if (this.random() < 0.3) {
            const { id } = this.choose(old);
            const milliseconds = this.pickInteger(300, 2_000);
            this.steps.push({
                at: at + this.pickInteger(0, 1_500),
                kind: plan.StepKind.EntryExpires,
                id,
                milliseconds,
            });
        }
        this.disturbGateways(at + this.pickInteger(0, 1_500));
        if (this.random() < 0.5) {
            this.disturbStore(at + this.pickInteger(0, 1_500));
        }
    }

    private createDeparture(): plan.Departure {
        return this.choose<plan.Departure>([
            { reportsDraining: true, entryRemovedAfter: 1_200, closedAfter: 1_500 },
            { reportsDraining: false, entryRemovedAfter: 0, closedAfter: 1_500 },
            { reportsDraining: false, entryRemovedAfter: this.pickInteger(800, 1_500), closedAfter: 0 },
            { reportsDraining: false, entryRemovedAfter: 0, closedAfter: 0 },
        ]);
    }

    private disturbGateways(at: number): void {
        const all = [...new Array(this.gatewayCount).keys()];
        const kill = (gateway: number, killedAt: number): void => {
            const isPlanned = this.random() < 0.15;
            const kind = isPlanned ? plan.StepKind.StopGateway : plan.StepKind.KillGateway;
            this.steps.push({ at: killedAt, kind, gateway, downMilliseconds: this.pickInteger(300, 2_500) });
        };
        const choice = this.random();
        if (choice < 0.2) {
            kill(this.choose(all), at);
        }
        else if (choice < 0.55) {
            const downMilliseconds = this.pickInteger(300, 2_500);
            all.forEach(gateway => this.steps.push({ at, kind: plan.StepKind.KillGateway, gateway, downMilliseconds }));
        }
        else {
            const pause = this.pickInteger(50, 900);
            all.forEach(gateway => kill(gateway, at + gateway * pause));
        }
    }

    private disturbStore(at: number): void {
        const all = [...new Array(this.gatewayCount).keys()];
        const gateways = this.random() < 0.5 ? all : [this.choose(all)];
        const fault = this.choose(Object.values(plan.StoreFault));
        this.steps.push({ at, kind: plan.StepKind.StoreFault, fault, gateways, milliseconds: 1_000 });
    }

    private createUpstreams(softwareVersion: string): plan.PlannedUpstream[] {
        return [...new Array(this.pickInteger(1, 2)).keys()].map(() => ({
            id: `upstream-${this.created++}`,
            softwareVersion,
            eventMilliseconds: this.pickInteger(20, 40),
        }));
    }

    private pickInteger(lowest: number, highest: number): number {
        return lowest + Math.floor(this.random() * (highest - lowest + 1));
    }

    private choose<T>(values: readonly T[]): T {
        return core.Debug.checkDefined(values[Math.floor(this.random() * values.length)], "there are values");
    }
}
