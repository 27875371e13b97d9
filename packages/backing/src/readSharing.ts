interface ReadState {
    readonly current: Promise<unknown>;
    next?: Promise<unknown>;
}

/**
 * Coalesces identical reads. A reader never joins a read that was already sent, since that read may return the state from
 * before the reader's own last write. Instead it shares the next one, which starts when the current one ends. So there
 * are never more than two reads for a key, regardless of the number of readers.
 */
export class ReadCoalescer {
    private readonly readsByKey = new Map<string, ReadState>();

    /** Runs `read`, or joins an identical read that has not started yet and calls `onJoined`. */
    async run<T>(key: string, read: () => Promise<T>, onJoined: () => void): Promise<T> {
        const state = this.readsByKey.get(key);
        if (state === undefined) {
            return this.start(key, read);
        }
        if (state.next === undefined) {
            const begin = (): Promise<T> => this.start(key, read);
            state.next = state.current.then(begin, begin);
        }
        else {
            onJoined();
        }
        return state.next as Promise<T>;
    }

    private start<T>(key: string, read: () => Promise<T>): Promise<T> {
        const state: ReadState = { current: read() };
        this.readsByKey.set(key, state);
        const release = (): void => {
            if (state.next === undefined) {
                this.readsByKey.delete(key);
            }
        };
        state.current.then(release, release);
        return state.current as Promise<T>;
    }
}
