import type * as core from "@boragedale/core";
import * as undici from "undici";
import * as httpCall from "./httpCall.js";
import * as services from "./services.js";

export interface HttpReaderOptions {
    /** Base URL of the service. */
    readonly url: string;
    /** Longest time for one read, in milliseconds. */
    readonly timeoutMilliseconds?: number;
}

const DefaultTimeoutMilliseconds = 1_000;

/** The platform's instance list over HTTP. */
export class HttpInstanceList extends services.InstanceList implements AsyncDisposable {
    private readonly dispatcher = new undici.Agent();

    constructor(private readonly options: HttpReaderOptions) {
        super();
    }

    override async tryRead(): Promise<readonly core.InstanceDescription[] | undefined> {
        const outcome = await httpCall.call(this.dispatcher, {
            method: "GET",
            url: `${this.options.url}/instances`,
            timeoutMilliseconds: this.options.timeoutMilliseconds ?? DefaultTimeoutMilliseconds,
        });
        if (outcome.kind !== httpCall.CallOutcomeKind.Answered || outcome.status !== 200) {
            return undefined;
        }
        const parsed = httpCall.tryParseJson(outcome.body) as
            { readonly instances?: readonly core.InstanceDescription[] } | undefined;
        return Array.isArray(parsed?.instances) ? parsed.instances : undefined;
    }

    async [Symbol.asyncDispose](): Promise<void> {
        await this.dispatcher.destroy();
    }
}
