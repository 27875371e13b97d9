/** Part that each sample leaves of the older ones. */
const Retention = 0.999;
/** How much the first guess weighs against samples, in samples; it also keeps the fit stable while the load is even. */
const PriorWeight = 20;
/** First guess: one more stream lengthens the step by this part of an empty engine's step. */
const PriorSlope = 0.01;
/** Running streams between which the first guess holds. */
const PriorSpan = 64;

/**
 * Learns how an engine's step grows with the streams it runs, `base + slope × streams`, by least squares over samples
 * that fade. Made to tell how many batch streams online work would notice; a fixed number would be wrong for every
 * other model and accelerator.
 */
export class StepCost {
    private weight = 0;
    private sumX = 0;
    private sumY = 0;
    private sumXX = 0;
    private sumXY = 0;

    /** With `running` streams a token took `milliseconds`. */
    add(running: number, milliseconds: number): void {
        if (this.weight === 0) {
            this.addPrior(running, milliseconds);
        }
        this.weight *= Retention;
        this.sumX *= Retention;
        this.sumY *= Retention;
        this.sumXX *= Retention;
        this.sumXY *= Retention;
        this.addWeighted(running, milliseconds, 1);
    }

    /** The most batch streams beside `online` ones that lengthen the step by no more than `tolerance` of itself. */
    getMostStreams(online: number, tolerance: number): number {
        const { base, slope } = this.fit();
        return (tolerance * (base + slope * online)) / slope;
    }

    /** Both in milliseconds; the slope a stream. */
    fit(): { readonly base: number; readonly slope: number } {
        const spread = this.weight * this.sumXX - this.sumX * this.sumX;
        if (this.weight === 0 || spread <= 0) {
            return { base: 1, slope: PriorSlope };
        }
        const slope = (this.weight * this.sumXY - this.sumX * this.sumY) / spread;
        const base = (this.sumY - slope * this.sumX) / this.weight;
        const floor = Math.max(base, this.sumY / this.weight / 10);
        return { base: floor, slope: Math.max(slope, floor * 1e-4) };
    }

    private addPrior(running: number, milliseconds: number): void {
        const base = milliseconds / (1 + PriorSlope * running);
        this.addWeighted(0, base, PriorWeight / 2);
        this.addWeighted(PriorSpan, base * (1 + PriorSlope * PriorSpan), PriorWeight / 2);
    }

    private addWeighted(x: number, y: number, weight: number): void {
        this.weight += weight;
        this.sumX += weight * x;
        this.sumY += weight * y;
        this.sumXX += weight * x * x;
        this.sumXY += weight * x * y;
    }
}
