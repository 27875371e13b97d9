import * as childProcess from "node:child_process";
import * as path from "node:path";
import * as readline from "node:readline";

/** A child process that prints its addresses as JSON in its first line of output. */
export interface StartedProcess {
    readonly name: string;
    readonly child: childProcess.ChildProcess;
    readonly announcement: Readonly<Record<string, unknown>>;
    /** Resolves with the exit code, or with the name of the signal that ended the process. */
    readonly ended: Promise<number | string>;
}

export const RootFolder = path.resolve(import.meta.dirname, "../../../../..");
const StartTimeoutMilliseconds = 20_000;

/** Starts a compiled program of this repository and waits for its first line of output. */
export async function startProcess(
    name: string,
    program: string,
    flags: readonly string[],
    variables: Readonly<Record<string, string>> = {},
): Promise<StartedProcess> {
    const child = childProcess.spawn(process.execPath, [path.join(RootFolder, program), ...flags], {
        env: { ...process.env, ...variables },
        stdio: ["ignore", "pipe", "pipe"],
    });
    const errors: string[] = [];
    child.stderr.on("data", (data: Buffer) => errors.push(data.toString()));
    const ended = new Promise<number | string>(resolve => {
        child.on("close", (code, signal) => resolve(code ?? signal ?? "unknown"));
    });
    const line = await readFirstLine(name, child, ended, errors);
    return { name, child, ended, announcement: JSON.parse(line) as Record<string, unknown> };
}

export interface CommandResult {
    readonly code: number | string;
    readonly output: string;
    readonly errors: string;
}

/** Runs a boragedale command and waits until it exits. */
export async function runCommand(
    flags: readonly string[],
    variables: Readonly<Record<string, string>>,
): Promise<CommandResult> {
    const program = path.join(RootFolder, "packages/cli/dist/src/main.js");
    const child = childProcess.spawn(process.execPath, [program, ...flags], {
        env: { ...process.env, ...variables },
        stdio: ["ignore", "pipe", "pipe"],
    });
    const output: string[] = [];
    const errors: string[] = [];
    child.stdout.on("data", (data: Buffer) => output.push(data.toString()));
    child.stderr.on("data", (data: Buffer) => errors.push(data.toString()));
    const code = await new Promise<number | string>(resolve => {
        child.on("close", (exitCode, signal) => resolve(exitCode ?? signal ?? "unknown"));
    });
    return { code, output: output.join(""), errors: errors.join("") };
}

export async function stopProcess(started: StartedProcess, signal: NodeJS.Signals): Promise<number | string> {
    const end = started.child.exitCode ?? started.child.signalCode ?? undefined;
    if (end === undefined) {
        started.child.kill(signal);
    }
    return started.ended;
}

async function readFirstLine(
    name: string,
    child: childProcess.ChildProcess,
    ended: Promise<number | string>,
    errors: readonly string[],
): Promise<string> {
    const lines = readline.createInterface({ input: child.stdout as NodeJS.ReadableStream });
    let timer: NodeJS.Timeout | undefined;
    try {
        return await Promise.race([
            new Promise<string>(resolve => lines.once("line", resolve)),
            ended.then(code => {
                throw new Error(`${name} ended with ${code}:\n${errors.join("")}`);
            }),
            new Promise<never>((resolve, reject) => {
                timer = setTimeout(() => reject(new Error(`${name} did not start`)), StartTimeoutMilliseconds);
            }),
        ]);
    }
    finally {
        clearTimeout(timer);
    }
}
