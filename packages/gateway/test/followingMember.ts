import * as core from "@boragedale/core";
import * as gateway from "@boragedale/gateway";
import * as standins from "@boragedale/standins";
import * as fixtures from "./fixtures.js";
import * as testFleet from "./testFleet.js";

/** Duration of a watch call, as in the gateway's process. */
export const WatchWaitMilliseconds = 15_000;

/** One member without peers that follows the configuration and the upstreams and keeps its own entry. */
export interface FollowingMember extends AsyncDisposable {
    readonly clock: core.VirtualClock;
    readonly metadata: standins.MemoryMetadata;
    /** Faults of the member's connection to the store. */
    readonly faults: standins.MetadataFaults;
    readonly store: gateway.MetadataStore;
    readonly view: gateway.FleetView;
    readonly isListed: () => boolean;
}

export async function createMember(): Promise<FollowingMember> {
    const clock = new core.VirtualClock();
    const metadata = new standins.MemoryMetadata(clock);
    const client = metadata.createClient();
    const log = new fixtures.RecordingLog();
    const view = new gateway.FleetView(new fixtures.TestCodec(), () => undefined);
    const storeRecovery = new gateway.StoreRecovery(view, clock, log);
    const store = testFleet.createCountedStore(client, storeRecovery, clock);
    const self = { id: gateway.createMemberId("self", "1"), dataCentre: "a", peerAddress: "127.0.0.1:1" };
    const registration = new gateway.Registration(store, new gateway.MemberDirectory(self), clock, log);
    const watchers = ["configuration", "upstreams/"].map(
        prefix =>
            new gateway.StoreWatcher(
                { store, clock, log },
                {
                    prefix,
                    waitMilliseconds: WatchWaitMilliseconds,
                    longestGatherMilliseconds: 0,
                    onWatchBegun: () => registration.renewEarly(),
                    applyListing: listing => void view.applyListing(prefix, listing, clock.now()),
                    applyChanges: entries => void view.apply(entries, clock.now()),
                },
            ),
    );
    watchers.forEach(watcher => storeRecovery.addWatcher(watcher));
    metadata.put("configuration", JSON.stringify(fixtures.createConfiguration(1)));
    metadata.put("upstreams/a", JSON.stringify(fixtures.createUpstream("a")));
    watchers.forEach(watcher => void watcher.run());
    registration.start(Promise.resolve());
    await clock.advance(100);
    const isListed = (): boolean => metadata.get(gateway.MemberPrefix + self.id) !== undefined;
    const dispose = async (): Promise<void> => {
        await Promise.all(watchers.map(watcher => watcher[Symbol.asyncDispose]()));
        const ended = registration[Symbol.asyncDispose]();
        await clock.advance(2_000);
        await ended;
    };
    return { clock, metadata, faults: client.faults, store, view, isListed, [Symbol.asyncDispose]: dispose };
}
