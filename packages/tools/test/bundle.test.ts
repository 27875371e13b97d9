import * as childProcess from "node:child_process";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as processes from "../src/demo/processes.js";
import * as gatewayFixture from "./gatewayFixture.js";

const suite = uvu.suite("bundle");

// The deployed file takes only parts of some libraries. When it left out the one that gives undici's pools their calls, every
// instance started, found no configuration, and answered 503 to all callers all day, while each test of the sources passed.
suite("the deployed file serves a stream", async () => {
    childProcess.execFileSync(process.execPath, ["deploy/bundle.mjs"], { cwd: processes.RootFolder });
    await using fixture = await gatewayFixture.createGatewayFixture("target/boragedale.mjs");
    const answer = await fixture.send("/stream/x");
    assert.is(answer.status, 200);
    assert.is(answer.body.split("\n\n").length, 6);
});

suite.run();
