import * as assert from "node:assert/strict";
import * as uvu from "uvu";
import * as upstreams from "@boragedale/upstreams";
import * as dispatch from "../src/dispatch/index.js";
import * as fixtures from "./dispatchFixtures.js";

const suite = uvu.suite("begunAnswers");

// Guards against answers that are broken off because several engines in a row have no free slot for their rest.
suite("an answer that has begun is offered to further engines after refusals", async () => {
    let runs = 0;
    const script = (request: upstreams.EngineRequest): AsyncIterable<upstreams.EngineEvent> => {
        const run = runs++;
        if (run === 0) {
            return fixtures.createFailingScript(3, upstreams.EngineFailureKind.Broken)(request, fixtures.neverAborted);
        }
        return run < 5
            ? fixtures.createFailingScript(0, upstreams.EngineFailureKind.Busy)(request, fixtures.neverAborted)
            : fixtures.answerWhole(request);
    };
    const ids = [1, 2, 3, 4, 5, 6].map(index => `engine-${index}`);
    const engines = Object.fromEntries(ids.map(id => [id, new fixtures.ScriptedEngine(script)]));
    await using fixture = fixtures.createDispatcherFixture({ engines });
    const answering = fixtures.collectAnswer(
        fixture.dispatcher.complete(fixtures.createCompletion(), fixtures.neverAborted),
    );
    await fixture.clock.advance(5_000);
    const answer = await answering;
    assert.equal(answer.text, fixtures.wholeAnswer.join(""));
    assert.equal(answer.end?.kind, dispatch.StreamEventKind.Finished);
});

suite.run();
