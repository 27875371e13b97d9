import * as fastCheck from "fast-check";
import type * as fastify from "fastify";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as core from "@boragedale/core";
import * as standins from "@boragedale/standins";
import * as telemetry from "@boragedale/telemetry";
import * as work from "@boragedale/work";
import * as fixtures from "./callerFaceFixtures.js";

const suite = uvu.suite("callers' endpoint");
const authorized = { authorization: `Bearer ${fixtures.Token}` };

function createLedger(): work.CallLedger {
    const clock = new core.SystemClock();
    return new work.ShardedCallLedger({
        keyValue: new standins.MemoryKeyValueService(clock),
        peers: new standins.MemoryPeerHub().createNetwork("test"),
        membership: new standins.MemoryMembership("test"),
        clock,
        telemetry: new telemetry.Telemetry({ instance: "test", logLevel: "silent" }, clock),
        instance: "test",
    });
}

async function createFixture(): Promise<fixtures.CallerEndpointFixture> {
    return fixtures.createCallerEndpointFixture(createLedger(), new fixtures.EmptyJobStore());
}

function createCompletion(content: string, isStream: boolean): fastify.InjectOptions {
    return {
        method: "POST",
        url: "/v1/chat/completions",
        headers: authorized,
        payload: { model: "kestrel", stream: isStream, messages: [{ role: "user", content }] },
    };
}

function createRefusal(certainty: core.RunCertainty): core.Refusal {
    return core.createRefusal({
        kind: core.RefusalKind.Overloaded,
        message: core.messages.Overloaded,
        values: [1_500],
        certainty,
        retryAfterMilliseconds: 1_500,
    });
}

suite("a complete answer has OpenAI's format", async () => {
    await using fixture = await createFixture();
    const response = await fixture.server.inject(createCompletion("hello", false));
    const body = response.json<{ choices: { message: { content: string }; finish_reason: string }[] }>();
    assert.is(body.choices[0]?.message.content, "kandula:hello");
    assert.is(body.choices[0]?.finish_reason, "stop");
});

// The caller asks for -1 tokens, or a temperature of 9. The response must name the invalid field. A 200 without a token
// would look like a failing engine.
for (const member of [{ max_tokens: -1 }, { max_completion_tokens: 0 }, { temperature: 9 }, { top_p: -0.1 }]) {
    suite(`a number out of range is refused with the name of its field: ${JSON.stringify(member)}`, async () => {
        await using fixture = await createFixture();
        const completion = createCompletion("hello", false);
        const payload = { ...(completion.payload as Record<string, unknown>), ...member };
        const response = await fixture.server.inject({ ...completion, payload });
        assert.is(response.statusCode, 400);
        assert.match(response.body, Object.keys(member)[0] ?? "");
    });
}

suite("a number in range, or null, is accepted", async () => {
    await using fixture = await createFixture();
    const completion = createCompletion("hello", false);
    const payload = {
        ...(completion.payload as Record<string, unknown>),
        max_tokens: 5,
        temperature: JSON.parse("null") as unknown,
    };
    const response = await fixture.server.inject({ ...completion, payload });
    assert.is(response.statusCode, 200);
});

suite("a complete stream ends with [DONE], and one that fails midway with an error and without [DONE]", async () => {
    // The engine is lost for good after some text. A stream that simply ended, or ended with [DONE], would look like a
    // complete answer.
    await using fixture = await createFixture();
    const whole = await fixture.server.inject(createCompletion("hello", true));
    assert.match(whole.body, /"content":"hello"/);
    assert.ok(whole.body.endsWith("data: [DONE]\n\n"));
    fixture.dispatcher.refusal = createRefusal(core.RunCertainty.MayHaveRun);
    fixture.dispatcher.isRefusalLate = true;
    const broken = await fixture.server.inject(createCompletion("hello", true));
    assert.match(broken.body, /"code":"overloaded"/);
    assert.not.match(broken.body, "[DONE]");
});

