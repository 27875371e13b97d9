import type * as core from "@boragedale/core";
import * as undici from "undici";
import * as httpCall from "./httpCall.js";
import type * as httpInstanceList from "./httpInstanceList.js";
import * as services from "./services.js";

const DefaultTimeoutMilliseconds = 2_000;

/** The weight store over HTTP. Requests only sizes; engines download the weights themselves. */
export class HttpWeightStore extends services.WeightStore implements AsyncDisposable {
    private readonly dispatcher = new undici.Agent();

    constructor(private readonly options: httpInstanceList.HttpReaderOptions) {
        super();
    }

    override async tryGetBytes(model: core.ModelId, version: string): Promise<number | undefined> {
        const outcome = await httpCall.call(this.dispatcher, {
            method: "HEAD",
            url: `${this.options.url}/models/${encodeURIComponent(model)}/${encodeURIComponent(version)}`,
            timeoutMilliseconds: this.options.timeoutMilliseconds ?? DefaultTimeoutMilliseconds,
        });
        if (outcome.kind !== httpCall.CallOutcomeKind.Answered || outcome.status !== 200) {
            return undefined;
        }
        const bytes = Number(outcome.headers["content-length"]);
        return Number.isSafeInteger(bytes) ? bytes : undefined;
    }

    async [Symbol.asyncDispose](): Promise<void> {
        await this.dispatcher.destroy();
    }
}
