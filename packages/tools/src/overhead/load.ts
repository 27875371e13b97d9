import * as undici from "undici";

/**
 * Sends completion requests for a given time and prints the results as one line of JSON. A number of tasks run
 * concurrently; each sends its requests one after the other. This program runs as a separate process so that its cost
 * does not slow down what it measures.
 *
 * Arguments: URL, token, model, number of tasks, tokens per answer, gap between tokens in milliseconds, seconds.
 */

/** The results of one load process. Times are in milliseconds. */
export interface LoadResult {
    readonly requestsPerSecond: number;
    readonly tokensPerSecond: number;
    readonly errors: number;
    readonly firstTokenP50: number;
    readonly firstTokenP99: number;
    /** The time from the sending of a token by the engine to its arrival in this process. */
    readonly tokenP50: number;
    readonly tokenP99: number;
}

/** The first part of the run, in which requests and tokens are not counted: code is being compiled, connections opened. */
const WarmUpFraction = 0.3;
const ContentPrefix = Buffer.from('"content":"');
/**
 * The length of a token: the time at which it was sent, in 17 characters, and a space. An instance may combine several
 * tokens into one text, so the number of tokens is computed from the length of the text.
 */
const TokenLength = 18;
const Quote = 0x22;

const [url = "", token = "", model = "", ...numbers] = process.argv.slice(2);
const [tasks = 1, tokens = 1, gap = -1, seconds = 1] = numbers.map(Number);

const startedAt = getTime();
const countingStartsAt = startedAt + seconds * 1_000 * WarmUpFraction;
const endsAt = startedAt + seconds * 1_000;
const firstTokens: number[] = [];
const tokenTimes: number[] = [];
let requestCount = 0;
let tokenCount = 0;
let errorCount = 0;

const pool = new undici.Pool(url, { connections: tasks, pipelining: 1 });
await Promise.all(Array.from({ length: tasks }, (...[, index]: [unknown, number]) => runTask(index)));
const countedSeconds = (getTime() - countingStartsAt) / 1_000;
const result: LoadResult = {
    requestsPerSecond: Math.round(requestCount / countedSeconds),
    tokensPerSecond: Math.round(tokenCount / countedSeconds),
    errors: errorCount,
    firstTokenP50: getQuantile(firstTokens, 0.5),
    firstTokenP99: getQuantile(firstTokens, 0.99),
    tokenP50: getQuantile(tokenTimes, 0.5),
    tokenP99: getQuantile(tokenTimes, 0.99),
};
console.log(JSON.stringify(result));
await pool.destroy();

async function runTask(index: number): Promise<void> {
    while (getTime() < endsAt) {
        await complete(index);
    }
}

function complete(index: number): Promise<void> {
    const body = {
        model,
        stream: true,
        messages: [{ role: "user", content: `task ${index}` }],
        max_tokens: tokens,
        gap,
    };
    const sentAt = getTime();
    let firstAt = 0;
    return new Promise(resolve => {
        pool.dispatch(
            {
                method: "POST",
                path: "/v1/chat/completions",
                headers: { "content-type": "application/json", authorization: `Bearer ${token}`, "x-request-id": "id" },
                body: JSON.stringify(body),
            },
            {
                onRequestStart: () => undefined,
                onResponseStart: (...[, status]) => {
                    errorCount += status === 200 ? 0 : 1;
                },
                onResponseData: (...[, chunk]) => {
                    const tokensInChunk = countTokens(chunk);
                    firstAt ||= tokensInChunk > 0 ? getTime() : 0;
                },
                onResponseEnd: () => {
                    if (sentAt >= countingStartsAt) {
                        requestCount++;
                        firstTokens.push(firstAt - sentAt);
                    }
                    resolve();
                },
                onResponseError: () => {
                    errorCount++;
                    resolve();
                },
            },
        );
    });
}

/** Counts the tokens in a chunk of the response and records the transit time of the first one. */
function countTokens(chunk: Buffer): number {
    const now = getTime();
    let count = 0;
    for (let at = chunk.indexOf(ContentPrefix); at >= 0; at = chunk.indexOf(ContentPrefix, at + 1)) {
        const start = at + ContentPrefix.length;
        const tokensInText = Math.round((chunk.indexOf(Quote, start) - start) / TokenLength);
        if (tokensInText > 0 && count === 0 && now >= countingStartsAt) {
            tokenTimes.push(now - Number.parseFloat(chunk.toString("latin1", start, start + TokenLength)));
        }
        count += Math.max(0, tokensInText);
    }
    tokenCount += now >= countingStartsAt ? count : 0;
    return count;
}

function getQuantile(values: number[], quantile: number): number {
    values.sort((left, right) => left - right);
    const value = values[Math.min(values.length - 1, Math.floor(values.length * quantile))] ?? 0;
    return Number(value.toFixed(3));
}

function getTime(): number {
    return performance.timeOrigin + performance.now();
}
