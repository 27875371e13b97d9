import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as scenes from "./gatewayScenes.js";

const suite = uvu.suite("softwareVersions");

// Guards against a gateway that continues a broken stream at an upstream of another software version.
suite("a gateway continues a broken stream at the software version that began it", async () => {
    const scene = scenes.createGateways(1, { a: "v1", b: "v2", c: "v1" });
    const [member] = scene.gateways;
    const response = await member!.forward("s");
    await scenes.breakOff(scene, scenes.answerLatest(member!, "s", 0, 3));
    assert.equal(
        member!.channels.attempts.map(({ upstream, after }) => [upstream, after]),
        [
            ["a", undefined],
            ["c", "3"],
        ],
    );
    assert.is(response.destroyed, false);
});

// Guards against a stream that changes its software version because no other upstream of its own is left.
suite("a broken stream ends if no upstream of its software version is left", async () => {
    const scene = scenes.createGateways(1, { a: "v1", b: "v2", c: "v2" });
    const [member] = scene.gateways;
    const response = await member!.forward("s");
    const attempt = scenes.answerLatest(member!, "s", 0, 3);
    scene.removeUpstream("a");
    await scene.clock.advance(5_000 - 1_500);
    await scenes.breakOff(scene, attempt);
    await scene.clock.advance(1_100);
    assert.is(member!.channels.attempts.length, 1);
    assert.is(response.destroyed, true);
});

suite.run();
