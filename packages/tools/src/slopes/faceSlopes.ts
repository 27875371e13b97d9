import * as measuredInstance from "../overhead/measuredInstance.js";
import type * as table from "./table.js";

/** What an instance as callers meet it costs in CPU: separate processes on loopback, whole program, one engine. */

const TokenCounts = [1, 50, 150, 300];
const StreamCounts = [25, 50, 100];
const Seconds = 4;
const TokenMilliseconds = 31;
/** 1.7 million tokens a second over 400 instances. */
const TargetTokens = 4_250;
/** Tokens of a request on average at the aim: 1.7 million a second over 4,200 requests a second. */
const TargetLength = 405;

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
                target: TargetLength,
            },
            {
                cost: "% of a core, 60 tokens an answer, one every 31 ms",
                load: "tokens a second",
                points: streams,
                target: TargetTokens,
            },
        ],
    };
}

/** A refused request costs less than a served one, and would make the figure too good. */
function checkErrors(run: measuredInstance.MeasuredLoad): void {
    if (run.errors > 0) {
        throw new Error(`${run.errors} requests failed; the measurement does not count.`);
    }
}
