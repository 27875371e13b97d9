import * as measuredInstance from "../overhead/measuredInstance.js";
import type * as table from "./table.js";

/** Measures the CPU cost of serving callers with the complete program: one instance and one engine as separate processes. */

const TokenCounts = [1, 50, 150, 300];
const StreamCounts = [25, 50, 100];
const Seconds = 4;
const TokenMilliseconds = 31;
/** 1.7 million tokens per second, divided among 400 instances. */
const TargetTokensPerSecond = 4_250;
/** The average number of tokens per request at 1.7 million tokens and 4,200 requests per second. */
const TargetTokensPerRequest = 405;

export async function measureFace(): Promise<table.SlopeTable> {
    await using instance = await measuredInstance.MeasuredInstance.start();
    await instance.measureInstance({ tasks: 32, tokens: 8, gapMilliseconds: -1, seconds: Seconds });
    const requests: table.Point[] = [];
    for (const tokens of TokenCounts) {
        const run = await instance.measureInstance({ tasks: 32, tokens, gapMilliseconds: 0, seconds: Seconds });
        checkErrors(run);
        requests.push({ x: tokens, y: (run.cores * 1e6) / run.requestsPerSecond });
    }
    const streams: table.Point[] = [];
    for (const tasks of StreamCounts) {
        const run = await instance.measureInstance({
            tasks,
            tokens: 60,
            gapMilliseconds: TokenMilliseconds,
            seconds: Seconds,
        });
        checkErrors(run);
        streams.push({ x: run.tokensPerSecond, y: run.cores * 100 });
    }
    return {
        name: "face",
        slopes: [
            {
                cost: "µs of CPU of a request, tokens as fast as they go, 32 at a time",
                load: "tokens of the answer",
                points: requests,
                target: TargetTokensPerRequest,
            },
            {
                cost: "% of a core, 60 tokens an answer, one every 31 ms",
                load: "tokens a second",
                points: streams,
                target: TargetTokensPerSecond,
            },
        ],
    };
}

/** Throws if requests failed: a rejected request costs less than a served one and would make the result too low. */
function checkErrors(run: measuredInstance.MeasuredLoad): void {
    if (run.errors > 0) {
        throw new Error(`${run.errors} requests failed; the measurement does not count.`);
    }
}
