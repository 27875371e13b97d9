import { createRequire } from "node:module";

/**
 * Starts the bundle with the compiled code that `bundle.mjs` stored next to it. The runtime rejects compiled code of another
 * runtime version or other flags, and then compiles the bundle again.
 */

/**
 * The flags of `system.toml` that change how code is compiled or run, and the settings that undo them. The runtime contains compiled
 * code of its own modules, which it accepts only while all flags have their default values. The size of the heap is fixed when the
 * process starts, so that the last flag keeps its effect.
 */
const Flags = [
    { set: "--no-wasm-tier-up", reset: "--wasm-tier-up" },
    { set: "--no-wasm-dynamic-tiering", reset: "--wasm-dynamic-tiering" },
    { set: "--always-sparkplug", reset: "--no-always-sparkplug" },
    // The default value of the runtime's version 20.
    { set: "--interrupt-budget=2000000", reset: "--interrupt-budget=67584" },
    { set: "--no-memory-reducer", reset: "--memory-reducer" },
    { set: "--max-old-space-size=160", reset: "--max-old-space-size=0" },
].filter(flag => process.execArgv.includes(flag.set));

/** Modules of the runtime that a gateway uses. Those that others load are included. */
const RuntimeModules = ["crypto", "zlib", "http", "os", "assert", "https", "dns", "cluster", "perf_hooks"];

const require = createRequire(import.meta.url);
loadRuntimeModules();
const fileSystem = require("node:fs");
const path = require("node:path");
const vm = require("node:vm");
const codeFile = path.join(import.meta.dirname, "boragedale.code.js");
const script = new vm.Script(fileSystem.readFileSync(codeFile, "utf8"), {
    filename: codeFile,
    cachedData: tryRead(path.join(import.meta.dirname, "boragedale.cache")),
});
await script.runInThisContext()(require, import.meta.url);

/** Loads the modules with default flags, under which the runtime doesn't compile them again: a saving of some 40 ms of processor time. */
function loadRuntimeModules() {
    const v8 = require("node:v8");
    Flags.forEach(flag => v8.setFlagsFromString(flag.reset));
    RuntimeModules.forEach(name => require(name));
    Flags.forEach(flag => v8.setFlagsFromString(flag.set));
}

function tryRead(file) {
    try {
        return fileSystem.readFileSync(file);
    }
    catch {
        return undefined;
    }
}
