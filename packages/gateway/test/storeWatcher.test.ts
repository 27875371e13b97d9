import * as core from "@boragedale/core";
import * as gateway from "@boragedale/gateway";
import * as standins from "@boragedale/standins";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as fixtures from "./fixtures.js";

const suite = uvu.suite("storeWatcher");

const WaitMilliseconds = 20_000;

interface Scene extends AsyncDisposable {
    readonly clock: core.VirtualClock;
    readonly metadata: standins.MemoryMetadata;
    readonly store: standins.MemoryMetadataStore;
    readonly watcher: gateway.StoreWatcher;
    readonly seen: string[];
    readonly countWatches: () => number;
}

async function createScene(longestGatherMilliseconds = 0): Promise<Scene> {
    const clock = new core.VirtualClock();
    const metadata = new standins.MemoryMetadata(clock);
    const store = metadata.createClient();
    const seen: string[] = [];
    const take = (entries: readonly gateway.StoreEntry[]): void => {
        seen.push(...entries.map(entry => entry.key));
    };
    const watcher = new gateway.StoreWatcher(
        { store, clock, log: new fixtures.RecordingLog() },
        {
            prefix: "upstreams/",
            waitMilliseconds: WaitMilliseconds,
            longestGatherMilliseconds,
            applyListing: listing => take(listing.entries),
            applyChanges: take,
        },
    );
    void watcher.run();
    await clock.advance(10);
    const countWatches = (): number => metadata.calls.get("watch") ?? 0;
    const dispose = (): Promise<void> => watcher[Symbol.asyncDispose]();
    return { clock, metadata, store, watcher, seen, countWatches, [Symbol.asyncDispose]: dispose };
}

// A device between an instance and the store loses track of all open connections: the watch waits for an answer that
// never comes, while an upstream leaves. The instance would send requests to it until the watch's duration of twenty
// seconds is over. Other calls notice first, and have the watch restarted.
suite("a watch on a silent connection begins again when the store answers other calls", async () => {
    await using scene = await createScene();
    scene.store.faults.areNewWatchesSilent = true;
    scene.metadata.put("upstreams/a", "1");
    await scene.clock.advance(10);
    scene.metadata.put("upstreams/b", "1");
    await scene.clock.advance(2_000);
    assert.equal(scene.seen, ["upstreams/a"]);
    scene.store.faults.areNewWatchesSilent = false;
    scene.watcher.restart();
    await scene.clock.advance(10);
    assert.equal(scene.seen, ["upstreams/a", "upstreams/b"]);
});

// Sixty-eight members start within a second, and each start is a change that wakes the watches of all others: over four
// thousand calls before the first request. If changes are gathered, a member makes a few calls.
suite("consecutive changes are gathered", async () => {
    await using scene = await createScene(1_000);
    for (let change = 0; change < 68; change++) {
        scene.metadata.put(`upstreams/${change}`, "1");
        await scene.clock.advance(15);
    }
    await scene.clock.advance(1_100);
    assert.is(scene.seen.length, 68);
    assert.ok(scene.countWatches() <= 8, `${scene.countWatches()} calls`);
});

suite("a single change is taken at once", async () => {
    await using scene = await createScene(1_000);
    for (const key of ["upstreams/a", "upstreams/b"]) {
        scene.metadata.put(key, "1");
        await scene.clock.advance(5);
        assert.is(scene.seen.at(-1), key);
        await scene.clock.advance(2_000);
    }
});

// Guards against a member that watches again and reports its copy as current, although peers had left it incomplete
// meanwhile.
suite("a watch that begins after an earlier one has ended lists first, and is not current until then", async () => {
    await using scene = await createScene();
    scene.watcher.setActive(false);
    await scene.clock.advance(10);
    scene.metadata.put("upstreams/a", "1");
    await scene.clock.advance(10);
    const lists = scene.metadata.calls.get("list") ?? 0;
    scene.watcher.setActive(true);
    assert.not(scene.watcher.isCurrent());
    await scene.clock.advance(10);
    assert.ok(scene.watcher.isCurrent());
    assert.is(scene.metadata.calls.get("list"), lists + 1);
    assert.equal(scene.seen, ["upstreams/a"]);
});

suite.run();
