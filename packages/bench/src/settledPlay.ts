import type * as simulation from "./simulation.js";

/** Runs the simulation until the given time and lets promises settle after each event. */
export async function runSettlingPromises(time: simulation.Simulation, until: number): Promise<void> {
    while (time.runNext(until)) {
        await new Promise<void>(resolve => setImmediate(resolve));
    }
}
