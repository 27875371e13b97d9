import * as fileSystem from "node:fs";
import * as path from "node:path";
import * as core from "@boragedale/core";
import * as release from "@boragedale/release";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as fixtures from "./fixtures.js";

const suite = uvu.suite("release note");

const base = fixtures.createFleet({ engines: 3 });

function check(...lines: readonly string[]): core.Checked<release.CheckedNote> {
    return release.checkNote(lines.join("\n"), "note.yaml", base);
}

suite("the example note is valid and needs three loads", () => {
    const file = path.resolve(import.meta.dirname, "../../../../docs/examples/first-note.yaml");
    const checked = release.checkNote(fileSystem.readFileSync(file, "utf8"), file, undefined);
    assert.ok(checked.ok);
    assert.equal(checked.findings, []);
    assert.is(checked.value.loads, 3);
    assert.equal(checked.value.affectedUpstreams, ["engine-1", "engine-2", "engine-3"]);
});

suite("all schema findings are reported together, each with its line and column", () => {
    const checked = check(
        "changed:",
        "    models:",
        "        - id: heron",
        "          version: 2",
        "    upstreams:",
        "        - { id: engine-1, colour: blue }",
    );
    assert.equal(fixtures.formatPlaces(checked.findings), ["4:20 2002", "6:27 2002"]);
});

suite("all content findings are reported together, in the order of the file", () => {
    const checked = check(
        "added:",
        "    models:",
        '        - { id: heron, version: "1" }',
        "changed:",
        "    models:",
        '        - { id: egret, version: "2" }',
        "    upstreams:",
        "        - { id: engine-1, models: [heron, plover] }",
        "        - { id: engine-1, concurrency: 3 }",
        "withdrawn:",
        "    callers: [nobody]",
    );
    assert.not.ok(checked.ok);
    assert.equal(fixtures.formatPlaces(checked.findings), [
        "3:11 2006",
        "6:11 2007",
        "8:35 2004",
        "9:11 2003",
        "11:15 2007",
    ]);
});

suite("broken YAML is reported with its place and without other findings", () => {
    const checked = check("added: [", "changed: {}");
    assert.not.ok(checked.ok);
    assert.ok(checked.findings.every(finding => finding.code === core.messages.NoteNotYaml.code));
});

suite("a withdrawn model that engines still refer to is reported where it is withdrawn", () => {
    const checked = check("withdrawn:", "    models: [heron]");
    assert.equal(fixtures.formatPlaces(checked.findings), ["2:14 2004", "2:14 2004", "2:14 2004"]);
});

suite("a floor above the number of assigned upstreams is rejected", () => {
    const checked = check("changed:", "    models:", "        - { id: heron, onlineFloor: 4 }");
    assert.equal(fixtures.formatPlaces(checked.findings), ["3:37 2005"]);
});

// An upgrade whose floor equals the number of engines. No engine could ever be taken out of service, so the fleet would
// stay on the old version permanently; the note is rejected before it is written.
suite("a floor that would block an upgrade permanently is rejected", () => {
    const checked = check("changed:", "    models:", '        - { id: heron, version: "2", onlineFloor: 3 }');
    assert.equal(fixtures.formatPlaces(checked.findings), ["3:51 2008"]);
});

suite("a change keeps the fields that it does not name", () => {
    const checked = check(
        "changed:",
        "    upstreams:",
        "        - { id: engine-1, role: Batch }",
        "policy: { batchWeight: 0.7 }",
    );
    assert.ok(checked.ok);
    const engine = checked.value.fleet.upstreams.find(upstream => upstream.id === "engine-1");
    assert.equal(engine, { ...base.upstreams[1], role: core.UpstreamRole.Batch });
    assert.equal(checked.value.fleet.policy, { ...base.policy, batchWeight: 0.7 });
    assert.equal(checked.value.differences, [
        "~ upstream engine-1: role Mixed -> Batch",
        "~ policy: batchWeight 0.3 -> 0.7",
    ]);
    assert.is(checked.value.loads, 0);
});

suite("the number of rounds follows from the weight store's load limit and the floors", () => {
    const countRounds = (options: fixtures.FleetOptions): number => {
        const fleet = fixtures.createFleet(options);
        const checked = release.checkNote(fixtures.createUpgradeNote("2"), "note.yaml", fleet);
        core.Debug.assert(checked.ok, "the upgrade is valid");
        return checked.value.rounds;
    };
    assert.is(countRounds({ engines: 6, concurrentLoads: 2, onlineFloor: 1 }), 3);
    assert.is(countRounds({ engines: 6, concurrentLoads: 6, onlineFloor: 4 }), 3);
    assert.is(countRounds({ engines: 6, concurrentLoads: 6, onlineFloor: 1, batchFloor: 5 }), 6);
});

// One of three instances has an older note and one does not answer, so the note must not be reported as in force.
suite("a note is in force only when every live instance confirmed it", () => {
    const live = ["entry-0", "entry-1", "entry-2"].map(id => ({
        id,
        dataCentre: "colombo-1",
        state: core.LifecycleState.Live,
        callerUrl: "",
        peerUrl: "",
        operatorUrl: "",
    }));
    const answers: release.GenerationAnswer[] = [
        { instance: "entry-0", generation: 3, since: 5 },
        { instance: "entry-1", generation: 2, since: 4 },
    ];
    const report = release.createNoteAdoptionReport(3, live, answers, 9);
    assert.equal(report, {
        generation: 3,
        isInForce: false,
        missing: [
            { instance: "entry-1", generation: 2, since: 4 },
            { instance: "entry-2", generation: undefined, since: 9 },
        ],
    });
    const all = live.map(({ id }) => ({ instance: id, generation: 3, since: 5 }));
    assert.ok(release.createNoteAdoptionReport(3, live, all, 9).isInForce);
});

suite("a note that changes nothing gives a warning", () => {
    const checked = check("{}");
    assert.ok(checked.ok);
    assert.equal(fixtures.formatPlaces(checked.findings), ["1:1 2009"]);
});

suite("a stored note decodes to the same note, and a damaged one decodes to undefined", () => {
    const note = fixtures.createNote(7);
    const value = release.encodeNote(note);
    assert.equal(release.tryDecodeNote(value), note);
    assert.is(release.tryDecodeNote(value.subarray(0, value.byteLength / 2)), undefined);
});

suite.run();
