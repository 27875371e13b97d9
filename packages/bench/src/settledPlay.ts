import type * as simulation from "./simulation.js";

/** Runs the simulation to a time, letting promises settle after each event. */
export async function play(time: simulation.Simulation, until: number): Promise<void> {
    while (time.runNext(until)) {
        await new Promise<void>(resolve => setImmediate(resolve));
    }
}
