import * as assert from "node:assert/strict";
import * as uvu from "uvu";
import * as core from "@boragedale/core";
import * as upstreams from "@boragedale/upstreams";
import * as work from "@boragedale/work";
import * as fixtures from "./dispatchFixtures.js";

const suite = uvu.suite("service calls");

const booked: upstreams.ServiceResponse = { status: 201, headers: {}, body: Buffer.from("booked") };
const ran: upstreams.ServiceOutcome = { ok: true, response: booked };
const mayHaveRun: upstreams.ServiceOutcome = {
    ok: false,
    kind: upstreams.ServiceFailureKind.MayHaveRun,
    text: "reset",
};
const notSent: upstreams.ServiceOutcome = { ok: false, kind: upstreams.ServiceFailureKind.NotSent, text: "refused" };

suite("a booking runs once and gets the same answer however often it is sent", async () => {
    const server = new fixtures.ScriptedService(async () => ran);
    await using fixture = fixtures.createDispatcherFixture({ services: { "server-1": server } });
    for (let index = 0; index < 3; index++) {
        const outcome = await fixture.dispatcher.callService(fixtures.createCall(), fixtures.neverAborted);
        assert.ok(outcome.ok);
        assert.equal(outcome.value.status, 201);
    }
    assert.equal(server.requests.length, 1);
    assert.equal(server.requests[0]?.needsProvedConnection, true);
    const other = fixtures.createCall({ body: Buffer.from("another") });
    const reused = await fixture.dispatcher.callService(other, fixtures.neverAborted);
    assert.ok(!reused.ok && reused.refusal.kind === core.RefusalKind.KeyReused);
});

suite("a booking goes to another server only if no byte of it was sent", async () => {
    // The first server refuses the connection, so the booking may go to the second. The second crashes after it has
    // read the booking and may have run it, so the booking goes to no third server and the caller gets an unknown
    // outcome.
    const scripts = [async () => notSent, async () => mayHaveRun, async () => ran];
    const sent: string[] = [];
    const create = (id: string): fixtures.ScriptedService =>
        new fixtures.ScriptedService(() => {
            sent.push(id);
            return core.Debug.checkDefined(scripts.shift(), "script")();
        });
    const services = { "server-1": create("server-1"), "server-2": create("server-2"), "server-3": create("server-3") };
    await using fixture = fixtures.createDispatcherFixture({ services });
    const outcome = await fixture.dispatcher.callService(fixtures.createCall(), fixtures.neverAborted);
    assert.ok(!outcome.ok && outcome.refusal.kind === core.RefusalKind.OutcomeUnknown);
    assert.equal(outcome.refusal.certainty, core.RunCertainty.MayHaveRun);
    assert.equal(new Set(sent).size, 2);
    const again = await fixture.dispatcher.callService(fixtures.createCall(), fixtures.neverAborted);
    assert.ok(!again.ok && again.refusal.kind === core.RefusalKind.OutcomeUnknown);
    assert.equal(sent.length, 2);
});

suite("the key of an unsent booking is released before the refusal", async () => {
    // The caller gets "not run" and retries at once with the same key. The booking must be able to start.
    let outcome: upstreams.ServiceOutcome = notSent;
    const server = new fixtures.ScriptedService(async () => outcome);
    await using fixture = fixtures.createDispatcherFixture({ services: { "server-1": server } });
    const refused = await fixture.dispatcher.callService(fixtures.createCall(), fixtures.neverAborted);
    assert.ok(!refused.ok && refused.refusal.certainty === core.RunCertainty.NotRun);
    assert.notEqual(refused.refusal.retryAfterMilliseconds, undefined);
    outcome = ran;
    const second = await fixture.dispatcher.callService(fixtures.createCall(), fixtures.neverAborted);
    assert.ok(second.ok);
});

suite("a service that can be asked for the outcome is asked instead of sent the call again", async () => {
    // The server runs the booking and crashes before it answers. It answers a query for the key with the result.
    const server = new fixtures.ScriptedService(async () => mayHaveRun);
    server.askOutcome = { kind: upstreams.AskOutcomeKind.Ran, response: booked };
    const fleet = fixtures.createFleet({ servers: ["server-1"], safety: core.CallSafety.Askable });
    await using fixture = fixtures.createDispatcherFixture({ services: { "server-1": server }, fleet });
    const outcome = await fixture.dispatcher.callService(fixtures.createCall(), fixtures.neverAborted);
    assert.ok(outcome.ok);
    assert.equal(Buffer.from(outcome.value.body).toString(), "booked");
    assert.equal(server.requests.length, 1);
});

