import * as gateway from "@boragedale/gateway";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as fixtures from "./fixtures.js";
import type * as forwarderScenes from "./forwarderScenes.js";
import * as scenes from "./gatewayScenes.js";
import * as testFleet from "./testFleet.js";

const suite = uvu.suite("commonCrashes");

const Upstreams = ["a", "b", "c", "d", "e", "f"];
const RequestsPerCrash = 12;

interface CommonCrashScene extends scenes.GatewaysScene {
    /** Sends sound requests whose prompts share one of two first and one of five second parts; returns how many are refused. */
    readonly sendSound: (count: number, isAnswered: boolean) => Promise<number>;
    /** Crashes all upstreams at the same moment. They accept no connection until all requests there have ended. */
    readonly crashAll: () => Promise<void>;
}

function createCommonCrashScene(): CommonCrashScene {
    const scene = scenes.createGateways(2, Object.fromEntries(Upstreams.map(id => [id, "v1"])));
    const ended = new Set<forwarderScenes.Attempt>();
    let requests = 0;
    const sendSound = async (count: number, isAnswered: boolean): Promise<number> => {
        let refused = 0;
        for (let index = 0; index < count; index++) {
            const name = `r${requests++}`;
            const parts = [`first-${requests % 2}`, `second-${requests % 5}`, `${name}-own`];
            const member = scene.gateways[Math.floor(requests / 2) % 2]!;
            const response = await member.forward(name, { parts });
            if (response.headersSent) {
                refused++;
            }
            else if (isAnswered) {
                const attempt = scenes.answerLatest(member, name, 0, 24);
                ended.add(attempt);
                attempt.handler.onComplete();
                await scene.clock.advance(10);
            }
        }
        return refused;
    };
    const endAll = async (kind: gateway.ExchangeFailureKind): Promise<number> => {
        const running = scene.gateways.flatMap(member => member.channels.attempts).filter(each => !ended.has(each));
        for (const attempt of running) {
            ended.add(attempt);
            attempt.handler.onFailure({ kind, text: "reset" });
        }
        await scene.clock.advance(10);
        return running.length;
    };
    const crashAll = async (): Promise<void> => {
        Upstreams.forEach(scene.crashUpstream);
        await endAll(gateway.ExchangeFailureKind.Broken);
        while ((await endAll(gateway.ExchangeFailureKind.NotSent)) > 0) {
            continue;
        }
        Upstreams.forEach(scene.restartUpstream);
    };
    return { ...scene, sendSound, crashAll };
}

// Guards against refusing half of the sound requests for minutes, because upstreams crashed together for another reason.
suite("sound streams aren't refused after all upstreams have crashed together five times", async () => {
    const scene = createCommonCrashScene();
    for (let round = 0; round < 5; round++) {
        await scene.sendSound(RequestsPerCrash, false);
        await scene.crashAll();
        await scene.clock.advance(900);
    }
    assert.is(await scene.sendSound(100, true), 0);
});

// Guards against taking the items of one submission, which crash several engines at once and are all run again at once, for a
// cause of their own that engines have in common.
suite("a part that crashes engines is found in items that start together", async () => {
    const fleet = await testFleet.createFleet(2, 6);
    const items = fixtures.createItems(12).map(item => ({
        ...item,
        headers: [["parts", `shared,crashing,${item.id}`]] as const,
    }));
    items.forEach(item => fleet.channels.behaviour.crashing.add(item.id));
    await testFleet.submit(fleet, fleet.members[0]!, "s", items);
    await fleet.clock.advance(6_000);
    const events = fleet.members.flatMap(member => member.log.events.map(({ event }) => event));
    const { runs } = fleet.channels;
    const text = `${runs.length} runs`;
    assert.ok(events.includes(gateway.GatewayEvent.PartQuarantined), text);
    // Each item runs once before any engine has crashed; two of the later runs are trials.
    assert.ok(runs.length <= 12 + 12, text);
});

suite.run();
