/**
 * Options of a queue between the task that reads a socket and the one that consumes the values. The owner provides
 * backpressure: `onHigh` is called when the queued values reach `limit`, and `onLow` when they are down to half of it,
 * so that a slow consumer pauses the socket instead of filling memory.
 */
export interface EventChannelOptions {
    /** Total size of the queued values at which `onHigh` is called. */
    readonly limit: number;
    readonly onHigh: () => void;
    readonly onLow: () => void;
    /** Called when the consumer stops before the end. */
    readonly onAbandoned: () => void;
}

interface QueuedValue<T> {
    readonly value: T;
    readonly size: number;
}

export class EventChannel<T> implements AsyncIterableIterator<T> {
    private readonly queue: QueuedValue<T>[] = [];
    private head = 0;
    private queuedSize = 0;
    private pendingNext: ((result: IteratorResult<T>) => void) | undefined;
    private isAboveLimit = false;
    private hasEnded = false;

    constructor(private readonly options: EventChannelOptions) {}

    /** Adds a value with its size, in the unit of the limit. Values added after `end` are dropped. */
    push(value: T, size: number): void {
        if (this.hasEnded) {
            return;
        }
        if (this.pendingNext !== undefined) {
            this.resolvePendingNext({ done: false, value });
            return;
        }
        this.queue.push({ value, size });
        this.queuedSize += size;
        if (!this.isAboveLimit && this.queuedSize >= this.options.limit) {
            this.isAboveLimit = true;
            this.options.onHigh();
        }
    }

    /** Ends the channel. Queued values are still delivered. */
    end(): void {
        if (this.hasEnded) {
            return;
        }
        this.hasEnded = true;
        if (this.pendingNext !== undefined) {
            this.resolvePendingNext({ done: true, value: undefined });
        }
    }

    [Symbol.asyncIterator](): this {
        return this;
    }

    next(): Promise<IteratorResult<T>> {
        if (this.head < this.queue.length) {
            return Promise.resolve({ done: false, value: this.dequeue() });
        }
        if (this.hasEnded) {
            return Promise.resolve({ done: true, value: undefined });
        }
        return new Promise(resolve => {
            this.pendingNext = resolve;
        });
    }

    return(): Promise<IteratorResult<T>> {
        if (!this.hasEnded) {
            this.options.onAbandoned();
            this.end();
        }
        this.queue.length = 0;
        this.head = 0;
        return Promise.resolve({ done: true, value: undefined });
    }

    private resolvePendingNext(result: IteratorResult<T>): void {
        const resolve = this.pendingNext;
        this.pendingNext = undefined;
        resolve?.(result);
    }

    private dequeue(): T {
        const { value, size } = this.queue[this.head++] as QueuedValue<T>;
        this.queuedSize -= size;
        if (this.head === this.queue.length) {
            this.queue.length = 0;
            this.head = 0;
        }
        if (this.isAboveLimit && this.queuedSize * 2 <= this.options.limit) {
            this.isAboveLimit = false;
            this.options.onLow();
        }
        return value;
    }
}
