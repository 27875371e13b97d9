import * as events from "node:events";
import * as core from "@boragedale/core";
import * as daemon from "@boragedale/daemon";
import * as uvu from "uvu";
import * as assert from "uvu/assert";

const suite = uvu.suite("defects");

// Guards against a defect in one task that ends the process with all its requests.
suite("a rejection that nothing handles is logged and does not end the process", async () => {
    await using log = new daemon.EventLog(new core.SystemClock(), "gateway", "silent");
    const emitter = new events.EventEmitter();
    daemon.logUnhandledRejections(emitter, log);
    assert.is(emitter.emit("unhandledRejection", new Error("a defect")), true);
    assert.match(log.metrics.format(), /InternalDefect"?\} 1/);
});

suite.run();
