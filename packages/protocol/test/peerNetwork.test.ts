import * as core from "@boragedale/core";
import * as protocol from "@boragedale/protocol";
import * as telemetry from "@boragedale/telemetry";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as websocket from "ws";
import * as peerFixtures from "./peerFixtures.js";

const suite = uvu.suite("peer network");

const request: protocol.NoteRequest = { kind: protocol.MessageKind.NoteRequest, newerThan: 1 };
const options: protocol.RequestOptions = { lane: protocol.Lane.Online, timeoutMilliseconds: 5_000 };

suite("each reply is matched to its request when replies arrive out of order", async () => {
    const addresses = new Map<core.InstanceId, protocol.PeerAddress>();
    const left = await peerFixtures.createPeer({ id: "left", addresses });
    const right = await peerFixtures.createPeer({ id: "right", addresses });
    await using leftNetwork = left.network;
    await using rightNetwork = right.network;
    const waiting: (() => void)[] = [];
    rightNetwork.handle(protocol.MessageKind.JobCancelled, async message => {
        // The first reply waits for the second request, so the replies are sent in the opposite order.
        if (message.job === "first") {
            await new Promise<void>(resolve => waiting.push(resolve));
        }
        else {
            waiting.forEach(resume => resume());
        }
        return { kind: protocol.MessageKind.Refused, text: message.job };
    });
    const send = (job: string): Promise<protocol.PeerResult> =>
        leftNetwork.request("right", { kind: protocol.MessageKind.JobCancelled, job }, options);
    const results = await Promise.all([send("first"), send("second")]);
    assert.equal(
        results.map(result => (result.ok ? "" : result.text)),
        ["first", "second"],
    );
});

suite("a request is refused without a handler and not connected without an address", async () => {
    const addresses = new Map<core.InstanceId, protocol.PeerAddress>();
    const left = await peerFixtures.createPeer({ id: "left", addresses });
    const right = await peerFixtures.createPeer({ id: "right", addresses });
    await using leftNetwork = left.network;
    await using rightNetwork = right.network;
    assert.ok(rightNetwork.getPort() > 0);
    const refused = await leftNetwork.request("right", request, options);
    const unknown = await leftNetwork.request("nobody", request, options);
    assert.is(!refused.ok && refused.kind, protocol.PeerFailureKind.Refused);
    assert.is(!unknown.ok && unknown.kind, protocol.PeerFailureKind.NotConnected);
});

// A process with another key dials an instance. It receives nothing, the instance records the refusal with the claimed id, and
// a request over the link fails as not connected, so that the caller doesn't assume that it may have been acted on.
suite("a peer with another key is refused with an event", async () => {
    const addresses = new Map<core.InstanceId, protocol.PeerAddress>();
    const left = await peerFixtures.createPeer({ id: "left", addresses, keys: ["another"] });
    const right = await peerFixtures.createPeer({ id: "right", addresses });
    await using leftNetwork = left.network;
    await using rightNetwork = right.network;
    const result = await leftNetwork.request("right", request, options);
    assert.is(!result.ok && result.kind, protocol.PeerFailureKind.NotConnected);
    assert.equal(rightNetwork.getConnectedPeers(), []);
    const refused = right.telemetry.timeLine.read({ number: telemetry.events.PeerRefused.number });
    assert.equal(
        refused.map(event => event.text),
        ["left: wrong proof"],
    );
});

// During a key rotation, one side proves itself with the new key and the other with the old one. Both sides accept both keys.
suite("peers connect during a key rotation", async () => {
    const addresses = new Map<core.InstanceId, protocol.PeerAddress>();
    const left = await peerFixtures.createPeer({ id: "left", addresses, keys: ["new", "old"] });
    const right = await peerFixtures.createPeer({ id: "right", addresses, keys: ["old", "new"] });
    await using leftNetwork = left.network;
    await using rightNetwork = right.network;
    rightNetwork.handle(protocol.MessageKind.NoteRequest, async () => ({ kind: protocol.MessageKind.NoteReply }));
    const result = await leftNetwork.request("right", request, options);
    assert.ok(result.ok);
});

// A network device drops the state of a connection, which then stays open without carrying anything. A request over it would
// wait forever, so a link without a heartbeat for three intervals is closed.
suite("a silent link is closed and its peer reported as unreachable", async () => {
    const addresses = new Map<core.InstanceId, protocol.PeerAddress>();
    const clock = new core.VirtualClock();
    const left = await peerFixtures.createPeer({ id: "left", addresses, clock });
    await using leftNetwork = left.network;
    const server = new websocket.WebSocketServer({ host: "127.0.0.1", port: 0 });
    const helloSeen: protocol.Hello[] = [];
    const closed = new Promise<void>(resolve => {
        server.on("connection", socket => {
            runSilentPeer(socket, helloSeen);
            socket.on("close", () => resolve());
        });
    });
    await new Promise<void>(resolve => server.once("listening", resolve));
    const port = (server.address() as { readonly port: number }).port;
    addresses.set("silent", { id: "silent", url: `ws://127.0.0.1:${port}` });

    const pending = leftNetwork.request("silent", request, { ...options, timeoutMilliseconds: 60_000 });
    while (leftNetwork.getConnectedPeers().length === 0) {
        await new Promise<void>(resolve => setImmediate(resolve));
    }
    await clock.advance(4_100);
    const result = await pending;
    assert.is(!result.ok && result.kind, protocol.PeerFailureKind.TimedOut);
    assert.equal(left.unreachable, ["silent"]);
    await closed;
    assert.equal(leftNetwork.getConnectedPeers(), []);
    await new Promise<void>(resolve => server.close(() => resolve()));
});

