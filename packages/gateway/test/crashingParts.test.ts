import * as gateway from "@boragedale/gateway";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as fixtures from "./fixtures.js";
import * as forwarderScenes from "./forwarderScenes.js";
import * as scenes from "./gatewayScenes.js";
import * as testEngines from "./testEngines.js";
import * as testFleet from "./testFleet.js";

const suite = uvu.suite("crashingParts");

const CrashingPart = "crashing";
const UpstreamCount = 13;

interface CrashScene extends scenes.GatewaysScene {
    /** Number of requests with the crashing part that have reached an upstream. */
    readonly countCrashes: () => number;
    /** Sends a request with the part. Each upstream that begins to answer it crashes, and is back under another id. */
    readonly sendCrashing: (member: scenes.TestGateway) => Promise<forwarderScenes.TestResponse>;
    /** Sends a request whose body is always the same and which crashes upstreams by itself. */
    readonly sendRepeated: (member: scenes.TestGateway) => Promise<forwarderScenes.TestResponse>;
    /** Sends a request that shares the first part with the crashing ones, and returns whether it was answered in full. */
    readonly sendSound: (member: scenes.TestGateway) => Promise<boolean>;
}

function createCrashScene(gatewayCount: number): CrashScene {
    const ids = [...new Array(UpstreamCount).keys()].map(index => `e${index}`);
    const scene = scenes.createGateways(gatewayCount, Object.fromEntries(ids.map(id => [id, "v1"])));
    let requests = 0;
    let crashes = 0;
    const crash = async (attempt: forwarderScenes.Attempt): Promise<void> => {
        crashes++;
        scene.crashUpstream(attempt.upstream);
        await scenes.breakOff(scene, attempt);
        scene.removeUpstream(attempt.upstream);
        scene.putUpstream(`${attempt.upstream}+`, "v1");
    };
    const sendCrashing = async (member: scenes.TestGateway): Promise<forwarderScenes.TestResponse> => {
        const name = `crashing-${requests++}`;
        return sendAndCrash(member, name, ["shared", CrashingPart, `${name}-own`]);
    };
    const sendAndCrash = async (
        member: scenes.TestGateway,
        name: string,
        parts: readonly string[],
    ): Promise<forwarderScenes.TestResponse> => {
        let sent = member.channels.attempts.length;
        const response = await member.forward(name, { parts });
        while (member.channels.attempts.length > sent) {
            sent = member.channels.attempts.length;
            await crash(scenes.answerLatest(member, name, 0, -1));
        }
        return response;
    };
    const sendRepeated = async (member: scenes.TestGateway): Promise<forwarderScenes.TestResponse> =>
        sendAndCrash(member, "repeated", []);
    const sendSound = async (member: scenes.TestGateway): Promise<boolean> => {
        const name = `sound-${requests++}`;
        const sent = member.channels.attempts.length;
        const response = await member.forward(name, { parts: ["shared", `other-${requests % 7}`, `${name}-own`] });
        if (member.channels.attempts.length === sent) {
            return false;
        }
        scenes.answerLatest(member, name, 0, 24).handler.onComplete();
        await scene.clock.advance(10);
        return response.body === forwarderScenes.formatEvents(0, 24);
    };
    return { ...scene, countCrashes: () => crashes, sendCrashing, sendRepeated, sendSound };
}

// Guards against requests that crash one upstream after the other because no two of them are alike.
suite(
    "requests with a prompt part that crashes upstreams are refused at every gateway, sound ones are not",
    async () => {
        const scene = createCrashScene(7);
        for (let round = 0; round < 40; round++) {
            await scene.sendCrashing(scene.gateways[(round * 3) % 7]!);
            assert.ok(await scene.sendSound(scene.gateways[(round * 5 + 1) % 7]!), `sound request ${round}`);
        }
        assert.ok(scene.countCrashes() <= 5, `${scene.countCrashes()} upstreams crashed`);
        const refused = await scene.sendCrashing(scene.gateways[4]!);
        assert.equal(refused.headers.slice(0, 2), ["reason", gateway.RefusalReason.Quarantined]);
    },
);

