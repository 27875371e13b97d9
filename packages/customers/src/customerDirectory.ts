import * as credentials from "./credentials.js";
import type * as types from "./types.js";

/** Finds the owner of a key by the key's digest. */
export class KeyIndex<T> {
    private readonly owners = new Map<string, T>();

    constructor(entries: Iterable<readonly [digest: string, owner: T]> = []) {
        for (const [digest, owner] of entries) {
            this.owners.set(digest, owner);
        }
    }

    tryFind(key: string): T | undefined {
        return this.tryFindDigest(credentials.digestKey(key));
    }

    tryFindDigest(digest: string): T | undefined {
        return this.owners.get(digest);
    }

    getDigests(): Iterable<string> {
        return this.owners.keys();
    }
}

export enum IdentityKind {
    /** The key of a customer. */
    Customer = "Customer",
    /** No usable key on a route that doesn't need one. */
    Anonymous = "Anonymous",
    /** No usable key on a route that needs one. */
    Unauthorized = "Unauthorized",
    /** A well-formed key that no customer has; a later configuration may contain it. */
    UnknownKey = "UnknownKey",
}

export type Identity =
    | { readonly kind: IdentityKind.Customer; readonly customer: types.Customer }
    | { readonly kind: IdentityKind.Anonymous | IdentityKind.Unauthorized | IdentityKind.UnknownKey };

/** Number of removed keys that are remembered; an older one is treated like a key that was never seen. */
const MaximumRetiredKeys = 10_000;

/** The customers of one configuration, and the keys of earlier configurations. */
export class CustomerDirectory {
    private readonly index: KeyIndex<types.Customer>;
    private readonly byName: ReadonlyMap<string, types.Customer>;
    private readonly retired: ReadonlySet<string>;

    constructor(customers: readonly types.Customer[], previous?: CustomerDirectory) {
        this.byName = new Map(customers.map(customer => [customer.name, customer]));
        this.index = new KeyIndex(
            customers.flatMap(customer => customer.keyDigests.map(digest => [digest, customer] as const)),
        );
        const retired = previous === undefined ? [] : [...previous.retired, ...previous.index.getDigests()];
        this.retired = new Set(
            retired.filter(digest => this.index.tryFindDigest(digest) === undefined).slice(-MaximumRetiredKeys),
        );
    }

    tryGet(name: string): types.Customer | undefined {
        return this.byName.get(name);
    }

    /**
     * Identifies whose request it is. `isPublic` means that the request needs no key; the key of a customer counts
     * nevertheless.
     */
    identify(rawHeaders: readonly string[], isPublic: boolean): Identity {
        const presented = credentials.readCredentials(rawHeaders);
        const withoutKey = isPublic ? IdentityKind.Anonymous : IdentityKind.Unauthorized;
        if (presented.kind !== credentials.CredentialKind.Token) {
            return { kind: withoutKey };
        }
        const digest = credentials.digestKey(presented.token);
        const customer = this.index.tryFindDigest(digest);
        if (customer !== undefined) {
            return { kind: IdentityKind.Customer, customer };
        }
        return { kind: isPublic || this.retired.has(digest) ? withoutKey : IdentityKind.UnknownKey };
    }
}
