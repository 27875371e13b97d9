import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as gatewayFixture from "./gatewayFixture.js";

const suite = uvu.suite("log pipe");

/**
 * The requests write more than a pipe holds (64 KB, at about 250 bytes per line), but stay within the number of lines that
 * one event may write per second.
 */
const Rounds = 4;
const RequestPairsPerRound = 190;
const RoundMilliseconds = 1_050;

// If the log collector hangs, nothing reads the pipe any more. A process that writes its log synchronously would block as
// soon as the pipe is full, and every caller would wait for the collector. Log lines are dropped instead.
suite("requests are served while nothing reads the log pipe", async () => {
    await using fixture = await gatewayFixture.createGatewayFixture("packages/daemon/dist/src/main.js");
    fixture.gateway.child.stdout?.pause();
    for (let round = 0; round < Rounds; round++) {
        const answers = [];
        for (let index = 0; index < RequestPairsPerRound; index++) {
            answers.push(await fixture.send("/none/x"), await fixture.send("/stream/x"));
        }
        assert.is(answers.filter(answer => answer.status === 404).length, RequestPairsPerRound);
        assert.is(answers.filter(answer => answer.status === 200).length, RequestPairsPerRound);
        await new Promise(resolve => setTimeout(resolve, RoundMilliseconds));
    }
});

suite.run();
