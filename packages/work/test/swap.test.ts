import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as core from "@boragedale/core";
import * as backing from "@boragedale/backing";
import * as standins from "@boragedale/standins";
import * as work from "@boragedale/work";
import * as fixtures from "./fixtures.js";

const suite = uvu.suite("writes whose reply is lost");

/** Drops the next writes before they take effect, and reports their replies as lost. */
class LossyKeyValue extends standins.MemoryKeyValueService {
    lostWrites = 0;

    override async compareAndSwap(request: backing.SwapRequest): Promise<backing.KeyValueResult<backing.SwapOutcome>> {
        if (this.lostWrites > 0) {
            this.lostWrites--;
            return { ok: false, failure: { kind: backing.KeyValueFailureKind.ReplyLost, text: "lost on its way" } };
        }
        return super.compareAndSwap(request);
    }
}

suite("a write that was lost before it took effect is repeated, and the upload succeeds", async () => {
    // The service never received the write, but the writer can't distinguish that from a lost reply. It reads back the
    // old state; mistaken for another writer's value, the upload would be rejected because the file exists.
    const clock = new core.VirtualClock();
    const keyValue = new LossyKeyValue(clock);
    const store = work.createJobStore({
        keyValue,
        clock,
        peers: new standins.MemoryPeerHub().createNetwork("a"),
        telemetry: fixtures.createTelemetry("a", clock),
        instance: "a",
    });
    keyValue.lostWrites = 1;
    const content = (async function* () {
        yield new TextEncoder().encode("text");
    })();
    const file = await fixtures.runWithin(clock, store.createFile("kandula", "a", "batch", content));
    assert.ok(file.ok);
});

suite.run();
