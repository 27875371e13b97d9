import * as assert from "node:assert/strict";
import * as fastCheck from "fast-check";
import * as uvu from "uvu";
import * as core from "@boragedale/core";
import * as upstreams from "@boragedale/upstreams";
import * as dispatch from "../src/dispatch/index.js";
import * as fixtures from "./dispatchFixtures.js";

const suite = uvu.suite("completions");
const whole = fixtures.wholeAnswer.join("");

suite("a complete answer is streamed with its usage", async () => {
    const engine = new fixtures.ScriptedEngine(fixtures.answerWhole);
    await using fixture = fixtures.createDispatcherFixture({ engines: { "engine-1": engine } });
    const answer = await fixtures.collectAnswer(
        fixture.dispatcher.complete(fixtures.createCompletion(), fixtures.neverAborted),
    );
    assert.equal(answer.text, whole);
    assert.deepEqual(answer.end, {
        kind: dispatch.StreamEventKind.Finished,
        reason: "stop",
        usage: { promptTokens: 4, completionTokens: 6, cachedTokens: 0 },
    });
    assert.equal(fixture.dispatcher.getInProgress(), 0);
});

suite("the caller gets the answer of an uninterrupted run wherever streams are cut", async () => {
    // The stream breaks or goes silent after any number of tokens, up to three times, and continues on another
    // upstream. A token that is lost or sent again at a cut would change the text that the caller receives.
    const failure = fastCheck.constantFrom(upstreams.EngineFailureKind.Broken, upstreams.EngineFailureKind.Silent);
    const cut = fastCheck.record({ count: fastCheck.integer({ min: 0, max: 6 }), failure });
    const property = fastCheck.asyncProperty(fastCheck.array(cut, { maxLength: 3 }), async cuts => {
        const remaining = [...cuts];
        const script = (request: upstreams.EngineRequest): AsyncIterable<upstreams.EngineEvent> => {
            const next = remaining.shift();
            return next === undefined
                ? fixtures.answerWhole(request)
                : fixtures.createFailingScript(next.count, next.failure)(request, fixtures.neverAborted);
        };
        const engines = Object.fromEntries(
            ["engine-1", "engine-2", "engine-3", "engine-4"].map(id => [id, new fixtures.ScriptedEngine(script)]),
        );
        await using fixture = fixtures.createDispatcherFixture({ engines });
        const answer = await fixtures.collectAnswer(
            fixture.dispatcher.complete(fixtures.createCompletion(), fixtures.neverAborted),
        );
        assert.equal(answer.text, whole);
        assert.equal(answer.ends, 1);
        assert.equal(answer.end?.kind, dispatch.StreamEventKind.Finished);
        const usage = answer.end?.kind === dispatch.StreamEventKind.Finished ? answer.end.usage : undefined;
        assert.deepEqual(usage, { promptTokens: 4, completionTokens: 6, cachedTokens: 0 });
    });
    await fastCheck.assert(property, { seed: 5, numRuns: 150 });
});

suite("slots are released although the consumer stops reading after the closing event", async () => {
    // The callers' endpoint doesn't read on after the closing event. If the slot were released only after it, an
    // instance would refuse every request after as many answers as it has slots.
    const engine = new fixtures.ScriptedEngine(fixtures.answerWhole);
    await using fixture = fixtures.createDispatcherFixture({ engines: { "engine-1": engine } });
    for (let index = 0; index < 40; index++) {
        const request = fixtures.createCompletion({ id: `request-${index}`, deadlineAt: 30_000 });
        const iterator = fixture.dispatcher.complete(request, fixtures.neverAborted)[Symbol.asyncIterator]();
        let next = await iterator.next();
        while (next.done !== true && next.value.kind === dispatch.StreamEventKind.Token) {
            next = await iterator.next();
        }
        assert.equal(next.value?.kind, dispatch.StreamEventKind.Finished);
        assert.equal(fixture.dispatcher.getInProgress(), 0);
    }
});

