interface ReadSlot {
    readonly current: Promise<unknown>;
    next?: Promise<unknown>;
}

/**
 * Joins identical reads. A reader never joins a read that has already left: that one may show the state from before
 * the reader's own last write. It shares the next one, which starts when the current one ends, so there are never more
 * than two for a key however many readers there are.
 */
export class ReadSharing {
    private readonly slots = new Map<string, ReadSlot>();

    /** Runs `read`, or joins the identical one that has not begun; `onShared` is called in that case. */
    async run<T>(key: string, read: () => Promise<T>, onShared: () => void): Promise<T> {
        const slot = this.slots.get(key);
        if (slot === undefined) {
            return this.start(key, read);
        }
        if (slot.next === undefined) {
            const begin = (): Promise<T> => this.start(key, read);
            slot.next = slot.current.then(begin, begin);
        }
        else {
            onShared();
        }
        return slot.next as Promise<T>;
    }

    private start<T>(key: string, read: () => Promise<T>): Promise<T> {
        const slot: ReadSlot = { current: read() };
        this.slots.set(key, slot);
        const release = (): void => {
            if (slot.next === undefined) {
                this.slots.delete(key);
            }
        };
        slot.current.then(release, release);
        return slot.current as Promise<T>;
    }
}
