import * as zod from "zod";
import * as core from "@boragedale/core";
import * as entry from "@boragedale/entry";

/** A flag that several commands share. Each flag has a corresponding environment variable. */
export interface CommandSettingDefinition {
    readonly flag: string;
    readonly unit: string;
    readonly default: string | undefined;
    readonly meaning: string;
    readonly schema: zod.ZodType<string>;
}

const urlSchema = zod.url({ protocol: /^https?$/ });
const tokenSchema = zod.string().min(1);

export const OperatorSettings: readonly CommandSettingDefinition[] = [
    {
        flag: "operator-url",
        unit: "URL",
        default: "http://127.0.0.1:8081",
        meaning: "operator endpoint of any instance",
        schema: urlSchema,
    },
    {
        flag: "operator-token",
        unit: "text",
        default: undefined,
        meaning: "bearer token of operators",
        schema: tokenSchema,
    },
];

export const CallerSettings: readonly CommandSettingDefinition[] = [
    {
        flag: "caller-url",
        unit: "URL",
        default: "http://127.0.0.1:8080",
        meaning: "caller endpoint of any instance",
        schema: urlSchema,
    },
    {
        flag: "caller-token",
        unit: "text",
        default: undefined,
        meaning: "bearer token of the caller",
        schema: tokenSchema,
    },
];

/**
 * Reads and validates the settings. Flags override environment variables, which override defaults. All findings are reported
 * at once.
 */
export function readCommandSettings(
    definitions: readonly CommandSettingDefinition[],
    flags: Readonly<Record<string, unknown>>,
    variables: Readonly<Record<string, string | undefined>>,
): core.Checked<ReadonlyMap<string, string>> {
    const findings: core.Finding[] = [];
    const values = new Map<string, string>();
    for (const definition of definitions) {
        const variable = entry.getVariableName(definition.flag);
        const isFlag = flags[definition.flag] !== undefined || variables[variable] === undefined;
        const place: core.FindingPlace = isFlag
            ? { kind: core.FindingPlaceKind.Flag, flag: definition.flag }
            : { kind: core.FindingPlaceKind.Variable, variable };
        const rawValue = flags[definition.flag] ?? variables[variable] ?? definition.default;
        if (rawValue === undefined) {
            findings.push(core.createFinding(core.messages.SettingMissing, place, definition.meaning));
            continue;
        }
        const parsed = definition.schema.safeParse(String(rawValue));
        if (!parsed.success) {
            const reason = parsed.error.issues.map(issue => issue.message).join("; ");
            findings.push(core.createFinding(core.messages.SettingInvalid, place, "value", reason));
            continue;
        }
        values.set(definition.flag, parsed.data);
    }
    return core.hasErrors(findings) ? { ok: false, findings } : { ok: true, value: values, findings };
}
