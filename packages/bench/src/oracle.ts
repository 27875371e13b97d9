import * as engine from "./engine.js";
import type * as measures from "./measures.js";
import * as run from "./run.js";
import type * as scenarios from "./scenarios.js";
import * as workload from "./workload.js";

/**
 * Upper bounds on throughput that no policy can exceed. Both assume that every slot of every engine is always in use,
 * that the future is known, that shared prefixes cost nothing to read, and that nothing is cancelled.
 */

/**
 * Batch tokens per second if every slot that online work leaves free is in use. The slots used online are sampled in
 * the run without batch work.
 */
export function getBatchBound(scenario: scenarios.Scenario, withoutBatch: measures.RunResult): number {
    const model = engine.DefaultEngine;
    const batchPrefillMilliseconds =
        (workload.getMeanBatchPromptTokens() / workload.getMeanTokens(scenario.batch.outputs)) *
        model.prefillMillisecondsPerToken;
    let sum = 0;
    for (const sample of withoutBatch.onlineSamples) {
        for (const online of sample) {
            const freeSlots = Math.max(0, model.slots - online);
            const stepMilliseconds =
                model.stepBaseMilliseconds +
                model.stepMillisecondsPerStream * (online + freeSlots) +
                batchPrefillMilliseconds * freeSlots;
            sum += ((1_000 * freeSlots) / stepMilliseconds) * (1 - getOnlinePrefillShare(scenario, withoutBatch));
        }
    }
    return sum / Math.max(1, withoutBatch.onlineSamples.length);
}

/** Online tokens per second that the engines can serve with every slot in use, at the mean answer length of the run. */
export function getOnlineCapacity(scenario: scenarios.Scenario, result: measures.RunResult): number {
    const model = engine.DefaultEngine;
    const seconds = (scenario.milliseconds - run.WarmUpMilliseconds) / 1_000;
    const output = (result.goodput * seconds) / Math.max(1, result.online.finished - result.online.deadlineMissed);
    const read = (workload.getMeanOnlinePromptTokens() / output) * model.prefillMillisecondsPerToken;
    const stepMilliseconds = model.stepBaseMilliseconds + (model.stepMillisecondsPerStream + read) * model.slots;
    return (scenario.upstreams * 1_000 * model.slots) / stepMilliseconds;
}

/** Share of the engines' time spent on reading online prompts. */
function getOnlinePrefillShare(scenario: scenarios.Scenario, withoutBatch: measures.RunResult): number {
    const perSecond =
        (1_000 * withoutBatch.online.finished) / (scenario.milliseconds - run.WarmUpMilliseconds) / scenario.upstreams;
    const read = perSecond * workload.getMeanOnlinePromptTokens() * engine.DefaultEngine.prefillMillisecondsPerToken;
    return Math.min(1, read / 1_000);
}
