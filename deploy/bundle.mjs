import * as fileSystem from "node:fs";
import { createRequire } from "node:module";
import * as path from "node:path";
import * as vm from "node:vm";
import * as esbuild from "esbuild";

/**
 * Bundles the daemon into one file and stores its compiled code next to it. Most of the start-up time of a process is spent on
 * loading hundreds of modules one by one, and an instance that was killed serves no requests until it is up again.
 * `npm run measure:start` measures the cost of a start.
 */

const require = createRequire(import.meta.url);

/**
 * Modules that replace the index files of libraries, or single files of them. They contain only what the roles use, because each
 * start would pay for loading the rest.
 */
const LibraryReplacements = {
    // Omits `fetch`, web sockets and caches: loading them also loads the copy of undici that is built into the runtime.
    // Adds `request` to the prototype of the dispatchers, as the index file of undici does.
    undici: `import Dispatcher from "${locateLibraryFile("undici", "lib/dispatcher/dispatcher.js")}";
        import request from "${locateLibraryFile("undici", "lib/api/api-request.js")}";
        Object.assign(Dispatcher.prototype, { request });
        export { default as Pool } from "${locateLibraryFile("undici", "lib/dispatcher/pool.js")}";
        export { default as buildConnector } from "${locateLibraryFile("undici", "lib/core/connect.js")}";`,
    // A file of undici that loads the HTTP/2 module of the runtime. Upstreams use HTTP/1.1 only.
    "client-h2": `module.exports = () => { throw new Error("HTTP/2 is left out of the bundle"); };`,
    // Omits the readers and writers of histogram logs, and the number formats that they create when they are loaded.
    "hdr-histogram-js": `export { build } from "${locateLibraryFile("hdr-histogram-js", "dist/HistogramBuilder.js")}";`,
    // The browser build: the container without `loadModules`, which searches folders for modules.
    awilix: `export * from "${locateLibraryFile("awilix", "lib/awilix.browser.mjs")}";`,
};

/**
 * Optional dependencies that are excluded from the bundle. bunyan uses some of them for rotating files and probes, which no role
 * has. The native helpers of ws and msgpackr save less time than loading them takes.
 */
const ExcludedModules = [
    "dtrace-provider",
    "mv",
    "moment",
    "source-map-support",
    "bufferutil",
    "utf-8-validate",
    "msgpackr-extract",
];

const replacementsPlugin = {
    name: "library replacements",
    setup(build) {
        const replacedNames = new RegExp(`^(${Object.keys(LibraryReplacements).join("|")})$`);
        build.onResolve({ filter: replacedNames }, ({ path: name }) => ({ path: name, namespace: "parts" }));
        build.onResolve({ filter: /\/client-h2(\.js)?$/ }, () => ({ path: "client-h2", namespace: "parts" }));
        build.onLoad({ filter: /.*/, namespace: "parts" }, ({ path: name }) => ({
            contents: LibraryReplacements[name],
            resolveDir: import.meta.dirname,
        }));
    },
};

/**
 * Defines the variables that the bundled CommonJS modules expect: `require`, `__filename` and `__dirname`. `require` throws for
 * an excluded module, which the libraries handle as a dependency that isn't installed.
 */
const Banner = `
import { createRequire as createRequireOfBundle } from "node:module";
import { fileURLToPath as fileUrlToPathOfBundle } from "node:url";
import { dirname as dirnameOfBundle } from "node:path";
const requireInstalled = createRequireOfBundle(import.meta.url);
const require = name => {
    if (${JSON.stringify(ExcludedModules)}.includes(name)) throw new Error(name + " is left out of the bundle");
    return requireInstalled(name);
};
const __filename = fileUrlToPathOfBundle(import.meta.url);
const __dirname = dirnameOfBundle(__filename);
`;

const OutputFolder = "target";
const CodeFile = path.resolve(OutputFolder, "boragedale.code.js");

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
    external: ExcludedModules,
    plugins: [replacementsPlugin],
    banner: { js: Banner },
});

const code = convertToScript(result.outputFiles[0].text);
fileSystem.mkdirSync(OutputFolder, { recursive: true });
fileSystem.writeFileSync(CodeFile, code);
fileSystem.copyFileSync(path.join(import.meta.dirname, "start.mjs"), path.join(OutputFolder, "boragedale.mjs"));
await writeCompiledCode();

/**
 * Converts the module into a script whose value is an async function with the parameters `require` and the module's URL.
 * The runtime can store compiled code only for scripts, and a script can't have import declarations or a top-level `await`.
 */
function convertToScript(text) {
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

/** Runs the bundle with the role `load`, which loads all modules, and stores the code compiled by then. */
async function writeCompiledCode() {
    const script = new vm.Script(code, { filename: CodeFile });
    process.argv[2] = "load";
    await script.runInThisContext()(require, import.meta.url);
    fileSystem.writeFileSync(path.join(OutputFolder, "boragedale.cache"), script.createCachedData());
}

/** Returns the path of a file in an installed library, even if the library's manifest doesn't export it. */
function locateLibraryFile(library, file) {
    let folder = path.dirname(require.resolve(library));
    while (!fileSystem.existsSync(path.join(folder, file))) {
        folder = path.dirname(folder);
    }
    return path.join(folder, file);
}
