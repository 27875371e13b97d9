import * as fileSystem from "node:fs";
import { createRequire } from "node:module";
import * as path from "node:path";
import * as esbuild from "esbuild";

/**
 * Bundles the daemon into one file: loading hundreds of modules one by one is most of a process's start, and an instance that
 * was killed answers nobody before it is up. `npm run measure:start` tells what a start costs.
 */

const require = createRequire(import.meta.url);

/** Of these libraries' index files a role needs a part; what the rest does at load would be charged at each start. */
const Parts = {
    // Without `fetch`, web sockets and caches, whose mere loading starts the runtime's own copy of the library.
    // The calls of its dispatchers are joined to them as its index does it.
    undici: `import Dispatcher from "${locate("undici", "lib/dispatcher/dispatcher.js")}";
        import request from "${locate("undici", "lib/api/api-request.js")}";
        Object.assign(Dispatcher.prototype, { request });
        export { default as Pool } from "${locate("undici", "lib/dispatcher/pool.js")}";
        export { default as buildConnector } from "${locate("undici", "lib/core/connect.js")}";`,
    // Without the writers and readers of log files, and the number formats that they make.
    "hdr-histogram-js": `export { build } from "${locate("hdr-histogram-js", "dist/HistogramBuilder.js")}";`,
    // The container without its search for modules in folders.
    awilix: `export * from "${locate("awilix", "lib/awilix.browser.mjs")}";`,
};

/**
 * Loaded where they are installed: by bunyan for rotating files and probes that no role has, by ws and msgpackr as native
 * helpers that save less than their loading costs.
 */
const Unused = [
    "dtrace-provider",
    "mv",
    "moment",
    "source-map-support",
    "bufferutil",
    "utf-8-validate",
    "msgpackr-extract",
];

const partsPlugin = {
    name: "parts of libraries",
    setup(build) {
        const wanted = new RegExp(`^(${Object.keys(Parts).join("|")})$`);
        build.onResolve({ filter: wanted }, ({ path: name }) => ({ path: name, namespace: "parts" }));
        build.onLoad({ filter: /.*/, namespace: "parts" }, ({ path: name }) => ({
            contents: Parts[name],
            resolveDir: import.meta.dirname,
        }));
    },
};

/**
 * What the bundled CommonJS modules find as theirs. A module that no role needs is not there, which their users take as not
 * installed.
 */
const Banner = `
import { createRequire as createRequireOfBundle } from "node:module";
import { fileURLToPath as fileUrlToPathOfBundle } from "node:url";
import { dirname as dirnameOfBundle } from "node:path";
const requireInstalled = createRequireOfBundle(import.meta.url);
const require = name => {
    if (${JSON.stringify(Unused)}.includes(name)) throw new Error(name + " is left out of the bundle");
    return requireInstalled(name);
};
const __filename = fileUrlToPathOfBundle(import.meta.url);
const __dirname = dirnameOfBundle(__filename);
`;

await esbuild.build({
    entryPoints: ["packages/daemon/src/main.ts"],
    outfile: "target/boragedale.mjs",
    bundle: true,
    platform: "node",
    target: "node20",
    format: "esm",
    conditions: ["source"],
    minifySyntax: true,
    minifyWhitespace: true,
    sourcemap: "linked",
    external: Unused,
    plugins: [partsPlugin],
    banner: { js: Banner },
});

/** A file inside of an installed library, whatever its manifest exports. */
function locate(library, file) {
    let folder = path.dirname(require.resolve(library));
    while (!fileSystem.existsSync(path.join(folder, file))) {
        folder = path.dirname(folder);
    }
    return path.join(folder, file);
}
