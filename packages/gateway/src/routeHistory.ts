import type * as core from "@boragedale/core";
import type * as routeTable from "./routeTable.js";
import type * as types from "./types.js";

/** Time for which replaced routes are kept: as long as the origins of streams. */
const MemoryMilliseconds = 60_000;

interface ReplacedRoutes {
    readonly routes: routeTable.RouteTable;
    readonly replacedAt: core.MonotonicMilliseconds;
}

/**
 * The routes of the configurations that were in force a while ago. It answers the load of a configuration that moves routes to
 * other services while streams break: what two services write doesn't fit together either. Pure: time is passed in.
 */
export class RouteHistory {
    private replaced: readonly ReplacedRoutes[] = [];

    /** Records that a newer configuration has replaced the routes. */
    add(routes: routeTable.RouteTable, now: core.MonotonicMilliseconds): void {
        this.replaced = [...this.getRecent(now), { routes, replacedAt: now }];
    }

    /**
     * Whether a replaced route led requests to the target to another service. `choose` returns the service of such a request
     * on a route.
     */
    hasMoved(
        host: string,
        target: string,
        service: string,
        choose: (route: types.Route) => string | undefined,
        now: core.MonotonicMilliseconds,
    ): boolean {
        return this.getRecent(now).some(({ routes }) => {
            const route = routes.tryFind(host, target);
            return route !== undefined && choose(route) !== service;
        });
    }

    private getRecent(now: core.MonotonicMilliseconds): readonly ReplacedRoutes[] {
        return this.replaced.filter(({ replacedAt }) => now - replacedAt < MemoryMilliseconds);
    }
}
