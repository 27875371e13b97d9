import * as assert from "node:assert/strict";
import * as fastCheck from "fast-check";
import * as uvu from "uvu";
import * as core from "@boragedale/core";
import * as standins from "@boragedale/standins";
import * as upstreams from "@boragedale/upstreams";
import * as fixtures from "./dispatchFixtures.js";

const suite = uvu.suite("crashing requests");

const Crash = "[[crash]]";

/** Engines that die for good once they run a marked prompt, and take with them all that runs there. */
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

suite("costs two upstreams at most, however often and wherever its caller sends it", async () => {
    // One request crashes each engine that runs it. Its caller sends it to several instances, at once or one after the
    // other, and each instance would retry it as well. The first death makes it a suspect, which runs alone and on the
    // same engine whichever instance runs it; the second death quarantines it everywhere.
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
});

suite("answers the innocent that ran beside it", async () => {
    // Ten callers have requests on three engines, and an eleventh one's request crashes the engine that runs it, twice.
    // The ten see their answers whole, behind the cut from another engine; the eleventh gets a refusal that says that its
    // request may have run. Were a suspect not alone, those beside it at the second death would be refused with it.
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

suite("blames nobody for a connection that broke while its engine lives", async () => {
    // A middlebox cuts one stream. The engine still answers, so nothing on it becomes suspect and the stream resumes.
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
