import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as standins from "@boragedale/standins";

const suite = uvu.suite("plain service stand-in");

function book(url: string, key: string): Promise<Response> {
    const headers = { "idempotency-key": key, "content-type": "application/json" };
    return fetch(`${url}/bookings`, { method: "POST", headers, body: JSON.stringify({ place: 7 }) });
}

async function isBroken(response: Promise<Response>): Promise<boolean> {
    return response.then(
        () => false,
        () => true,
    );
}

async function getOutcomeStatus(url: string, key: string): Promise<number> {
    return (await fetch(`${url}/outcomes/${key}`)).status;
}

suite("runs are counted by idempotency key, and duplicates are dropped only if deduplication is on", async () => {
    await using service = await standins.createServiceStandin();
    await book(service.url, "a");
    await book(service.url, "a");
    assert.is(service.runs.get("a"), 2);
    service.faults.deduplicates = true;
    const first = await (await book(service.url, "b")).json();
    const second = await (await book(service.url, "b")).json();
    assert.equal(first, second);
    assert.is(service.runs.get("b"), 1);
});

// The service fails with a request in flight. The caller sees the same broken connection whether the request ran or
// not; only querying the outcome by its idempotency key distinguishes the two.
suite("the outcome shows whether the service failed before or after the run", async () => {
    await using service = await standins.createServiceStandin();
    service.faults.deathsBeforeRun = 1;
    assert.ok(await isBroken(book(service.url, "before")));
    service.faults.deathsAfterRun = 1;
    assert.ok(await isBroken(book(service.url, "after")));
    assert.is(await getOutcomeStatus(service.url, "before"), 404);
    assert.is(await getOutcomeStatus(service.url, "after"), 200);
    const runs = await (await fetch(`${service.url}/runs`)).json();
    assert.equal(runs, { after: 1 });
});

suite("faults can be set over HTTP", async () => {
    await using service = await standins.createServiceStandin();
    const headers = { "content-type": "application/json" };
    await fetch(`${service.url}/faults`, { method: "PUT", headers, body: JSON.stringify({ isDown: true }) });
    assert.is((await book(service.url, "a")).status, 503);
    assert.is(service.runs.size, 0);
});

suite.run();
