import * as estimates from "./estimates.js";
import * as linearFit from "./linearFit.js";

const Retention = 0.98;
const PriorWeight = 5;
/** Range of costs for which the initial assumption holds, relative to the expected cost. */
const PriorSpan = 2;

/**
 * Learns how long requests take, as `base + slope × cost`: even a short answer has to prefill its prompt and wait for a
 * step.
 */
export class ServiceTime {
    private readonly line = new linearFit.LinearFit(Retention);
    private readonly residual = new estimates.MovingAverage(1 - Retention, 0);

    constructor(expectedMillisecondsPerCost: number, expectedCost: number) {
        const line = { base: 0, slope: expectedMillisecondsPerCost };
        this.line.addPrior({ line, lowest: 0, highest: PriorSpan * expectedCost, weight: PriorWeight });
    }

    add(cost: number, milliseconds: number): void {
        this.residual.add(Math.abs(milliseconds - this.getExpected(cost)));
        this.line.add(cost, milliseconds);
    }

    /** The expected time of a request of this cost, in milliseconds. */
    getExpected(cost: number): number {
        const { base, slope } = this.line.fit() ?? { base: this.line.getMeanY(), slope: 0 };
        return Math.max(0, base) + Math.max(0, slope) * cost;
    }

    /** The time within which about nineteen in twenty requests of this cost finish, in milliseconds. */
    getHighEstimate(cost: number): number {
        return this.getExpected(cost) + 2 * this.residual.get();
    }

    /** Milliseconds per unit of cost over all requests; used to estimate the time for a backlog. */
    getMillisecondsPerCost(): number {
        return this.line.getMeanY() / Math.max(Number.EPSILON, this.line.getMeanX());
    }
}
