/**
 * Bounds retries to a part of the traffic.
 *
 * Load: an upstream, rack or data centre that fails while the fleet is busy. Harm prevented: each failed request being
 * sent again doubles the load at the very moment when capacity is lost, and the rest fails too. A tenth of the traffic
 * is enough for the failures of an ordinary day (a few in a thousand) and can't tip a fleet with a tenth to spare. The
 * small reserve lets an instance with little traffic retry at all.
 */
export class RetryBudget {
    private balance: number;

    constructor(
        private readonly fraction = 0.1,
        private readonly reserve = 10,
    ) {
        this.balance = reserve;
    }

    /** A request came in for the first time. */
    onRequest(): void {
        this.balance = Math.min(this.reserve, this.balance + this.fraction);
    }

    /** True when a request may be sent again. */
    tryTake(): boolean {
        if (this.balance < 1) {
            return false;
        }
        this.balance--;
        return true;
    }
}
