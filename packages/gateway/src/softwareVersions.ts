import * as crypto from "node:crypto";
import * as zod from "zod";
import type * as fleetView from "./fleetView.js";
import * as memberDirectory from "./memberDirectory.js";
import * as retainedRecords from "./retainedRecords.js";
import * as types from "./types.js";

/** Prefix of the records. They reach all members with the entries of the fleet. */
const VersionPrefix = `${memberDirectory.FleetPrefix}version/`;
/**
 * Time after which streams begin at a version although its record could not be written. Where a release has replaced most
 * upstreams, callers would be refused otherwise.
 */
const RecordWaitMilliseconds = 1_000;

const RecordSchema = zod.object({ service: zod.string(), version: zod.string() });
type VersionRecord = zod.infer<typeof RecordSchema>;

/**
 * Knows the software versions that may have begun the streams of a service. The metadata store has a record of each version,
 * written before streams begin at it and removed a minute after its last upstream has left.
 */
export class SoftwareVersions extends retainedRecords.RetainedRecords<VersionRecord> {
    constructor(parts: retainedRecords.RetainedRecordParts) {
        super(parts, VersionPrefix, RecordSchema);
    }

    /** The versions that may have begun a stream of the service, as far as this member knows. */
    getPossible(service: string): ReadonlySet<string> {
        const { view, clock } = this.parts;
        const since = clock.now() - retainedRecords.RetentionMilliseconds;
        const possible = new Set(view.getRecentVersions(service, since));
        for (const record of this.getRecords()) {
            if (record.service === service) {
                possible.add(record.version);
            }
        }
        return possible;
    }

    hasSeveral(service: string): boolean {
        return this.getPossible(service).size > 1;
    }

    /**
     * Reads the records from the store. Afterwards no version is missing at which another member may have begun a stream.
     * Returns whether the store has answered and has a record of the service.
     */
    async confirm(service: string): Promise<boolean> {
        return (await this.readAll()) && this.getRecords().some(record => record.service === service);
    }

    /** Those of the upstreams at which streams may begin: the ones whose version is recorded, unless there are none. */
    selectForNewStreams(usable: readonly fleetView.KnownUpstream[]): readonly fleetView.KnownUpstream[] {
        const recorded = usable.filter(({ entry }) => this.mayBegin(entry));
        return recorded.length > 0 ? recorded : usable;
    }

    protected override listCurrent(): ReadonlyMap<string, VersionRecord> {
        const current = new Map<string, VersionRecord>();
        for (const service of this.getStreamServices()) {
            for (const version of this.parts.view.getListedVersions(service)) {
                current.set(getKey(service, version), { service, version });
            }
        }
        return current;
    }

    private mayBegin({ service, softwareVersion }: types.UpstreamEntry): boolean {
        const key = getKey(service, softwareVersion);
        return this.isRecorded(key) || (this.tryGetWriteMilliseconds(key) ?? 0) >= RecordWaitMilliseconds;
    }

    /** Services with routes for streams. */
    private getStreamServices(): ReadonlySet<string> {
        const routes = this.parts.view.getConfiguration()?.routes ?? [];
        const streams = routes.filter(({ kind }) => kind === types.RouteKind.Stream);
        return new Set(streams.flatMap(({ services }) => services.map(({ service }) => service)));
    }
}

/** Keys by service and version. The choice of each stream's upstream needs those of all upstreams. */
const keys = new Map<string, Map<string, string>>();
const MaximumKeys = 1_000;

/** The names are hashed, because keys are limited to 200 bytes. The record has them in full. */
function getKey(service: string, version: string): string {
    const known = keys.get(service)?.get(version);
    if (known !== undefined) {
        return known;
    }
    const hash = crypto
        .createHash("sha256")
        .update(JSON.stringify([service, version]))
        .digest("hex");
    const key = VersionPrefix + hash.slice(0, 32);
    const versions = keys.get(service) ?? new Map<string, string>();
    if (versions.size >= MaximumKeys) {
        versions.clear();
    }
    keys.set(service, versions.set(version, key));
    return key;
}
