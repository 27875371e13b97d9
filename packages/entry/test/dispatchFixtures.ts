import * as core from "@boragedale/core";
import * as release from "@boragedale/release";
import * as standins from "@boragedale/standins";
import * as telemetry from "@boragedale/telemetry";
import * as upstreams from "@boragedale/upstreams";
import * as work from "@boragedale/work";
import * as dispatch from "../src/dispatch/index.js";

/** A release note keeper in memory. The test sets its note. */
export class MemoryNoteKeeper extends release.NoteCache {
    private readonly listeners = new Set<(note: core.NoteInForce) => void>();
    private note: core.NoteInForce | undefined;

    constructor(fleet: core.FleetDescription | undefined) {
        super();
        this.note = fleet === undefined ? undefined : createNote(1, fleet);
    }

    setFleet(fleet: core.FleetDescription): void {
        const note = createNote((this.note?.generation ?? 0) + 1, fleet);
        this.note = note;
        this.listeners.forEach(listener => listener(note));
    }

    override tryGetNote(): core.NoteInForce | undefined {
        return this.note;
    }

    override onNote(listener: (note: core.NoteInForce) => void): () => void {
        this.listeners.add(listener);
        return () => this.listeners.delete(listener);
    }

    override isConfirmed(): boolean {
        return true;
    }

    override async [Symbol.asyncDispose](): Promise<void> {}
}

/** A ledger in memory that the instances of a test share. `isDown` makes it unavailable. */
export class MemoryLedger extends work.CallLedger {
    readonly records = new Map<string, work.CallRecord>();
    isDown = false;

    override async begin(request: work.CallRequest): Promise<work.BeginOutcome> {
        if (this.isDown) {
            return { kind: work.BeginKind.Unavailable, text: "down" };
        }
        const found = this.records.get(formatIdentity(request));
        if (found === undefined) {
            const record: work.CallRecord = {
                ...request,
                state: work.CallState.Started,
                attempt: 1,
                instance: "instance-1",
                startedAt: 0,
            };
            this.records.set(formatIdentity(request), record);
            return { kind: work.BeginKind.Started, record };
        }
        if (found.fingerprint !== request.fingerprint) {
            return { kind: work.BeginKind.KeyReused };
        }
        if (found.result !== undefined) {
            return { kind: work.BeginKind.Finished, result: found.result };
        }
        if (found.state === work.CallState.OutcomeUnknown) {
            return { kind: work.BeginKind.OutcomeUnknown };
        }
        const kind = found.instance === "gone" ? work.BeginKind.Orphaned : work.BeginKind.InFlight;
        return { kind, record: found };
    }

    override async finish(record: work.CallRecord, result: work.CallResult): Promise<boolean> {
        this.records.set(formatIdentity(record), { ...record, state: work.CallState.Finished, result });
        return true;
    }

    override async release(record: work.CallRecord): Promise<void> {
        this.records.delete(formatIdentity(record));
    }

    override async takeOver(record: work.CallRecord): Promise<work.CallRecord | undefined> {
        const taken = { ...record, instance: "instance-1", attempt: record.attempt + 1 };
        this.records.set(formatIdentity(record), taken);
        return taken;
    }

    override async markOutcomeUnknown(record: work.CallRecord): Promise<void> {
        this.records.set(formatIdentity(record), { ...record, state: work.CallState.OutcomeUnknown });
    }

    override async read(identity: work.CallIdentity): Promise<core.Outcome<work.CallRecord | undefined>> {
        return core.createSuccess(this.records.get(formatIdentity(identity)));
    }

    override async waitForResult(
        identity: work.CallIdentity,
        signal: AbortSignal,
    ): Promise<work.CallRecord | undefined> {
        for (;;) {
            const record = this.records.get(formatIdentity(identity));
            if (signal.aborted || record === undefined || record.state !== work.CallState.Started) {
                return signal.aborted ? undefined : record;
            }
            await new Promise<void>(resolve => setImmediate(resolve));
        }
    }

    override async listOutcomesUnknown(): Promise<core.Outcome<readonly work.CallRecord[]>> {
        const records = [...this.records.values()];
        return core.createSuccess(records.filter(record => record.state === work.CallState.OutcomeUnknown));
    }

    override async [Symbol.asyncDispose](): Promise<void> {}
}

type EngineScript = (request: upstreams.EngineRequest, signal: AbortSignal) => AsyncIterable<upstreams.EngineEvent>;

/** An engine that answers by its script. While `isDead` is set, its state can't be read. */
export class ScriptedEngine extends upstreams.EngineClient {
    readonly requests: upstreams.EngineRequest[] = [];
    isDead = false;
    isLeaving = false;
    load: upstreams.LoadReport | undefined;

    constructor(private readonly script: EngineScript) {
        super();
    }

    override run(request: upstreams.EngineRequest, signal: AbortSignal): AsyncIterable<upstreams.EngineEvent> {
        this.requests.push(request);
        return this.script(request, signal);
    }

