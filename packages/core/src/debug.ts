/** Assertions on states that can't occur. A failed one is a defect of this program, never of its input. */

/** Throws when a tagged union or enum has a member that a switch forgot. */
export function assertNever(value: never, place: string): never {
    throw new Error(`${place}: impossible value ${JSON.stringify(value)}`);
}

/** Throws when a condition that the code relies on doesn't hold. */
export function assert(condition: boolean, text: string): asserts condition {
    if (!condition) {
        throw new Error(`assertion failed: ${text}`);
    }
}

/** Returns the value, or throws when it is undefined although the code has made sure that it is there. */
export function checkDefined<T>(value: T | undefined, text: string): T {
    assert(value !== undefined, text);
    return value;
}
