import type * as core from "@boragedale/core";

/** The route that a call falls under: the longest path prefix, and of those the one that names the method. */
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
        const matches = (route.method === "*" || route.method === method) && isBelow(pathname, route.path);
        if (matches && (best === undefined || isMoreExact(route, best))) {
            best = route;
        }
    }
    return best;
}

/**
 * The path as the service will understand it. One that a service might read as another route (`/cards/../bookings`,
 * `//bookings`) is not routed at all: it could slip a call that may run once past the ledger under a repeatable route.
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

/** Whole segments only: `/bookings` covers `/bookings/7` but not `/bookingsearch`. */
function isBelow(path: string, prefix: string): boolean {
    const base = prefix.endsWith("/") ? prefix.slice(0, -1) : prefix;
    return path === base || path === prefix || path.startsWith(`${base}/`);
}

function isMoreExact(left: core.RouteDescription, right: core.RouteDescription): boolean {
    if (left.path.length !== right.path.length) {
        return left.path.length > right.path.length;
    }
    return left.method !== "*" && right.method === "*";
}
