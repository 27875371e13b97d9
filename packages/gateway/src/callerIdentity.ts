import * as customers from "@boragedale/customers";
import type * as fleetView from "./fleetView.js";

/** Dependencies of `CallerIdentity`. */
export interface CallerIdentityParts {
    readonly view: fleetView.FleetView;
    /** Reads the configuration from the store again, in case the operators have changed it. */
    readonly refreshConfiguration: () => Promise<void>;
}

/** Identifies the customer of a request by the current configuration. */
export class CallerIdentity {
    constructor(private readonly parts: CallerIdentityParts) {}

    /**
     * Refreshes the configuration if the key is unknown: the key may have just been added, and callers don't retry after a
     * rejection. `refreshConfiguration` limits its own rate, so that wrong keys don't load the store.
     */
    async identify(rawHeaders: readonly string[], isPublic: boolean): Promise<customers.Identity> {
        const identity = this.identifyFromCurrent(rawHeaders, isPublic);
        if (identity.kind !== customers.IdentityKind.UnknownKey) {
            return identity;
        }
        await this.parts.refreshConfiguration();
        return this.identifyFromCurrent(rawHeaders, isPublic);
    }

    private identifyFromCurrent(rawHeaders: readonly string[], isPublic: boolean): customers.Identity {
        const directory = this.parts.view.getCustomers();
        return directory?.identify(rawHeaders, isPublic) ?? { kind: customers.IdentityKind.Anonymous };
    }
}

export function isAccepted(identity: customers.Identity): boolean {
    return identity.kind === customers.IdentityKind.Customer || identity.kind === customers.IdentityKind.Anonymous;
}

/** The customer of an accepted request; undefined if the request needed no key. */
export function tryGetCustomer(identity: customers.Identity): customers.Customer | undefined {
    return identity.kind === customers.IdentityKind.Customer ? identity.customer : undefined;
}
