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

suite("runs a booking once however often it is sent, and gives the same answer", async () => {
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

suite("sends a booking on only while no byte of it has left", async () => {
    // The first server refuses the connection, so the second may take the booking. The second dies after it read the
    // booking: it may be booked, so no third server gets it and the caller is told that its outcome is not known.
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

suite("frees the key of a booking that was not sent, before it says so", async () => {
    // The caller is told "not run" and comes back at once with the same key: the booking must be able to start.
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

suite("asks a service that can be asked instead of sending again", async () => {
    // The server books and dies before it answers. Asked for the key it says that it ran: the caller gets its booking.
    const server = new fixtures.ScriptedService(async () => mayHaveRun);
    server.askOutcome = { kind: upstreams.AskOutcomeKind.Ran, response: booked };
    const fleet = fixtures.createFleet({ servers: ["server-1"], safety: core.CallSafety.Askable });
    await using fixture = fixtures.createDispatcherFixture({ services: { "server-1": server }, fleet });
    const outcome = await fixture.dispatcher.callService(fixtures.createCall(), fixtures.neverAborted);
    assert.ok(outcome.ok);
    assert.equal(Buffer.from(outcome.value.body).toString(), "booked");
    assert.equal(server.requests.length, 1);
});

suite("believes that a booking did not run only from the server that it was sent to", async () => {
    // Two servers that don't share their records. The first gets the booking and dies; the second, asked for the key,
    // truthfully says that it did not run there. Taking that for an answer would book twice.
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

suite("never sends again a denied booking whose release note gives no settle time", async () => {
    // The connection breaks while the booking lies unread in the server's socket. Asked, the server truthfully says that
    // it did not run, and runs it a little later. A second sending after the denials would book twice.
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

suite("sends a denied booking again only once nothing of the first can begin any more", async () => {
    // The same broken connection, and a note that says that a call begins within 5 s or never. One server runs the
    // booking after 3 s: it must not get a second. The other never does: its caller gets the booking by a second sending.
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

suite("sends nothing for a start that another instance may have taken over", async () => {
    // The instance records the start and is paused before the first byte. Meanwhile it counts as gone and its call is
    // taken over. When it wakes its start is too old: the caller hears `not run`, and nothing is sent.
    const server = new fixtures.ScriptedService(async () => ran);
    await using fixture = fixtures.createDispatcherFixture({ services: { "server-1": server } });
    fixture.ledger.isSendAllowed = () => false;
    const outcome = await fixture.dispatcher.callService(fixtures.createCall(), fixtures.neverAborted);
    assert.ok(!outcome.ok && outcome.refusal.certainty === core.RunCertainty.NotRun);
    assert.equal(server.requests.length, 0);
});

suite("sends again what the service drops duplicates of", async () => {
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

suite("settles a booking whose instance is gone without sending it again", async () => {
    // An instance recorded the booking as started and died. Whether it had sent it nobody knows. Where the service
    // can't be asked the booking must never run again.
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

suite("refuses bookings while the key-value service is down, and goes on with completions", async () => {
    // Nothing that may run only once can be started without a record. The refusal is true ("not run"), comes at once
    // and says when to come back; what needs no record is not touched.
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

suite("records a booking whose caller has gone", async () => {
    // The caller closes its connection while the booking runs. The booking is not cut off; when its caller comes back
    // with the same key it gets the result.
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

suite("does not let a path slip past the ledger under a repeatable route", async () => {
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
