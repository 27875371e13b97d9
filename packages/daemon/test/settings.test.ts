import * as fileSystem from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import * as core from "@boragedale/core";
import * as daemon from "@boragedale/daemon";
import * as uvu from "uvu";
import * as assert from "uvu/assert";

const suite = uvu.suite("daemon settings");

const validSettings = { instance: "a", dataCentre: "d", storeAddress: "10.0.0.1:80", peerKey: "12345678" };

function writeFile(value: unknown): string {
    const folder = fileSystem.mkdtempSync(path.join(os.tmpdir(), "boragedale-settings-"));
    const file = path.join(folder, "settings.json");
    fileSystem.writeFileSync(file, JSON.stringify(value));
    return file;
}

suite("all findings of a settings file are reported together, each with its setting", () => {
    const read = daemon.readSettingsFile(
        writeFile({ ...validSettings, storeAddress: "nowhere", peerKey: "x", logLevel: "odd" }),
    );
    assert.is(read.ok, false);
    const texts = read.findings.map(finding => core.formatFinding(finding));
    ["storeAddress", "peerKey", "logLevel"].forEach(name =>
        assert.ok(
            texts.some(text => text.includes(name)),
            name,
        ),
    );
});

suite("an empty string counts as a missing setting", () => {
    const read = daemon.readSettingsFile(writeFile({ ...validSettings, callerAddress: "" }));
    assert.is(read.ok && read.value.callerAddress, undefined);
});

// A mistake that operators make in the settings file must not take a running process out of service.
suite("a reload applies a valid file and keeps the previous settings otherwise", async () => {
    const file = writeFile({ ...validSettings, peerSeeds: ["10.0.0.2:1"] });
    const initial = daemon.readSettingsFile(file);
    core.Debug.assert(initial.ok, "the file is valid");
    const changes: string[][] = [];
    let findings = 0;
    await using watcher = new daemon.SettingsWatcher({
        file,
        initial: initial.value,
        onRead: (changed, found) => {
            changes.push([...changed]);
            findings += found.length;
        },
    });
    fileSystem.writeFileSync(file, JSON.stringify({ ...validSettings, peerSeeds: ["10.0.0.3:1"] }));
    watcher.reload();
    assert.equal(watcher.get().peerSeeds, ["10.0.0.3:1"]);
    assert.equal(changes, [["peerSeeds"]]);
    fileSystem.writeFileSync(file, "{");
    watcher.reload();
    assert.equal(watcher.get().peerSeeds, ["10.0.0.3:1"]);
    assert.is(findings, 1);
});

suite.run();
