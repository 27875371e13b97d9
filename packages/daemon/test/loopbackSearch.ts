import * as timers from "node:timers/promises";
import * as core from "@boragedale/core";
import * as platform from "@boragedale/platform";
import * as standins from "@boragedale/platform-standins";
import * as fixtures from "./fixtures.js";
import * as loopbackCallers from "./loopbackCallers.js";
import * as silentProxy from "./silentProxy.js";

/**
 * One run of a seeded search over loopback: upstreams fall silent for about a second and go on, or are full for a while, the
 * configuration changes, and callers keep connections. Returns what callers may not see.
 */

export interface LoopbackResult {
    readonly faults: readonly string[];
    /** Answers that may be explained by a silence limit, which the search in virtual time checks. */
    readonly silences: number;
    readonly answers: Readonly<Record<string, number>>;
}

const RunMilliseconds = 4_000;
const CallerCount = 60;
const GatewayCount = 3;
const StreamEvents = 20;
const EventMilliseconds = 40;
const LargeBodyBytes = 1_500_000;
/** The shortest timeout of a route. */
const ShortestTimeoutMilliseconds = 4_000;
/** All servers and callers share one process here, so only answers that never come are told by time. */
const TimeoutToleranceMilliseconds = 4_000;
const ItemCount = 20;
const IdleLimits = [1_500, 3_000, 6_000];
const Targets = ["/stream/x", "/once-stream/x", "/safe/x", "/once/x", "/large/x"];

interface Upstream {
    readonly server: standins.UpstreamServer;
    readonly proxy: silentProxy.SilentProxy;
}

class LoopbackSearch {
    private readonly upstreams: Upstream[] = [];
    private readonly faults: string[] = [];
    private readonly answers: Record<string, number> = {};
    private silences = 0;
    private version = 0;
    private idleLimit = IdleLimits[0] ?? 0;
    private previousIdleLimit = this.idleLimit;
    private sent = 0;
    private endsAt = 0;

    constructor(
        private readonly store: standins.StoreServer,
        private readonly stack: core.DisposalStack,
        private readonly random: () => number,
    ) {}

    async run(): Promise<LoopbackResult> {
        for (const service of ["engines-a", "engines-a", "engines-b", "plain-a", "plain-a", "plain-b", "large"]) {
            await this.startUpstream(service);
        }
        this.configure();
        const gateways: fixtures.StartedGateway[] = [];
        for (let index = 0; index < GatewayCount; index++) {
            const started = await fixtures.startGateway(`gateway-${index}`, this.store.address);
            this.stack.defer(() => started.stop());
            gateways.push(started);
        }
        await fixtures.waitUntil(async () => {
            const answers = await Promise.all(gateways.map(started => fixtures.get(started.addresses.readiness, "/")));
            return answers.every(answer => answer.status === 200);
        });
        const addresses = gateways.map(started => started.addresses.caller);
        this.endsAt = performance.now() + RunMilliseconds;
        const callers = [...new Array(CallerCount).keys()].map(index => this.call(`c${index}`, addresses));
        const submissions = ["s0", "s1"].map(id => this.submit(id, addresses));
        await Promise.all([this.operate(), this.disturb(), ...callers, ...submissions]);
        return { faults: this.faults, silences: this.silences, answers: this.answers };
    }

    private async startUpstream(service: string): Promise<void> {
        const id = `${service}-${this.upstreams.length}`;
        const isEngine = service.startsWith("engines");
        const server = this.stack.use(
            await standins.startUpstreamServer({
                id,
                events: StreamEvents,
                eventMilliseconds: EventMilliseconds,
                isEngine,
                ...(service === "large" ? { bodyBytes: LargeBodyBytes } : {}),
            }),
        );
        const proxy = this.stack.use(await silentProxy.startProxy(server.address));
        this.upstreams.push({ server, proxy });
        standins.writeUpstream(this.store.metadata, id, service, proxy.address);
    }