suite("a refusal has a retry time, and says `not run` only if that is certain", async () => {
    await using fixture = await createFixture();
    fixture.dispatcher.refusal = createRefusal(core.RunCertainty.NotRun);
    const certain = await fixture.server.inject(createCompletion("hello", true));
    assert.is(certain.statusCode, 429);
    assert.is(certain.headers["boragedale-not-run"], "true");
    assert.is(certain.headers["retry-after"], "2");
    fixture.dispatcher.refusal = createRefusal(core.RunCertainty.MayHaveRun);
    const uncertain = await fixture.server.inject(createCompletion("hello", true));
    assert.is(uncertain.headers["boragedale-not-run"], undefined);
});

suite("a service call passes through with its key, and without the caller's token", async () => {
    await using fixture = await createFixture();
    const response = await fixture.server.inject({
        method: "POST",
        url: "/services/bookings/places?day=1",
        headers: { ...authorized, "idempotency-key": "k1", "content-type": "text/odd" },
        payload: "raw",
    });
    assert.is(response.statusCode, 201);
    assert.equal(response.json(), { path: "/places?day=1", key: "k1" });
    const call = fixture.dispatcher.calls[0];
    assert.is(Buffer.from(call?.body ?? []).toString(), "raw");
    assert.is(call?.headers["authorization"], undefined);
});

suite("missing tokens, unknown paths and large bodies are answered with the usual error body", async () => {
    await using fixture = await createFixture();
    const stranger = await fixture.server.inject({ method: "GET", url: "/v1/models" });
    assert.is(stranger.statusCode, 401);
    const unknown = await fixture.server.inject({ method: "GET", url: "/nowhere" });
    assert.is(unknown.json<{ error: { code: string } }>().error.code, "not_found");
    const large = await fixture.server.inject(createCompletion("x".repeat(fixtures.BodyLimitBytes), false));
    assert.is(large.statusCode, 413);
    assert.is(large.json<{ error: { code: string } }>().error.code, "body_too_large");
});

suite("a leaving instance refuses new work as not run and reports not ready", async () => {
    await using fixture = await createFixture();
    fixture.isDraining = true;
    const refused = await fixture.server.inject(createCompletion("hello", false));
    assert.is(refused.statusCode, 503);
    assert.is(refused.headers["boragedale-not-run"], "true");
    const ready = await fixture.server.inject({ method: "GET", url: "/readyz" });
    assert.is(ready.statusCode, 503);
});

suite("any request is answered with success or a 4xx error, never with a defect", async () => {
    await using fixture = await createFixture();
    const paths = fastCheck.constantFrom(
        "/v1/chat/completions",
        "/v1/batches",
        "/v1/batches/x/cancel",
        "/v1/files",
        "/v1/calls/x",
        "/services/a/b",
        "/%ff",
    );
    const input = fastCheck.record({
        method: fastCheck.constantFrom("GET" as const, "POST" as const, "PUT" as const, "DELETE" as const),
        url: fastCheck.oneof(
            paths,
            fastCheck.webPath().map(path => `/${path.replace(/^\/+/, "")}`),
        ),
        type: fastCheck.constantFrom("application/json", "text/plain", "multipart/form-data; boundary=x", ""),
        payload: fastCheck.oneof(fastCheck.string(), fastCheck.json(), fastCheck.constant('{"model":1}')),
    });
    await fastCheck.assert(
        fastCheck.asyncProperty(input, async ({ method, url, type, payload }) => {
            const headers = type === "" ? authorized : { ...authorized, "content-type": type };
            const response = await fixture.server.inject({ method, url, headers, payload });
            assert.ok(response.statusCode < 500, `${method} ${url} answered ${response.statusCode} ${response.body}`);
            if (response.statusCode >= 400) {
                assert.type(response.json<{ error: { code: string } }>().error.code, "string");
            }
        }),
        { seed: 20_261_202, numRuns: 400 },
    );
});

suite.run();
