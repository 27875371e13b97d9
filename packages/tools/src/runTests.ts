import * as childProcess from "node:child_process";
import * as fileSystem from "node:fs";
import * as os from "node:os";
import * as path from "node:path";

/**
 * Runs every test file in a separate process and prints `N passed, N failed` at the end. Arguments select the files
 * whose path contains one of them. Test files listed in KNOWN-RED.txt run too: their failures are printed but don't fail
 * the run. A listed file that passes fails the run, so that the list stays up to date.
 */

interface FileResult {
    readonly file: string;
    readonly passed: number;
    readonly failed: number;
    readonly output: string;
}

const RootFolder = path.resolve(import.meta.dirname, "../../../..");
/** A test file that doesn't exit in this time, for example because it left a server running, counts as failed. */
const FileTimeoutMilliseconds = 120_000;

void main();

async function main(): Promise<void> {
    const pathFilters = process.argv.slice(2);
    const files = getTestFiles().filter(
        file => pathFilters.length === 0 || pathFilters.some(part => file.includes(part)),
    );
    const knownRed = getKnownRedFiles();
    const results = await runFiles(files);
    let passed = 0;
    let failed = 0;
    for (const result of results) {
        const isKnownRed = knownRed.has(result.file);
        passed += result.passed;
        failed += isKnownRed ? 0 : result.failed;
        if (result.failed > 0) {
            console.log(`${isKnownRed ? "KNOWN RED" : "FAILED"} ${result.file}\n${result.output}`);
        }
        else if (isKnownRed) {
            failed++;
            console.log(`${result.file} is in KNOWN-RED.txt but passes: take its line out`);
        }
    }
    console.log(`${passed} passed, ${failed} failed`);
    process.exitCode = failed > 0 || passed === 0 ? 1 : 0;
}

function getTestFiles(): readonly string[] {
    const packages = path.join(RootFolder, "packages");
    const folders = [
        ...fileSystem.readdirSync(packages).map(name => path.join(packages, name)),
        path.join(RootFolder, "platform"),
    ];
    return folders
        .map(folder => path.join(folder, "test"))
        .filter(folder => fileSystem.existsSync(folder))
        .flatMap(folder => fileSystem.readdirSync(folder).map(file => path.join(folder, file)))
        .filter(file => file.endsWith(".test.ts"))
        .map(file => path.relative(RootFolder, file))
        .sort();
}

/** Reads the test files listed in KNOWN-RED.txt. Each entry starts with the path of a test file. */
function getKnownRedFiles(): ReadonlySet<string> {
    const file = path.join(RootFolder, "KNOWN-RED.txt");
    if (!fileSystem.existsSync(file)) {
        return new Set();
    }
    const lines = fileSystem.readFileSync(file, "utf8").split("\n");
    return new Set(lines.filter(line => /^(packages|platform)\//.test(line)).map(line => line.split(/[\s|]/)[0] ?? ""));
}

async function runFiles(files: readonly string[]): Promise<readonly FileResult[]> {
    const queue = [...files];
    const results: FileResult[] = [];
    const workers = Array.from({ length: Math.max(1, Math.min(4, os.availableParallelism() >> 1)) }, async () => {
        for (let file = queue.shift(); file !== undefined; file = queue.shift()) {
            results.push(await runFile(file));
        }
    });
    await Promise.all(workers);
    return results.sort((left, right) => (left.file < right.file ? -1 : 1));
}

function runFile(file: string): Promise<FileResult> {
    const compiled = file.replace(/\/test\/(.*)\.ts$/, "/dist/test/$1.js");
    return new Promise(resolve => {
        const child = childProcess.spawn(process.execPath, ["--enable-source-maps", compiled], { cwd: RootFolder });
        let output = "";
        child.stdout.on("data", (data: Buffer) => (output += data.toString()));
        child.stderr.on("data", (data: Buffer) => (output += data.toString()));
        const timer = setTimeout(() => {
            output += `\nended after ${FileTimeoutMilliseconds} ms\n`;
            child.kill("SIGKILL");
        }, FileTimeoutMilliseconds);
        child.on("close", code => {
            clearTimeout(timer);
            resolve(createFileResult(file, output, code ?? 1));
        });
    });
}

/** uvu prints `Total:` and `Passed:` at the end. A file without them, or with an exit code other than 0, has failed. */
function createFileResult(file: string, output: string, code: number): FileResult {
    const total = sumMatches(output, /Total:\s+(\d+)/g);
    const passed = sumMatches(output, /Passed:\s+(\d+)/g);
    const hasFailed = code !== 0 || total === 0;
    return { file, passed, failed: hasFailed ? Math.max(1, total - passed) : total - passed, output };
}

function sumMatches(text: string, pattern: RegExp): number {
    return [...text.matchAll(pattern)].reduce((sum, match) => sum + Number(match[1]), 0);
}