    private choose<T>(values: readonly T[]): T {
        return core.Debug.checkDefined(values[Math.floor(this.random() * values.length)], "there are values");
    }

    private configure(): void {
        this.version += 1 + Math.floor(this.random() * 3);
        const pickServices = (name: string): readonly string[] => {
            const kind = this.version < 4 ? 0 : Math.floor(this.random() * 3);
            const both = [`${name}-a`, `${name}-b`];
            return kind === 2 ? both : both.slice(kind, kind + 1);
        };
        const createRoute = (
            name: string,
            kind: standins.SharedRoute["kind"],
            services: readonly string[],
        ): standins.SharedRoute => ({
            name,
            kind,
            services,
            timeoutMilliseconds: this.choose([ShortestTimeoutMilliseconds, 6_000, 8_000]),
            isResumable: name === "stream",
        });
        this.previousIdleLimit = this.idleLimit;
        this.idleLimit = this.choose(IdleLimits);
        standins.writeSharedConfiguration(this.store.metadata, {
            version: this.version,
            routes: [
                createRoute("stream", "stream", pickServices("engines")),
                createRoute("once-stream", "stream", pickServices("engines")),
                createRoute("safe", "safe", pickServices("plain")),
                createRoute("once", "unsafe", pickServices("plain")),
                createRoute("large", "unsafe", ["large"]),
                createRoute("batch", "bulk", pickServices("engines")),
                ...(this.random() < 0.5 ? [createRoute("safe/added", "safe", pickServices("plain"))] : []),
            ],
            services: ["engines-a", "engines-b", "plain-a", "plain-b", "large"],
            idleTimeoutMilliseconds: this.idleLimit,
        });
    }

    private async operate(): Promise<void> {
        while (performance.now() < this.endsAt) {
            await timers.setTimeout(100 + this.random() * 900);
            this.configure();
        }
    }

    private async disturb(): Promise<void> {
        while (performance.now() < this.endsAt) {
            await timers.setTimeout(100 + this.random() * 400);
            const { proxy, server } = this.choose(this.upstreams);
            if (this.random() < 0.8) {
                proxy.silence(900 + this.random() * 700);
            }
            else {
                server.faults.isFull = true;
                void timers.setTimeout(this.random() * 1_000).then(() => (server.faults.isFull = false));
            }
        }
    }

    /** Sends one request after the other on a kept connection, which is idle for up to four fifths of its limit. */
    private async call(name: string, addresses: readonly string[]): Promise<void> {
        using caller = new loopbackCallers.KeepingCaller(this.choose(addresses), this.random);
        while (performance.now() < this.endsAt) {
            const limit = Math.min(this.idleLimit, this.previousIdleLimit) * 0.8;
            await timers.setTimeout(this.random() * (this.random() < 0.2 ? limit : 200));
            const target = this.choose(Targets);
            const attempt = `${name}-${this.sent++}`;
            const timeoutMilliseconds = this.choose([3_500, 6_000]);
            const pauseMilliseconds = this.random() < 0.2 ? 400 : 0;
            const seen = await caller.send({ attempt, target, timeoutMilliseconds, pauseMilliseconds });
            this.check(seen, 0);
            if (target === "/stream/x" && !seen.isComplete && seen.body.includes("\n\n")) {
                await this.continueStream(seen, addresses, pauseMilliseconds);
            }
        }
    }

    private async continueStream(
        broken: loopbackCallers.SeenAnswer,
        addresses: readonly string[],
        pauseMilliseconds: number,
    ): Promise<void> {
        const events = broken.body.split("\n\n").length - 1;
        using caller = new loopbackCallers.KeepingCaller(this.choose(addresses), this.random);
        const continued = { first: broken.attempt, after: events - 1 };
        const { target, timeoutMilliseconds } = broken;
        const attempt = `${broken.attempt}-continued`;
        const seen = await caller.send({ attempt, target, timeoutMilliseconds, pauseMilliseconds, continued });
        this.check(seen, events);
    }

