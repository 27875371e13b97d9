import * as http from "node:http";
import * as timers from "node:timers/promises";
import * as platform from "@boragedale/platform";
import * as standins from "@boragedale/platform-standins";
import type * as plan from "./plan.js";
import type * as site from "./site.js";
import * as verdict from "./verdict.js";

const MaximumRefusals = 8;
/** Callers give up an answer that brings no event for this time. */
const GapMilliseconds = 2_000;
const ReconnectMilliseconds = 100;
/** Callers wait at most this share of their remaining time for `Retry-After`. */
const RetryAfterShare = 1 / 3;

/** Sends streams as callers of the platform do: the first attempt on a kept connection, each further one on a new one. */
export class StreamCallers implements Disposable {
    private readonly agents = new Map<number, http.Agent>();
    private readonly startedAt = performance.now();

    constructor(
        private readonly environment: site.Site,
        /** How long a caller goes on trying to get the whole stream. */
        private readonly milliseconds: number,
        private readonly random: () => number,
    ) {}

    [Symbol.dispose](): void {
        this.agents.forEach(agent => agent.destroy());
    }

    /** Sends one stream, continues it whenever it breaks, and returns all attempts. */
    async run(stream: plan.PlannedStream): Promise<readonly verdict.SeenAttempt[]> {
        await timers.setTimeout(stream.at);
        const attempts: verdict.SeenAttempt[] = [];
        const deadline = performance.now() + this.milliseconds;
        let gateway = stream.gateway;
        let refusals = 0;
        let first: { readonly attempt: string; readonly softwareVersion: string } | undefined;
        let last: number | undefined;
        while (performance.now() < deadline && refusals < MaximumRefusals) {
            const attempt = `${stream.name}-${attempts.length}`;
            const headers: http.OutgoingHttpHeaders = {
                Host: standins.DemoHost,
                [platform.names.AttemptIdHeader]: attempt,
                [platform.names.TimeoutHeader]: Math.round(deadline - performance.now()),
                ...(first === undefined ? {} : { [platform.names.LastEventIdHeader]: last, Resumes: first.attempt }),
            };
            const agent = attempts.length === 0 ? this.getAgent(gateway) : false;
            const target = `/stream/events/${stream.events}`;
            const seen = await this.send(gateway, target, headers, agent, deadline);
            const isVersionReady = first !== undefined && this.environment.hasReadyUpstream(first.softwareVersion);
            attempts.push({ ...seen.attempt, isVersionReady });
            const { events } = verdict.parseEvents(seen.attempt.status === 200 ? seen.attempt.text : "");
            const [event] = events;
            if (first === undefined && event !== undefined) {
                first = { attempt, softwareVersion: event.softwareVersion };
            }
            last = events.at(-1)?.number ?? last;
            const { status, isComplete } = seen.attempt;
            if (status === 200 && isComplete) {
                break;
            }
            if (status === 503 || status === 429) {
                refusals++;
                const longest = (deadline - performance.now()) * RetryAfterShare;
                await timers.setTimeout(Math.max(0, Math.min(seen.retryAfterMilliseconds, longest)));
            }
            else if (status === 0) {
                await timers.setTimeout(ReconnectMilliseconds);
            }
            gateway = await this.chooseOther(gateway, deadline);
        }
        return attempts;
    }

    private getAgent(gateway: number): http.Agent {
        const agent = this.agents.get(gateway) ?? new http.Agent({ keepAlive: true });
        this.agents.set(gateway, agent);
        return agent;
    }

    /** Chooses another gateway in rotation; waits while there is none. */
    private async chooseOther(gateway: number, deadline: number): Promise<number> {
        for (;;) {
            const all = [...this.environment.gateways.keys()];
            const running = all.filter(index => this.environment.gateways[index]?.isInRotation);
            const others = running.filter(index => index !== gateway);
            const candidates = others.length > 0 ? others : running;
            const chosen = candidates[Math.floor(this.random() * candidates.length)];
            if (chosen !== undefined || performance.now() > deadline) {
                return chosen ?? gateway;
            }
            await timers.setTimeout(ReconnectMilliseconds);
        }
    }

    private async send(
        gateway: number,
        target: string,
        headers: http.OutgoingHttpHeaders,
        agent: http.Agent | false,
        deadline: number,
    ): Promise<{ readonly attempt: Omit<verdict.SeenAttempt, "isVersionReady">; retryAfterMilliseconds: number }> {
        const startedAt = Math.round(performance.now() - this.startedAt);
        const url = `http://${this.environment.gateways[gateway]?.callerAddress}${target}`;
        return new Promise(resolve => {
            let text = "";
            let gapTimer: NodeJS.Timeout | undefined;
            const request = http.request(url, { method: "POST", headers, agent });
            const expectEvent = (): void => {
                clearTimeout(gapTimer);
                const wait = Math.min(GapMilliseconds, deadline - performance.now());
                gapTimer = setTimeout(() => request.destroy(), Math.max(1, wait));
            };
            const finish = (status: number, isComplete: boolean, retryAfter: string | undefined): void => {
                clearTimeout(gapTimer);
                const endedAt = Math.round(performance.now() - this.startedAt);
                const retryAfterMilliseconds = Number(retryAfter ?? 0) * 1_000;
                const attempt = { gateway, startedAt, endedAt, status, text, isComplete };
                resolve({ attempt, retryAfterMilliseconds });
            };
            expectEvent();
            request.once("error", () => finish(0, false, undefined));
            request.once("response", response => {
                response.on("data", (data: Buffer) => {
                    text += data.toString();
                    expectEvent();
                });
                response.on("error", () => undefined);
                response.once("close", () =>
                    finish(response.statusCode ?? 0, response.complete, response.headers["retry-after"]),
                );
            });
            request.end(`body of ${String(headers[platform.names.AttemptIdHeader])}`);
        });
    }
}
