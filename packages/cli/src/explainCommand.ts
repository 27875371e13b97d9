import * as fileSystem from "node:fs";
import * as exitCodes from "./exitCodes.js";
import * as output from "./output.js";

/** One line of a process's log that names what is looked for. */
export interface LogLine {
    /** As the line gives it, in ISO 8601; lines of one instant keep their order. */
    readonly time: string;
    readonly instance: string;
    readonly event: string;
    readonly fields: Readonly<Record<string, unknown>>;
}

/** File descriptor that is read where no file is named. */
const StandardInput = 0;
/** Members that each line has; they tell nothing of the event. */
const CommonMembers = new Set(["name", "hostname", "pid", "level", "msg", "time", "v", "instance"]);

/** `explain ID FILES…`: everything that the logs of all processes tell of a request, a submission or an item. */
export function runExplain(id: string, files: readonly string[]): exitCodes.ExitCode {
    const sources = files.length === 0 ? [StandardInput] : files;
    const texts = sources.map(source => fileSystem.readFileSync(source, "utf8"));
    const lines = findLines(texts, id);
    if (lines.length === 0) {
        output.printError(`no line names ${id}`);
        return exitCodes.ExitCode.Failure;
    }
    output.print(false, lines, () => lines.map(formatLine).join("\n"));
    return exitCodes.ExitCode.Success;
}

/** Lines that have the id as a value, in the order of their time. Anything before a line's JSON is left aside. */
export function findLines(texts: readonly string[], id: string): readonly LogLine[] {
    return texts
        .flatMap(text => text.split("\n"))
        .filter(text => text.includes(id))
        .flatMap(text => tryReadLine(text) ?? [])
        .filter(line => Object.values(line.fields).includes(id))
        .sort((left, right) => (left.time < right.time ? -1 : left.time > right.time ? 1 : 0));
}

export function formatLine(line: LogLine): string {
    const fields = Object.entries(line.fields).map(([name, value]) => `${name}=${formatValue(value)}`);
    return `${line.time} ${line.instance} ${line.event} ${fields.join(" ")}`;
}

function tryReadLine(text: string): LogLine | undefined {
    const start = text.indexOf("{");
    try {
        const json = JSON.parse(text.slice(start)) as Record<string, unknown>;
        const fields = Object.fromEntries(Object.entries(json).filter(([name]) => !CommonMembers.has(name)));
        return { time: String(json["time"]), instance: String(json["instance"]), event: String(json["msg"]), fields };
    }
    catch {
        // Output of another program between the lines.
        return undefined;
    }
}

function formatValue(value: unknown): string {
    const text = String(value);
    return /\s/.test(text) ? JSON.stringify(text) : text;
}