    private check(seen: loopbackCallers.SeenAnswer, eventsBefore: number): void {
        const { attempt, target, status, body, isComplete } = seen;
        const kind = `${target} ${status}${isComplete ? "" : " incomplete"}`;
        this.answers[kind] = (this.answers[kind] ?? 0) + 1;
        const runs = this.upstreams.filter(({ server }) => server.received.some(run => run.attempt === attempt));
        const isRepeatable = target === "/stream/x" || target === "/safe/x";
        const isLate = seen.milliseconds > Math.min(seen.timeoutMilliseconds, ShortestTimeoutMilliseconds) - 100;
        const report = (text: string): void => {
            const { error, isReused, idleMilliseconds, milliseconds } = seen;
            const connection = isReused ? `connection idle for ${Math.round(idleMilliseconds)} ms` : "new connection";
            const where = `${connection}, ${runs.length} runs, ended after ${Math.round(milliseconds)} ms`;
            this.faults.push(`${text}: ${attempt} ${kind}, ${where}, ${error}, limit ${this.idleLimit}`);
        };
        if (seen.milliseconds > seen.timeoutMilliseconds + TimeoutToleranceMilliseconds && seen.status !== 200) {
            report("unanswered at the deadline");
        }
        if (status === 503 && runs.length > 0) {
            report("refused after it had run");
        }
        if (!isRepeatable && runs.length > 1) {
            report("run twice");
        }
        const expected = target.includes("stream")
            ? standins.formatEvents(eventsBefore, StreamEvents)
            : `answer to ${attempt}`.padEnd(target === "/large/x" ? LargeBodyBytes : 0, ".");
        if (status === 200 && (isComplete ? body !== expected : !expected.startsWith(body))) {
            report("wrong text");
        }
        const isFailure = status !== 200 && status !== 503 && status !== 429 && status !== 404;
        if ((isFailure || !isComplete) && !isLate) {
            if (isRepeatable && status !== 0) {
                this.silences++;
            }
            else {
                report("failed or broken off");
            }
        }
    }

    private async submit(id: string, addresses: readonly string[]): Promise<void> {
        await timers.setTimeout(this.random() * 3_000);
        const items = [...new Array(ItemCount).keys()].map(index => ({
            Id: `${id}-${index}`,
            Path: `/batch/item/${index}`,
            Headers: {},
            Body: Buffer.from(`body ${index}`).toString("base64"),
            Tokens: 10,
        }));
        const headers = { [platform.names.AttemptIdHeader]: id };
        const body = JSON.stringify({ Items: items });
        const accepted = await fixtures.send(this.choose(addresses), "/batch/s", { headers, body });
        if (accepted.status !== 202) {
            this.faults.push(`submission ${id} got ${accepted.status}`);
            return;
        }
        const whole = [...new Array(StreamEvents).keys()].map(event => `token ${event}`).join("\n");
        let results: readonly { readonly Id: string; readonly State: string; readonly Text: string }[] = [];
        await fixtures.waitUntil(async () => {
            await timers.setTimeout(200);
            const target = `${platform.names.SubmissionPathPrefix}${id}?After=0`;
            const page = await fixtures.get(this.choose(addresses), target);
            if (page.status === 404) {
                this.faults.push(`submission ${id} is unknown`);
            }
            results = page.status === 200 ? (JSON.parse(page.body) as { Results: typeof results }).Results : results;
            return results.length >= ItemCount;
        });
        const ids = new Set(results.map(result => result.Id));
        if (ids.size !== ItemCount || results.some(result => result.Text !== whole)) {
            this.faults.push(`submission ${id} has wrong results`);
        }
    }
}

export async function runLoopbackSearch(random: () => number): Promise<LoopbackResult> {
    await using stack = new core.DisposalStack();
    const store = stack.use(await standins.startStoreServer());
    // Awaited here, since the servers are disposed on return.
    return await new LoopbackSearch(store, stack, random).run();
}
