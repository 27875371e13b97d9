import * as openai from "openai";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as core from "@boragedale/core";
import * as entry from "@boragedale/entry";
import * as release from "@boragedale/release";
import * as standins from "@boragedale/standins";
import * as fleetNotes from "../src/demo/notes.js";
import * as demoFleet from "../src/demo/fleet.js";

const suite = uvu.suite("end to end with OpenAI's client");

interface Fixture extends AsyncDisposable {
    readonly client: openai.OpenAI;
    readonly unknownCaller: openai.OpenAI;
}

/** Starts one instance, one engine and stand-ins of the platform's services in this process, connected by real sockets. */
async function createFixture(): Promise<Fixture> {
    const owned = new core.DisposalStack();
    const keyValue = owned.use(await standins.createKeyValueStandin({}));
    const instanceList = owned.use(await standins.createInstanceListStandin({}));
    const weightStore = owned.use(await standins.createWeightStoreStandin({}));
    const engine = owned.use(await standins.createEngineStandin({ holdings: { weightStoreUrl: weightStore.url } }));
    const booking = owned.use(await standins.createServiceStandin({}));
    const instance = owned.use(
        await entry.startInstance(createSettings(keyValue.url, instanceList.url, weightStore.url)),
    );
    const outcome = await instance.parts.publisher.publish({
        source: fleetNotes.createFirstNote({ engineUrls: [engine.url], bookingUrl: booking.url }),
        file: "note.yaml",
        replaces: 0,
        author: "test",
    });
    assert.is(outcome.kind, release.PublishKind.Published);
    await waitUntilReached(instance);
    const baseURL = `${instance.description.callerUrl}/v1`;
    return {
        client: new openai.OpenAI({ baseURL, apiKey: demoFleet.CallerToken, maxRetries: 0 }),
        unknownCaller: new openai.OpenAI({ baseURL, apiKey: "stranger", maxRetries: 0 }),
        [Symbol.asyncDispose]: () => owned[Symbol.asyncDispose](),
    };
}

function createSettings(keyValueUrl: string, instanceListUrl: string, weightStoreUrl: string): entry.EntrySettings {
    const ports = { "caller-port": 0, "operator-port": 0, "peer-port": 0 };
    const urls = {
        "key-value-url": keyValueUrl,
        "instance-list-url": instanceListUrl,
        "weight-store-url": weightStoreUrl,
    };
    const secrets = { "peer-key": "a key for tests", "operator-token": "a token for tests" };
    const names = { instance: "entry-1", "data-centre": "colombo-1", "log-level": "silent" };
    const checked = entry.readEntrySettings({ ...names, ...ports, ...urls, ...secrets }, {});
    core.Debug.assert(checked.ok, "the settings are usable");
    return checked.value;
}

async function waitUntilReached(instance: entry.Instance): Promise<void> {
    for (;;) {
        const progress = instance.parts.rollout.getProgress();
        if (progress.length > 0 && progress.every(each => each.phase === release.UpstreamPhase.Reached)) {
            return;
        }
        await new Promise(resolve => setTimeout(resolve, 50));
    }
}

suite("models, unary and streamed completions, files and batches work with OpenAI's client", async () => {
    await using fixture = await createFixture();
    const { client } = fixture;
    const models = await client.models.list();
    assert.equal(
        models.data.map(model => model.id),
        ["kestrel"],
    );
    const question = { model: "kestrel", messages: [{ role: "user" as const, content: "A place for Nimal?" }] };
    const whole = await client.chat.completions.create(question);
    const stream = await client.chat.completions.create({ ...question, stream: true });
    const pieces: string[] = [];
    for await (const chunk of stream) {
        pieces.push(chunk.choices[0]?.delta.content ?? "");
    }
    assert.is(pieces.join(""), whole.choices[0]?.message.content);
    assert.is(whole.choices[0]?.finish_reason, "stop");
    await runBatch(client);
});

async function runBatch(client: openai.OpenAI): Promise<void> {
    const lines = ["a", "b"].map(id =>
        JSON.stringify({
            custom_id: id,
            method: "POST",
            url: "/v1/chat/completions",
            body: { model: "kestrel", messages: [{ role: "user", content: id }] },
        }),
    );
    const file = await client.files.create({
        file: new File([lines.join("\n")], "items.jsonl"),
        purpose: "batch",
    });
    let batch = await client.batches.create({
        input_file_id: file.id,
        endpoint: "/v1/chat/completions",
        completion_window: "24h",
    });
    while (batch.status === "in_progress") {
        await new Promise(resolve => setTimeout(resolve, 50));
        batch = await client.batches.retrieve(batch.id);
    }
    assert.is(batch.status, "completed");
    const output = await (await client.files.content(batch.output_file_id ?? "")).text();
    const ids = output
        .trim()
        .split("\n")
        .map(line => (JSON.parse(line) as { custom_id: string }).custom_id);
    assert.equal(ids.sort(), ["a", "b"]);
    const listed = await client.batches.list();
    assert.is(listed.data[0]?.id, batch.id);
}

suite("an unknown token and an unknown model raise the client's matching error types", async () => {
    await using fixture = await createFixture();
    const body = { model: "unknown", messages: [{ role: "user" as const, content: "x" }] };
    const unauthenticated = await fixture.unknownCaller.models.list().catch((error: unknown) => error);
    assert.instance(unauthenticated, openai.OpenAI.AuthenticationError);
    const unknownModel = await fixture.client.chat.completions.create(body).catch((error: unknown) => error);
    assert.instance(unknownModel, openai.OpenAI.NotFoundError);
    assert.is((unknownModel as InstanceType<typeof openai.OpenAI.APIError>).code, "model_unknown");
});

suite.run();
