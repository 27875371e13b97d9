import * as fastCheck from "fast-check";
import * as gateway from "@boragedale/gateway";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as fixtures from "./fixtures.js";

const suite = uvu.suite("fleetView");

function createView(): gateway.FleetView {
    return new gateway.FleetView(new fixtures.TestCodec(), () => undefined);
}

function getIds(view: gateway.FleetView, now: number): string[] {
    return view
        .getUsable("service", now)
        .map(upstream => upstream.entry.id)
        .sort();
}

function createReady(id: string, revision: number): gateway.StoreEntry {
    return fixtures.createEntry(`upstreams/${id}`, revision, fixtures.createUpstream(id));
}

// Listings, watch events and notices of peers deliver the same entries in any order, repeatedly and late. Two instances
// that have received the same entries must have the same view, or one sends requests to an upstream that left.
suite("the same entries give the same view, in any order and with any repetitions", () => {
    const entry = fastCheck.record({
        id: fastCheck.constantFrom("a", "b", "c"),
        revision: fastCheck.integer({ min: 1, max: 30 }),
        kind: fastCheck.constantFrom("ready", "draining", "gone", "broken"),
    });
    const property = fastCheck.property(
        fastCheck.uniqueArray(entry, { selector: value => value.revision, maxLength: 15 }),
        fastCheck.infiniteStream(fastCheck.nat()),
        (list, order) => {
            const entries = list.map(({ id, revision, kind }) => createAny(id, revision, kind));
            const straight = createView();
            straight.apply(entries, 0);
            const shuffled = createView();
            const doubled = [...entries, ...entries]
                .map(value => ({ value, at: order.next().value as number }))
                .sort((left, right) => left.at - right.at);
            doubled.forEach(({ value }) => shuffled.apply([value], 0));
            // Holds of removed entries depend on the order. The state after their end does not.
            assert.equal(getIds(shuffled, 60_000), getIds(straight, 60_000));
            assert.is(shuffled.getDigest(), straight.getDigest());
        },
    );
    fastCheck.assert(property, { seed: 5, numRuns: 300 });
});

function createAny(id: string, revision: number, kind: string): gateway.StoreEntry {
    const key = `upstreams/${id}`;
    switch (kind) {
        case "gone":
            return { key, revision, value: undefined };
        case "broken":
            return { key, revision, value: Buffer.from("{") };
        case "draining":
            return fixtures.createEntry(
                key,
                revision,
                fixtures.createUpstream(id, { state: gateway.UpstreamState.Draining }),
            );
        default:
            return createReady(id, revision);
    }
}

suite("a configuration never goes back to an older version", () => {
    const view = createView();
    view.apply([fixtures.createEntry("configuration", 5, fixtures.createConfiguration(7))], 0);
    view.apply([fixtures.createEntry("configuration", 4, fixtures.createConfiguration(6))], 0);
    assert.is(view.getConfiguration()?.version, 7);
    view.apply([fixtures.createEntry("configuration", 9, fixtures.createConfiguration(3))], 0);
    assert.is(view.getConfiguration()?.version, 7);
});

// The store is down and leases expire. After its recovery all upstreams seem to have left although they are alive.
// Without a hold every request would be rejected during the two seconds until they are listed again.
suite("entries that are removed while the store is unreliable stay in use until they could be listed again", () => {
    const view = createView();
    view.apply([createReady("a", 1), createReady("b", 2)], 0);
    view.noteStoreFailure(1_000);
    view.apply([{ key: "upstreams/a", revision: 3, value: undefined }], 2_000);
    assert.equal(getIds(view, 2_000), ["a", "b"]);
    assert.equal(getIds(view, 10_000), ["b"]);
});

// The store rejects the calls of one instance for seconds, then answers it again. A call from before the recovery times
// out, and the instance finds that its own lease has ended. Three seconds after the recovery an upstream leaves without
// announcing it, and its entry is removed. An instance that still suspects the store goes on sending to it for seconds,
// longer than an upstream that left may be used.
suite("an upstream that leaves after the store's recovery is no longer used within two seconds", () => {
    const view = createView();
    view.apply([createReady("a", 1), createReady("b", 2)], 0);
    view.noteStoreCall(gateway.StoreFailureKind.Unknown, 6_000, 7_000);
    view.noteStoreCall(gateway.DoneOutcome, 7_500, 7_510);
    view.noteStoreCall(gateway.StoreFailureKind.Unknown, 7_400, 8_400);
    view.noteStoreCall(gateway.StoreFailureKind.LeaseGone, 8_490, 8_500);
    const leftAt = 10_500;
    view.apply([{ key: "upstreams/a", revision: 3, value: undefined }], leftAt);
    assert.equal(getIds(view, leftAt + 1_950), ["b"]);
});

