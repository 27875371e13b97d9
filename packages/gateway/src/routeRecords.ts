import * as crypto from "node:crypto";
import * as decisions from "@boragedale/decisions";
import * as zod from "zod";
import * as memberDirectory from "./memberDirectory.js";
import * as retainedRecords from "./retainedRecords.js";
import * as types from "./types.js";

/** Prefix of the records. They reach all members with the entries of the fleet. */
const RoutePrefix = `${memberDirectory.FleetPrefix}routes/`;

/** For each route of streams, the hash of its host and path prefix, and that of its services and their weights. */
const RecordSchema = zod.object({ routes: zod.array(zod.tuple([zod.number(), zod.number()])) });
type RouteRecord = zod.infer<typeof RecordSchema>;

/**
 * Knows the services to which routes led streams lately, also before this member started. What two services write doesn't fit
 * together, so a stream must not go on at the service to which its route has moved. The metadata store has a record of
 * the routes of each configuration that moves one. The routes that this member has seen itself are in `RouteHistory`.
 */
export class RouteRecords extends retainedRecords.RetainedRecords<RouteRecord> {
    private current: ReadonlyMap<string, RouteRecord> = new Map();
    private currentFor: types.Configuration | undefined;

    constructor(parts: retainedRecords.RetainedRecordParts) {
        super(parts, RoutePrefix, RecordSchema);
    }

    /** Reads the records from the store. Returns whether it has answered. */
    async confirm(): Promise<boolean> {
        return this.readAll();
    }

    /** Whether requests to the target were lately led by a route with other services or weights. */
    hasMoved(host: string, target: string, route: types.Route): boolean {
        const services = hashServices(route);
        const prefixes = listPrefixes(host, target);
        return this.getRecords().some(({ routes }) => {
            const recorded = new Map(routes);
            const matching = prefixes.find(prefix => recorded.has(prefix));
            return matching !== undefined && recorded.get(matching) !== services;
        });
    }

    protected override listCurrent(): ReadonlyMap<string, RouteRecord> {
        const configuration = this.parts.view.getConfiguration();
        if (configuration !== undefined && configuration !== this.currentFor) {
            const streams = configuration.routes.filter(({ kind }) => kind === types.RouteKind.Stream);
            const routes = streams.map(
                route => [hashPrefix(route.host, route.prefix), hashServices(route)] as [number, number],
            );
            routes.sort(([left], [right]) => left - right);
            const hash = crypto.createHash("sha256").update(JSON.stringify(routes)).digest("hex");
            this.current = new Map(routes.length === 0 ? [] : [[RoutePrefix + hash.slice(0, 32), { routes }]]);
            this.currentFor = configuration;
        }
        return this.current;
    }
}

function hashPrefix(host: string, prefix: string): number {
    return decisions.hashText(`${host.toLowerCase()} ${prefix}`);
}

function hashServices({ services }: types.Route): number {
    return decisions.hashText(JSON.stringify(services.map(({ service, weight }) => [service, weight])));
}

/** Hashes of the prefixes that may lead requests to the target, longest first. Routes may name the host without its port. */
function listPrefixes(host: string, target: string): readonly number[] {
    const [path = ""] = target.split("?");
    const hosts = [...new Set([host, host.replace(/:\d+$/, "")])];
    const prefixes: number[] = [];
    for (let end = path.lastIndexOf("/"); end >= 0; end = end === 0 ? -1 : path.lastIndexOf("/", end - 1)) {
        prefixes.push(...hosts.map(name => hashPrefix(name, path.slice(0, end + 1))));
    }
    return prefixes;
}
