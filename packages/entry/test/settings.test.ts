import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as core from "@boragedale/core";
import * as entry from "@boragedale/entry";

const suite = uvu.suite("settings");

function createFlags(): Record<string, unknown> {
    return {
        instance: "entry-1",
        "data-centre": "colombo-1",
        "key-value-url": "http://127.0.0.1:1",
        "instance-list-url": "http://127.0.0.1:2",
        "weight-store-url": "http://127.0.0.1:3",
        "peer-key": "long enough",
        "operator-token": "long enough",
    };
}

suite("defaults apply to settings that are not given, and a flag takes precedence over its variable", () => {
    const checked = entry.readEntrySettings(createFlags(), {
        BORAGEDALE_INSTANCE: "other",
        BORAGEDALE_CALLER_PORT: "9000",
    });
    assert.ok(checked.ok);
    assert.is(checked.value.instance, "entry-1");
    assert.is(checked.value.callerPort, 9000);
    assert.is(checked.value.operatorPort, 8081);
    assert.is(checked.value.dataFolder, undefined);
});

suite("all findings are returned at once, each with its flag or variable", () => {
    const flags = { ...createFlags(), "caller-port": "99999", instance: undefined };
    const checked = entry.readEntrySettings(flags, {
        BORAGEDALE_LOG_LEVEL: "loud",
        BORAGEDALE_DATACENTRE: "misspelt",
    });
    assert.not(checked.ok);
    assert.equal(
        checked.findings.map(finding => core.formatPlace(finding.place)),
        ["--instance", "--caller-port", "BORAGEDALE_LOG_LEVEL", "BORAGEDALE_DATACENTRE"],
    );
});

suite("a secret's value is never shown", () => {
    const checked = entry.readEntrySettings({ ...createFlags(), "peer-key": "short" }, {});
    assert.not(checked.ok);
    assert.not.match(checked.findings.map(core.formatFinding).join("\n"), "short'");
});

suite.run();
