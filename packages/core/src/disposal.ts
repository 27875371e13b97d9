/**
 * Owns resources and disposes of them in the reverse order of their creation, so that no resource is disposed of while another
 * one still uses it. (Node 20 has no `AsyncDisposableStack`.)
 */
export class DisposalStack implements AsyncDisposable {
    private readonly resources: AsyncDisposable[] = [];

    use<T extends AsyncDisposable>(resource: T): T {
        this.resources.push(resource);
        return resource;
    }

    /** Registers an action to run on disposal. */
    defer(action: () => Promise<void> | void): void {
        this.resources.push({ [Symbol.asyncDispose]: async () => action() });
    }

    /** Disposes of all resources even if some fail, then throws the first failure. */
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
