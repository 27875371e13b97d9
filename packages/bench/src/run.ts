import * as engine from "./engine.js";
import type * as fleets from "./fleet.js";
import * as measures from "./measures.js";
import * as noPolicy from "./noPolicy.js";
import * as policyFleet from "./policyFleet.js";
import * as random from "./random.js";
import * as scenarios from "./scenarios.js";
import * as simulation from "./simulation.js";
import * as workload from "./workload.js";

/** The policy that a run simulates between the callers and the engines. */
export enum PolicyKind {
    /** The decisions without any batch work: the reference for undisturbed online work. */
    NoBatch = "no batch",
    /** Random placement, first come first served, unlimited batch work. */
    NoPolicy = "no policy",
    Policy = "policy",
}

export interface RunOptions {
    readonly scenario: scenarios.Scenario;
    readonly policy: PolicyKind;
    readonly batchWeight: number;
    readonly seed: number;
}

const SampleIntervalMilliseconds = 100;
/** Time at the start that isn't measured, while prefix caches fill and averages settle. */
export const WarmUpMilliseconds = 20_000;

/** Runs one scenario in virtual time. The same options always give the same result. */
export function runScenario(options: RunOptions): measures.RunResult {
    const { scenario } = options;
    const context = createContext(options);
    const fleet =
        options.policy === PolicyKind.NoPolicy
            ? new noPolicy.NoPolicyFleet(context)
            : new policyFleet.PolicyFleet(context);
    fleet.start();
    for (const arrival of workload.createArrivals(scenario.online, scenario.milliseconds, options.seed)) {
        context.simulation.schedule(arrival.at, () => fleet.receive(arrival));
    }
    for (const fault of scenario.faults) {
        scheduleFault(fault, context, fleet);
    }
    context.simulation.schedule(WarmUpMilliseconds, () => context.measures.start());
    context.simulation.repeat(SampleIntervalMilliseconds, () => takeSample(context));
    context.simulation.run(scenario.milliseconds);
    return context.measures.createResult(scenario.milliseconds - WarmUpMilliseconds);
}

function createContext(options: RunOptions): fleets.RunContext {
    const { scenario, seed } = options;
    const time = new simulation.Simulation();
    const measurements = new measures.Measures();
    const callers = options.policy === PolicyKind.NoBatch ? 0 : scenario.batch.callers;
    return {
        simulation: time,
        measures: measurements,
        engines: Array.from(
            Array(scenario.upstreams).keys(),
            index => new engine.Engine(`engine-${index}`, engine.DefaultEngine, time, measurements),
        ),
        random: new random.Random(seed + 1),
        scenario,
        batchWeight: options.batchWeight,
        batchSources: Array.from(
            Array(callers).keys(),
            index => new workload.BatchSource(scenario.batch, `job-caller-${index}`, seed + 10 + index),
        ),
    };
}

function scheduleFault(fault: scenarios.Fault, context: fleets.RunContext, fleet: fleets.Fleet): void {
    const time = context.simulation;
    switch (fault.kind) {
        case scenarios.FaultKind.SlowUpstream: {
            const upstream = context.engines[fault.upstream]!;
            time.schedule(fault.at, () => (upstream.slowdown = fault.factor));
            time.schedule(fault.until, () => (upstream.slowdown = 1));
            break;
        }
        case scenarios.FaultKind.UpstreamCrash: {
            const upstream = context.engines[fault.upstream]!;
            time.schedule(fault.at, () => upstream.crash(fault.until - fault.at));
            break;
        }
        case scenarios.FaultKind.InstanceLost:
            time.schedule(fault.at, () => fleet.removeInstance(fault.instance, fault.lag));
            break;
    }
}

function takeSample(context: fleets.RunContext): void {
    context.measures.onSample(context.engines.map(upstream => upstream.countOnline()));
}
