import * as crypto from "node:crypto";
import * as core from "@boragedale/core";
import * as release from "@boragedale/release";
import * as telemetry from "@boragedale/telemetry";

export interface FleetOptions {
    readonly engines?: number;
    readonly version?: string;
    readonly onlineFloor?: number;
    readonly batchFloor?: number;
    readonly checksFencing?: boolean | ((engine: number) => boolean);
    readonly concurrentLoads?: number;
}

/** A first note: model `heron` on engines `engine-0`, `engine-1`, …, and one caller. */
export function createFirstNote(options: FleetOptions = {}): string {
    const engines = [...Array(options.engines ?? 3).keys()].map(index => createEngineLine(index, options));
    return [
        `weightStore: { concurrentLoads: ${options.concurrentLoads ?? 1} }`,
        "added:",
        "    models:",
        `        - { id: heron, version: "${options.version ?? "1"}", onlineFloor: ${options.onlineFloor ?? 1}, ` +
            `batchFloor: ${options.batchFloor ?? 1} }`,
        "    upstreams:",
        ...engines,
        "    callers:",
        `        - { id: parents, tokenHash: ${hashToken("parents")}, weight: 3 }`,
        "",
    ].join("\n");
}

/** A note that changes the version of `heron`. */
export function createUpgradeNote(version: string): string {
    return ["changed:", "    models:", `        - { id: heron, version: "${version}" }`, ""].join("\n");
}

export function createFleet(options: FleetOptions = {}): core.FleetDescription {
    const checked = release.checkNote(createFirstNote(options), "note.yaml", undefined);
    core.Debug.assert(checked.ok, "the fixture's note is valid");
    return checked.value.fleet;
}

export function createNote(generation: core.Generation, options: FleetOptions = {}): core.NoteInForce {
    return {
        generation,
        fleet: createFleet(options),
        source: createFirstNote(options),
        author: "amara",
        publishedAt: 1_700_000_000_000,
        nonce: `nonce-${generation}`,
    };
}

export function createTelemetry(clock: core.Clock, instance = "entry-0"): telemetry.Telemetry {
    return new telemetry.Telemetry({ instance, logLevel: "silent" }, clock);
}

export function hashToken(token: string): string {
    return crypto.createHash("sha256").update(token).digest("hex");
}

/** Formats each finding as `line:column code`. */
export function formatPlaces(findings: readonly core.Finding[]): readonly string[] {
    return findings.map(finding => {
        const place = finding.place.kind === core.FindingPlaceKind.File ? finding.place : { line: 0, column: 0 };
        return `${place.line}:${place.column} ${finding.code}`;
    });
}

function createEngineLine(index: number, options: FleetOptions): string {
    const checksFencing =
        typeof options.checksFencing === "function" ? options.checksFencing(index) : (options.checksFencing ?? true);
    const address = `url: "http://127.0.0.1:${9000 + index}", dataCentre: colombo-1`;
    return (
        `        - { id: engine-${index}, kind: Engine, ${address}, ` +
        `models: [heron], checksFencing: ${checksFencing} }`
    );
}
