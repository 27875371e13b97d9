import * as messages from "./messages.js";

/** Where a finding belongs: a flag, an environment variable, or a line and column of a file. */
export enum PlaceKind {
    Flag = "Flag",
    Variable = "Variable",
    File = "File",
    Request = "Request",
}

export type Place =
    | { readonly kind: PlaceKind.Flag; readonly flag: string }
    | { readonly kind: PlaceKind.Variable; readonly variable: string }
    | { readonly kind: PlaceKind.File; readonly file: string; readonly line: number; readonly column: number }
    | { readonly kind: PlaceKind.Request; readonly path: string };

/** How bad a finding is. Only errors stop a command. */
export enum Severity {
    Error = "Error",
    Warning = "Warning",
}

/** One problem with its place. Findings are gathered and reported together, never thrown one by one. */
export interface Finding {
    readonly severity: Severity;
    readonly code: number;
    readonly place: Place;
    readonly text: string;
}

/** A value, or all that is wrong with the input it was made from. */
export type Checked<T> =
    | { readonly ok: true; readonly value: T; readonly findings: readonly Finding[] }
    | { readonly ok: false; readonly findings: readonly Finding[] };

export function createFinding(message: messages.Message, place: Place, ...values: readonly messages.Value[]): Finding {
    return { severity: Severity.Error, code: message.code, place, text: messages.formatMessage(message, ...values) };
}

export function createWarning(message: messages.Message, place: Place, ...values: readonly messages.Value[]): Finding {
    return { ...createFinding(message, place, ...values), severity: Severity.Warning };
}

/** One line for a person: `note.yaml:3:7 - error BD2001: …`. */
export function formatFinding(finding: Finding): string {
    const severity = finding.severity === Severity.Error ? "error" : "warning";
    return `${formatPlace(finding.place)} - ${severity} BD${finding.code}: ${finding.text}`;
}

export function formatPlace(place: Place): string {
    switch (place.kind) {
        case PlaceKind.Flag:
            return `--${place.flag}`;
        case PlaceKind.Variable:
            return place.variable;
        case PlaceKind.File:
            return `${place.file}:${place.line}:${place.column}`;
        case PlaceKind.Request:
            return place.path;
    }
}

export function hasErrors(findings: readonly Finding[]): boolean {
    return findings.some(finding => finding.severity === Severity.Error);
}
