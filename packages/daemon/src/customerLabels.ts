/** Label of the customers that have none of their own. */
export const OtherCustomers = "other";
/** Label of requests that need no key. */
export const NoCustomer = "none";

const MaximumLabels = 20;
/**
 * A customer gets the label of one with fewer requests only if it has this many times as many. Customers of about the
 * same size would otherwise replace each other with every request.
 */
const ReplacementFactor = 1.25;

/** Gives the customers with most requests a metric label of their own, so that the number of series is bounded. */
export class CustomerLabels {
    private readonly counts = new Map<string, number>();
    private readonly labelled = new Set<string>();

    /** `onReleased` is called with a customer that loses its label. */
    constructor(private readonly onReleased: (customer: string) => void) {}

    /** Counts a request of the customer and returns the label for it. */
    getLabel(customer: string): string {
        const count = (this.counts.get(customer) ?? 0) + 1;
        this.counts.set(customer, count);
        if (this.labelled.has(customer)) {
            return customer;
        }
        if (this.labelled.size >= MaximumLabels) {
            const smallest = this.findSmallest();
            if (smallest === undefined || count <= smallest.count * ReplacementFactor) {
                return OtherCustomers;
            }
            this.labelled.delete(smallest.customer);
            this.onReleased(smallest.customer);
        }
        this.labelled.add(customer);
        return customer;
    }

    private findSmallest(): { readonly customer: string; readonly count: number } | undefined {
        let smallest: { readonly customer: string; readonly count: number } | undefined;
        for (const customer of this.labelled) {
            const count = this.counts.get(customer) ?? 0;
            if (smallest === undefined || count < smallest.count) {
                smallest = { customer, count };
            }
        }
        return smallest;
    }
}
