import * as http from "node:http";
import * as timers from "node:timers/promises";
import * as platform from "@boragedale/platform";
import * as standins from "@boragedale/platform-standins";
import type * as site from "./site.js";
import * as verdict from "./verdict.js";

const PollMilliseconds = 400;
const AnswerMilliseconds = 2_500;
/** Items that take longer are only counted as unfinished. */
const FinishMilliseconds = 25_000;

export interface BatchResult {
    readonly complete: number;
    readonly deadLetters: number;
    readonly unfinished: number;
    readonly violations: readonly verdict.Violation[];
}

interface ItemResult {
    readonly Id: string;
    readonly State: string;
    readonly Text: string;
}

/** Submits one batch of items, repeats it until it is accepted, and reads its results at any gateway. */
export async function runBatch(environment: site.Site, count: number, random: () => number): Promise<BatchResult> {
    const lengths = [...new Array(count).keys()].map(() => 20 + Math.floor(random() * 60));
    const items = lengths.map((length, index) => ({
        Id: `item-${index}`,
        Path: `/batch/events/${length}`,
        Headers: {},
        Body: Buffer.from(`item ${index}`).toString("base64"),
        Tokens: 10,
    }));
    const endsAt = performance.now() + FinishMilliseconds;
    const choose = (): string | undefined => {
        const running = environment.gateways.filter(gateway => gateway.isInRotation);
        return running[Math.floor(random() * running.length)]?.callerAddress;
    };
    let isAccepted = count === 0;
    let results: readonly ItemResult[] = [];
    while (results.length < count && performance.now() < endsAt) {
        const address = choose();
        if (address !== undefined && !isAccepted) {
            isAccepted = (await send(address, "POST", "/batch/x", JSON.stringify({ Items: items }))).status === 202;
        }
        else if (address !== undefined) {
            const page = await send(address, "GET", `${platform.names.SubmissionPathPrefix}soak-batch?After=0`);
            results = page.status === 200 ? (JSON.parse(page.body) as { Results: ItemResult[] }).Results : results;
        }
        await timers.setTimeout(PollMilliseconds);
    }
    const complete = results.filter(result => result.State === "complete");
    const violations = complete.flatMap(result =>
        verdict.judgeItem(result.Text, lengths[Number(result.Id.slice("item-".length))] ?? 0),
    );
    return {
        complete: complete.length,
        deadLetters: results.length - complete.length,
        unfinished: count - results.length,
        violations,
    };
}

/** The status is 0 if there is no complete answer. */
async function send(
    address: string,
    method: string,
    target: string,
    body = "",
): Promise<{ readonly status: number; readonly body: string }> {
    const headers = { Host: standins.DemoHost, [platform.names.AttemptIdHeader]: "soak-batch" };
    return new Promise(resolve => {
        const signal = AbortSignal.timeout(AnswerMilliseconds);
        const options = { method, headers, agent: false, signal } as const;
        const request = http.request(`http://${address}${target}`, options, response => {
            let text = "";
            response.on("data", (data: Buffer) => (text += data.toString()));
            response.on("error", () => undefined);
            response.once("close", () =>
                resolve({ status: response.complete ? (response.statusCode ?? 0) : 0, body: text }),
            );
        });
        request.once("error", () => resolve({ status: 0, body: "" }));
        request.end(body);
    });
}
