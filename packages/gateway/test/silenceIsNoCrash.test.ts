import * as events from "node:events";
import * as net from "node:net";
import * as gateway from "@boragedale/gateway";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as fixtures from "./fixtures.js";
import * as testEngines from "./testEngines.js";
import * as testFleet from "./testFleet.js";

const suite = uvu.suite("silenceIsNoCrash");

// Guards against counting a run that was stopped for silence as a crash: all requests on the upstream become suspects, and three
// such runs quarantine an item.
suite("items whose runs fall silent are not suspected of crashing their engines", async () => {
    const fleet = await testFleet.createFleet(1, 3);
    const items = fixtures.createItems(3).map(item => ({
        ...item,
        headers: [["parts", `shared,common,${item.id}`]] as const,
    }));
    items.forEach(item => fleet.channels.behaviour.silent.add(item.id));
    fleet.channels.behaviour.isUnreachable = true;
    await testFleet.submit(fleet, fleet.members[0]!, "s", items);
    await fleet.clock.advance(8_000);
    fleet.channels.behaviour.silent.clear();
    fleet.channels.behaviour.isUnreachable = false;
    await fleet.clock.advance(4_000);
    const results = await testFleet.readAll(fleet, fleet.members[0]!, "s");
    const recorded = fleet.members[0]!.log.events.map(({ event }) => event);
    assert.is(recorded.filter(event => event === gateway.GatewayEvent.UpstreamDied).length, 0);
    assert.is(recorded.filter(event => event === gateway.GatewayEvent.ItemHeld).length, 0);
    assert.is(results?.length, 3);
    results?.forEach(result => assert.is(result.text, testEngines.getExpectedText(result.id)));
});

/** A socket that never connects, and reports what the test makes it report. */
function createSocket(report: (socket: events.EventEmitter) => void): net.Socket {
    const socket = Object.assign(new events.EventEmitter(), {
        destroy: () => undefined,
        setTimeout: (milliseconds: number, listener: () => void) => socket.once("timeout", listener),
    });
    queueMicrotask(() => report(socket));
    return socket as unknown as net.Socket;
}

function createError(code: string): Error {
    return Object.assign(new Error(code), { code });
}

// Guards against taking a machine that is dark, or an upstream that is silent for a second, for one that a request has crashed.
suite("only a refused connection proves that an upstream has crashed", async () => {
    const probe = (report: (socket: events.EventEmitter) => void): Promise<boolean> =>
        gateway.mayBeRunning("127.0.0.1:1", () => createSocket(report));
    assert.is(await probe(socket => socket.emit("error", createError("ECONNREFUSED"))), false);
    assert.is(await probe(socket => socket.emit("connect")), true);
    assert.is(await probe(socket => socket.emit("timeout")), true);
    assert.is(await probe(socket => socket.emit("error", createError("EHOSTUNREACH"))), true);
    assert.is(await probe(socket => socket.emit("error", createError("ETIMEDOUT"))), true);
});

suite("an upstream that has ended refuses connections", async () => {
    const server = net.createServer();
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const address = `127.0.0.1:${(server.address() as net.AddressInfo).port}`;
    assert.is(await gateway.mayBeRunning(address), true);
    await new Promise(resolve => server.close(resolve));
    assert.is(await gateway.mayBeRunning(address), false);
});

suite.run();
