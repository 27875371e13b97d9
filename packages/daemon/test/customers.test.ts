import * as platform from "@boragedale/platform";
import * as standins from "@boragedale/platform-standins";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as fixtures from "./fixtures.js";

const suite = uvu.suite("customers");

const AttemptId = platform.names.AttemptIdHeader;
const { CustomerHeader } = platform.names;
const Customers: readonly standins.DemoCustomer[] = [
    { name: "first", keys: ["first-1", "first-2"] },
    { name: "second", keys: ["second-1"] },
];

async function startPlatform(
    gatewayCount: number,
    customers: readonly standins.DemoCustomer[] = Customers,
): Promise<fixtures.TestPlatform> {
    const testPlatform = await fixtures.startPlatform(gatewayCount);
    standins.writeConfiguration(testPlatform.store.metadata, { version: 4, customers });
    for (const { addresses } of testPlatform.gateways) {
        await fixtures.waitUntil(async () => (await send(addresses.caller, undefined)).status === 401);
    }
    // Drops the requests that were forwarded before the customers were in force.
    testPlatform.service.received.length = 0;
    return testPlatform;
}

async function send(
    address: string,
    key: string | undefined,
    target = "/safe/x",
    headers: Readonly<Record<string, string>> = {},
): Promise<fixtures.HttpResponse> {
    const authorization: Readonly<Record<string, string>> = key === undefined ? {} : { Authorization: `Bearer ${key}` };
    return fixtures.send(address, target, { headers: { [AttemptId]: "r1", ...authorization, ...headers } });
}

function findHeaders(request: standins.ReceivedRequest | undefined, name: string): string[] {
    const raw = request?.rawHeaders ?? [];
    return raw.filter((value, index) => index % 2 === 1 && raw[index - 1]?.toLowerCase() === name);
}

suite("the upstream receives the customer's name but not the key", async () => {
    await using testPlatform = await startPlatform(1);
    const { caller } = testPlatform.gateways[0]!.addresses;
    assert.is((await send(caller, "first-2")).status, 200);
    assert.is((await send(caller, "second-1", "/safe/x", { [CustomerHeader.toUpperCase()]: "first" })).status, 200);
    assert.equal(
        testPlatform.service.received.map(request => findHeaders(request, platform.names.HeaderName.Customer)),
        [["first"], ["second"]],
    );
    assert.equal(findHeaders(testPlatform.service.received[0], "authorization"), []);
});

suite("a request without a customer's key is not forwarded", async () => {
    await using testPlatform = await startPlatform(1);
    const { caller } = testPlatform.gateways[0]!.addresses;
    for (const key of [undefined, "", "FIRST-1", "other", "first-1 second-1"]) {
        const answer = await send(caller, key);
        assert.is(answer.status, 401);
        assert.is(answer.headers["www-authenticate"], "Bearer");
    }
    assert.is(testPlatform.service.received.length, 0);
});

suite("a public route requires no key and forwards neither key nor customer", async () => {
    await using testPlatform = await startPlatform(1);
    const { caller } = testPlatform.gateways[0]!.addresses;
    assert.is((await send(caller, undefined, "/public/x")).status, 200);
    assert.is((await send(caller, "other", "/public/x", { [CustomerHeader]: "first" })).status, 200);
    testPlatform.service.received.forEach(request => {
        assert.equal(findHeaders(request, "authorization"), []);
        assert.equal(findHeaders(request, platform.names.HeaderName.Customer), []);
    });
});

// Guards against checking keys only on new connections: a removed key would keep working on a caller's open connection.
suite("a removed key is rejected and an added key accepted at every gateway", async () => {
    await using testPlatform = await startPlatform(2);
    const callers = testPlatform.gateways.map(gateway => gateway.addresses.caller);
    const customers = [
        { name: "first", keys: ["first-3"] },
        { name: "second", keys: [] },
    ];
    standins.writeConfiguration(testPlatform.store.metadata, { version: 5, customers });
    for (const caller of callers) {
        await fixtures.waitUntil(async () => (await send(caller, "first-3")).status === 200);
        assert.is((await send(caller, "first-1")).status, 401);
        assert.is((await send(caller, "second-1")).status, 401);
    }
});

// A key may be used right after the operators have added it, before the gateway's watch has delivered the change. Callers don't
// retry after a 401.
suite("an unknown key is looked up in the store before it is rejected", async () => {
    await using testPlatform = await startPlatform(1);
    const { caller } = testPlatform.gateways[0]!.addresses;
    const customers = [...Customers, { name: "third", keys: ["third-1"] }];
    const written = new Promise<void>(resolve => {
        standins.writeConfiguration(testPlatform.store.metadata, { version: 5, customers });
        resolve();
    });
    await written;
    assert.is((await send(caller, "third-1")).status, 200);
});

