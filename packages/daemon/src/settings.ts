import * as fileSystem from "node:fs";
import * as core from "@boragedale/core";
import * as zod from "zod";

/** Variable that holds the path of the settings file. */
export const SettingsVariable = "BORAGEDALE_SETTINGS";

const Address = zod.string().regex(/^[^:]+:\d+$/, "an address such as 10.0.0.1:8080");

const SettingsSchema = zod.object({
    /** Name of the machine; the operators use it. */
    instance: zod.string().min(1),
    dataCentre: zod.string().min(1),
    /** IP address and port of the platform's metadata store. */
    storeAddress: Address,
    /** Faces of a gateway; a storage machine has none. */
    callerAddress: Address.optional(),
    readinessAddress: Address.optional(),
    peerAddress: Address.optional(),
    /** Peer faces that may be asked before the store has listed any. */
    peerSeeds: zod.array(Address).default([]),
    /** Shared by all instances; proves a peer. Replace the deployed example before others can reach the network. */
    peerKey: zod.string().min(8),
    /** From SIGTERM to the kill. */
    graceMilliseconds: zod.number().min(1_000).default(8_000),
    /** How long the balancer still sends after a stop signal: two of its questions a second, and a little more. */
    balancerMilliseconds: zod.number().min(0).default(2_300),
    /** How long results stay readable after their submission. */
    retentionMilliseconds: zod.number().min(1_000).default(120_000),
    /** What operators and callers agreed on about customers' limits. */
    quotaWindowSeconds: zod.coerce.number().positive().default(5),
    quotaOverShare: zod.coerce.number().min(0).default(0.1),
    quotaSlack: zod.coerce.number().min(0).default(20),
    metricsAddress: Address.optional(),
    logLevel: zod.enum(["debug", "info", "warn", "error", "silent"]).default("info"),
});

export type Settings = zod.infer<typeof SettingsSchema>;

/** Reads and checks the settings file; all findings at once, each with its place. */
export function readSettings(environment: NodeJS.ProcessEnv): core.Checked<Settings> {
    const file = environment[SettingsVariable];
    if (file === undefined) {
        const place = { kind: core.PlaceKind.Variable, variable: SettingsVariable } as const;
        return { ok: false, findings: [core.createFinding(core.messages.SettingMissing, place, "a settings file")] };
    }
    return readSettingsFile(file);
}

export function readSettingsFile(file: string): core.Checked<Settings> {
    let json: unknown;
    try {
        json = JSON.parse(fileSystem.readFileSync(file, "utf8"));
    }
    catch (error) {
        return { ok: false, findings: [createSettingFinding(file, "", String(error))] };
    }
    const parsed = SettingsSchema.safeParse(dropEmpty(json));
    if (parsed.success) {
        return { ok: true, value: parsed.data, findings: [] };
    }
    return {
        ok: false,
        findings: parsed.error.issues.map(issue => createSettingFinding(file, issue.path.join("."), issue.message)),
    };
}

export function splitAddress(address: string): { readonly host: string; readonly port: number } {
    const colon = address.lastIndexOf(":");
    return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
}

/** Address of a face that a role can't do without. */
export function getFace(address: string | undefined, name: string): { readonly host: string; readonly port: number } {
    return splitAddress(core.Debug.checkDefined(address, `a gateway needs ${name}`));
}

/** A template leaves an empty text where the platform has no value for this kind of machine. */
function dropEmpty(json: unknown): unknown {
    if (typeof json !== "object" || !json || Array.isArray(json)) {
        return json;
    }
    return Object.fromEntries(Object.entries(json).filter(([, value]) => value !== ""));
}

function createSettingFinding(file: string, name: string, text: string): core.Finding {
    const place = { kind: core.PlaceKind.Request, path: name === "" ? file : `${file}: ${name}` } as const;
    return core.createFinding(core.messages.SettingInvalid, place, name, text);
}
