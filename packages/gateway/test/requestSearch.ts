import * as core from "@boragedale/core";
import * as gateway from "@boragedale/gateway";
import * as standins from "@boragedale/standins";
import * as fixtures from "./fixtures.js";
import * as searchCallers from "./searchCallers.js";
import * as searchChecks from "./searchChecks.js";
import * as searchFleet from "./searchFleet.js";
import * as searchUpstreams from "./searchUpstreams.js";
import * as testFleet from "./testFleet.js";

/**
 * One run of a seeded search: upstreams fall silent and go on, are full, are replaced by others of a new software version, and
 * break streams off, while operators change the configuration and members stall. Returns what callers may not see.
 */

export interface SearchOptions {
    readonly memberCount: number;
    /** Whether the store and the links of one member stall as well. */
    readonly stallsMembers: boolean;
    readonly faults: searchUpstreams.RunFaults;
    readonly policy: gateway.LoadPolicy;
}

export interface SearchResult {
    readonly faults: readonly searchChecks.Fault[];
    readonly requests: number;
    readonly answered: number;
    readonly refused: number;
    readonly items: number;
}

const RunMilliseconds = 6_000;
const RequestCount = 60;
const SubmissionCount = 3;
const ItemsPerSubmission = 12;
const BetweenSilencesMilliseconds = 500;
const SettleMilliseconds = 30_000;

class Search {
    private readonly clock = new core.VirtualClock();
    private readonly metadata = new standins.MemoryMetadata(this.clock);
    private readonly upstreams: searchUpstreams.SimulatedUpstreams;
    private readonly tries: searchCallers.CallerTry[] = [];
    private readonly checks: searchChecks.RequestChecks;
    private readonly accepted: string[] = [];
    private readonly refusedSubmissions: string[] = [];
    private configurationVersion = 0;
    private started = 0;

    constructor(
        private readonly options: SearchOptions,
        private readonly random: () => number,
    ) {
        this.upstreams = new searchUpstreams.SimulatedUpstreams(this.clock, random, options.faults);
        this.checks = new searchChecks.RequestChecks(this.upstreams);
    }

    async run(): Promise<SearchResult> {
        this.configure();
        ["engines-a", "engines-a", "engines-a", "engines-b", "engines-b", "plain-a", "plain-a", "plain-b"].forEach(
            service => this.startUpstream(service, "v1"),
        );
        const fleet = await searchFleet.createFleet(
            this.clock,
            this.options.memberCount,
            this.upstreams,
            this.metadata,
            this.options.policy,
        );
        this.scheduleAll(fleet);
        await this.clock.advance(RunMilliseconds + SettleMilliseconds);
        this.checks.checkRequests(this.tries);
        await this.checkSubmissions(fleet);
        fleet.members.forEach(member => member.stop());
        const { tries } = this;
        return {
            faults: this.checks.faults,
            requests: tries.length,
            answered: tries.filter(({ response }) => response.writableFinished && response.status === 200).length,
            refused: tries.filter(({ response }) => response.writableFinished && response.status === 503).length,
            items: this.accepted.length * ItemsPerSubmission,
        };
    }

    private scheduleAll(fleet: searchFleet.SearchFleet): void {
        for (let index = 0; index < RequestCount; index++) {
            this.at(() => this.sendRequest(fleet, `p${index}`));
        }
        for (let index = 0; index < SubmissionCount; index++) {
            this.at(() => void this.submit(fleet, `s${index}`));
        }
        for (let index = 0; index < 3 + this.pick(6); index++) {
            this.at(() => this.configure());
        }
        for (let index = 0; index < 4 + this.pick(5); index++) {
            this.at(() => this.silence());
        }
        if (this.random() < 0.7) {
            this.clock.schedule((this.random() * RunMilliseconds) / 2, () => this.replaceVersion());
        }
        if (this.random() < 0.6) {
            this.at(() => this.fill());
        }
        if (this.options.stallsMembers) {
            this.at(() => this.stall(fleet));
            this.at(() => this.stall(fleet));
        }
    }

    private at(action: () => void): void {
        this.clock.schedule(this.random() * RunMilliseconds, action);
    }

    private pick(count: number): number {
        return Math.floor(this.random() * count);
    }

    private choose<T>(values: readonly T[]): T {
        return core.Debug.checkDefined(values[this.pick(values.length)], "there are values");
    }

