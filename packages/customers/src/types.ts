/** How many requests of a customer may run, over all instances together. */
export interface RateLimit {
    readonly requestsPerSecond: number;
    /** Requests that may run at once after a pause, in addition to the rate. */
    readonly burst: number;
}

export interface Customer {
    readonly name: string;
    /** SHA-256 of each key, in hexadecimal. */
    readonly keyDigests: readonly string[];
    /** 0 is the most urgent. Takes precedence over the priority of a route, which applies if this is undefined. */
    readonly priority: number | undefined;
    /** Undefined if there is no limit. */
    readonly limit: RateLimit | undefined;
}

/**
 * What operators and callers have agreed on about limits: in each sliding window, `requestsPerSecond` × window +
 * `burst` requests of a customer may run, exceeded by at most a share plus a number of requests.
 */
export interface QuotaTerms {
    readonly windowMilliseconds: number;
    /** Share by which the limit may be exceeded. */
    readonly overShare: number;
    /** Requests by which the limit may be exceeded in addition. */
    readonly slack: number;
}
