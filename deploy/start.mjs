import * as fileSystem from "node:fs";
import { createRequire } from "node:module";
import * as path from "node:path";
import * as vm from "node:vm";

/**
 * Starts the bundle with the compiled code that the build kept beside it. Code that another runtime compiled, or one with other flags, is
 * rejected by the runtime and compiled anew.
 */

const codeFile = path.join(import.meta.dirname, "boragedale.code.js");
const script = new vm.Script(fileSystem.readFileSync(codeFile, "utf8"), {
    filename: codeFile,
    cachedData: tryRead(path.join(import.meta.dirname, "boragedale.cache")),
});
await script.runInThisContext()(createRequire(import.meta.url), import.meta.url);

function tryRead(file) {
    try {
        return fileSystem.readFileSync(file);
    }
    catch {
        return undefined;
    }
}
