import * as fastCheck from "fast-check";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as core from "@boragedale/core";
import * as release from "@boragedale/release";

const suite = uvu.suite("note checker, arbitrary input");

function createNotes(): fastCheck.Arbitrary<string> {
    const known = ["added:", "changed:", "withdrawn:", "    models:", "        - id: a", "policy: {batchWeight: 2}"];
    const odd = ["- &a [*a]", "? [", "\t", "!!map", "a: b: c"];
    const line = fastCheck.oneof(fastCheck.constantFrom(...known, ...odd), fastCheck.string({ maxLength: 12 }));
    return fastCheck.array(line, { maxLength: 20 }).map(lines => lines.join("\n"));
}

// An operator checks a file that is not a release note. The result must be findings, each with its line and column. An
// exception would abort the command or count as a defect of the instance.
suite("any input gives a fleet or findings with their places", () => {
    fastCheck.assert(
        fastCheck.property(createNotes(), source => {
            const checked = release.checkNote(source, "note.yaml", undefined);
            assert.ok(checked.ok || checked.findings.length > 0, "rejected without a finding");
            for (const { place } of checked.findings) {
                assert.ok(place.kind === core.FindingPlaceKind.File && place.line >= 1 && place.column >= 1);
            }
        }),
        { seed: 20_261_202, numRuns: 500 },
    );
});

suite.run();
