import * as fastCheck from "fast-check";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as page from "../src/slopes/page.js";
import * as table from "../src/slopes/table.js";

const suite = uvu.suite("slopes");

suite("points on a line are fitted by that line without error", () => {
    const number = fastCheck.integer({ min: -1_000, max: 1_000 });
    fastCheck.assert(
        fastCheck.property(number, number, (base, slope) => {
            const points = [1, 5, 9, 30].map(x => ({ x, y: base + slope * x }));
            const fitted = table.fitSlope(points);
            assert.ok(Math.abs(fitted.line.slope - slope) < 1e-6 && Math.abs(fitted.line.base - base) < 1e-6);
            assert.ok(fitted.explained > 0.999_999);
        }),
        { seed: 7 },
    );
});

suite("points on a curve give a large residual and a low explained share", () => {
    const fitted = table.fitSlope([1, 10, 50, 100].map(x => ({ x, y: x * x })));
    assert.ok(fitted.largestResidual > 0.05, String(fitted.largestResidual));
    assert.ok(fitted.explained < 0.99, String(fitted.explained));
});

suite("fitting two points throws, because they leave no residual to estimate the error from", () => {
    assert.throws(() => table.fitSlope([1, 2].map(x => ({ x, y: x }))), /three points/);
});

// Operators plan capacity with this page. A table in the wrong place, or lost text outside the markers, would not be
// noticed. Therefore only the text between one pair of markers may change, and a missing or duplicate pair is an error.
suite("replacing a table changes only the text between its markers", () => {
    const text = "before\n<!-- slopes:begin a -->\nold\n<!-- slopes:end a -->\nafter <!-- slopes:begin b -->\n";
    const replaced = page.replaceTable(text, "a", "$& new");
    assert.is(
        replaced,
        "before\n<!-- slopes:begin a -->\n\n$& new\n\n<!-- slopes:end a -->\nafter <!-- slopes:begin b -->\n",
    );
    assert.is(page.replaceTable(replaced, "a", "$& new"), replaced);
    assert.throws(() => page.replaceTable(text, "b", "new"), /markers of b/);
    assert.throws(() => page.replaceTable(text + text, "a", "new"), /markers of a/);
});

suite.run();