suite("a denial counts only from the server that the booking was sent to", async () => {
    // Two servers don't share their records. The first gets the booking and crashes. The second, asked for the key,
    // correctly answers that it did not run there. Accepting that as final would book twice.
    const scripts = [async () => mayHaveRun, async () => ran];
    const servers = ["server-1", "server-2"].map(
        () => new fixtures.ScriptedService(() => core.Debug.checkDefined(scripts.shift(), "script")()),
    );
    const [first, second] = servers as [fixtures.ScriptedService, fixtures.ScriptedService];
    const fleet = fixtures.createFleet({ servers: ["server-1", "server-2"], safety: core.CallSafety.Askable });
    await using fixture = fixtures.createDispatcherFixture({
        services: { "server-1": first, "server-2": second },
        fleet,
    });
    first.askOutcome = { kind: upstreams.AskOutcomeKind.NoAnswer, text: "down" };
    second.askOutcome = { kind: upstreams.AskOutcomeKind.DidNotRun };
    const calling = fixture.dispatcher.callService(fixtures.createCall(), fixtures.neverAborted);
    await fixture.clock.advance(200_000);
    const outcome = await calling;
    assert.ok(!outcome.ok && outcome.refusal.certainty === core.RunCertainty.MayHaveRun);
    assert.equal(first.requests.length + second.requests.length, 1);
    const record = await fixture.ledger.read(fixtures.createCall());
    assert.ok(record.ok && record.value?.state === work.CallState.OutcomeUnknown);
});

suite("a denied booking is never sent again if the release note gives no settle time", async () => {
    // The connection breaks while the booking is unread in the server's socket. The server correctly answers that it
    // did not run, and runs it a little later. Sending it again after the denials would book twice.
    const scripts = [async () => mayHaveRun, async () => ran];
    const server = new fixtures.ScriptedService(() => core.Debug.checkDefined(scripts.shift(), "script")());
    server.askOutcome = { kind: upstreams.AskOutcomeKind.DidNotRun };
    const fleet = fixtures.createFleet({ servers: ["server-1"], safety: core.CallSafety.Askable });
    await using fixture = fixtures.createDispatcherFixture({ services: { "server-1": server }, fleet });
    const calling = fixture.dispatcher.callService(fixtures.createCall(), fixtures.neverAborted);
    await fixture.clock.advance(200_000);
    const outcome = await calling;
    assert.ok(!outcome.ok && outcome.refusal.certainty === core.RunCertainty.MayHaveRun);
    assert.equal(server.requests.length, 1);
    const record = await fixture.ledger.read(fixtures.createCall());
    assert.ok(record.ok && record.value?.state === work.CallState.OutcomeUnknown);
});

suite("a denied booking is sent again only after the first can no longer start", async () => {
    // The connection breaks as above, and the release note says that a call starts within 5 s or never. In the first
    // case the server runs the booking after 3 s and must not get it again. In the second it never does, and gets it a
    // second time.
    const fleet = fixtures.createFleet({
        servers: ["server-1"],
        safety: core.CallSafety.Askable,
        settleMilliseconds: 5_000,
    });
    for (const runsLate of [true, false]) {
        const scripts: (() => Promise<upstreams.ServiceOutcome>)[] = [async () => mayHaveRun, async () => ran];
        const server: fixtures.ScriptedService = new fixtures.ScriptedService(() =>
            core.Debug.checkDefined(scripts.shift(), "script")(),
        );
        server.askOutcome = { kind: upstreams.AskOutcomeKind.DidNotRun };
        await using fixture = fixtures.createDispatcherFixture({ services: { "server-1": server }, fleet });
        const calling = fixture.dispatcher.callService(fixtures.createCall(), fixtures.neverAborted);
        await fixture.clock.advance(3_000);
        assert.equal(server.requests.length, 1);
        if (runsLate) {
            server.askOutcome = { kind: upstreams.AskOutcomeKind.Ran, response: booked };
        }
        await fixture.clock.advance(25_000);
        const outcome = await calling;
        assert.ok(outcome.ok);
        assert.equal(server.requests.length, runsLate ? 1 : 2);
    }
});

suite("nothing is sent for a start that another instance may have taken over", async () => {
    // The instance records the start and is paused before it sends the first byte. Meanwhile it counts as removed and
    // its call is taken over. When it continues, its start is too old: the caller gets `not run`, and nothing is sent.
    const server = new fixtures.ScriptedService(async () => ran);
    await using fixture = fixtures.createDispatcherFixture({ services: { "server-1": server } });
    fixture.ledger.isSendAllowed = () => false;
    const outcome = await fixture.dispatcher.callService(fixtures.createCall(), fixtures.neverAborted);
    assert.ok(!outcome.ok && outcome.refusal.certainty === core.RunCertainty.NotRun);
    assert.equal(server.requests.length, 0);
});

