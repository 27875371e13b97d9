import * as customers from "@boragedale/customers";
import * as uvu from "uvu";
import * as assert from "uvu/assert";

const suite = uvu.suite("credentials");

function createCustomer(name: string, keys: readonly string[]): customers.Customer {
    return { name, keyDigests: keys.map(customers.digestKey), priority: undefined, limit: undefined };
}

function identify(directory: customers.CustomerDirectory, headers: readonly string[], isPublic = false): string {
    const identity = directory.identify(headers, isPublic);
    return identity.kind === customers.IdentityKind.Customer ? identity.customer.name : identity.kind;
}

const directory = new customers.CustomerDirectory([createCustomer("a", ["Key1", "key2"]), createCustomer("b", ["x"])]);

suite("each key finds its customer, and the scheme is compared case-insensitively", () => {
    assert.is(identify(directory, ["Authorization", "Bearer Key1"]), "a");
    assert.is(identify(directory, ["AUTHORIZATION", "bEARER key2"]), "a");
    assert.is(identify(directory, ["Host", "h", "authorization", "Bearer x"]), "b");
});

for (const headers of [
    [],
    ["Authorization", ""],
    ["Authorization", "Bearer"],
    ["Authorization", "Basic x"],
    ["Authorization", "Bearer x y"],
    ["Authorization", "Bearer x", "authorization", "Bearer x"],
    ["X-Authorization", "Bearer x"],
]) {
    suite(`no customer is found by ${JSON.stringify(headers)}`, () => {
        assert.is(identify(directory, headers), customers.IdentityKind.Unauthorized);
        assert.is(identify(directory, headers, true), customers.IdentityKind.Anonymous);
    });
}

suite("a key is compared case-sensitively", () => {
    assert.is(identify(directory, ["Authorization", "Bearer key1"]), customers.IdentityKind.UnknownKey);
});

suite("a removed key is distinguished from one that was never seen", () => {
    const next = new customers.CustomerDirectory([createCustomer("a", ["key2"])], directory);
    assert.is(identify(next, ["Authorization", "Bearer Key1"]), customers.IdentityKind.Unauthorized);
    assert.is(identify(next, ["Authorization", "Bearer other"]), customers.IdentityKind.UnknownKey);
    const later = new customers.CustomerDirectory([createCustomer("a", ["Key1"])], next);
    assert.is(identify(later, ["Authorization", "Bearer Key1"]), "a");
    assert.is(identify(later, ["Authorization", "Bearer x"]), customers.IdentityKind.Unauthorized);
});

suite("a customer's key counts on a public route, and an unknown key has no effect there", () => {
    assert.is(identify(directory, ["Authorization", "Bearer x"], true), "b");
    assert.is(identify(directory, ["Authorization", "Bearer other"], true), customers.IdentityKind.Anonymous);
});

suite.run();
