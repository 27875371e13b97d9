/** A straight line, `base + slope × x`. */
export interface Line {
    readonly base: number;
    readonly slope: number;
}

/**
 * An initial assumption: a line that holds from `lowest` to `highest`, and the number of samples that it counts for.
 */
export interface LinePrior {
    readonly line: Line;
    readonly lowest: number;
    readonly highest: number;
    readonly weight: number;
}

/**
 * Fits a straight line by least squares over samples with decaying weights; each new sample multiplies the weights of
 * the older ones by `retention`.
 */
export class LinearFit {
    private weight = 0;
    private sumX = 0;
    private sumY = 0;
    private sumXX = 0;
    private sumXY = 0;

    constructor(private readonly retention: number) {}

    /** Adds an initial assumption. It also keeps the fit stable while all samples have nearly the same `x`. */
    addPrior(prior: LinePrior): void {
        for (const x of [prior.lowest, prior.highest]) {
            this.addWeighted(x, prior.line.base + prior.line.slope * x, prior.weight / 2);
        }
    }

    add(x: number, y: number): void {
        this.weight *= this.retention;
        this.sumX *= this.retention;
        this.sumY *= this.retention;
        this.sumXX *= this.retention;
        this.sumXY *= this.retention;
        this.addWeighted(x, y, 1);
    }

    isEmpty(): boolean {
        return this.weight === 0;
    }

    getMeanX(): number {
        return this.weight === 0 ? 0 : this.sumX / this.weight;
    }

    getMeanY(): number {
        return this.weight === 0 ? 0 : this.sumY / this.weight;
    }

    /** Undefined as long as the samples don't determine a line. */
    fit(): Line | undefined {
        const spread = this.weight * this.sumXX - this.sumX * this.sumX;
        if (spread <= 0) {
            return undefined;
        }
        const slope = (this.weight * this.sumXY - this.sumX * this.sumY) / spread;
        return { base: (this.sumY - slope * this.sumX) / this.weight, slope };
    }

    private addWeighted(x: number, y: number, weight: number): void {
        this.weight += weight;
        this.sumX += weight * x;
        this.sumY += weight * y;
        this.sumXX += weight * x * x;
        this.sumXY += weight * x * y;
    }
}
