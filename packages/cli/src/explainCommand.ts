import * as fileSystem from "node:fs";
import * as exitCodes from "./exitCodes.js";
import * as output from "./output.js";

/** One parsed line of a process's log. */
export interface LogLine {
    /** Timestamp of the line in ISO 8601. Lines with equal timestamps keep their order. */
    readonly time: string;
    readonly instance: string;
    readonly event: string;
    readonly fields: Readonly<Record<string, unknown>>;
}

/** File descriptor that is read if no file is given. */
const StandardInputDescriptor = 0;
/** Fields that every log line has; they aren't specific to the event. */
const CommonLogFields = new Set(["name", "hostname", "pid", "level", "msg", "time", "v", "instance"]);

/** `explain ID FILES…`: prints the log lines of all processes that refer to a request, a submission or an item. */
export function runExplain(id: string, files: readonly string[]): exitCodes.ExitCode {
    const sources = files.length === 0 ? [StandardInputDescriptor] : files;
    const texts = sources.map(source => fileSystem.readFileSync(source, "utf8"));
    const lines = findLines(texts, id);
    if (lines.length === 0) {
        output.printError(`no log line has the id ${id}`);
        return exitCodes.ExitCode.Failure;
    }
    output.print(false, lines, () => lines.map(formatLine).join("\n"));
    return exitCodes.ExitCode.Success;
}

/** Finds the lines that have the id as the value of a field, sorted by time. Text before the JSON of a line is ignored. */
export function findLines(texts: readonly string[], id: string): readonly LogLine[] {
    return texts
        .flatMap(text => text.split("\n"))
        .filter(text => text.includes(id))
        .flatMap(text => tryParseLine(text) ?? [])
        .filter(line => Object.values(line.fields).includes(id))
        .sort((left, right) => (left.time < right.time ? -1 : left.time > right.time ? 1 : 0));
}

export function formatLine(line: LogLine): string {
    const fields = Object.entries(line.fields).map(([name, value]) => `${name}=${formatValue(value)}`);
    return `${line.time} ${line.instance} ${line.event} ${fields.join(" ")}`;
}

function tryParseLine(text: string): LogLine | undefined {
    const start = text.indexOf("{");
    try {
        const json = JSON.parse(text.slice(start)) as Record<string, unknown>;
        const fields = Object.fromEntries(Object.entries(json).filter(([name]) => !CommonLogFields.has(name)));
        return { time: String(json["time"]), instance: String(json["instance"]), event: String(json["msg"]), fields };
    }
    catch {
        // Not a log line: output of another program in the same file.
        return undefined;
    }
}

function formatValue(value: unknown): string {
    const text = String(value);
    return /\s/.test(text) ? JSON.stringify(text) : text;
}
