import * as engine from "./engine.js";
import type * as measures from "./measures.js";
import * as run from "./run.js";
import type * as scenarios from "./scenarios.js";
import * as workload from "./workload.js";

/**
 * What nobody could beat. Both bounds fill every place of every engine at every instant, know the future, read each
 * shared prefix for nothing, and cancel nothing.
 */

/**
 * Batch tokens a second when each place that online leaves free is in use. Online places are those of the run without
 * batch work, sampled.
 */
export function getBatchBound(scenario: scenarios.Scenario, withoutBatch: measures.RunResult): number {
    const model = engine.UsualEngine;
    const readPerToken =
        (workload.getMeanBatchPromptTokens() / workload.getMeanTokens(scenario.batch.outputs)) * model.perPromptToken;
    let sum = 0;
    for (const sample of withoutBatch.onlineSamples) {
        for (const online of sample) {
            const free = Math.max(0, model.places - online);
            const step = model.stepBase + model.stepPerStream * (online + free) + readPerToken * free;
            sum += ((1_000 * free) / step) * (1 - getOnlineReading(scenario, withoutBatch));
        }
    }
    return sum / Math.max(1, withoutBatch.onlineSamples.length);
}

/** Online tokens a second that the engines can serve with every place in use, for answers as long as those served. */
export function getOnlineCapacity(scenario: scenarios.Scenario, result: measures.RunResult): number {
    const model = engine.UsualEngine;
    const seconds = (scenario.milliseconds - run.WarmUp) / 1_000;
    const output = (result.goodput * seconds) / Math.max(1, result.online.finished - result.online.deadlineMissed);
    const read = (workload.getMeanOnlinePromptTokens() / output) * model.perPromptToken;
    const step = model.stepBase + (model.stepPerStream + read) * model.places;
    return (scenario.upstreams * 1_000 * model.places) / step;
}

/** Part of the engines' time that goes into reading online prompts. */
function getOnlineReading(scenario: scenarios.Scenario, withoutBatch: measures.RunResult): number {
    const perSecond =
        (1_000 * withoutBatch.online.finished) / (scenario.milliseconds - run.WarmUp) / scenario.upstreams;
    const read = perSecond * workload.getMeanOnlinePromptTokens() * engine.UsualEngine.perPromptToken;
    return Math.min(1, read / 1_000);
}
