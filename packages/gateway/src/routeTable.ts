import * as decisions from "@boragedale/decisions";
import * as types from "./types.js";

/** Finds the route of a request: by host, then the longest prefix that begins the path. */
export class RouteTable {
    private readonly byHost = new Map<string, Map<string, types.Route>>();

    constructor(configuration: types.Configuration) {
        for (const route of configuration.routes) {
            const routes = this.byHost.get(route.host) ?? new Map<string, types.Route>();
            routes.set(route.prefix, route);
            this.byHost.set(route.host, routes);
        }
    }

    /** Whether submissions to the host may need no key. */
    hasPublicBatchRoute(host: string): boolean {
        const routes = this.findHost(host)?.values() ?? [];
        return [...routes].some(route => route.isPublic && route.kind === types.RouteKind.Batch);
    }

    /** One lookup for each slash of the path, longest first, however many routes there are. */
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
 * The service that runs a request of a route with several: by weight, from a hash of the request's own key, so that a
 * session stays with one service and a repeated request falls to the same one.
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
