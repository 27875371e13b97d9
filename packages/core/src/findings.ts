import * as messages from "./messages.js";

/** What a finding refers to: a flag, an environment variable, a position in a file, or a path that names part of an input. */
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

/** Severity of a finding. Only errors stop a command. */
export enum Severity {
    Error = "Error",
    Warning = "Warning",
}

/** A problem in an input and its place. Findings are collected and reported together rather than thrown. */
export interface Finding {
    readonly severity: Severity;
    readonly code: number;
    readonly place: Place;
    readonly text: string;
}

/** A value with its warnings, or all findings on an input from which no value could be created. */
export type Checked<T> =
    | { readonly ok: true; readonly value: T; readonly findings: readonly Finding[] }
    | { readonly ok: false; readonly findings: readonly Finding[] };

export function createFinding(message: messages.Message, place: Place, ...values: readonly messages.Value[]): Finding {
    return { severity: Severity.Error, code: message.code, place, text: messages.formatMessage(message, ...values) };
}

export function createWarning(message: messages.Message, place: Place, ...values: readonly messages.Value[]): Finding {
    return { ...createFinding(message, place, ...values), severity: Severity.Warning };
}

/** Formats a finding as one line, such as `note.yaml:3:7 - error BD2001: …`. */
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
