import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as gatewayFixture from "./gatewayFixture.js";

const suite = uvu.suite("log pipe");

/** Over what a pipe holds (64 KB) at some 250 bytes a line, within the lines that one event may write in a second. */
const Rounds = 4;
const RequestsInRound = 190;
const RoundMilliseconds = 1_050;

// Whoever collects the logs hangs, and nobody reads the pipe any more. A process that writes its lines synchronously stands
// still once the pipe is full: every caller waits until the collector is back. Lines are lost instead, and requests go on.
suite("a reader that stops reading the logs holds no request up", async () => {
    await using fixture = await gatewayFixture.createGatewayFixture("packages/daemon/dist/src/main.js");
    fixture.gateway.child.stdout?.pause();
    for (let round = 0; round < Rounds; round++) {
        const answers = [];
        for (let index = 0; index < RequestsInRound; index++) {
            answers.push(await fixture.send("/none/x"), await fixture.send("/stream/x"));
        }
        assert.is(answers.filter(answer => answer.status === 404).length, RequestsInRound);
        assert.is(answers.filter(answer => answer.status === 200).length, RequestsInRound);
        await new Promise(resolve => setTimeout(resolve, RoundMilliseconds));
    }
});

suite.run();
