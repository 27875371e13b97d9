/** Assertions about internal invariants. A failed assertion indicates a defect of this program, never invalid input. */

/** Throws if a switch over a tagged union or enum doesn't handle a member. */
export function assertNever(value: never, place: string): never {
    throw new Error(`${place}: impossible value ${JSON.stringify(value)}`);
}

/** Throws if the condition doesn't hold. */
export function assert(condition: boolean, text: string): asserts condition {
    if (!condition) {
        throw new Error(`assertion failed: ${text}`);
    }
}

/** Returns the value, or throws if it is undefined. For values that the calling code knows to be defined. */
export function checkDefined<T>(value: T | undefined, text: string): T {
    assert(value !== undefined, text);
    return value;
}
