/**
 * Bounds retries to a fraction of the traffic.
 *
 * An upstream, rack or data centre may fail while the fleet is busy. If each failed request were sent again, the load
 * would double at the very moment when capacity is lost, and the remaining upstreams would fail, too. A tenth of the
 * traffic is enough for the failures of an ordinary day (a few in a thousand) and can't overload a fleet that has a
 * tenth of its capacity to spare. The small reserve lets an instance with little traffic retry at all.
 */
export class RetryBudget {
    private balance: number;

    constructor(
        private readonly fraction = 0.1,
        private readonly reserve = 10,
    ) {
        this.balance = reserve;
    }

    /** Records a request that arrived for the first time. */
    onRequest(): void {
        this.balance = Math.min(this.reserve, this.balance + this.fraction);
    }

    /** Takes one retry from the budget; returns false if it is exhausted. */
    tryTake(): boolean {
        if (this.balance < 1) {
            return false;
        }
        this.balance--;
        return true;
    }
}
