import * as fileSystem from "node:fs";
import { createRequire } from "node:module";
import * as path from "node:path";
import * as vm from "node:vm";
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
    // Upstreams speak HTTP/1.1; the runtime's own HTTP/2 is loaded with this file.
    "client-h2": `module.exports = () => { throw new Error("HTTP/2 is left out of the bundle"); };`,
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
        build.onResolve({ filter: /\/client-h2(\.js)?$/ }, () => ({ path: "client-h2", namespace: "parts" }));
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

const Folder = "target";
const CodeFile = path.resolve(Folder, "boragedale.code.js");

const result = await esbuild.build({
    entryPoints: ["packages/daemon/src/main.ts"],
    outfile: CodeFile,
    write: false,
    bundle: true,
    platform: "node",
    target: "node20",
    format: "esm",
    conditions: ["source"],
    minifySyntax: true,
    minifyWhitespace: true,
    external: Unused,
    plugins: [partsPlugin],
    banner: { js: Banner },
});

const code = toFunction(result.outputFiles[0].text);
fileSystem.mkdirSync(Folder, { recursive: true });
fileSystem.writeFileSync(CodeFile, code);
fileSystem.copyFileSync(path.join(import.meta.dirname, "start.mjs"), path.join(Folder, "boragedale.mjs"));
await writeCompiledCode();

/**
 * Turns the module into an asynchronous function of `require` and the module's URL: the runtime keeps compiled code of scripts only, and a
 * script neither imports nor awaits at its top.
 */
function toFunction(text) {
    const body = text
        .replace(/import\s*\*\s*as (\w+) from\s*"([^"]+)";/g, 'const $1=requireBuiltin("$2");')
        .replace(/import\s*\{([^}]+)\}\s*from\s*"([^"]+)";/g, (all, names, module) => {
            return `const {${names.replaceAll(" as ", ":")}}=requireBuiltin("${module}");`;
        })
        .replaceAll("import.meta.url", "moduleUrl");
    if (/\bimport\b[^;"']{0,80}["']|import\.meta/.test(body)) {
        throw new Error("the bundle has an import that is not turned into a call");
    }
    return `(async(requireBuiltin,moduleUrl)=>{${body}\n})`;
}

/** Keeps the code that loading all modules compiles. */
async function writeCompiledCode() {
    const script = new vm.Script(code, { filename: CodeFile });
    process.argv[2] = "load";
    await script.runInThisContext()(require, import.meta.url);
    fileSystem.writeFileSync(path.join(Folder, "boragedale.cache"), script.createCachedData());
}

/** A file inside of an installed library, whatever its manifest exports. */
function locate(library, file) {
    let folder = path.dirname(require.resolve(library));
    while (!fileSystem.existsSync(path.join(folder, file))) {
        folder = path.dirname(folder);
    }
    return path.join(folder, file);
}