    /** Writes a configuration with other times, services and shares. */
    private configure(): void {
        const isFirst = this.configurationVersion === 0;
        const chooseServices = (name: string): gateway.WeightedService[] => {
            const [one, other] = [`${name}-a`, `${name}-b`];
            const kind = isFirst ? 0 : this.pick(3);
            const split = [
                { service: one, weight: 1 },
                { service: other, weight: 1 + this.pick(3) },
            ];
            return kind === 0 ? [{ service: one, weight: 1 }] : kind === 1 ? [{ service: other, weight: 1 }] : split;
        };
        const createRoute = (name: string, kind: gateway.RouteKind, service: string): gateway.Route =>
            fixtures.createRoute({
                name,
                prefix: `/${name}/`,
                kind,
                services: chooseServices(service),
                timeoutMilliseconds: isFirst ? 5_000 : this.choose([1_500, 3_000, 5_000, 8_000]),
                latencyTargetMilliseconds: this.choose([200, 400, 1_000]),
                attempts: 2 + this.pick(2),
            });
        const routes = [
            createRoute("stream", gateway.RouteKind.Stream, "engines"),
            createRoute("safe", gateway.RouteKind.Safe, "plain"),
            createRoute("unsafe", gateway.RouteKind.Unsafe, "plain"),
            { ...createRoute("batch", gateway.RouteKind.Batch, "engines"), attempts: 3 },
            ...(this.random() < 0.5 ? [createRoute("safe/added", gateway.RouteKind.Safe, "plain")] : []),
        ];
        this.configurationVersion += 1 + this.pick(3);
        const services = ["engines-a", "engines-b", "plain-a", "plain-b"].map(name => ({
            name,
            healthPath: "/health",
            connectionLimit: 200,
            isEngine: searchUpstreams.EngineServices.includes(name),
        }));
        const configuration = { ...fixtures.createConfiguration(this.configurationVersion, routes), services };
        this.metadata.put("configuration", JSON.stringify(configuration));
    }

    private startUpstream(service: string, softwareVersion: string): void {
        const id = `${service}-${this.started++}`;
        this.upstreams.upstreams.set(id, {
            id,
            service,
            softwareVersion,
            eventMilliseconds: 20 + this.pick(50),
            firstMilliseconds: 10 + this.pick(300),
            silentUntil: 0,
            acceptsWhileSilent: this.random() < 0.5,
            isFull: false,
            hasLeft: false,
            running: 0,
        });
        this.writeEntry(id, gateway.UpstreamState.Ready);
    }

    private writeEntry(id: string, state: gateway.UpstreamState): void {
        const { service, softwareVersion } = core.Debug.checkDefined(
            this.upstreams.upstreams.get(id),
            "it has started",
        );
        const entry = fixtures.createUpstream(id, { service, softwareVersion, state, address: id });
        this.metadata.put(`upstreams/${id}`, JSON.stringify(entry));
    }

    /** One or two upstreams fall silent for about a second and go on. */
    private silence(): void {
        const chosen = [this.choose([...this.upstreams.upstreams.values()])];
        if (this.random() < 0.3) {
            chosen.push(this.choose([...this.upstreams.upstreams.values()]));
        }
        const now = this.clock.now();
        for (const upstream of chosen) {
            // Two silences in a row would be one that is too long for a sound upstream.
            if (now > upstream.silentUntil + BetweenSilencesMilliseconds) {
                upstream.silentUntil = now + 900 + this.random() * 700;
            }
        }
    }

    /** One upstream, or all upstreams of a service, refuse requests as full. */
    private fill(): void {
        const all = [...this.upstreams.upstreams.values()];
        const chosen = this.choose(all);
        const isWholeService = this.random() < 0.5;
        const full = isWholeService ? all.filter(({ service }) => service === chosen.service) : [chosen];
        full.forEach(upstream => (upstream.isFull = true));
        this.clock.schedule(500 + this.random() * 1_500, () => full.forEach(upstream => (upstream.isFull = false)));
    }

    /** Starts upstreams of a new version, and lets those of the old one drain and leave one after the other. */
    private replaceVersion(): void {
        const service = this.choose(searchUpstreams.EngineServices);
        const old = [...this.upstreams.upstreams.values()].filter(upstream => upstream.service === service);
        old.forEach((upstream, index) => {
            this.clock.schedule(index * 1_200, () => {
                this.startUpstream(service, "v2");
                if (this.random() < 0.3) {
                    // Some upstreams don't announce that they leave.
                    this.leave(upstream);
                    return;
                }
                this.writeEntry(upstream.id, gateway.UpstreamState.Draining);
                this.clock.schedule(3_000, () => this.leave(upstream));
            });
        });
    }

    private leave(upstream: searchUpstreams.SimulatedUpstream): void {
        this.metadata.remove(`upstreams/${upstream.id}`);
        this.clock.schedule(2_000, () => (upstream.hasLeft = true));
    }

    /** The links and the store calls of a member get no answer for a second. */
    private stall(fleet: searchFleet.SearchFleet): void {
        const member = this.choose(fleet.members);
        const milliseconds = 500 + this.random() * 1_000;
        fleet.stalls.set(member.id, this.clock.now() + milliseconds);
        if (this.random() < 0.5) {
            member.store.faults.isSilent = true;
            this.clock.schedule(milliseconds, () => (member.store.faults.isSilent = false));
        }
    }