// During a rolling upgrade, a peer of the previous version can decode only frames with field names. It closes a link on which
// it receives a frame that it can't decode.
for (const readsPacked of [true, undefined]) {
    const peerText = readsPacked === true ? "of this version" : "of the previous version";
    suite(`a peer ${peerText} receives frames in a form that it can decode`, async () => {
        const addresses = new Map<core.InstanceId, protocol.PeerAddress>();
        const left = await peerFixtures.createPeer({ id: "left", addresses });
        await using leftNetwork = left.network;
        const server = new websocket.WebSocketServer({ host: "127.0.0.1", port: 0 });
        const frame = new Promise<Buffer>(resolve => {
            server.on("connection", socket => runSilentPeer(socket, [], { readsPacked }, resolve));
        });
        await new Promise<void>(resolve => server.once("listening", resolve));
        const port = (server.address() as { readonly port: number }).port;
        addresses.set("silent", { id: "silent", url: `ws://127.0.0.1:${port}` });
        leftNetwork.notify("silent", peerFixtures.createHeartbeat(3), protocol.Lane.Control);
        const isNamed = (await frame).includes("Heartbeat");
        assert.is(isNamed, readsPacked !== true);
        server.clients.forEach(client => client.terminate());
        await new Promise<void>(resolve => server.close(() => resolve()));
    });
}

/** Completes the handshake and sends nothing more. */
function runSilentPeer(
    socket: websocket.WebSocket,
    seen: protocol.Hello[],
    change: { readonly readsPacked: boolean | undefined } = { readsPacked: true },
    onFrame: (frame: Buffer) => void = () => undefined,
): void {
    const serverChallenge = protocol.createChallenge();
    const send = (message: protocol.Message): void => {
        const encoded = protocol.encodeFrame({ message }, protocol.Lane.Control);
        core.Debug.assert(encoded.ok, "a handshake message is small");
        socket.send(encoded.bytes);
    };
    send({ kind: protocol.MessageKind.Challenge, challenge: serverChallenge });
    socket.once("message", (data: Buffer) => {
        const decoded = protocol.decodeFrame(data, protocol.Lane.Control);
        core.Debug.assert(
            decoded.ok && decoded.frame.message.kind === protocol.MessageKind.Hello,
            "the first message is a Hello",
        );
        const hello = decoded.frame.message;
        seen.push(hello);
        const terms: protocol.HandshakeTerms = {
            clientChallenge: hello.challenge,
            serverChallenge,
            lane: hello.lane,
            version: hello.version,
            instance: "silent",
        };
        const proof = protocol.createProof("shared", protocol.HandshakeSide.Server, terms);
        socket.on("message", onFrame);
        const { readsPacked, ...named } = { ...hello, ...change };
        const answer = { ...named, instance: "silent", challenge: serverChallenge, proof };
        send(readsPacked === undefined ? answer : { ...answer, readsPacked });
    });
}

// Guards against links that are closed over and over while nothing reports that one side can't decode the other's frames.
suite("a frame that can't be decoded closes its link with an event that gives the reason", async () => {
    const clock = new core.VirtualClock();
    const addresses = new Map<core.InstanceId, protocol.PeerAddress>();
    const left = await peerFixtures.createPeer({ id: "left", addresses, clock });
    const right = await peerFixtures.createPeer({ id: "right", addresses, clock });
    await using leftNetwork = left.network;
    await using rightNetwork = right.network;
    assert.ok(rightNetwork.getPort() > 0);
    const job = "a name that is too long".repeat(20);
    const result = await leftNetwork.request("right", { kind: protocol.MessageKind.JobCancelled, job }, options);
    assert.is(!result.ok && result.kind, protocol.PeerFailureKind.TimedOut);
    const events = right.telemetry.timeLine.read({ number: telemetry.events.PeerMalformed.number });
    assert.is(events.length, 1);
    assert.match(events[0]?.text ?? "", /^left Online Shape: /);
});

// Guards against losing a large update, which is not sent again, because its lane was closed as idle.
suite("a notification on the bulk lane is delivered when the lane must be opened for it", async () => {
    const clock = new core.VirtualClock();
    const addresses = new Map<core.InstanceId, protocol.PeerAddress>();
    const left = await peerFixtures.createPeer({ id: "left", addresses, clock });
    const right = await peerFixtures.createPeer({ id: "right", addresses, clock });
    await using leftNetwork = left.network;
    await using rightNetwork = right.network;
    const arrived: string[] = [];
    rightNetwork.handle(protocol.MessageKind.JobCancelled, async message => void arrived.push(message.job));
    leftNetwork.notify("right", { kind: protocol.MessageKind.JobCancelled, job: "notice" }, protocol.Lane.Bulk);
    // Both wait for the same lane, and the notification was sent first.
    await leftNetwork.request("right", request, { ...options, lane: protocol.Lane.Bulk });
    assert.equal(arrived, ["notice"]);
});

suite("neighbours are connected before any message is sent to them", async () => {
    const addresses = new Map<core.InstanceId, protocol.PeerAddress>();
    const clock = new core.VirtualClock();
    const right = await peerFixtures.createPeer({ id: "right", addresses });
    await using rightNetwork = right.network;
    const left = await peerFixtures.createPeer({ id: "left", addresses, clock, neighbours: ["right"] });
    await using leftNetwork = left.network;
    const received = new Promise<core.InstanceId>(resolve =>
        rightNetwork.handle(protocol.MessageKind.Heartbeat, async (heartbeat, from) => {
            assert.is(heartbeat.generation, 3);
            resolve(from);
            return undefined;
        }),
    );
    assert.is(await received, "left");
    assert.equal(leftNetwork.getConnectedPeers(), ["right"]);
});

suite.run();
