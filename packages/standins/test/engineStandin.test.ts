import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as core from "@boragedale/core";
import * as standins from "@boragedale/standins";

const suite = uvu.suite("engine stand-in");
const held = [{ model: "m", version: "1", adapters: [{ id: "m-tuned", version: "1" }] }];

function createEngine(options: standins.EngineStandinOptions = {}): Promise<standins.EngineStandin> {
    return standins.createEngineStandin({
        ...options,
        model: { timeScale: 0.01, loadLagMilliseconds: 0, ...options.model },
        holdings: { models: held, ...options.holdings },
    });
}

interface CompletionResult {
    readonly status: number;
    readonly tokens: readonly string[];
    readonly chunks: readonly Record<string, unknown>[];
}

function createBody(content: string, rest: Readonly<Record<string, unknown>> = {}): Readonly<Record<string, unknown>> {
    const messages = [{ role: "user", content }];
    return { model: "m", messages, stream: true, stream_options: { include_usage: true }, ...rest };
}

function post(url: string, body: unknown, signal?: AbortSignal): Promise<Response> {
    const headers = { "content-type": "application/json", "x-request-id": "request-1" };
    return fetch(`${url}/v1/chat/completions`, { method: "POST", headers, body: JSON.stringify(body), signal });
}

async function complete(url: string, body: unknown): Promise<CompletionResult> {
    const response = await post(url, body);
    const lines = (await response.text()).split("\n\n").filter(line => line.startsWith("data: {"));
    const chunks = lines.map(line => JSON.parse(line.slice(6)) as Record<string, unknown>);
    const tokens = chunks.map(getText).filter(text => text !== "");
    return { status: response.status, tokens, chunks };
}

function getText(chunk: Record<string, unknown>): string {
    const choices = chunk["choices"] as readonly { readonly delta: { readonly content?: string } }[];
    return choices[0]?.delta.content ?? "";
}

function putOrder(url: string, fencing: number, version: string): Promise<Response> {
    const order = { fencing, models: [{ model: "m", version, adapters: [] }], role: core.UpstreamRole.Mixed };
    const headers = { "content-type": "application/json" };
    return fetch(`${url}/order`, { method: "PUT", headers, body: JSON.stringify(order) });
}

suite("stream chunks carry the caller's request id, and the last chunk reports the usage", async () => {
    await using engine = await createEngine();
    const answer = await complete(engine.url, createBody("hello there"));
    assert.ok(answer.chunks.every(chunk => chunk["id"] === "request-1"));
    const usage = answer.chunks.at(-1)?.["usage"] as Record<string, number>;
    assert.is(usage["completion_tokens"], answer.tokens.length);
});

suite("a resumed answer continues exactly where the interrupted one stopped", async () => {
    await using engine = await createEngine();
    const whole = await complete(engine.url, createBody("tell me of the dale"));
    const text = whole.tokens.slice(0, 5).join("");
    const messages = [
        { role: "user", content: "tell me of the dale" },
        { role: "assistant", content: text },
    ];
    const flags = { continue_final_message: true, add_generation_prompt: false };
    const rest = await complete(engine.url, createBody("", { messages, ...flags }));
    assert.equal(text + rest.tokens.join(""), whole.tokens.join(""));
});

suite("a prompt with a known prefix is served from the prefix cache", async () => {
    await using engine = await createEngine();
    const prompt = [...Array(64).keys()].map(index => `word${index}`).join(" ");
    await complete(engine.url, createBody(prompt));
    const again = await complete(engine.url, createBody(`${prompt} and more`));
    const usage = again.chunks.at(-1)?.["usage"] as { prompt_tokens_details: { cached_tokens: number } };
    assert.is(usage.prompt_tokens_details.cached_tokens, 64);
});

suite("closing the connection cancels the sequence", async () => {
    await using engine = await createEngine({ model: { timeScale: 1_000 } });
    const controller = new AbortController();
    await post(engine.url, createBody("a long answer"), controller.signal);
    assert.is(engine.model.getInFlight(), 1);
    controller.abort();
    while (engine.model.getInFlight() > 0) {
        await new Promise(resolve => setImmediate(resolve));
    }
});

suite("a request for a model that isn't loaded gets 503; an adapter of a loaded model is served", async () => {
    await using engine = await createEngine();
    assert.is((await complete(engine.url, createBody("x", { model: "other" }))).status, 503);
    assert.is((await complete(engine.url, createBody("x", { model: "m-tuned" }))).status, 200);
});