    override async tryReadLoad(): Promise<upstreams.LoadReport | undefined> {
        return this.load;
    }

    override async tryReadState(): Promise<upstreams.UpstreamState | undefined> {
        return this.isDead ? undefined : createState(this.isLeaving);
    }

    override async order(): Promise<upstreams.OrderOutcome> {
        return { kind: upstreams.OrderOutcomeKind.Accepted, text: "" };
    }

    override async [Symbol.asyncDispose](): Promise<void> {}
}

type CallScript = (request: upstreams.ServiceRequest) => Promise<upstreams.ServiceOutcome>;

/** A server of a plain service that answers by its script. */
export class ScriptedService extends upstreams.ServiceClient {
    readonly requests: upstreams.ServiceRequest[] = [];
    askOutcome: upstreams.AskOutcome = { kind: upstreams.AskOutcomeKind.NoAnswer, text: "" };

    constructor(private readonly script: CallScript) {
        super();
    }

    override call(request: upstreams.ServiceRequest): Promise<upstreams.ServiceOutcome> {
        this.requests.push(request);
        return this.script(request);
    }

    override async ask(): Promise<upstreams.AskOutcome> {
        return this.askOutcome;
    }

    override async [Symbol.asyncDispose](): Promise<void> {}
}

export interface DispatcherFixture<C extends core.Clock = core.Clock> extends AsyncDisposable {
    readonly clock: C;
    readonly notes: MemoryNoteKeeper;
    readonly ledger: MemoryLedger;
    readonly telemetry: telemetry.Telemetry;
    readonly hub: standins.MemoryPeerHub;
    readonly membership: standins.MemoryMembership;
    readonly dispatcher: dispatch.FleetDispatcher;
}

export interface DispatcherFixtureOptions {
    readonly engines?: Readonly<Record<core.UpstreamId, upstreams.EngineClient>>;
    readonly services?: Readonly<Record<core.UpstreamId, upstreams.ServiceClient>>;
    readonly fleet?: core.FleetDescription;
    readonly hub?: standins.MemoryPeerHub;
    readonly ledger?: MemoryLedger;
    readonly instance?: core.InstanceId;
    readonly live?: readonly core.InstanceId[];
}

/** Creates a dispatcher in virtual time. */
export function createDispatcherFixture(
    options: DispatcherFixtureOptions & { readonly clock?: core.VirtualClock } = {},
): DispatcherFixture<core.VirtualClock> {
    return createFixtureOn(options.clock ?? new core.VirtualClock(), options);
}

/** Creates a dispatcher on the given clock. */
export function createFixtureOn<C extends core.Clock>(
    clock: C,
    options: DispatcherFixtureOptions,
): DispatcherFixture<C> {
    const { engines = {}, services = {} } = options;
    const instance = options.instance ?? "instance-1";
    const fleet = options.fleet ?? createFleet({ engines: Object.keys(engines), servers: Object.keys(services) });
    const notes = new MemoryNoteKeeper(fleet);
    const ledger = options.ledger ?? new MemoryLedger();
    const hub = options.hub ?? new standins.MemoryPeerHub();
    const membership = new standins.MemoryMembership(instance, options.live ?? [instance]);
    const events = createTelemetry(clock, instance);
    const dispatcher = new dispatch.FleetDispatcher({
        clock,
        telemetry: events,
        notes,
        ledger,
        membership,
        peers: hub.createNetwork(instance),
        createEngineClient: upstream => core.Debug.checkDefined(engines[upstream.id], upstream.id),
        createServiceClient: upstream => core.Debug.checkDefined(services[upstream.id], upstream.id),
        random: () => 0.5,
    });
    return {
        clock,
        notes,
        ledger,
        telemetry: events,
        hub,
        membership,
        dispatcher,
        [Symbol.asyncDispose]: () => dispatcher[Symbol.asyncDispose](),
    };
}

export function createTelemetry(clock: core.Clock, instance: core.InstanceId = "instance-1"): telemetry.Telemetry {
    return new telemetry.Telemetry({ instance, logLevel: "silent" }, clock);
}

export interface FleetOptions {
    readonly engines?: readonly core.UpstreamId[];
    readonly servers?: readonly core.UpstreamId[];
    readonly safety?: core.CallSafety;
    readonly settleMilliseconds?: number;
    readonly concurrency?: number;
    readonly leaving?: readonly core.UpstreamId[];
}

