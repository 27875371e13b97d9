import type * as core from "@boragedale/core";

/** Finds the route of a call: the longest matching path prefix, preferring a route that names the method over `*`. */
export function tryGetRoute(
    service: core.ServiceDescription,
    method: string,
    path: string,
): core.RouteDescription | undefined {
    const pathname = tryNormalize(path);
    if (pathname === undefined) {
        return undefined;
    }
    let best: core.RouteDescription | undefined;
    for (const route of service.routes) {
        const matches = (route.method === "*" || route.method === method) && matchesPrefix(pathname, route.path);
        if (matches && (best === undefined || isMoreSpecific(route, best))) {
            best = route;
        }
    }
    return best;
}

/**
 * Returns the decoded path, or undefined for a path that a service might resolve to another route
 * (`/cards/../bookings`, `//bookings`). Such a path could match a repeatable route and so bypass the ledger for a call
 * that may run only once.
 */
function tryNormalize(path: string): string | undefined {
    const pathname = path.split(/[?#]/, 1)[0] ?? path;
    let decoded: string;
    try {
        decoded = decodeURIComponent(pathname);
    }
    catch {
        return undefined;
    }
    const segments = decoded.split("/").slice(1);
    const isPlain = segments.every(
        (segment, index) => segment !== "." && segment !== ".." && (segment !== "" || index === segments.length - 1),
    );
    return isPlain && !decoded.includes("\\") ? decoded : undefined;
}

/** Compares whole segments: `/bookings` covers `/bookings/7` but not `/bookingsearch`. */
function matchesPrefix(path: string, prefix: string): boolean {
    const base = prefix.endsWith("/") ? prefix.slice(0, -1) : prefix;
    return path === base || path === prefix || path.startsWith(`${base}/`);
}

function isMoreSpecific(left: core.RouteDescription, right: core.RouteDescription): boolean {
    if (left.path.length !== right.path.length) {
        return left.path.length > right.path.length;
    }
    return left.method !== "*" && right.method === "*";
}
