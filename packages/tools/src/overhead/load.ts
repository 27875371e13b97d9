import * as undici from "undici";

/**
 * Sends completions from a number of tasks for a time, each task one after the other, and prints what it saw as one JSON
 * line. Run as a process of its own: its cost must not slow what it measures.
 *
 * Arguments: URL, token, model, tasks, tokens of an answer, gap between tokens in milliseconds, seconds.
 */

/** What one load process saw. Times in milliseconds. */
export interface LoadResult {
    readonly requestsPerSecond: number;
    readonly tokensPerSecond: number;
    readonly errors: number;
    readonly firstTokenP50: number;
    readonly firstTokenP99: number;
    /** From the engine's sending of a token to its arrival here. */
    readonly tokenP50: number;
    readonly tokenP99: number;
}

/** Part of the time after which counting begins: compilers and connections are warm by then. */
const WarmUpShare = 0.3;
const ContentMark = Buffer.from('"content":"');
/** A token is the time at which it was sent, 17 characters and a space; an instance may send several as one text. */
const TokenLength = 18;
const Quote = 0x22;

const [url = "", token = "", model = "", ...numbers] = process.argv.slice(2);
const [tasks = 1, tokens = 1, gap = -1, seconds = 1] = numbers.map(Number);

const startedAt = getTime();
const countsFrom = startedAt + seconds * 1_000 * WarmUpShare;
const endsAt = startedAt + seconds * 1_000;
const firstTokens: number[] = [];
const tokenTimes: number[] = [];
let requestCount = 0;
let tokenCount = 0;
let errorCount = 0;

const pool = new undici.Pool(url, { connections: tasks, pipelining: 1 });
await Promise.all(Array.from({ length: tasks }, (...[, index]: [unknown, number]) => runTask(index)));
const counted = (getTime() - countsFrom) / 1_000;
const result: LoadResult = {
    requestsPerSecond: Math.round(requestCount / counted),
    tokensPerSecond: Math.round(tokenCount / counted),
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
                onResponseData: (...[, piece]) => {
                    const seen = countTokens(piece);
                    firstAt ||= seen > 0 ? getTime() : 0;
                },
                onResponseEnd: () => {
                    if (sentAt >= countsFrom) {
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

/** Counts the tokens of a piece and takes the time of its first one. */
function countTokens(piece: Buffer): number {
    const now = getTime();
    let count = 0;
    for (let at = piece.indexOf(ContentMark); at >= 0; at = piece.indexOf(ContentMark, at + 1)) {
        const start = at + ContentMark.length;
        const held = Math.round((piece.indexOf(Quote, start) - start) / TokenLength);
        if (held > 0 && count === 0 && now >= countsFrom) {
            tokenTimes.push(now - Number.parseFloat(piece.toString("latin1", start, start + TokenLength)));
        }
        count += Math.max(0, held);
    }
    tokenCount += now >= countsFrom ? count : 0;
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