export function createFleet(options: FleetOptions = {}): core.FleetDescription {
    const { engines = [], servers = [], safety = core.CallSafety.AtMostOnce, leaving = [] } = options;
    const { settleMilliseconds } = options;
    const describe = (id: core.UpstreamId, kind: core.UpstreamKind): core.UpstreamDescription => ({
        id,
        kind,
        url: `http://${id}.invalid`,
        dataCentre: "test",
        role: core.UpstreamRole.Mixed,
        models: kind === core.UpstreamKind.Engine ? ["model-1"] : [],
        checksFencing: true,
        concurrency: options.concurrency ?? 8,
        isLeaving: leaving.includes(id),
    });
    return {
        models: [{ id: "model-1", version: "1", adapters: [], onlineFloor: 0, batchFloor: 0 }],
        upstreams: [
            ...engines.map(id => describe(id, core.UpstreamKind.Engine)),
            ...servers.map(id => describe(id, core.UpstreamKind.Service)),
        ],
        services: [
            {
                id: "booking",
                upstreams: servers,
                routes: [
                    { method: "POST", path: "/bookings", safety, askPath: "/outcomes/{key}", settleMilliseconds },
                    { method: "GET", path: "/cards", safety: core.CallSafety.Idempotent },
                ],
            },
        ],
        callers: [{ id: "caller-1", tokenHash: "", weight: 1 }],
        weightStore: { concurrentLoads: 1 },
        policy: {
            batchWeight: 0.5,
            retentionMilliseconds: 1_000_000,
            onlineDeadlineMilliseconds: 30_000,
            batchDeadlineMilliseconds: 1_000_000,
            itemAttempts: 3,
        },
    };
}

export function createCompletion(options: Partial<dispatch.CompletionRequest> = {}): dispatch.CompletionRequest {
    return {
        id: "request-1",
        caller: "caller-1",
        requestClass: core.RequestClass.Online,
        model: "model-1",
        body: { messages: [{ role: "user", content: "a place for Nimal" }] },
        deadlineAt: 30_000,
        ...options,
    };
}

export function createCall(options: Partial<dispatch.ServiceCall> = {}): dispatch.ServiceCall {
    return {
        id: "request-1",
        caller: "caller-1",
        requestClass: core.RequestClass.Online,
        service: "booking",
        method: "POST",
        path: "/bookings",
        headers: {},
        body: Buffer.from("{}"),
        key: "key-1",
        deadlineAt: 30_000,
        ...options,
    };
}

export interface Answer {
    readonly text: string;
    readonly end: dispatch.StreamEvent | undefined;
    readonly ends: number;
}

export async function collectAnswer(events: AsyncIterable<dispatch.StreamEvent>): Promise<Answer> {
    let text = "";
    let end: dispatch.StreamEvent | undefined;
    let ends = 0;
    for await (const event of events) {
        if (event.kind === dispatch.StreamEventKind.Token) {
            text += event.text;
        }
        else {
            end = event;
            ends++;
        }
    }
    return { text, end, ends };
}

export function getRefusal(answer: Answer): core.Refusal | undefined {
    return answer.end?.kind === dispatch.StreamEventKind.Refused ? answer.end.refusal : undefined;
}

/** Tokens of the complete answer that every healthy engine gives to any prompt. */
export const wholeAnswer: readonly string[] = ["a ", "cot ", "is ", "free ", "on ", "Monday"];

/** Answers like a healthy engine: with all tokens, or for a resumed run with those that follow its text. */
export async function* answerWhole(request: upstreams.EngineRequest): AsyncGenerator<upstreams.EngineEvent> {
    yield { kind: upstreams.EngineEventKind.Accepted };
    yield* answerFrom(request.resumeAfter?.tokens ?? 0);
}

/** Creates a script that answers until the answer has `count` tokens in total, and then fails. */
export function createFailingScript(count: number, kind: upstreams.EngineFailureKind, status?: number): EngineScript {
    return async function* (request) {
        yield { kind: upstreams.EngineEventKind.Accepted };
        for (const text of wholeAnswer.slice(request.resumeAfter?.tokens ?? 0, count)) {
            yield { kind: upstreams.EngineEventKind.Token, text, tokens: 1 };
        }
        yield { kind: upstreams.EngineEventKind.Failed, failure: { kind, text: "scripted", status } };
    };
}

function* answerFrom(start: number): Generator<upstreams.EngineEvent> {
    for (const text of wholeAnswer.slice(start)) {
        yield { kind: upstreams.EngineEventKind.Token, text, tokens: 1 };
    }
    const usage = { promptTokens: 4 + start, completionTokens: wholeAnswer.length - start, cachedTokens: 0 };
    yield { kind: upstreams.EngineEventKind.Finished, reason: "stop", usage };
}

function createState(isLeaving: boolean): upstreams.UpstreamState {
    return { models: [], role: core.UpstreamRole.Mixed, fencing: undefined, isLoading: false, isLeaving };
}

function createNote(generation: core.Generation, fleet: core.FleetDescription): core.NoteInForce {
    return { generation, fleet, source: "", author: "operator", publishedAt: 0, nonce: String(generation) };
}

function formatIdentity(identity: work.CallIdentity): string {
    return `${identity.caller} ${identity.key}`;
}

export const neverAborted: AbortSignal = new AbortController().signal;
