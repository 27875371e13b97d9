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

/** A member whose watch has brought version 1 with the key `old`, and nothing since. */
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
        return (await testFleet.settle(clock, found)).kind;
    };
    // Other keys come first, so that the configuration's revision is past the one that the member has.
    ["a", "b"].forEach(key => metadata.put(key, ""));
    return { clock, metadata, store, write, identify };
}

function countReads(scene: Scene): number {
    return scene.metadata.calls.get("read") ?? 0;
}

// Guards against a 401, after which callers don't come back, for a key that the operators have just added.
suite("a key that the watch has not brought yet is found in the store", async () => {
    const scene = createScene();
    scene.write(2, ["old", "new"]);
    assert.is(await scene.identify("new"), customers.IdentityKind.Customer);
});

// Guards against wrong keys as a load on the store, which all members share.
suite("any number of wrong keys costs one read a second", async () => {
    const scene = createScene();
    scene.write(2, ["old"]);
    for (let index = 0; index < 200; index++) {
        assert.is(await scene.identify(`wrong-${index}`), customers.IdentityKind.UnknownKey);
        await scene.clock.advance(10);
    }
    assert.ok(countReads(scene) <= 1 + scene.clock.now() / 1_000, `${countReads(scene)} reads`);
});

suite("a key that was taken away costs no read", async () => {
    const scene = createScene();
    scene.write(2, ["other"]);
    await scene.identify("other");
    const before = countReads(scene);
    await scene.clock.advance(2_000);
    assert.is(await scene.identify("old"), customers.IdentityKind.Unauthorized);
    assert.is(countReads(scene), before);
});

suite("a store that fails delays a refusal by a moment only", async () => {
    const scene = createScene();
    scene.store.faults.isDown = true;
    const startedAt = scene.clock.now();
    assert.is(await scene.identify("wrong"), customers.IdentityKind.UnknownKey);
    assert.ok(scene.clock.now() - startedAt <= 200);
});

suite.run();
