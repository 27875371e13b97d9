import * as esbuild from "esbuild";

/** Bundles the daemon into one file: loading hundreds of modules one by one is most of a process's start. */
await esbuild.build({
    entryPoints: ["packages/daemon/src/main.ts"],
    outfile: "target/boragedale.mjs",
    bundle: true,
    platform: "node",
    target: "node20",
    format: "esm",
    conditions: ["source"],
    minifySyntax: true,
    sourcemap: "linked",
    // bunyan loads these where they are installed; they are not.
    external: [
        "dtrace-provider",
        "mv",
        "moment",
        "source-map-support",
        "bufferutil",
        "utf-8-validate",
        "msgpackr-extract",
    ],
    banner: {
        js: 'import { createRequire as createRequireOfBundle } from "node:module"; const require = createRequireOfBundle(import.meta.url); import { fileURLToPath as fileUrlToPathOfBundle } from "node:url"; import { dirname as dirnameOfBundle } from "node:path"; const __filename = fileUrlToPathOfBundle(import.meta.url); const __dirname = dirnameOfBundle(__filename);',
    },
});