// Leases expire in an outage. Entries that this instance found removed must stay in use until their upstreams could be
// listed again, and no longer: two seconds after the recovery, an upstream that is still missing has left.
suite("an entry whose lease expired in an outage is held until two seconds after the store's recovery", () => {
    const view = createView();
    view.apply([createReady("a", 1), createReady("b", 2)], 0);
    view.noteStoreCall(gateway.StoreFailureKind.NotDone, 900, 1_000);
    view.apply([{ key: "upstreams/a", revision: 3, value: undefined }], 3_500);
    view.noteStoreCall(gateway.StoreFailureKind.NotDone, 4_900, 5_000);
    view.noteStoreCall(gateway.DoneOutcome, 5_000, 5_004);
    assert.equal(getIds(view, 6_800), ["a", "b"]);
    assert.equal(getIds(view, 7_050), ["b"]);
});

suite("an upstream whose entry is removed while the store is healthy has left", () => {
    const view = createView();
    view.apply([createReady("a", 1), createReady("b", 2)], 0);
    view.apply([{ key: "upstreams/a", revision: 3, value: undefined }], 10_000);
    assert.equal(getIds(view, 10_000), ["b"]);
});

suite("a draining upstream whose entry is removed is not held, whatever the state of the store", () => {
    const view = createView();
    view.apply([createAny("a", 1, "draining"), createReady("b", 2)], 0);
    view.noteStoreFailure(1_000);
    view.apply([{ key: "upstreams/a", revision: 3, value: undefined }], 1_000);
    assert.equal(getIds(view, 1_000), ["b"]);
});

// An outage can end without a store call by this member during it: nothing failed, but the leases of most upstreams
// expired. Half of a service does not leave within a third of a second.
suite("the removal of most of a service at once is treated as expired leases", () => {
    const view = createView();
    const ids = ["a", "b", "c", "d", "e", "f"];
    view.apply(
        ids.map((id, index) => createReady(id, index + 1)),
        0,
    );
    ids.forEach((id, index) =>
        view.apply([{ key: `upstreams/${id}`, revision: 10 + index, value: undefined }], 10_000 + index),
    );
    assert.ok(getIds(view, 10_010).length >= 3);
    assert.equal(getIds(view, 12_000), []);
});

suite("an entry that can't be decoded yields no upstream and hides no other", () => {
    const findings: unknown[] = [];
    const view = new gateway.FleetView(new fixtures.TestCodec(), found => findings.push(...found));
    view.apply([createReady("a", 1), createAny("b", 2, "broken")], 0);
    assert.equal(getIds(view, 0), ["a"]);
    assert.is(findings.length, 1);
});

suite("a listing removes the entries that it lacks", () => {
    const view = createView();
    view.apply([createReady("a", 1), createReady("b", 2)], 0);
    view.applyListing("upstreams/", { entries: [createReady("b", 2)], revision: 9 }, 10_000);
    assert.equal(getIds(view, 10_000), ["b"]);
});

// Changes arrive out of order for seconds. A request to a peer must start before them, or a late change stays unknown.
suite("the settled revision is the one that was known seconds ago, or listed completely", () => {
    const view = createView();
    view.apply([createReady("a", 5)], 0);
    view.apply([createReady("b", 7)], 3_000);
    assert.is(view.getSettledRevision(4_900), 0);
    assert.is(view.getSettledRevision(5_000), 5);
    view.apply([createReady("c", 9)], 6_000);
    assert.is(view.getSettledRevision(10_000), 5);
    assert.is(view.getSettledRevision(11_000), 9);
    for (const prefix of ["configuration", "upstreams/", gateway.FleetPrefix]) {
        view.applyListing(prefix, { entries: [], revision: 12 }, 11_000);
    }
    assert.is(view.getSettledRevision(11_000), 12);
});

suite.run();
