import * as core from "@boragedale/core";
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
    readonly relay: gateway.RegistryRelay;
    readonly network: standins.MemoryPeerNetwork;
}

function createMember(hub: standins.MemoryPeerHub, clock: core.Clock, name: string): Member {
    const view = new gateway.FleetView(new platform.PlatformRegistryCodec(), () => undefined);
    const network = hub.createNetwork(name);
    const members = new gateway.MemberDirectory({ id: name, dataCentre: "a", peerAddress: "127.0.0.1:1" });
    const relay = new gateway.RegistryRelay({
        view,
        network,
        clock,
        assignment: new gateway.WatchAssignment(members, view, clock.now(), () => 0),
        isWatching: () => false,
        apply: entries => void view.apply(entries, clock.now()),
        log: new standins.NullLog(),
    });
    return { view, relay, network };
}

function sendHeartbeat(member: Member, peer: string): void {
    const kind = protocol.MessageKind.Heartbeat;
    const generation = member.view.getRevision();
    const digest = member.view.getDigest();
    member.network.notify(peer, { kind, generation, digest, logicalTime: 0, state: core.LifecycleState.Live });
}

// A gateway starts while the store rejects its calls, and the first thing it receives is a recent change relayed by a peer. Judged
// by that revision alone it would seem up to date, and it would reject every caller for lack of a configuration.
suite("a member that has received only the latest change requests all earlier entries", async () => {
    const clock = new core.VirtualClock();
    const hub = new standins.MemoryPeerHub();
    const metadata = new standins.MemoryMetadata(clock);
    const informed = createMember(hub, clock, "knowing");
    const late = createMember(hub, clock, "late");
    platformStandins.writeConfiguration(metadata, { version: 4 });
    platformStandins.writeUpstream(metadata, "a", "engines", "10.0.0.1:80");
    const codec = new platform.PlatformRegistryCodec();
    for (const prefix of [codec.configurationKey, codec.upstreamPrefix, gateway.FleetPrefix]) {
        informed.view.applyListing(prefix, metadata.list(prefix), 0);
    }
    platformStandins.writeUpstream(metadata, "b", "engines", "10.0.0.2:80");
    const revision = metadata.list("").revision;
    informed.relay.publish(informed.view.apply(metadata.tryGetChanges(codec.upstreamPrefix, revision - 1)!.entries, 0));
    await clock.advance(10);
    assert.is(late.view.getRevision(), informed.view.getRevision());
    sendHeartbeat(informed, "late");
    await clock.advance(10);
    assert.is(late.view.getConfiguration()?.version, 4);
    assert.is(late.view.getUsable("engines", 0).length, 2);
});

/** Interval between heartbeats. */
const HeartbeatIntervalMilliseconds = 1_000;

async function sendHeartbeats(clock: core.VirtualClock, member: Member, peer: string, times: number): Promise<void> {
    for (let beats = 0; beats < times; beats++) {
        sendHeartbeat(member, peer);
        await clock.advance(HeartbeatIntervalMilliseconds);
    }
}

// The store rejects a gateway's calls, so that it depends on its peers. A peer first receives a new upstream, and a second later
// a configuration that was written before it, since each of its watches collects changes separately. The gateway has then seen
// the higher of the two revisions and seems to lack nothing, so it would use the old configuration until the store accepts its
// calls again.
suite("a change that a peer receives late reaches a member that has seen later changes", async () => {
    const clock = new core.VirtualClock();
    const hub = new standins.MemoryPeerHub();
    const metadata = new standins.MemoryMetadata(clock);
    const codec = new platform.PlatformRegistryCodec();
    const informed = createMember(hub, clock, "knowing");
    const rejectedMember = createMember(hub, clock, "turned-away");
    platformStandins.writeConfiguration(metadata, { version: 4 });
    platformStandins.writeUpstream(metadata, "a", "engines", "10.0.0.1:80");
    for (const prefix of [codec.configurationKey, codec.upstreamPrefix, gateway.FleetPrefix]) {
        informed.view.applyListing(prefix, metadata.list(prefix), 0);
    }
    await sendHeartbeats(clock, informed, "turned-away", 10);
    platformStandins.writeConfiguration(metadata, { version: 6 });
    platformStandins.writeUpstream(metadata, "b", "engines", "10.0.0.2:80");
    const after = informed.view.getRevision();
    informed.view.apply(metadata.tryGetChanges(codec.upstreamPrefix, after)!.entries, clock.now());
    await sendHeartbeats(clock, informed, "turned-away", 1);
    assert.is(rejectedMember.view.getUsable("engines", clock.now()).length, 2);
    informed.view.apply(metadata.tryGetChanges(codec.configurationKey, after)!.entries, clock.now());
    await sendHeartbeats(clock, informed, "turned-away", 2);
    assert.is(rejectedMember.view.getConfiguration()?.version, 6);
});

suite("a member that is up to date stays at its revision", async () => {
    const clock = new core.VirtualClock();
    const hub = new standins.MemoryPeerHub();
    const first = createMember(hub, clock, "first");
    const second = createMember(hub, clock, "second");
    second.view.noteComplete();
    sendHeartbeat(first, "second");
    await clock.advance(10);
    assert.is(second.view.getRevision(), 0);
});

suite.run();