    private sendRequest(fleet: searchFleet.SearchFleet, prompt: string): void {
        const { Stream, Safe, Unsafe } = searchCallers.RequestKind;
        const kind = this.choose([Stream, Stream, Stream, Safe, Unsafe]);
        const folder = kind === Safe && this.random() < 0.2 ? "safe/added" : kind;
        searchCallers.startCaller(
            this.clock,
            {
                kind,
                prompt,
                target: `/${folder}/x`,
                timeoutMilliseconds: this.choose([2_500, 5_000, 10_000]),
                isSlow: this.random() < 0.2,
                leavesAfter: this.random() < 0.05 ? this.random() * 1_500 : undefined,
                chooseMember: () => this.choose(fleet.members),
                random: this.random,
            },
            this.tries,
        );
    }

    private async submit(fleet: searchFleet.SearchFleet, id: string): Promise<void> {
        const items = fixtures
            .createItems(ItemsPerSubmission, id)
            .map(item => ({ ...item, body: Buffer.from(item.id) }));
        for (let tries = 0; tries < 4; tries++) {
            const deadline = this.clock.now() + 3_000;
            const submission = { id, host: "host", target: "/batch/x", items, customer: undefined, deadline };
            const outcome = await this.choose(fleet.members).submissions.accept(submission);
            if (outcome.ok) {
                this.accepted.push(id);
                void this.readRepeatedly(fleet, id);
                return;
            }
        }
        this.refusedSubmissions.push(id);
    }

    /** Reads at any member about twice per second. A read that is answered must know the submission. */
    private async readRepeatedly(fleet: searchFleet.SearchFleet, id: string): Promise<void> {
        let seen = 0;
        for (let round = 0; round < 40; round++) {
            await this.clock.sleep(500);
            const member = this.choose(fleet.members);
            const name = { id, customer: undefined };
            const page = await member.submissions.read(name, Math.max(0, seen - 2), this.choose([0, 1_000]));
            if (!page.ok && page.reason === gateway.RefusalReason.UnknownSubmission) {
                this.report(searchChecks.FaultKind.Submission, `${id} is unknown at ${member.id}`);
            }
            if (page.ok && page.value.total !== ItemsPerSubmission) {
                this.report(searchChecks.FaultKind.Submission, `${id} has ${page.value.total} items at ${member.id}`);
            }
            seen = page.ok ? Math.max(seen, page.value.next) : seen;
            const item = `${id}-${this.pick(ItemsPerSubmission)}`;
            const body = await this.choose(fleet.members).submissions.readBody(name, item);
            if (
                body.ok
                    ? Buffer.from(body.value).toString() !== item
                    : body.reason === gateway.RefusalReason.UnknownItem
            ) {
                this.report(searchChecks.FaultKind.Submission, `the body of ${item} is wrong or unknown`);
            }
        }
    }

    private async checkSubmissions(fleet: searchFleet.SearchFleet): Promise<void> {
        for (const id of this.accepted) {
            for (const member of [fleet.members[0], fleet.members.at(-1)]) {
                const read = member?.submissions.read({ id, customer: undefined }, 0, 0);
                const page = read && (await testFleet.advanceUntilSettled(this.clock, read));
                const results = page?.ok === true ? page.value.results : [];
                const ids = new Set(results.map(result => result.id));
                if (results.length !== ItemsPerSubmission || ids.size !== ItemsPerSubmission) {
                    this.report(
                        searchChecks.FaultKind.Submission,
                        `${id} lists ${results.length} results, ${ids.size} items`,
                    );
                }
                results.forEach(result => this.checkResult(result));
            }
        }
        for (const { attempt } of this.upstreams.runs) {
            if (this.refusedSubmissions.some(id => attempt.startsWith(`${id}-`))) {
                this.report(searchChecks.FaultKind.FalsePromise, `${attempt} ran, and its submission was refused`);
            }
        }
    }

    private checkResult({ id, text, state }: gateway.BatchResult): void {
        const lines = text.split("\n").map(line => line.split("/"));
        const isWhole =
            state === gateway.ResultState.Completed &&
            lines.length === searchUpstreams.countEvents(id) &&
            lines.every(([, , prompt, position], index) => prompt === id && position === String(index)) &&
            new Set(lines.map(([service, version]) => `${service}/${version}`)).size === 1;
        if (!isWhole) {
            this.report(searchChecks.FaultKind.Submission, `the result of ${id} is ${state}: ${text}`);
        }
    }

    private report(kind: searchChecks.FaultKind, text: string): void {
        this.checks.faults.push({ kind, text, isSilence: false });
    }
}

export async function runSearch(seed: number, options: SearchOptions): Promise<SearchResult> {
    return new Search(options, createRandom(seed)).run();
}

/** A generator of numbers from 0 up to but excluding 1 (mulberry32). */
export function createRandom(seed: number): () => number {
    let state = seed >>> 0;
    return () => {
        state = (state + 0x6d2b79f5) >>> 0;
        let mixed = Math.imul(state ^ (state >>> 15), state | 1);
        mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
        return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296;
    };
}