// Two coordinators send orders to one engine, and the one that was paused has the lower fencing number. An engine that
// checks the numbers rejects its order with 409 and keeps the newer one. An engine that ignores them accepts the
// outdated order, which is visible only by reading the engine's state back.
suite("an outdated fencing number is rejected, unless the engine ignores fencing", async () => {
    await using checking = await createEngine();
    assert.is((await putOrder(checking.url, 2, "2")).status, 202);
    const refused = await putOrder(checking.url, 1, "1");
    assert.is(refused.status, 409);
    assert.equal(await refused.json(), { fencing: 2 });
    await using ignoring = await createEngine({ holdings: { checksFencing: false } });
    await putOrder(ignoring.url, 2, "2");
    assert.is((await putOrder(ignoring.url, 1, "1")).status, 202);
});

suite("a load downloads from the weight store and retries while the store is over its rate limit", async () => {
    const clock = new core.VirtualClock();
    await using store = await standins.createWeightStoreStandin({ clock, downloadsPerSecond: 1 });
    const holdings = { weightStoreUrl: store.url };
    await using first = await createEngine({ clock, holdings });
    await using second = await createEngine({ clock, holdings });
    await putOrder(first.url, 1, "2");
    await putOrder(second.url, 1, "2");
    while ((await isLoading(first.url)) || (await isLoading(second.url))) {
        await clock.advance(100);
    }
    assert.is(store.downloads.admitted, 2);
    assert.ok(store.downloads.refused >= 1);
});

async function isLoading(url: string): Promise<boolean> {
    const response = await fetch(`${url}/state`);
    return ((await response.json()) as { readonly isLoading: boolean }).isLoading;
}

// A prompt with the crash marker crashes the engine. All callers of that engine see their connection break in the
// middle of the answer, and new connections are refused until the engine restarts, with an empty state.
suite("a prompt with the crash marker stops the engine until its restart", async () => {
    await using engine = await createEngine({ model: { timeScale: 1_000 } });
    const innocent = await post(engine.url, createBody("innocent"));
    await assertRejects(post(engine.url, createBody(`boom ${standins.CrashMarker}`)));
    await assertRejects(innocent.text());
    await assertRejects(complete(engine.url, createBody("x")));
    await engine.restart();
    const again = await post(engine.url, createBody("x"));
    assert.is(again.status, 200);
    await again.body?.cancel();
});

// A device between client and engine has lost the state of an open connection: the stream stops without ending, while
// a new connection to the same engine works.
suite("a silenced connection delivers no more data, while a new one works", async () => {
    await using engine = await createEngine({ model: { timeScale: 0.2 } });
    const controller = new AbortController();
    const response = await post(engine.url, createBody("quiet"), controller.signal);
    engine.silenceConnections();
    const ending = response.text().then(
        () => "ended",
        () => "aborted",
    );
    const other = await complete(engine.url, createBody("quiet"));
    assert.ok(other.tokens.length > 0);
    controller.abort();
    assert.is(await ending, "aborted");
});

suite("each step takes longer the more sequences run", async () => {
    const clock = new core.VirtualClock();
    const options = { ...standins.DefaultEngineModelOptions, prefillMilliseconds: 0 };
    const alone = await runSequences(clock, new standins.EngineModel(clock, options), 1);
    const crowded = await runSequences(clock, new standins.EngineModel(clock, options), 16);
    assert.is(alone, 10 * 12.5);
    // The first sequence starts alone; the others join one step later and stay one step behind.
    assert.is(crowded, 12.5 + 9 * 20 + 19.5);
});

/** Runs `count` sequences of ten tokens concurrently; returns the time until the last one finishes. */
async function runSequences(clock: core.VirtualClock, model: standins.EngineModel, count: number): Promise<number> {
    const start = clock.now();
    let end = start;
    const onFinish = (): void => {
        end = clock.now();
    };
    for (let index = 0; index < count; index++) {
        model.submit({ prompt: [`p${index}`], resumed: 0, length: 10, onToken: () => undefined, onFinish });
    }
    await clock.advance(10_000);
    return end - start;
}

async function assertRejects(promise: Promise<unknown>): Promise<void> {
    const isRejected = await promise.then(
        () => false,
        () => true,
    );
    assert.ok(isRejected, "the call should have failed");
}

suite.run();
