import * as messages from "./messages.js";

/** What a finding refers to: a flag, an environment variable, a position in a file, or a path that names part of an input. */
export enum FindingPlaceKind {
    Flag = "Flag",
    Variable = "Variable",
    File = "File",
    Request = "Request",
}

export type FindingPlace =
    | { readonly kind: FindingPlaceKind.Flag; readonly flag: string }
    | { readonly kind: FindingPlaceKind.Variable; readonly variable: string }
    | { readonly kind: FindingPlaceKind.File; readonly file: string; readonly line: number; readonly column: number }
    | { readonly kind: FindingPlaceKind.Request; readonly path: string };

/** Severity of a finding. Only errors stop a command. */
export enum Severity {
    Error = "Error",
    Warning = "Warning",
}

/** A problem in an input and its place. Findings are collected and reported together rather than thrown. */
export interface Finding {
    readonly severity: Severity;
    readonly code: number;
    readonly place: FindingPlace;
    readonly text: string;
}

/** A value with its warnings, or all findings on an input from which no value could be created. */
export type Checked<T> =
    | { readonly ok: true; readonly value: T; readonly findings: readonly Finding[] }
    | { readonly ok: false; readonly findings: readonly Finding[] };

export function createFinding(message: messages.Message, place: FindingPlace, ...values: readonly messages.Value[]): Finding {
    return { severity: Severity.Error, code: message.code, place, text: messages.formatMessage(message, ...values) };
}

export function createWarning(message: messages.Message, place: FindingPlace, ...values: readonly messages.Value[]): Finding {
    return { ...createFinding(message, place, ...values), severity: Severity.Warning };
}

/** Formats a finding as one line, such as `note.yaml:3:7 - error BD2001: …`. */
export function formatFinding(finding: Finding): string {
    const severity = finding.severity === Severity.Error ? "error" : "warning";
    return `${formatPlace(finding.place)} - ${severity} BD${finding.code}: ${finding.text}`;
}

export function formatPlace(place: FindingPlace): string {
    switch (place.kind) {
        case FindingPlaceKind.Flag:
            return `--${place.flag}`;
        case FindingPlaceKind.Variable:
            return place.variable;
        case FindingPlaceKind.File:
            return `${place.file}:${place.line}:${place.column}`;
        case FindingPlaceKind.Request:
            return place.path;
    }
}

export function hasErrors(findings: readonly Finding[]): boolean {
    return findings.some(finding => finding.severity === Severity.Error);
}
