import * as core from "@boragedale/core";
import * as customers from "@boragedale/customers";
import * as gateway from "@boragedale/gateway";
import * as standins from "@boragedale/standins";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as fixtures from "./fixtures.js";
import * as testFleet from "./testFleet.js";

const suite = uvu.suite("callerIdentity");

interface Scene {
    readonly clock: core.VirtualClock;
    readonly metadata: standins.MemoryMetadata;
    readonly store: standins.MemoryMetadataStore;
    readonly write: (version: number, keys: readonly string[]) => void;
    readonly identify: (key: string) => Promise<customers.IdentityKind>;
}

/** Creates a member whose configuration is version 1, with the key `old`. Later versions are only in the store. */
function createScene(): Scene {
    const clock = new core.VirtualClock();
    const metadata = new standins.MemoryMetadata(clock);
    const store = metadata.createClient();
    const view = new gateway.FleetView(new fixtures.TestCodec(), () => undefined);
    const createConfiguration = (version: number, keys: readonly string[]): gateway.Configuration => {
        const customer = {
            name: "c",
            keyDigests: keys.map(customers.digestKey),
            priority: undefined,
            limit: undefined,
        };
        return { ...fixtures.createConfiguration(version), customers: [customer] };
    };
    const write = (version: number, keys: readonly string[]): void => {
        metadata.put("configuration", JSON.stringify(createConfiguration(version, keys)));
    };
    view.apply([fixtures.createEntry("configuration", 1, createConfiguration(1, ["old"]))], 0);
    const refresh = new gateway.ConfigurationRefresh({
        store,
        clock,
        configurationKey: "configuration",
        apply: entries => void view.apply(entries, clock.now()),
    });
    const identity = new gateway.CallerIdentity({ view, refreshConfiguration: () => refresh.refresh() });
    const identify = async (key: string): Promise<customers.IdentityKind> => {
        const found = identity.identify(["Authorization", `Bearer ${key}`], false);
        return (await testFleet.advanceUntilSettled(clock, found)).kind;
    };
    // Advances the store's revision, so that later writes of the configuration are newer than the member's version.
    ["a", "b"].forEach(key => metadata.put(key, ""));
    return { clock, metadata, store, write, identify };
}

function countReads(scene: Scene): number {
    return scene.metadata.calls.get("read") ?? 0;
}

// Callers don't retry after a 401, so a key that the operators have just added must not be rejected.
suite("a key that the watch has not delivered yet is found in the store", async () => {
    const scene = createScene();
    scene.write(2, ["old", "new"]);
    assert.is(await scene.identify("new"), customers.IdentityKind.Customer);
});

// All members share the store, so requests with wrong keys must not load it.
suite("any number of wrong keys causes at most one read per second", async () => {
    const scene = createScene();
    scene.write(2, ["old"]);
    for (let index = 0; index < 200; index++) {
        assert.is(await scene.identify(`wrong-${index}`), customers.IdentityKind.UnknownKey);
        await scene.clock.advance(10);
    }
    assert.ok(countReads(scene) <= 1 + scene.clock.now() / 1_000, `${countReads(scene)} reads`);
});

suite("a removed key causes no read", async () => {
    const scene = createScene();
    scene.write(2, ["other"]);
    await scene.identify("other");
    const before = countReads(scene);
    await scene.clock.advance(2_000);
    assert.is(await scene.identify("old"), customers.IdentityKind.Unauthorized);
    assert.is(countReads(scene), before);
});

suite("a failing store delays a rejection by at most 200 ms", async () => {
    const scene = createScene();
    scene.store.faults.isDown = true;
    const startedAt = scene.clock.now();
    assert.is(await scene.identify("wrong"), customers.IdentityKind.UnknownKey);
    assert.ok(scene.clock.now() - startedAt <= 200);
});

suite.run();