function createSubmission(count: number): string {
    const items = [...new Array(count).keys()].map(index => ({
        Id: `item-${index}`,
        Path: "/batch/x",
        Headers: {
            Authorization: "Bearer first-1",
            [CustomerHeader.replaceAll("-", "_")]: "second",
            [CustomerHeader]: "second",
        },
        Body: Buffer.from(`body ${index}`).toString("base64"),
    }));
    return JSON.stringify({ Items: items });
}

suite("only its customer can access a submission, which survives the removal of its key", async () => {
    await using testPlatform = await startPlatform(2);
    const [first, second] = testPlatform.gateways.map(gateway => gateway.addresses.caller);
    const authorize = (key: string): Readonly<Record<string, string>> => ({ Authorization: `Bearer ${key}` });
    const submit = async (key: string, count: number): Promise<number> => {
        const headers = { [AttemptId]: "s1", ...authorize(key) };
        return (await fixtures.send(first!, "/batch/s1", { headers, body: createSubmission(count) })).status;
    };
    const call = async (key: string, path: string, method = "GET"): Promise<fixtures.HttpResponse> =>
        fixtures.send(second!, path, { method, headers: authorize(key) });
    const results = `${platform.names.SubmissionPathPrefix}s1`;
    const body = `${platform.names.ItemPathPrefix}s1?Id=item-0`;
    assert.is(await submit("first-1", 3), 202);
    for (const answer of [
        await call("second-1", results),
        await call("second-1", body),
        await call("second-1", results, "DELETE"),
    ]) {
        assert.is(answer.status, 404);
    }
    assert.is((await call("other", results)).status, 401);
    assert.is(await submit("second-1", 2), 202);
    standins.writeConfiguration(testPlatform.store.metadata, {
        version: 5,
        customers: [
            { name: "first", keys: ["first-9"] },
            { name: "second", keys: ["second-1"] },
        ],
    });
    const countResults = async (key: string): Promise<number> => {
        const answer = await call(key, results);
        return answer.status === 200 ? (JSON.parse(answer.body) as { Results: unknown[] }).Results.length : -1;
    };
    await fixtures.waitUntil(async () => (await countResults("first-9")) === 3);
    await fixtures.waitUntil(async () => (await countResults("second-1")) === 2);
    const received = testPlatform.engines.flatMap(engine => engine.received);
    const names = received.map(request => findHeaders(request, platform.names.HeaderName.Customer).join());
    assert.equal(names.sort(), ["first", "first", "first", "second", "second"]);
    received.forEach(request => {
        assert.equal(findHeaders(request, "authorization"), []);
        assert.equal(findHeaders(request, platform.names.HeaderName.Customer.replaceAll("-", "_")), []);
    });
});

suite("a customer's limit holds over all gateways and rejections carry Retry-After", async () => {
    const limited = { name: "first", keys: ["first-1"], requestsPerSecond: 0.2, burst: 4 };
    await using testPlatform = await startPlatform(3, [limited, { name: "second", keys: ["second-1"] }]);
    const callers = testPlatform.gateways.map(gateway => gateway.addresses.caller);
    const statuses: number[] = [];
    for (let index = 0; index < 12; index++) {
        const answer = await send(callers[index % 3]!, "first-1");
        statuses.push(answer.status);
        if (answer.status === 429) {
            assert.ok(Number(answer.headers["retry-after"]) > 0);
        }
    }
    assert.is(statuses.filter(status => status === 200).length, 5);
    assert.is(statuses.filter(status => status === 429).length, 7);
    assert.is(testPlatform.service.received.length, 5);
    assert.is((await send(callers[0]!, "second-1")).status, 200);
});

suite("a request that no upstream ran doesn't count against its customer's limit", async () => {
    await using testPlatform = await startPlatform(1, [
        { name: "first", keys: ["k"], requestsPerSecond: 0.2, burst: 1 },
    ]);
    const { caller } = testPlatform.gateways[0]!.addresses;
    testPlatform.service.faults.isFull = true;
    for (let index = 0; index < 5; index++) {
        assert.is((await send(caller, "k", "/once/x")).status, 503);
    }
    testPlatform.service.faults.isFull = false;
    await fixtures.waitUntil(async () => (await send(caller, "k", "/once/x")).status === 200);
});

suite.run();
