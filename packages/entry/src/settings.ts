import * as zod from "zod";
import * as core from "@boragedale/core";

/** Definition of a setting: its flag, meaning, default and schema. */
export interface SettingDefinition {
    /** Name in the settings object, in camel case. */
    readonly name: keyof EntrySettings;
    /** Flag without its dashes. The name of the environment variable is derived from it. */
    readonly flag: string;
    readonly unit: string;
    readonly default: string | undefined;
    readonly meaning: string;
    readonly isSecret: boolean;
    readonly schema: zod.ZodType;
}

/** Settings of an entry instance. Flags take precedence over `BORAGEDALE_*` variables, and these over defaults. */
export interface EntrySettings {
    readonly instance: core.InstanceId;
    readonly dataCentre: core.DataCentre;
    readonly host: string;
    readonly advertisedHost: string;
    readonly callerPort: number;
    readonly operatorPort: number;
    readonly peerPort: number;
    readonly keyValueUrl: string;
    readonly instanceListUrl: string;
    readonly weightStoreUrl: string;
    readonly peerKey: string;
    readonly operatorToken: string;
    readonly dataFolder: string | undefined;
    readonly logLevel: "debug" | "info" | "warn" | "error" | "silent";
    readonly bodyLimitBytes: number;
    readonly fileLimitBytes: number;
    readonly drainGraceMilliseconds: number;
    readonly keyValueWritesPerSecond: number;
    readonly keyValueReadsPerSecond: number;
}

const port = zod.coerce.number().int().min(0).max(65_535);
const httpUrl = zod.url({ protocol: /^https?$/ });
const positive = zod.coerce.number().int().positive();
const secret = zod.string().min(8, "needs at least 8 characters");

/** All settings of `boragedale entry`, in the order of `--help`. */
export const EntrySettingDefinitions: readonly SettingDefinition[] = [
    define("instance", "instance", "name", undefined, "name of this instance", zod.string().min(1)),
    define("dataCentre", "data-centre", "name", undefined, "data centre of this instance", zod.string().min(1)),
    define("host", "host", "address", "127.0.0.1", "address to listen on", zod.string().min(1)),
    define("advertisedHost", "advertised-host", "address", "127.0.0.1", "address that peers use", zod.string().min(1)),
    define("callerPort", "caller-port", "port", "8080", "port of the callers' endpoint; 0 picks a free one", port),
    define("operatorPort", "operator-port", "port", "8081", "port of the operators' endpoint", port),
    define("peerPort", "peer-port", "port", "8082", "port for connections of other instances", port),
    define("keyValueUrl", "key-value-url", "URL", undefined, "the platform's key-value service", httpUrl),
    define("instanceListUrl", "instance-list-url", "URL", undefined, "the platform's instance list", httpUrl),
    define("weightStoreUrl", "weight-store-url", "URL", undefined, "the weight store", httpUrl),
    define("peerKey", "peer-key", "text", undefined, "key that all instances share", secret, true),
    define("operatorToken", "operator-token", "text", undefined, "bearer token of operators", secret, true),
    define("dataFolder", "data-folder", "path", "", "folder on a small disk; none when empty", zod.string()),
    define(
        "logLevel",
        "log-level",
        "level",
        "info",
        "debug, info, warn, error or silent",
        zod.enum(["debug", "info", "warn", "error", "silent"]),
    ),
    define("bodyLimitBytes", "body-limit", "bytes", "4194304", "largest body of an online request", positive),
    define("fileLimitBytes", "file-limit", "bytes", "2147483648", "largest file of a batch job", positive),
    define(
        "drainGraceMilliseconds",
        "drain-grace",
        "ms",
        "5000",
        "how long a leaving instance accepts requests until the balancer has noticed",
        zod.coerce.number().int().min(0),
    ),
    define(
        "keyValueWritesPerSecond",
        "key-value-writes",
        "calls/s",
        "300",
        "writes that the whole fleet may send to the key-value service",
        positive,
    ),
    define(
        "keyValueReadsPerSecond",
        "key-value-reads",
        "calls/s",
        "1600",
        "reads that the whole fleet may send to the key-value service",
        positive,
    ),
];

/** The environment variable of a flag, such as `BORAGEDALE_DATA_CENTRE`. */
export function getVariableName(flag: string): string {
    return `BORAGEDALE_${flag.toUpperCase().replaceAll("-", "_")}`;
}

/**
 * Combines flags, variables and defaults. Returns all findings at once, each with the flag or variable that it is
 * about.
 */
export function readEntrySettings(
    flags: Readonly<Record<string, unknown>>,
    variables: Readonly<Record<string, string | undefined>>,
): core.Checked<EntrySettings> {
    const findings: core.Finding[] = [];
    const values: Record<string, unknown> = {};
    for (const definition of EntrySettingDefinitions) {
        const given = getGivenValue(definition, flags, variables);
        if (given.value === undefined) {
            findings.push(core.createFinding(core.messages.SettingMissing, given.place, definition.meaning));
            continue;
        }
        const parsed = definition.schema.safeParse(given.value);
        if (!parsed.success) {
            const shown = definition.isSecret ? "(secret)" : given.value;
            const reason = parsed.error.issues.map(issue => issue.message).join("; ");
            findings.push(core.createFinding(core.messages.SettingInvalid, given.place, shown, reason));
            continue;
        }
        values[definition.name] = parsed.data === "" ? undefined : parsed.data;
    }
    findings.push(...findUnknownVariables(variables));
    if (core.hasErrors(findings)) {
        return { ok: false, findings };
    }
    return { ok: true, value: values as unknown as EntrySettings, findings };
}

function define(
    name: keyof EntrySettings,
    flag: string,
    unit: string,
    defaultValue: string | undefined,
    meaning: string,
    schema: zod.ZodType,
    isSecret = false,
): SettingDefinition {
    return { name, flag, unit, default: defaultValue, meaning, isSecret, schema };
}

interface GivenValue {
    readonly value: string | undefined;
    readonly place: core.FindingPlace;
}

function getGivenValue(
    definition: SettingDefinition,
    flags: Readonly<Record<string, unknown>>,
    variables: Readonly<Record<string, string | undefined>>,
): GivenValue {
    const variable = getVariableName(definition.flag);
    const fromFlag = flags[definition.flag];
    if (fromFlag !== undefined) {
        return { value: String(fromFlag), place: { kind: core.FindingPlaceKind.Flag, flag: definition.flag } };
    }
    const fromVariable = variables[variable];
    if (fromVariable !== undefined) {
        return { value: fromVariable, place: { kind: core.FindingPlaceKind.Variable, variable } };
    }
    return { value: definition.default, place: { kind: core.FindingPlaceKind.Flag, flag: definition.flag } };
}

/**
 * Reports misspelt variables, whose settings would silently keep their defaults. Variables of the commands are known,
 * too.
 */
function findUnknownVariables(variables: Readonly<Record<string, string | undefined>>): core.Finding[] {
    const known = new Set([
        ...EntrySettingDefinitions.map(definition => getVariableName(definition.flag)),
        "BORAGEDALE_OPERATOR_URL",
        "BORAGEDALE_CALLER_URL",
        "BORAGEDALE_CALLER_TOKEN",
    ]);
    return Object.keys(variables)
        .filter(variable => variable.startsWith("BORAGEDALE_") && !known.has(variable))
        .map(variable => core.createFinding(core.messages.SettingUnknown, { kind: core.FindingPlaceKind.Variable, variable }));
}
