import * as http from "node:http";
import * as timers from "node:timers/promises";
import * as platform from "@boragedale/platform";
import * as standins from "@boragedale/platform-standins";

/** Callers that keep their connections, read slowly and continue broken streams. */

/** What a caller has seen of one request. */
export interface SeenAnswer {
    readonly attempt: string;
    readonly target: string;
    /** 0 if there was no answer. */
    readonly status: number;
    readonly body: string;
    readonly isComplete: boolean;
    readonly error: string;
    /** Whether the connection had served an earlier request, and how long it had been idle. */
    readonly isReused: boolean;
    readonly idleMilliseconds: number;
    readonly milliseconds: number;
    readonly timeoutMilliseconds: number;
}

export interface CallerRequest {
    readonly attempt: string;
    readonly target: string;
    readonly timeoutMilliseconds: number;
    /** Longest time for which the caller reads nothing after a piece; 0 if it reads at once. */
    readonly pauseMilliseconds: number;
    readonly continued?: { readonly first: string; readonly after: number };
}

/** A caller with one kept connection to one gateway. */
export class KeepingCaller implements Disposable {
    private readonly agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
    private idleSince = performance.now();

    constructor(
        readonly address: string,
        private readonly random: () => number,
    ) {}

    [Symbol.dispose](): void {
        this.agent.destroy();
    }

    async send(sent: CallerRequest): Promise<SeenAnswer> {
        const startedAt = performance.now();
        const idleMilliseconds = startedAt - this.idleSince;
        const { attempt, target, timeoutMilliseconds, continued } = sent;
        const headers: Record<string, string> = {
            Host: standins.DemoHost,
            [platform.names.AttemptIdHeader]: attempt,
            [platform.names.TimeoutHeader]: String(timeoutMilliseconds),
        };
        if (continued !== undefined) {
            headers[platform.names.LastEventIdHeader] = String(continued.after);
            headers["Resumes"] = continued.first;
        }
        const url = `http://${this.address}${target}`;
        const request = http.request(url, { method: "POST", headers, agent: this.agent });
        return new Promise(resolve => {
            let body = "";
            const finish = (status: number, isComplete: boolean, error: string): void => {
                this.idleSince = performance.now();
                const milliseconds = this.idleSince - startedAt;
                const isReused = request.reusedSocket;
                const seen = { status, body, isComplete, error, isReused, idleMilliseconds, milliseconds };
                resolve({ attempt, target, timeoutMilliseconds, ...seen });
            };
            request.once("error", error => finish(0, false, error.message));
            request.once("response", response => {
                const status = response.statusCode ?? 0;
                void this.read(response, sent.pauseMilliseconds, text => (body += text)).then(
                    () => finish(status, response.complete, ""),
                    (error: unknown) => finish(status, false, String(error)),
                );
            });
            request.end(`body of ${attempt}`);
        });
    }

    private async read(
        response: http.IncomingMessage,
        pauseMilliseconds: number,
        onText: (text: string) => void,
    ): Promise<void> {
        for await (const piece of response as AsyncIterable<Buffer>) {
            onText(piece.toString());
            if (pauseMilliseconds > 0 && this.random() < 0.3) {
                await timers.setTimeout(this.random() * pauseMilliseconds);
            }
        }
    }
}
