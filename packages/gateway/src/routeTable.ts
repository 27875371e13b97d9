import * as decisions from "@boragedale/decisions";
import * as types from "./types.js";

/** Finds the route of a request by host and longest matching path prefix. */
export class RouteTable {
    private readonly byHost = new Map<string, Map<string, types.Route>>();

    constructor(configuration: types.Configuration) {
        for (const route of configuration.routes) {
            const routes = this.byHost.get(route.host) ?? new Map<string, types.Route>();
            routes.set(route.prefix, route);
            this.byHost.set(route.host, routes);
        }
    }

    /** Whether the host has a batch route that needs no key. */
    hasPublicBatchRoute(host: string): boolean {
        const routes = this.findHost(host)?.values() ?? [];
        return [...routes].some(route => route.isPublic && route.kind === types.RouteKind.Batch);
    }

    /** Tries each prefix of the path, longest first. The cost depends on the path's depth, not on the number of routes. */
    tryFind(host: string, target: string): types.Route | undefined {
        const routes = this.findHost(host);
        if (routes === undefined) {
            return undefined;
        }
        const query = target.indexOf("?");
        const path = query < 0 ? target : target.slice(0, query);
        for (let end = path.lastIndexOf("/"); end >= 0; end = end === 0 ? -1 : path.lastIndexOf("/", end - 1)) {
            const route = routes.get(path.slice(0, end + 1));
            if (route !== undefined) {
                return route;
            }
        }
        return undefined;
    }

    private findHost(host: string): ReadonlyMap<string, types.Route> | undefined {
        const lower = host.toLowerCase();
        return this.byHost.get(lower) ?? this.byHost.get(stripPort(lower));
    }
}

function stripPort(host: string): string {
    const colon = host.lastIndexOf(":");
    return colon < 0 ? host : host.slice(0, colon);
}

/**
 * Chooses one of the route's services by weight. The choice depends only on the hash of `key`, so a session stays with one
 * service and a repeated request goes to the same one.
 */
export function chooseService(route: types.Route, key: string): string | undefined {
    const total = route.services.reduce((sum, part) => sum + part.weight, 0);
    if (route.services.length <= 1 || total <= 0) {
        return route.services[0]?.service;
    }
    let point = decisions.hashToUnit(key) * total;
    for (const part of route.services) {
        point -= part.weight;
        if (point < 0) {
            return part.service;
        }
    }
    return route.services.at(-1)?.service;
}
