/**
 * Owns resources and gives them back in the reverse order of their start, so that nothing is taken away from a part
 * that still uses it. (`AsyncDisposableStack` is not in Node 20.)
 */
export class DisposalStack implements AsyncDisposable {
    private readonly resources: AsyncDisposable[] = [];

    use<T extends AsyncDisposable>(resource: T): T {
        this.resources.push(resource);
        return resource;
    }

    /** Owns something whose end is an action. */
    defer(action: () => Promise<void> | void): void {
        this.resources.push({ [Symbol.asyncDispose]: async () => action() });
    }

    /** Gives back everything even when some of it fails; the first failure is thrown at the end. */
    async [Symbol.asyncDispose](): Promise<void> {
        const failures: unknown[] = [];
        for (let resource = this.resources.pop(); resource !== undefined; resource = this.resources.pop()) {
            try {
                await resource[Symbol.asyncDispose]();
            }
            catch (failure) {
                failures.push(failure);
            }
        }
        if (failures.length > 0) {
            throw failures[0];
        }
    }
}
