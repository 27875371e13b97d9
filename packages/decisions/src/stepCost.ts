import * as linearFit from "./linearFit.js";

/** Factor by which each sample reduces the weight of the older ones: they represent about a minute of a busy engine. */
const Retention = 0.999;
/** Initial assumption: each additional stream lengthens the step by this fraction of an empty engine's step. */
const PriorSlope = 0.01;
/** Number of running streams up to which the initial assumption holds, and the number of samples that it counts for. */
const PriorSpan = 64;
const PriorWeight = 20;
/** Minimum slope, as a fraction of the base; without it the limit would be unbounded. */
const MinimumSlopeFraction = 1e-4;

/**
 * Learns how an engine's step time grows with the number of running streams, in order to determine how many batch
 * streams online requests would notice. A fixed number would be wrong for every other model and accelerator.
 */
export class StepCost {
    private readonly line = new linearFit.LinearFit(Retention);

    /** Adds a sample: with `running` streams, a token took `milliseconds`. */
    add(running: number, milliseconds: number): void {
        if (this.line.isEmpty()) {
            const base = milliseconds / (1 + PriorSlope * running);
            const line = { base, slope: PriorSlope * base };
            this.line.addPrior({ line, lowest: 0, highest: PriorSpan, weight: PriorWeight });
        }
        this.line.add(running, milliseconds);
    }

    /**
     * The maximum number of batch streams beside `online` ones that lengthen the step by at most `tolerance`, as a
     * fraction.
     */
    getMaximumStreams(online: number, tolerance: number): number {
        const { base, slope } = this.fit();
        return (tolerance * (base + slope * online)) / slope;
    }

    /** The base in milliseconds and the slope in milliseconds per stream. */
    fit(): linearFit.Line {
        const line = this.line.fit();
        if (line === undefined) {
            return { base: 1, slope: PriorSlope };
        }
        const base = Math.max(line.base, this.line.getMeanY() / 10);
        return { base, slope: Math.max(line.slope, base * MinimumSlopeFraction) };
    }
}
