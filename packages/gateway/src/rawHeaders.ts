import * as core from "@boragedale/core";

/** Returns the first value of a header. `rawHeaders` are names and values alternately, as received. */
export function tryGetHeader(rawHeaders: readonly string[], lowerCaseName: string): string | undefined {
    for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
        if (rawHeaders[index]?.toLowerCase() === lowerCaseName) {
            return rawHeaders[index + 1];
        }
    }
    return undefined;
}

export function getBodyFraming(status: number, rawHeaders: readonly string[]): core.BodyFraming {
    return core.getBodyFraming(status, name => tryGetHeader(rawHeaders, name));
}
