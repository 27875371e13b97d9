import * as cli from "boragedale";
import * as uvu from "uvu";
import * as assert from "uvu/assert";

const suite = uvu.suite("explain");

function createLine(
    instance: string,
    seconds: number,
    event: string,
    fields: Readonly<Record<string, unknown>>,
): string {
    const time = `2026-01-01T00:00:0${seconds}.000Z`;
    return JSON.stringify({ name: "boragedale", instance, level: 30, ...fields, msg: event, time, v: 0 });
}

// The input is the logs of several processes. Some lines have a prefix that a log collector added, others aren't JSON.
suite("lines with the id are merged in the order of time, other lines are left out", () => {
    const first = [
        createLine("a", 3, "GatewayAnswered", { request: "r1", upstream: "u" }),
        createLine("a", 1, "GatewayAttemptFailed", { request: "r1", text: "reset by peer" }),
        createLine("a", 2, "GatewayAnswered", { request: "r11" }),
    ].join("\n");
    const second = `  12.5 b ${createLine("b", 2, "GatewayRefused", { request: "r1" })}\nnot json r1\n`;
    const lines = cli.findLines([first, second], "r1");
    assert.equal(
        lines.map(line => `${line.instance} ${line.event}`),
        ["a GatewayAttemptFailed", "b GatewayRefused", "a GatewayAnswered"],
    );
    assert.match(cli.formatLine(lines[0]!), /text="reset by peer"/);
});

suite.run();
