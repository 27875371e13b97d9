import * as core from "@boragedale/core";
import type * as simulation from "../simulation.js";

/** Provides the simulation's time as a `Clock`. */
export class SimulationClock extends core.Clock {
    constructor(private readonly time: simulation.Simulation) {
        super();
    }

    override now(): core.MonotonicMilliseconds {
        return this.time.now();
    }

    override wallNow(): core.WallMilliseconds {
        return this.time.now();
    }

    override schedule(milliseconds: number, action: () => void): () => void {
        let isStopped = false;
        this.time.schedule(milliseconds, () => {
            if (!isStopped) {
                action();
            }
        });
        return () => (isStopped = true);
    }
}
