import * as zod from "zod";
import * as core from "@boragedale/core";
import * as entry from "@boragedale/entry";

/** A flag that the reading commands share; each has an environment variable of the same name. */
export interface CommandSettingDefinition {
    readonly flag: string;
    readonly unit: string;
    readonly default: string | undefined;
    readonly meaning: string;
    readonly schema: zod.ZodType<string>;
}

const url = zod.url({ protocol: /^https?$/ });
const token = zod.string().min(1);

export const OperatorSettings: readonly CommandSettingDefinition[] = [
    {
        flag: "operator-url",
        unit: "URL",
        default: "http://127.0.0.1:8081",
        meaning: "operator face of any instance",
        schema: url,
    },
    { flag: "operator-token", unit: "text", default: undefined, meaning: "bearer token of operators", schema: token },
];

export const CallerSettings: readonly CommandSettingDefinition[] = [
    {
        flag: "caller-url",
        unit: "URL",
        default: "http://127.0.0.1:8080",
        meaning: "caller face of any instance",
        schema: url,
    },
    { flag: "caller-token", unit: "text", default: undefined, meaning: "bearer token of the caller", schema: token },
];

/** Values by flag, or every finding at once. */
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
        const given = flags[definition.flag] ?? variables[variable] ?? definition.default;
        if (given === undefined) {
            findings.push(core.createFinding(core.messages.SettingMissing, place, definition.meaning));
            continue;
        }
        const parsed = definition.schema.safeParse(String(given));
        if (!parsed.success) {
            const reason = parsed.error.issues.map(issue => issue.message).join("; ");
            findings.push(core.createFinding(core.messages.SettingInvalid, place, "value", reason));
            continue;
        }
        values.set(definition.flag, parsed.data);
    }
    return core.hasErrors(findings) ? { ok: false, findings } : { ok: true, value: values, findings };
}
