import * as fileSystem from "node:fs";
import * as core from "@boragedale/core";
import * as gateway from "@boragedale/gateway";
import * as zod from "zod";

/** Environment variable that holds the path of the settings file. */
export const SettingsVariable = "BORAGEDALE_SETTINGS";

const Address = zod.string().regex(/^[^:]+:\d+$/, "must be an address such as 10.0.0.1:8080");

const SettingsSchema = zod.object({
    /** Name of the machine, as operators use it. */
    instance: zod.string().min(1),
    dataCentre: zod.string().min(1),
    /** IP address and port of the platform's metadata store. */
    storeAddress: Address,
    /** Addresses that a gateway listens on; a storage machine has none. */
    callerAddress: Address.optional(),
    readinessAddress: Address.optional(),
    peerAddress: Address.optional(),
    /** Addresses of peers to connect to before the store has listed any. */
    peerSeeds: zod.array(Address).default([]),
    /** Key shared by all instances to authenticate peers. Replace the deployed example before others can reach the network. */
    peerKey: zod.string().min(8),
    /** Time between SIGTERM and the kill. */
    graceMilliseconds: zod.number().min(1_000).default(8_000),
    /** How long the load balancer keeps sending after a stop signal: two readiness checks, one a second, and a margin. */
    balancerMilliseconds: zod.number().min(0).default(2_300),
    /** How long results stay readable after submission. */
    retentionMilliseconds: zod.number().min(1_000).default(120_000),
    /** Window, tolerated overshoot and slack of customers' limits, as agreed between operators and callers. */
    quotaWindowSeconds: zod.coerce.number().positive().default(5),
    quotaOverShare: zod.coerce.number().min(0).default(0.1),
    quotaSlack: zod.coerce.number().min(0).default(20),
    /** Write calls that the metadata store takes each second from all instances together. */
    storeWritesPerSecond: zod.coerce.number().positive().default(400),
    /** Order in which online requests that wait for an engine's slot are served. */
    onlineOrder: zod.enum(gateway.OnlineOrder).default(gateway.DefaultLoadPolicy.onlineOrder),
    /** Whether placement considers the measured speeds of engines. */
    engineSpeeds: zod.enum(gateway.EngineSpeeds).default(gateway.DefaultLoadPolicy.engineSpeeds),
    /** How many slots of an engine batch work leaves free for online requests. */
    batchReserve: zod.enum(gateway.BatchReserve).default(gateway.DefaultLoadPolicy.batchReserve),
    metricsAddress: Address.optional(),
    logLevel: zod.enum(["debug", "info", "warn", "error", "silent"]).default("info"),
});

export type Settings = zod.infer<typeof SettingsSchema>;

/** Reads and validates the settings file. On failure, returns all findings together, each with its place. */
export function readSettings(environment: NodeJS.ProcessEnv): core.Checked<Settings> {
    const file = environment[SettingsVariable];
    if (file === undefined) {
        const place = { kind: core.FindingPlaceKind.Variable, variable: SettingsVariable } as const;
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
    const parsed = SettingsSchema.safeParse(omitEmptyStrings(json));
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

/** Returns the host and port of an address that a gateway requires. */
export function getRequiredAddress(
    address: string | undefined,
    name: string,
): { readonly host: string; readonly port: number } {
    return splitAddress(core.Debug.checkDefined(address, `a gateway requires the setting ${name}`));
}

/** Removes empty strings, which the settings template leaves where the platform has no value for this kind of machine. */
function omitEmptyStrings(json: unknown): unknown {
    if (typeof json !== "object" || !json || Array.isArray(json)) {
        return json;
    }
    return Object.fromEntries(Object.entries(json).filter(([, value]) => value !== ""));
}

function createSettingFinding(file: string, name: string, text: string): core.Finding {
    const place = { kind: core.FindingPlaceKind.Request, path: name === "" ? file : `${file}: ${name}` } as const;
    return core.createFinding(core.messages.SettingInvalid, place, name, text);
}
