import * as customers from "@boragedale/customers";
import type * as fleetView from "./fleetView.js";

export interface CallerIdentityParts {
    readonly view: fleetView.FleetView;
    /** Looks whether the operators have written a later configuration. */
    readonly refreshConfiguration: () => Promise<void>;
}

/** Whose request it is, as the configuration in force says. */
export class CallerIdentity {
    constructor(private readonly parts: CallerIdentityParts) {}

    /**
     * An unknown key may be one that was added a moment ago: the store is looked at before its caller is turned away for good.
     * `refreshConfiguration` bounds how often, so that wrong keys are no load on the store.
     */
    async identify(rawHeaders: readonly string[], isPublic: boolean): Promise<customers.Identity> {
        const identity = this.identifyNow(rawHeaders, isPublic);
        if (identity.kind !== customers.IdentityKind.UnknownKey) {
            return identity;
        }
        await this.parts.refreshConfiguration();
        return this.identifyNow(rawHeaders, isPublic);
    }

    private identifyNow(rawHeaders: readonly string[], isPublic: boolean): customers.Identity {
        const directory = this.parts.view.getCustomers();
        return directory?.identify(rawHeaders, isPublic) ?? { kind: customers.IdentityKind.Anonymous };
    }
}

export function isAccepted(identity: customers.Identity): boolean {
    return identity.kind === customers.IdentityKind.Customer || identity.kind === customers.IdentityKind.Anonymous;
}

/** The customer of an accepted request; undefined where it needed no key. */
export function tryGetCustomer(identity: customers.Identity): customers.Customer | undefined {
    return identity.kind === customers.IdentityKind.Customer ? identity.customer : undefined;
}
