import * as fileSystem from "node:fs";
import * as path from "node:path";
import * as uvu from "uvu";
import * as assert from "uvu/assert";

const suite = uvu.suite("bin");

const PackageFolder = path.resolve(import.meta.dirname, "../..");

// npm links the executable during `npm install`, before the sources are built. It skips a link to a file that doesn't exist
// yet, so with a built file as the target, `npx boragedale` would fail with "not found" in a fresh clone.
suite("the executable that npm links is a source file and not a build result", () => {
    const text = fileSystem.readFileSync(path.join(PackageFolder, "package.json"), "utf8");
    const manifest = JSON.parse(text) as { readonly bin: Readonly<Record<string, string>> };
    const file = manifest.bin["boragedale"] ?? "";
    assert.is(file.includes("dist"), false);
    const program = fileSystem.readFileSync(path.join(PackageFolder, file), "utf8");
    assert.ok(program.startsWith("#!/usr/bin/env node"));
});

suite.run();
