import * as linearFit from "./linearFit.js";

/** Part that each sample leaves of the older ones: about a minute of samples of a busy engine. */
const Retention = 0.999;
/** First guess: one more stream lengthens the step by this part of an empty engine's step. */
const PriorSlope = 0.01;
/** Running streams up to which the first guess holds, and the samples that it counts for. */
const PriorSpan = 64;
const PriorWeight = 20;
/** The slope is taken to be at least this part of the base, or the limit would be without bound. */
const LeastSlope = 1e-4;

/**
 * Learns how an engine's step grows with the streams it runs. Made to tell how many batch streams online work would
 * notice; a fixed number would be wrong for every other model and accelerator.
 */
export class StepCost {
    private readonly line = new linearFit.LinearFit(Retention);

    /** With `running` streams a token took `milliseconds`. */
    add(running: number, milliseconds: number): void {
        if (this.line.isEmpty()) {
            const base = milliseconds / (1 + PriorSlope * running);
            const line = { base, slope: PriorSlope * base };
            this.line.addPrior({ line, lowest: 0, highest: PriorSpan, weight: PriorWeight });
        }
        this.line.add(running, milliseconds);
    }

    /** The most batch streams beside `online` ones that lengthen the step by no more than `tolerance` of itself. */
    getMostStreams(online: number, tolerance: number): number {
        const { base, slope } = this.fit();
        return (tolerance * (base + slope * online)) / slope;
    }

    /** Both in milliseconds; the slope a stream. */
    fit(): linearFit.Line {
        const line = this.line.fit();
        if (line === undefined) {
            return { base: 1, slope: PriorSlope };
        }
        const base = Math.max(line.base, this.line.getMeanY() / 10);
        return { base, slope: Math.max(line.slope, base * LeastSlope) };
    }
}
