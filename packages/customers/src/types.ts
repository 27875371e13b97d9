/** How many requests of a customer may run, over all instances together. */
export interface RateLimit {
    readonly requestsPerSecond: number;
    /** Requests that may run at once after a pause, besides the rate. */
    readonly burst: number;
}

export interface Customer {
    readonly name: string;
    /** SHA-256 of each key, in hexadecimal. */
    readonly keyDigests: readonly string[];
    /** 0 is the most urgent; goes before the priority of a route. Undefined: the route's holds. */
    readonly priority: number | undefined;
    /** Undefined: no limit. */
    readonly limit: RateLimit | undefined;
}

/**
 * What operators and callers agreed on about limits: in each sliding window, `requestsPerSecond` x window + `burst` requests of a
 * customer run, and at most a share and a number more.
 */
export interface QuotaTerms {
    readonly windowMilliseconds: number;
    /** Share of the limit by which it may be exceeded. */
    readonly overShare: number;
    /** Requests by which it may be exceeded besides. */
    readonly slack: number;
}
