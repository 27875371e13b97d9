import * as childProcess from "node:child_process";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as processes from "../src/demo/processes.js";
import * as gatewayFixture from "./gatewayFixture.js";

const suite = uvu.suite("bundle");

// The bundle includes only parts of some libraries. If it omits the part that adds the request methods to undici's pools,
// every instance starts, can't load its configuration and answers 503 to all callers, while all tests of the sources pass.
suite("the bundle starts a gateway that serves a stream", async () => {
    childProcess.execFileSync(process.execPath, ["deploy/bundle.mjs"], { cwd: processes.RootFolder });
    await using fixture = await gatewayFixture.createGatewayFixture("target/boragedale.mjs");
    const answer = await fixture.send("/stream/x");
    assert.is(answer.status, 200);
    assert.is(answer.body.split("\n\n").length, 6);
});

suite.run();
