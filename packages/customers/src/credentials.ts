import * as crypto from "node:crypto";

export enum CredentialKind {
    Missing = "Missing",
    /** Not exactly one bearer token: another scheme, no token, or several headers, which would be ambiguous. */
    Malformed = "Malformed",
    Token = "Token",
}

/** What a request's `Authorization` header contains (RFC 6750, 2.1). */
export type Credentials =
    | { readonly kind: CredentialKind.Missing | CredentialKind.Malformed }
    | { readonly kind: CredentialKind.Token; readonly token: string };

const HeaderName = "authorization";
const HeaderLength = HeaderName.length;
const BearerPattern = /^Bearer[ \t]+(\S+)$/i;

/** `rawHeaders` contains names and values alternately, in the order of arrival. */
export function readCredentials(rawHeaders: readonly string[]): Credentials {
    let value: string | undefined;
    for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
        const name = rawHeaders[index] ?? "";
        if (name.length !== HeaderLength || name.toLowerCase() !== HeaderName) {
            continue;
        }
        if (value !== undefined) {
            return { kind: CredentialKind.Malformed };
        }
        value = rawHeaders[index + 1] ?? "";
    }
    if (value === undefined) {
        return { kind: CredentialKind.Missing };
    }
    const token = tryGetBearerToken(value);
    return token === undefined ? { kind: CredentialKind.Malformed } : { kind: CredentialKind.Token, token };
}

/** The token in the value of an `Authorization` header; the scheme is compared case-insensitively. */
export function tryGetBearerToken(value: string | undefined): string | undefined {
    return BearerPattern.exec(value ?? "")?.[1];
}

/** The form in which keys are stored and looked up: hexadecimal SHA-256. */
export function digestKey(key: string): string {
    return crypto.createHash("sha256").update(key).digest("hex");
}

/** Compares in a time that doesn't depend on where the texts differ. */
export function isSameSecret(left: string, right: string): boolean {
    return crypto.timingSafeEqual(Buffer.from(digestKey(left)), Buffer.from(digestKey(right)));
}
