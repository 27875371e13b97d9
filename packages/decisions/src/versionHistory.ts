import type * as core from "@boragedale/core";

/** A software version of a service: the number of its upstreams, and when the last one left. */
interface KnownVersion {
    upstreams: number;
    lastSeenAt: core.MonotonicMilliseconds;
}

/**
 * The software versions that the upstreams of each service have, or had a while ago. It answers the load of a rollout, in
 * which versions come and go while streams of all of them break: a stream whose version isn't known may only go on if no
 * other version can have begun it. Pure: time is passed in.
 */
export class VersionHistory {
    private readonly services = new Map<string, Map<string, KnownVersion>>();

    /** Records that an upstream of the service has the version. */
    add(service: string, version: string): void {
        let versions = this.services.get(service);
        if (versions === undefined) {
            versions = new Map();
            this.services.set(service, versions);
        }
        const known = versions.get(version);
        if (known === undefined) {
            versions.set(version, { upstreams: 1, lastSeenAt: -Infinity });
            return;
        }
        known.upstreams++;
    }

    /** Records that an upstream of the service that had the version has left, or has another version now. */
    remove(service: string, version: string, now: core.MonotonicMilliseconds): void {
        const known = this.services.get(service)?.get(version);
        if (known !== undefined) {
            known.upstreams--;
            known.lastSeenAt = now;
        }
    }

    /** The versions of the service's upstreams. */
    getListed(service: string): ReadonlySet<string> {
        const versions = [...(this.services.get(service) ?? [])];
        return new Set(versions.filter(([, { upstreams }]) => upstreams > 0).map(([version]) => version));
    }

    /** The versions of the service's upstreams, and of those that have left since the given time. */
    getRecent(service: string, since: core.MonotonicMilliseconds): ReadonlySet<string> {
        const recent = new Set<string>();
        const versions = this.services.get(service);
        versions?.forEach(({ upstreams, lastSeenAt }, version) => {
            if (upstreams > 0 || lastSeenAt >= since) {
                recent.add(version);
                return;
            }
            versions.delete(version);
        });
        return recent;
    }
}