suite("a refusal says `not run` only if no engine can have run the request", async () => {
    // Callers rely on "not run". An engine that could not be reached or was busy has not run the request, while one
    // whose connection broke may have.
    const cases: readonly [upstreams.EngineFailureKind, core.RunCertainty][] = [
        [upstreams.EngineFailureKind.NotSent, core.RunCertainty.NotRun],
        [upstreams.EngineFailureKind.Busy, core.RunCertainty.NotRun],
        [upstreams.EngineFailureKind.Broken, core.RunCertainty.MayHaveRun],
        [upstreams.EngineFailureKind.Silent, core.RunCertainty.MayHaveRun],
    ];
    for (const [kind, certainty] of cases) {
        const engine = new fixtures.ScriptedEngine(async function* () {
            yield { kind: upstreams.EngineEventKind.Failed, failure: { kind, text: "scripted" } };
        });
        await using fixture = fixtures.createDispatcherFixture({ engines: { "engine-1": engine } });
        const answering = fixtures.collectAnswer(
            fixture.dispatcher.complete(fixtures.createCompletion(), fixtures.neverAborted),
        );
        await fixture.clock.advance(31_000);
        const refusal = fixtures.getRefusal(await answering);
        assert.equal(refusal?.certainty, certainty, kind);
    }
});

suite("a request for an unknown model is refused at once", async () => {
    const engine = new fixtures.ScriptedEngine(fixtures.answerWhole);
    await using fixture = fixtures.createDispatcherFixture({ engines: { "engine-1": engine } });
    const unknown = fixture.dispatcher.complete(fixtures.createCompletion({ model: "other" }), fixtures.neverAborted);
    assert.equal(fixtures.getRefusal(await fixtures.collectAnswer(unknown))?.kind, core.RefusalKind.ModelUnknown);
    assert.equal(engine.requests.length, 0);
});

suite("the engine's run is cancelled when the caller disconnects", async () => {
    // The caller disconnects during an answer. Without the cancellation, the engine would generate the rest for no one
    // and occupy a slot that another request waits for.
    let runSignal = fixtures.neverAborted;
    const engine = new fixtures.ScriptedEngine(async function* (...[, signal]) {
        runSignal = signal;
        yield { kind: upstreams.EngineEventKind.Token, text: "a ", tokens: 1 };
        while (!signal.aborted) {
            await new Promise<void>(resolve => setImmediate(resolve));
        }
        const failure = { kind: upstreams.EngineFailureKind.Cancelled, text: "cancelled" };
        yield { kind: upstreams.EngineEventKind.Failed, failure };
    });
    await using fixture = fixtures.createDispatcherFixture({ engines: { "engine-1": engine } });
    const controller = new AbortController();
    const answer = await fixtures.collectAnswer(
        abortAfterFirst(fixture.dispatcher.complete(fixtures.createCompletion(), controller.signal), controller),
    );
    assert.equal(runSignal.aborted, true);
    assert.equal(engine.requests.length, 1);
    assert.equal(answer.ends, 1);
});

suite("an engine that is leaving gets no new work and finishes its answers", async () => {
    // Operators take an engine out while it streams an answer. It completes the answer, and new requests go to the
    // other engine although both are alive.
    const scripts = { first: fixtures.answerWhole, second: fixtures.answerWhole };
    const first = new fixtures.ScriptedEngine(scripts.first);
    const second = new fixtures.ScriptedEngine(scripts.second);
    await using fixture = fixtures.createDispatcherFixture({ engines: { "engine-1": first, "engine-2": second } });
    const iterator = fixture.dispatcher
        .complete(fixtures.createCompletion(), fixtures.neverAborted)
        [Symbol.asyncIterator]();
    let text = readToken(await iterator.next());
    const leaving = first.requests.length > 0 ? "engine-1" : "engine-2";
    fixture.notes.setFleet(fixtures.createFleet({ engines: ["engine-1", "engine-2"], leaving: [leaving] }));
    for (let next = await iterator.next(); next.done !== true; next = await iterator.next()) {
        text += readToken(next);
    }
    assert.equal(text, whole);
    const count = first.requests.length + second.requests.length;
    for (let index = 0; index < 5; index++) {
        const request = fixtures.createCompletion({ id: `next-${index}` });
        await fixtures.collectAnswer(fixture.dispatcher.complete(request, fixtures.neverAborted));
    }
    const remaining = leaving === "engine-1" ? second : first;
    assert.equal(first.requests.length + second.requests.length, count + 5);
    assert.equal(remaining.requests.length, 5);
});

async function* abortAfterFirst(
    events: AsyncIterable<dispatch.StreamEvent>,
    controller: AbortController,
): AsyncIterable<dispatch.StreamEvent> {
    for await (const event of events) {
        yield event;
        controller.abort();
    }
}

function readToken(result: IteratorResult<dispatch.StreamEvent>): string {
    return result.done !== true && result.value.kind === dispatch.StreamEventKind.Token ? result.value.text : "";
}

suite.run();
