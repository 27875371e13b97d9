import * as assert from "node:assert/strict";
import * as uvu from "uvu";
import * as core from "@boragedale/core";
import * as standins from "@boragedale/standins";
import * as upstreams from "@boragedale/upstreams";
import * as dispatch from "../src/dispatch/index.js";
import * as fixtures from "./dispatchFixtures.js";

/** Tests the dispatcher against faults of real connections, with its HTTP clients and the stand-ins over loopback. */
const suite = uvu.suite("wire");

const limits: Partial<upstreams.ConnectionLimits> = { firstTokenMilliseconds: 1_000, interTokenMilliseconds: 150 };

function startEngine(clock?: core.Clock): Promise<standins.EngineStandin> {
    return standins.createEngineStandin({
        clock,
        model: { timeScale: 0.2 },
        holdings: { models: [{ model: "model-1", version: "1", adapters: [] }] },
    });
}

function createWiredFixture(
    engines: Readonly<Record<core.UpstreamId, standins.EngineStandin>>,
): fixtures.DispatcherFixture {
    const clock = new core.SystemClock();
    const clients = Object.entries(engines).map(([upstream, engine]) => {
        const events = fixtures.createTelemetry(clock);
        const options = { upstream, url: engine.url, clock, telemetry: events, limits };
        return [upstream, new upstreams.HttpEngineClient(options)] as const;
    });
    return fixtures.createFixtureOn(clock, { engines: Object.fromEntries(clients) });
}

function createRequest(clock: core.Clock, content: string, id = "request-1"): dispatch.CompletionRequest {
    const body = { messages: [{ role: "user", content }], max_tokens: 20 };
    return fixtures.createCompletion({ id, body, deadlineAt: clock.now() + 30_000 });
}

/** Runs a request and calls `act` with its engine when the caller has received three tokens. */
async function interrupt(
    fixture: fixtures.DispatcherFixture,
    engines: Readonly<Record<core.UpstreamId, standins.EngineStandin>>,
    act: (engine: standins.EngineStandin) => void,
): Promise<string> {
    let text = "";
    let tokens = 0;
    const request = createRequest(fixture.clock, "a place for Nimal");
    for await (const event of fixture.dispatcher.complete(request, fixtures.neverAborted)) {
        assert.notEqual(event.kind, dispatch.StreamEventKind.Refused);
        if (event.kind === dispatch.StreamEventKind.Token) {
            text += event.text;
            tokens++;
            if (tokens === 3) {
                const engine = Object.values(engines).find(candidate => candidate.requests.length > 0);
                act(core.Debug.checkDefined(engine, "engine"));
            }
        }
    }
    return text;
}

suite("a stream whose connection broke or went silent resumes without lost or repeated bytes", async () => {
    // The connection to the engine breaks or goes silent for good during an answer. The caller receives byte for byte
    // the answer of an uninterrupted run.
    const acts: readonly ((engine: standins.EngineStandin) => void)[] = [
        () => undefined,
        engine => engine.silenceConnections(),
        engine => engine.breakConnections(),
    ];
    const texts: string[] = [];
    for (const act of acts) {
        await using first = await startEngine();
        await using second = await startEngine();
        const engines = { "engine-1": first, "engine-2": second };
        await using fixture = createWiredFixture(engines);
        texts.push(await interrupt(fixture, engines, act));
    }
    assert.notEqual(texts[0], "");
    assert.equal(texts[1], texts[0]);
    assert.equal(texts[2], texts[0]);
});

suite("the engine's slot is freed when the caller disconnects", async () => {
    // The caller disconnects after the first token. The engine's clock is paused from then on, so that only the
    // cancellation can end the request.
    const engineClock = new core.VirtualClock();
    await using engine = await startEngine(engineClock);
    await using fixture = createWiredFixture({ "engine-1": engine });
    const controller = new AbortController();
    const request = createRequest(fixture.clock, "a long answer");
    const reading = (async () => {
        for await (const event of fixture.dispatcher.complete(request, controller.signal)) {
            if (event.kind === dispatch.StreamEventKind.Token) {
                controller.abort();
            }
        }
    })();
    while (!controller.signal.aborted) {
        await engineClock.advance(1);
    }
    await reading;
    while (engine.model.getInFlight() > 0) {
        await new Promise<void>(resolve => setImmediate(resolve));
    }
});

suite("a request that crashes engines costs at most two", async () => {
    const started = await Promise.all([startEngine(), startEngine(), startEngine(), startEngine()]);
    const engines = Object.fromEntries(started.map((engine, index) => [`engine-${index + 1}`, engine]));
    await using fixture = createWiredFixture(engines);
    for (let index = 0; index < 3; index++) {
        const request = createRequest(fixture.clock, standins.CrashMarker, `request-${index}`);
        const answer = await fixtures.collectAnswer(fixture.dispatcher.complete(request, fixtures.neverAborted));
        assert.equal(fixtures.getRefusal(answer)?.kind, core.RefusalKind.Quarantined);
    }
    const crashed = started.filter(engine => engine.requests.length > 0);
    assert.equal(crashed.length, 2);
    const innocent = createRequest(fixture.clock, "a place for Nimal", "innocent");
    const answer = await fixtures.collectAnswer(fixture.dispatcher.complete(innocent, fixtures.neverAborted));
    assert.equal(answer.end?.kind, dispatch.StreamEventKind.Finished);
    await Promise.all(started.map(engine => engine[Symbol.asyncDispose]()));
});

suite("a booking runs once when its server crashes before or after running it", async () => {
    // The server breaks the connection, and the dispatcher can't see whether before or after the booking ran. In
    // neither case may the booking run again. The service is asked for the key and returns the outcome.
    for (const fault of ["deathsBeforeRun", "deathsAfterRun"] as const) {
        await using service = await standins.createServiceStandin();
        const clock = new core.SystemClock();
        const client = new upstreams.HttpServiceClient({ upstream: "server-1", url: service.url, clock });
        const fleet = fixtures.createFleet({
            servers: ["server-1"],
            safety: core.CallSafety.Askable,
            // The stand-in runs a call at once or never.
            settleMilliseconds: 500,
        });
        await using fixture = fixtures.createFixtureOn(clock, { services: { "server-1": client }, fleet });
        service.faults[fault] = 1;
        const call = fixtures.createCall({ deadlineAt: clock.now() + 30_000 });
        const outcome = await fixture.dispatcher.callService(call, fixtures.neverAborted);
        assert.ok(outcome.ok, fault);
        assert.equal(service.runs.get("key-1"), 1, fault);
    }
});

suite("a booking is not sent twice when its connection has gone silent", async () => {
    // An open connection goes silent while idle. The next booking must not be lost on it: it is sent on a new
    // connection instead, and runs exactly once.
    await using service = await standins.createServiceStandin();
    const clock = new core.VirtualClock();
    const client = new upstreams.HttpServiceClient({ upstream: "server-1", url: service.url, clock });
    await using fixture = fixtures.createDispatcherFixture({ services: { "server-1": client }, clock });
    const first = await fixture.dispatcher.callService(fixtures.createCall(), fixtures.neverAborted);
    assert.ok(first.ok);
    service.silenceConnections();
    await clock.advance(3_000);
    const call = fixtures.createCall({ key: "key-2" });
    const second = await fixture.dispatcher.callService(call, fixtures.neverAborted);
    assert.ok(second.ok);
    assert.equal(service.runs.get("key-2"), 1);
});

suite.run();
