import * as fileSystem from "node:fs";
import * as path from "node:path";
import * as uvu from "uvu";
import * as assert from "uvu/assert";

const suite = uvu.suite("bin");

const PackageFolder = path.resolve(import.meta.dirname, "../..");

// A newcomer clones, runs `npm install` and then `npx boragedale`. npm links the program before the sources are built; a link
// to a built file is left out, and the first command ends with "not found".
suite("the program that npm links stands in the repository", () => {
    const text = fileSystem.readFileSync(path.join(PackageFolder, "package.json"), "utf8");
    const manifest = JSON.parse(text) as { readonly bin: Readonly<Record<string, string>> };
    const file = manifest.bin["boragedale"] ?? "";
    assert.is(file.includes("dist"), false);
    const program = fileSystem.readFileSync(path.join(PackageFolder, file), "utf8");
    assert.ok(program.startsWith("#!/usr/bin/env node"));
});

suite.run();