// Guards against a refusal that promises the caller that its request has not run, after it has crashed an upstream.
suite("a request that is quarantined after it has run isn't refused as not run", async () => {
    const scene = createCrashScene(2);
    await scene.sendCrashing(scene.gateways[0]!);
    const proving = await scene.sendCrashing(scene.gateways[1]!);
    assert.is(scene.countCrashes(), 3);
    assert.equal(proving.headers.slice(0, 2), ["reason", gateway.RefusalReason.UpstreamFailed]);
});

// Guards against a part that only one gateway sees crashing, because the others never hear of it.
suite("a part that crashed upstreams at one gateway is refused at the others", async () => {
    const scene = createCrashScene(3);
    for (let round = 0; round < 5; round++) {
        await scene.sendCrashing(scene.gateways[0]!);
    }
    const crashes = scene.countCrashes();
    await scene.sendCrashing(scene.gateways[1]!);
    await scene.sendCrashing(scene.gateways[2]!);
    assert.is(scene.countCrashes(), crashes);
});

// Guards against further crashes after a restart, since requests with the part keep coming at any gateway.
suite("a gateway that has just started refuses the parts that the others refuse", async () => {
    const scene = createCrashScene(3);
    for (let round = 0; round < 6; round++) {
        await scene.sendCrashing(scene.gateways[round % 3]!);
    }
    await scene.clock.advance(2_000);
    const started = scene.addGateway();
    await scene.clock.advance(100);
    const crashes = scene.countCrashes();
    await scene.sendCrashing(started);
    assert.is(scene.countCrashes(), crashes);
});

// Guards against a large fleet in which each member hears of the crashes of a few others only.
suite("a large fleet refuses a part that crashes upstreams", async () => {
    const scene = createCrashScene(20);
    for (let round = 0; round < 20; round++) {
        await scene.sendCrashing(scene.gateways[round]!);
    }
    assert.ok(scene.countCrashes() <= 5, `${scene.countCrashes()} upstreams crashed`);
});

// Guards against a request that its caller sends again, and that crashes further upstreams at a gateway without memory of it.
suite("a gateway that has just started refuses a request that has crashed three upstreams elsewhere", async () => {
    const scene = createCrashScene(4);
    for (let round = 0; round < 3; round++) {
        await scene.sendRepeated(scene.gateways[round]!);
    }
    assert.is(scene.countCrashes(), 3);
    await scene.clock.advance(2_000);
    const started = scene.addGateway();
    await scene.sendRepeated(started);
    assert.is(scene.countCrashes(), 3);
});

// Guards against batch items that crash engines without end.
suite("items with a part that crashes engines stop, the others complete", async () => {
    const fleet = await testFleet.createFleet(1, 3);
    const crashing = fixtures.createItems(4, "crashing");
    crashing.forEach(item => fleet.channels.behaviour.crashing.add(item.id));
    const items = [...crashing, ...fixtures.createItems(10)].map(item => ({
        ...item,
        headers: [["parts", `shared,${item.id.startsWith("crashing") ? CrashingPart : "other"},${item.id}`]] as const,
    }));
    await testFleet.submit(fleet, fleet.members[0]!, "s", items);
    await fleet.clock.advance(6_000);
    const runs = fleet.channels.runs.filter(({ item }) => item.startsWith("crashing"));
    assert.ok(runs.length <= 8, `${runs.length} runs`);
    const results = await testFleet.readAll(fleet, fleet.members[0]!, "s");
    assert.is(results?.length, 10);
    results?.forEach(result => assert.is(result.text, testEngines.getExpectedText(result.id)));
});

// Guards against an item that crashes engines by itself: without a prompt, only the whole request tells it from others.
suite("an item that crashes engines stops after three crashes, the others complete", async () => {
    const fleet = await testFleet.createFleet(2, 3);
    const [crashing, ...others] = fixtures.createItems(20);
    fleet.channels.behaviour.crashing.add(crashing!.id);
    await testFleet.submit(fleet, fleet.members[0]!, "s", [crashing!, ...others]);
    await fleet.clock.advance(6_000);
    assert.is(fleet.channels.runs.filter(({ item }) => item === crashing!.id).length, 3);
    const results = await testFleet.readAll(fleet, fleet.members[0]!, "s");
    assert.is(results?.length, 19);
    results?.forEach(result => assert.is(result.text, testEngines.getExpectedText(result.id)));
});

suite.run();
