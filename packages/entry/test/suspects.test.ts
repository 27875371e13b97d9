import * as assert from "node:assert/strict";
import * as fastCheck from "fast-check";
import * as uvu from "uvu";
import * as core from "@boragedale/core";
import * as standins from "@boragedale/standins";
import * as upstreams from "@boragedale/upstreams";
import * as fixtures from "./dispatchFixtures.js";

const suite = uvu.suite("crashing requests");

const Crash = "[[crash]]";

/** Creates engines that crash permanently, with all requests in flight, when they run a marked prompt. */
function createFragileEngines(count: number): Record<core.UpstreamId, fixtures.ScriptedEngine> {
    const engines: Record<core.UpstreamId, fixtures.ScriptedEngine> = {};
    for (let index = 1; index <= count; index++) {
        const engine: fixtures.ScriptedEngine = new fixtures.ScriptedEngine(request => runFragile(engine, request));
        engines[`engine-${index}`] = engine;
    }
    return engines;
}

async function* runFragile(
    engine: fixtures.ScriptedEngine,
    request: upstreams.EngineRequest,
): AsyncGenerator<upstreams.EngineEvent> {
    if (engine.isDead) {
        yield createFailure(upstreams.EngineFailureKind.NotSent);
        return;
    }
    yield { kind: upstreams.EngineEventKind.Accepted };
    if (JSON.stringify(request.body).includes(Crash)) {
        await waitTurns(5);
        engine.isDead = true;
    }
    for await (const event of fixtures.answerWhole(request)) {
        await waitTurns(1);
        if (engine.isDead) {
            yield createFailure(upstreams.EngineFailureKind.Broken);
            return;
        }
        yield event;
    }
}

async function waitTurns(count: number): Promise<void> {
    for (let turn = 0; turn < count; turn++) {
        await new Promise<void>(resolve => setImmediate(resolve));
    }
}

function createFailure(kind: upstreams.EngineFailureKind): upstreams.EngineEvent {
    return { kind: upstreams.EngineEventKind.Failed, failure: { kind, text: "scripted" } };
}

function countDead(engines: Record<string, fixtures.ScriptedEngine>): number {
    return Object.values(engines).filter(engine => engine.isDead).length;
}

suite(
    "a crashing request costs at most two upstreams, however often and to whichever instances it is sent",
    async () => {
        // One request crashes each engine that runs it. Its caller sends it to several instances, at once or one after
        // the other, and each instance would also retry it. After the first crash the request is suspect: it runs on an
        // engine without other suspects, and on the same engine from all instances. The second crash quarantines it on
        // all instances.
        const property = fastCheck.asyncProperty(
            fastCheck.array(fastCheck.integer({ min: 0, max: 2 }), { minLength: 1, maxLength: 8 }),
            fastCheck.array(fastCheck.boolean(), { minLength: 8, maxLength: 8 }),
            async (targets, waits) => {
                const engines = createFragileEngines(6);
                const hub = new standins.MemoryPeerHub();
                const clock = new core.VirtualClock();
                const live = ["instance-1", "instance-2", "instance-3"];
                const fleet = live.map(instance =>
                    fixtures.createDispatcherFixture({ engines, hub, clock, live, instance }),
                );
                const body = { messages: [{ role: "user", content: Crash }] };
                const sent: Promise<fixtures.Answer>[] = [];
                for (const [index, target] of targets.entries()) {
                    const request = fixtures.createCompletion({ id: `request-${index}`, body });
                    const events = fleet[target]?.dispatcher.complete(request, fixtures.neverAborted);
                    sent.push(fixtures.collectAnswer(core.Debug.checkDefined(events, "instance")));
                    if (waits[index] === true) {
                        await clock.advance(3_000);
                    }
                }
                await clock.advance(60_000);
                const answers = await Promise.all(sent);
                assert.ok(countDead(engines) <= 2, `${countDead(engines)} engines died`);
                assert.ok(answers.every(answer => fixtures.getRefusal(answer) !== undefined));
                await Promise.all(fleet.map(fixture => fixture[Symbol.asyncDispose]()));
            },
        );
        await fastCheck.assert(property, { seed: 11, numRuns: 60 });
    },
);

suite("requests that run beside a crashing request are answered", async () => {
    // Ten callers have requests on three engines, and the request of an eleventh caller crashes its engine, twice. The
    // ten get complete answers, continued on another engine after the crash. The eleventh gets a refusal that says that
    // the request may have run. If suspects shared an engine, the others on it at the second crash would be refused as
    // well.
    const engines = createFragileEngines(3);
    await using fixture = fixtures.createDispatcherFixture({ engines });
    const start = (id: string, content: string): Promise<fixtures.Answer> => {
        const request = fixtures.createCompletion({ id, body: { messages: [{ role: "user", content }] } });
        return fixtures.collectAnswer(fixture.dispatcher.complete(request, fixtures.neverAborted));
    };
    const innocent = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10].map(index =>
        start(`innocent-${index}`, `a place for child ${index}`),
    );
    const guilty = start("guilty", Crash);
    await fixture.clock.advance(60_000);
    for (const answer of await Promise.all(innocent)) {
        assert.equal(answer.text, fixtures.wholeAnswer.join(""));
    }
    const refusal = fixtures.getRefusal(await guilty);
    assert.equal(refusal?.kind, core.RefusalKind.Quarantined);
    assert.equal(refusal?.certainty, core.RunCertainty.MayHaveRun);
    assert.equal(countDead(engines), 2);
    const again = fixtures.getRefusal(await start("again", Crash));
    assert.equal(again?.kind, core.RefusalKind.Quarantined);
    assert.equal(again?.certainty, core.RunCertainty.NotRun);
});

suite("a broken connection to a live engine makes no request suspect", async () => {
    // A middlebox cuts one stream. The engine still answers, so no request on it becomes suspect and the stream
    // resumes.
    const cut = fixtures.createFailingScript(2, upstreams.EngineFailureKind.Broken);
    let isFirst = true;
    const script = (request: upstreams.EngineRequest): AsyncIterable<upstreams.EngineEvent> => {
        const wasFirst = isFirst;
        isFirst = false;
        return wasFirst ? cut(request, fixtures.neverAborted) : fixtures.answerWhole(request);
    };
    const engines = {
        "engine-1": new fixtures.ScriptedEngine(script),
        "engine-2": new fixtures.ScriptedEngine(script),
    };
    await using fixture = fixtures.createDispatcherFixture({ engines });
    const answer = await fixtures.collectAnswer(
        fixture.dispatcher.complete(fixtures.createCompletion(), fixtures.neverAborted),
    );
    assert.equal(answer.text, fixtures.wholeAnswer.join(""));
    assert.equal(fixture.telemetry.timeLine.read({ number: 307 }).length, 0);
});

suite.run();
