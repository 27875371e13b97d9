import * as core from "@boragedale/core";
import * as undici from "undici";
import * as zod from "zod";
import * as httpCall from "./httpCall.js";
import * as services from "./services.js";

export interface HttpReaderOptions {
    /** Base URL of the service. */
    readonly url: string;
    /** Timeout of one read. */
    readonly timeoutMilliseconds?: number;
}

const DefaultTimeoutMilliseconds = 1_000;

const listShape = zod.object({ instances: zod.array(zod.unknown()) });
const instanceShape = zod.object({
    id: zod.string().min(1),
    dataCentre: zod.string(),
    state: zod.enum(core.LifecycleState),
    callerUrl: zod.string(),
    peerUrl: zod.string(),
    operatorUrl: zod.string(),
});

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
        const parsed = listShape.safeParse(httpCall.tryParseJson(outcome.body));
        return parsed.success ? parsed.data.instances.flatMap(parseInstance) : undefined;
    }

    async [Symbol.asyncDispose](): Promise<void> {
        await this.dispatcher.destroy();
    }
}

/** Returns an empty array for an invalid line, so that it doesn't hide the others. */
function parseInstance(line: unknown): readonly core.InstanceDescription[] {
    const parsed = instanceShape.safeParse(line);
    return parsed.success ? [parsed.data] : [];
}
