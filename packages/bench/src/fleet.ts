import type * as engine from "./engine.js";
import type * as measures from "./measures.js";
import type * as random from "./random.js";
import type * as scenarios from "./scenarios.js";
import type * as simulation from "./simulation.js";
import type * as workload from "./workload.js";

/** Times that a caller sends a request again after an error, and the pause before each, in milliseconds. */
const MostResends = 10;
const ResendDelay = 200;
/** Time from an instance to an upstream, one way, in milliseconds. */
export const UpstreamDelay = 1;

/** What a fleet under test is made from. */
export interface RunContext {
    readonly simulation: simulation.Simulation;
    readonly engines: readonly engine.Engine[];
    readonly measures: measures.Measures;
    readonly random: random.Random;
    readonly scenario: scenarios.Scenario;
    readonly batchWeight: number;
    readonly batchSources: readonly workload.BatchSource[];
}

/** The fleet under test. */
export abstract class Fleet {
    constructor(protected readonly context: RunContext) {}

    abstract receive(arrival: workload.OnlineArrival): void;
    abstract start(): void;
    abstract loseInstance(instance: number, lag: number): void;

    /** A caller that got an error sends the same request again, a few times. */
    protected resend(arrival: workload.OnlineArrival): void {
        const resends = arrival.resends + 1;
        if (arrival.crashesEngine && resends <= MostResends) {
            const { simulation, random } = this.context;
            simulation.schedule(ResendDelay, () =>
                this.receive({ ...arrival, at: simulation.now(), balance: random.next(), resends }),
            );
        }
    }
}

/** How long an online request may take: a wait, and a time for each token that it asks for, in milliseconds. */
const DeadlineBase = 8_000;
const DeadlinePerToken = 50;

/** When the answer must be there. */
export function getDeadline(arrival: workload.OnlineArrival): number {
    return arrival.at + DeadlineBase + DeadlinePerToken * arrival.outputTokens;
}
