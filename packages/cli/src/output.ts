/** Formats a table with aligned columns. */
export function formatTable(header: readonly string[], rows: readonly (readonly string[])[]): string {
    const lines = [header, ...rows];
    const widths = header.map((title, column) => Math.max(...lines.map(line => (line[column] ?? "").length)));
    const formatLine = (line: readonly string[]): string =>
        line
            .map((cell, column) => cell.padEnd(widths[column] ?? 0))
            .join("  ")
            .trimEnd();
    return lines.map(formatLine).join("\n");
}

export function formatTime(wallMilliseconds: number): string {
    return new Date(wallMilliseconds).toISOString();
}

/** Prints the value as JSON, or the formatted text. */
export function print(isJson: boolean, value: unknown, formatText: () => string): void {
    process.stdout.write((isJson ? JSON.stringify(value, undefined, 2) : formatText()) + "\n");
}

export function printError(text: string): void {
    process.stderr.write(text + "\n");
}