suite("a call to a service that drops duplicates is sent again", async () => {
    const scripts = [async () => mayHaveRun, async () => ran];
    const server = new fixtures.ScriptedService(() => core.Debug.checkDefined(scripts.shift(), "script")());
    const fleet = fixtures.createFleet({ servers: ["server-1"], safety: core.CallSafety.Deduplicated });
    await using fixture = fixtures.createDispatcherFixture({ services: { "server-1": server }, fleet });
    const outcome = await fixture.dispatcher.callService(fixtures.createCall(), fixtures.neverAborted);
    assert.ok(outcome.ok);
    assert.deepEqual(
        server.requests.map(request => request.key),
        ["key-1", "key-1"],
    );
});

suite("a booking whose instance was removed is settled without sending it again", async () => {
    // An instance recorded the booking as started and crashed. It is unknown whether it had sent it. If the service
    // can't be asked, the booking must never run again.
    const server = new fixtures.ScriptedService(async () => ran);
    await using fixture = fixtures.createDispatcherFixture({ services: { "server-1": server } });
    await fixture.dispatcher.callService(fixtures.createCall({ key: "probe" }), fixtures.neverAborted);
    const begun = core.Debug.checkDefined(fixture.ledger.records.get("caller-1 probe"), "record");
    fixture.ledger.records.set("caller-1 key-1", {
        ...begun,
        key: "key-1",
        state: work.CallState.Started,
        result: undefined,
        instance: "gone",
    });
    const outcome = await fixture.dispatcher.callService(fixtures.createCall(), fixtures.neverAborted);
    assert.ok(!outcome.ok && outcome.refusal.kind === core.RefusalKind.OutcomeUnknown);
    assert.equal(server.requests.length, 1);
});

suite("bookings are refused while the key-value service is down, and completions continue", async () => {
    // A call that may run only once can't start without a record. It is refused at once as "not run", with a retry
    // time. Requests that need no record are not affected.
    const server = new fixtures.ScriptedService(async () => ran);
    const engine = new fixtures.ScriptedEngine(fixtures.answerWhole);
    await using fixture = fixtures.createDispatcherFixture({
        services: { "server-1": server },
        engines: { "engine-1": engine },
    });
    fixture.ledger.isDown = true;
    const outcome = await fixture.dispatcher.callService(fixtures.createCall(), fixtures.neverAborted);
    assert.ok(!outcome.ok && outcome.refusal.kind === core.RefusalKind.KeyValueDown);
    assert.equal(outcome.refusal.certainty, core.RunCertainty.NotRun);
    assert.notEqual(outcome.refusal.retryAfterMilliseconds, undefined);
    assert.equal(server.requests.length, 0);
    const answer = await fixtures.collectAnswer(
        fixture.dispatcher.complete(fixtures.createCompletion(), fixtures.neverAborted),
    );
    assert.equal(answer.text, fixtures.wholeAnswer.join(""));
    const card = fixtures.createCall({ method: "GET", path: "/cards/7", body: undefined });
    assert.ok((await fixture.dispatcher.callService(card, fixtures.neverAborted)).ok);
});

suite("a booking is recorded even if its caller has disconnected", async () => {
    // The caller closes its connection while the booking runs. The booking is not cancelled, and a later request with
    // the same key gets the result.
    let answer: (outcome: upstreams.ServiceOutcome) => void = () => undefined;
    const server = new fixtures.ScriptedService(() => new Promise(resolve => (answer = resolve)));
    await using fixture = fixtures.createDispatcherFixture({ services: { "server-1": server } });
    const controller = new AbortController();
    const calling = fixture.dispatcher.callService(fixtures.createCall(), controller.signal);
    await fixture.clock.advance(1);
    controller.abort();
    const left = await calling;
    assert.ok(!left.ok && left.refusal.certainty === core.RunCertainty.MayHaveRun);
    assert.equal(fixture.dispatcher.getInProgress(), 1);
    answer(ran);
    await fixture.clock.advance(1);
    assert.equal(fixture.dispatcher.getInProgress(), 0);
    assert.ok((await fixture.dispatcher.callService(fixtures.createCall(), fixtures.neverAborted)).ok);
    assert.equal(server.requests.length, 1);
});

suite("no path bypasses the ledger by matching a repeatable route", async () => {
    const server = new fixtures.ScriptedService(async () => ran);
    await using fixture = fixtures.createDispatcherFixture({ services: { "server-1": server } });
    for (const path of ["/cards/../bookings", "/cards/%2e%2e/bookings", "//bookings", "/bookingsearch", "/%zz"]) {
        const call = fixtures.createCall({ method: "GET", path });
        const outcome = await fixture.dispatcher.callService(call, fixtures.neverAborted);
        assert.ok(!outcome.ok && outcome.refusal.kind === core.RefusalKind.NotFound, path);
    }
    assert.equal(server.requests.length, 0);
});

suite.run();
