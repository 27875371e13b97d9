import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as core from "@boragedale/core";

const suite = uvu.suite("findings");

suite("a formatted finding contains its place, severity and code", () => {
    const place: core.FindingPlace = { kind: core.FindingPlaceKind.File, file: "note.yaml", line: 3, column: 7 };
    const finding = core.createFinding(core.messages.NoteDuplicate, place, "model", "kestrel");
    assert.is(core.formatFinding(finding), "note.yaml:3:7 - error BD2003: model 'kestrel' is listed twice");
});

suite("every message has a unique code", () => {
    const codes = Object.values(core.messages).filter(value => typeof value === "object");
    const numbers = codes.map(message => message.code);
    assert.is(new Set(numbers).size, numbers.length);
});

suite.run();
