import type * as engine from "./engine.js";
import type * as measures from "./measures.js";
import type * as random from "./random.js";
import type * as scenarios from "./scenarios.js";
import type * as simulation from "./simulation.js";
import type * as workload from "./workload.js";

/** How many times a caller resends a request after an error, and its delay before each attempt. */
const MaximumResends = 10;
const ResendDelayMilliseconds = 200;
/** One-way network delay between an instance and an upstream. */
export const UpstreamDelayMilliseconds = 1;

/** Everything that a simulated fleet runs with. */
export interface RunContext {
    readonly simulation: simulation.Simulation;
    readonly engines: readonly engine.Engine[];
    readonly measures: measures.Measures;
    readonly random: random.Random;
    readonly scenario: scenarios.Scenario;
    readonly batchWeight: number;
    readonly batchSources: readonly workload.BatchSource[];
}

/** A simulated fleet of instances. */
export abstract class Fleet {
    constructor(protected readonly context: RunContext) {}

    abstract receive(arrival: workload.OnlineArrival): void;
    abstract start(): void;
    abstract removeInstance(instance: number, lagMilliseconds: number): void;

    /**
     * Resends a failed request that crashes engines, as its caller would, at most `MaximumResends` times. Other failed
     * requests aren't resent.
     */
    protected resend(arrival: workload.OnlineArrival): void {
        const resends = arrival.resends + 1;
        if (arrival.crashesEngine && resends <= MaximumResends) {
            const { simulation, random } = this.context;
            simulation.schedule(ResendDelayMilliseconds, () =>
                this.receive({ ...arrival, at: simulation.now(), balancerDraw: random.next(), resends }),
            );
        }
    }
}

/** Time allowed for an online request: a fixed part, and a part for each requested token. */
const DeadlineBaseMilliseconds = 8_000;
const DeadlineMillisecondsPerToken = 50;

/** Time by which the answer must be complete. */
export function getDeadline(arrival: workload.OnlineArrival): number {
    return arrival.at + DeadlineBaseMilliseconds + DeadlineMillisecondsPerToken * arrival.outputTokens;
}
