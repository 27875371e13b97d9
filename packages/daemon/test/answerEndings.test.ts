import * as net from "node:net";
import * as core from "@boragedale/core";
import * as platform from "@boragedale/platform";
import * as standins from "@boragedale/platform-standins";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as fixtures from "./fixtures.js";

const suite = uvu.suite("answerEndings");

const AttemptId = platform.names.AttemptIdHeader;
const WholeStream = standins.formatEvents(0, 8);
const EventBytes = standins.formatEvents(0, 1).length;

/** Creates every ending that cuts off an answer, except those that HTTP and the event stream can't tell from a complete one. */
function createCuts(cuts: readonly number[], isRecognisable: (bodyBytes: number) => boolean): standins.AnswerEnding[] {
    return cuts.flatMap(bodyBytes =>
        Object.values(core.BodyFraming).flatMap(framing =>
            [true, false]
                .filter(isReset => isReset || framing !== core.BodyFraming.Close || isRecognisable(bodyBytes))
                .map(isReset => ({ framing, bodyBytes, isReset })),
        ),
    );
}

const StreamCuts = createCuts(
    [0, 5, EventBytes, EventBytes + 5, 3 * EventBytes, WholeStream.length - 1],
    bodyBytes => bodyBytes % EventBytes !== 0 || bodyBytes === 0,
);
const PlainCuts = createCuts([0, 1, 8], () => false);

async function callStream(address: string, index: number): Promise<fixtures.HttpResponse> {
    return fixtures.send(address, "/stream/x", { headers: { [AttemptId]: `stream-${index}` }, body: "prompt" });
}

// Guards against a caller that takes a cut-off stream as complete, whatever its framing and wherever its connection ended.
suite("a stream that is cut off once is continued, and one that is always cut off is not complete", async () => {
    await using testPlatform = await fixtures.startPlatform(1, 1);
    const { caller } = testPlatform.gateways[0]!.addresses;
    const { endings } = testPlatform.engines[0]!.faults;
    for (const [index, cut] of StreamCuts.entries()) {
        const text = JSON.stringify(cut);
        endings.push(cut);
        const continued = await callStream(caller, index);
        assert.is(continued.body, WholeStream, text);
        assert.is(continued.isComplete, true, text);
        endings.push(
            ...new Array<standins.AnswerEnding>(3).fill({ ...cut, bodyBytes: (cut.bodyBytes ?? 0) % EventBytes }),
        );
        const broken = await callStream(caller, index + StreamCuts.length);
        assert.ok(broken.status !== 200 || !broken.isComplete, text);
        endings.length = 0;
    }
});

// Guards against a caller that takes part of a plain answer as complete.
suite("a plain answer that is cut off is repeated where that is allowed, and never complete", async () => {
    await using testPlatform = await fixtures.startPlatform(1, 1);
    const { caller } = testPlatform.gateways[0]!.addresses;
    const { endings } = testPlatform.service.faults;
    for (const [index, cut] of PlainCuts.entries()) {
        const text = JSON.stringify(cut);
        endings.push(cut);
        const repeated = await fixtures.send(caller, "/safe/x", { headers: { [AttemptId]: `safe-${index}` } });
        assert.is(repeated.body, `answer to safe-${index}`, text);
        endings.push(cut);
        const once = await fixtures.send(caller, "/once/x", { headers: { [AttemptId]: `once-${index}` } });
        assert.is(once.status, 502, text);
    }
});

// Guards against items whose texts lack events because a run was cut off.
suite("an item that is cut off is complete only with all its events", async () => {
    await using testPlatform = await fixtures.startPlatform(1, 1);
    const { caller } = testPlatform.gateways[0]!.addresses;
    testPlatform.engines[0]!.faults.endings.push(...StreamCuts);
    const items = StreamCuts.map((cut, index) => ({
        Id: `item-${index}`,
        Path: `/batch/item/${index}`,
        Headers: {},
        Body: Buffer.from("prompt").toString("base64"),
        Tokens: 10,
    }));
    const headers = { [AttemptId]: "submission" };
    const accepted = await fixtures.send(caller, "/batch/s", { headers, body: JSON.stringify({ Items: items }) });
    assert.is(accepted.status, 202);
    let results: readonly { readonly State: string; readonly Text: string }[] = [];
    await fixtures.waitUntil(async () => {
        const answer = await fixtures.get(caller, `${platform.names.SubmissionPathPrefix}submission?After=0`);
        results = (JSON.parse(answer.body) as { readonly Results: typeof results }).Results;
        return results.length === items.length;
    });
    const whole = [...new Array(8).keys()].map(id => `token ${id}`).join("\n");
    results.forEach(result => assert.is(result.Text, whole));
});

// Guards against callers without chunks, for whom a closed connection is the end of an answer.
suite("an incomplete answer ends with a reset for a caller that speaks HTTP/1.0", async () => {
    await using testPlatform = await fixtures.startPlatform(1, 1);
    const { caller } = testPlatform.gateways[0]!.addresses;
    const cut = { framing: core.BodyFraming.Chunked, bodyBytes: EventBytes, isReset: false };
    testPlatform.engines[0]!.faults.endings.push(...new Array<standins.AnswerEnding>(3).fill(cut));
    const colon = caller.lastIndexOf(":");
    const end = await new Promise<string>(resolve => {
        const socket = net.connect({ host: caller.slice(0, colon), port: Number(caller.slice(colon + 1)) });
        socket.on("error", error => resolve((error as NodeJS.ErrnoException).code ?? ""));
        socket.on("end", () => resolve("end"));
        socket.resume();
        const lines = ["POST /stream/x HTTP/1.0", `Host: ${standins.DemoHost}`, `${AttemptId}: r`, "Content-Length: 0"];
        socket.write([...lines, "", ""].join("\r\n"));
    });
    assert.is(end, "ECONNRESET");
});

suite.run();
