import * as core from "@boragedale/core";
import * as protocol from "@boragedale/protocol";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as peerFixtures from "./peerFixtures.js";

const suite = uvu.suite("unlisted peer");

// Guards against a peer that is connected but can't be asked, on another lane, for the registry entry that holds its address.
suite("a peer that opened a link can be reached on another lane without a listed address", async () => {
    const clock = new core.VirtualClock();
    const addresses = new Map<core.InstanceId, protocol.PeerAddress>();
    const asking = await peerFixtures.createPeer({ id: "asking", addresses: addresses, clock });
    await using askingNetwork = asking.network;
    const asked = await peerFixtures.createPeer({
        id: "asked",
        addresses: new Map([...addresses]),
        neighbours: ["asking"],
        clock,
    });
    await using askedNetwork = asked.network;
    askedNetwork.handle(protocol.MessageKind.JobCancelled, async message => ({
        kind: protocol.MessageKind.Refused,
        text: message.job,
    }));
    await new Promise<void>(resolve => {
        askingNetwork.handle(protocol.MessageKind.Heartbeat, async () => {
            resolve();
            return undefined;
        });
    });
    const result = await askingNetwork.request(
        "asked",
        { kind: protocol.MessageKind.JobCancelled, job: "answered" },
        { lane: protocol.Lane.Bulk, timeoutMilliseconds: 5_000 },
    );
    assert.is(!result.ok && result.text, "answered");
});

// Guards against a peer that can never be dialled again after one attempt with an invalid address.
suite("a peer can be dialled after an attempt with an address that is not a URL", async () => {
    const clock = new core.VirtualClock();
    const addresses = new Map<core.InstanceId, protocol.PeerAddress>();
    const asking = await peerFixtures.createPeer({ id: "asking", addresses, clock });
    await using askingNetwork = asking.network;
    const asked = await peerFixtures.createPeer({ id: "asked", addresses, clock });
    await using askedNetwork = asked.network;
    assert.ok(askedNetwork.getPort() > 0);
    const address = addresses.get("asked");
    assert.ok(address);
    const ask = (): Promise<protocol.PeerResult> =>
        askingNetwork.request(
            "asked",
            { kind: protocol.MessageKind.JobCancelled, job: "job" },
            { lane: protocol.Lane.Bulk, timeoutMilliseconds: 2_000 },
        );
    addresses.set("asked", { id: "asked", url: "ws://no host/" });
    const first = await ask();
    addresses.set("asked", address);
    const second = await ask();
    assert.is(!first.ok && first.kind, protocol.PeerFailureKind.NotConnected);
    assert.is(!second.ok && second.kind, protocol.PeerFailureKind.Refused);
});

suite.run();
