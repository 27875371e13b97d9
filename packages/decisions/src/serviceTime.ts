import * as estimates from "./estimates.js";
import * as linearFit from "./linearFit.js";

const Retention = 0.98;
const PriorWeight = 5;
/** Costs between which the first guess holds, in relation to the usual cost. */
const PriorSpan = 2;

/** Learns how long requests take, `base + slope × cost`: a short answer still reads its prompt and waits for a step. */
export class ServiceTime {
    private readonly line = new linearFit.LinearFit(Retention);
    private readonly residual = new estimates.MovingAverage(1 - Retention, 0);

    constructor(expectedMillisecondsPerCost: number, expectedCost: number) {
        const line = { base: 0, slope: expectedMillisecondsPerCost };
        this.line.addPrior({ line, lowest: 0, highest: PriorSpan * expectedCost, weight: PriorWeight });
    }

    add(cost: number, milliseconds: number): void {
        this.residual.add(Math.abs(milliseconds - this.getUsual(cost)));
        this.line.add(cost, milliseconds);
    }

    /** What a request of this cost usually takes, in milliseconds. */
    getUsual(cost: number): number {
        const { base, slope } = this.line.fit() ?? { base: this.line.getMeanY(), slope: 0 };
        return Math.max(0, base) + Math.max(0, slope) * cost;
    }

    /** What about nineteen in twenty requests of this cost stay under, in milliseconds. */
    getHigh(cost: number): number {
        return this.getUsual(cost) + 2 * this.residual.get();
    }

    /** Milliseconds for each unit of cost, over all requests: what a backlog takes. */
    getPerCost(): number {
        return this.line.getMeanY() / Math.max(Number.EPSILON, this.line.getMeanX());
    }
}
