import * as fileSystem from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import * as core from "@boragedale/core";
import * as daemon from "@boragedale/daemon";
import * as uvu from "uvu";
import * as assert from "uvu/assert";

const suite = uvu.suite("daemon settings");

const sound = { instance: "a", dataCentre: "d", storeAddress: "10.0.0.1:80", peerKey: "12345678" };

function writeFile(value: unknown): string {
    const folder = fileSystem.mkdtempSync(path.join(os.tmpdir(), "boragedale-settings-"));
    const file = path.join(folder, "settings.json");
    fileSystem.writeFileSync(file, JSON.stringify(value));
    return file;
}

suite("all findings come at once, each with its place", () => {
    const read = daemon.readSettingsFile(
        writeFile({ ...sound, storeAddress: "nowhere", peerKey: "x", logLevel: "odd" }),
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

suite("an empty text is a value that this kind of machine has not", () => {
    const read = daemon.readSettingsFile(writeFile({ ...sound, callerAddress: "" }));
    assert.is(read.ok && read.value.callerAddress, undefined);
});

// The operators change the file and signal; a mistake in it must not take the process out of service.
suite("a reload takes what is sound and keeps the former settings otherwise", async () => {
    const file = writeFile({ ...sound, peerSeeds: ["10.0.0.2:1"] });
    const initial = daemon.readSettingsFile(file);
    core.Debug.assert(initial.ok, "the file is sound");
    const changes: string[][] = [];
    let findings = 0;
    await using keeper = new daemon.SettingsKeeper({
        file,
        initial: initial.value,
        onRead: (changed, found) => {
            changes.push([...changed]);
            findings += found.length;
        },
    });
    fileSystem.writeFileSync(file, JSON.stringify({ ...sound, peerSeeds: ["10.0.0.3:1"] }));
    keeper.reload();
    assert.equal(keeper.get().peerSeeds, ["10.0.0.3:1"]);
    assert.equal(changes, [["peerSeeds"]]);
    fileSystem.writeFileSync(file, "{");
    keeper.reload();
    assert.equal(keeper.get().peerSeeds, ["10.0.0.3:1"]);
    assert.is(findings, 1);
});

suite.run();
