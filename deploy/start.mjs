import * as fileSystem from "node:fs";
import { createRequire } from "node:module";
import * as path from "node:path";
import * as vm from "node:vm";

/**
 * Starts the bundle with the compiled code that `bundle.mjs` stored next to it. The runtime rejects compiled code of another
 * runtime version or other flags, and then compiles the bundle again.
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
