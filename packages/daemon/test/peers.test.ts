import * as core from "@boragedale/core";
import * as daemon from "@boragedale/daemon";
import * as gateway from "@boragedale/gateway";
import * as platform from "@boragedale/platform";
import * as protocol from "@boragedale/protocol";
import * as standins from "@boragedale/standins";
import * as platformStandins from "@boragedale/platform-standins";
import * as uvu from "uvu";
import * as assert from "uvu/assert";

const suite = uvu.suite("registry relay");

interface Member {
    readonly view: gateway.FleetView;
    readonly relay: daemon.RegistryRelay;
    readonly network: standins.MemoryPeerNetwork;
}

function createMember(hub: standins.MemoryPeerHub, clock: core.Clock, name: string): Member {
    const view = new gateway.FleetView(new platform.PlatformRegistryCodec(), () => undefined);
    const network = hub.createNetwork(name);
    return { view, relay: new daemon.RegistryRelay(view, network, clock), network };
}

function beat(member: Member, peer: string): void {
    const kind = protocol.MessageKind.Heartbeat;
    const generation = member.view.getRevision();
    member.network.notify(peer, { kind, generation, logicalTime: 0, state: core.LifeState.Live });
}

// A front starts while the store turns it away. The first thing it hears is one late change, passed on by a peer; by its
// revision alone it would seem up to date, and answer every caller with "no configuration" for as long as that lasts.
suite("a member that has heard only of the last change asks for all before it", async () => {
    const clock = new core.VirtualClock();
    const hub = new standins.MemoryPeerHub();
    const metadata = new standins.MemoryMetadata(clock);
    const knowing = createMember(hub, clock, "knowing");
    const late = createMember(hub, clock, "late");
    platformStandins.writeConfiguration(metadata, { version: 4 });
    platformStandins.writeUpstream(metadata, "a", "engines", "10.0.0.1:80");
    const codec = new platform.PlatformRegistryCodec();
    for (const prefix of [codec.configurationKey, codec.upstreamPrefix]) {
        knowing.view.applyListing(prefix, metadata.list(prefix), 0);
    }
    platformStandins.writeUpstream(metadata, "b", "engines", "10.0.0.2:80");
    const revision = metadata.list("").revision;
    knowing.relay.tell(knowing.view.apply(metadata.tryGetChanges(codec.upstreamPrefix, revision - 1)!.entries, 0));
    await clock.advance(10);
    assert.is(late.view.getRevision(), knowing.view.getRevision());
    beat(knowing, "late");
    await clock.advance(10);
    assert.is(late.view.getConfiguration()?.version, 4);
    assert.is(late.view.getUsable("engines", 0).length, 2);
});

suite("a member that is up to date asks for nothing", async () => {
    const clock = new core.VirtualClock();
    const hub = new standins.MemoryPeerHub();
    const first = createMember(hub, clock, "first");
    const second = createMember(hub, clock, "second");
    second.view.noteWhole();
    beat(first, "second");
    await clock.advance(10);
    assert.is(second.view.getRevision(), 0);
});

suite.run();
