/**
 * A queue between the task that reads a socket and the one that consumes what was read. It is bounded by its owner:
 * `onHigh` is called when values of `limit` in all wait and `onLow` once half of it is taken, so that a caller who
 * reads slowly stops the socket instead of filling memory.
 */
export interface EventChannelOptions {
    /** Sum of the sizes that may wait before `onHigh` is called. */
    readonly limit: number;
    readonly onHigh: () => void;
    readonly onLow: () => void;
    /** The consumer stopped before the end. */
    readonly onAbandoned: () => void;
}

interface Waiting<T> {
    readonly value: T;
    readonly size: number;
}

export class EventChannel<T> implements AsyncIterableIterator<T> {
    private readonly waiting: Waiting<T>[] = [];
    private head = 0;
    private waitingSize = 0;
    private consumer: ((result: IteratorResult<T>) => void) | undefined;
    private isHigh = false;
    private hasEnded = false;

    constructor(private readonly options: EventChannelOptions) {}

    /** Adds a value of a size in whatever unit the limit has; after `end` it is dropped. */
    push(value: T, size: number): void {
        if (this.hasEnded) {
            return;
        }
        if (this.consumer !== undefined) {
            this.resolveConsumer({ done: false, value });
            return;
        }
        this.waiting.push({ value, size });
        this.waitingSize += size;
        if (!this.isHigh && this.waitingSize >= this.options.limit) {
            this.isHigh = true;
            this.options.onHigh();
        }
    }

    /** No value follows; those that wait are still delivered. */
    end(): void {
        if (this.hasEnded) {
            return;
        }
        this.hasEnded = true;
        if (this.consumer !== undefined) {
            this.resolveConsumer({ done: true, value: undefined });
        }
    }

    [Symbol.asyncIterator](): this {
        return this;
    }

    next(): Promise<IteratorResult<T>> {
        if (this.head < this.waiting.length) {
            return Promise.resolve({ done: false, value: this.takeWaiting() });
        }
        if (this.hasEnded) {
            return Promise.resolve({ done: true, value: undefined });
        }
        return new Promise(resolve => {
            this.consumer = resolve;
        });
    }

    return(): Promise<IteratorResult<T>> {
        if (!this.hasEnded) {
            this.options.onAbandoned();
            this.end();
        }
        this.waiting.length = 0;
        this.head = 0;
        return Promise.resolve({ done: true, value: undefined });
    }

    private resolveConsumer(result: IteratorResult<T>): void {
        const resolve = this.consumer;
        this.consumer = undefined;
        resolve?.(result);
    }

    private takeWaiting(): T {
        const { value, size } = this.waiting[this.head++] as Waiting<T>;
        this.waitingSize -= size;
        if (this.head === this.waiting.length) {
            this.waiting.length = 0;
            this.head = 0;
        }
        if (this.isHigh && this.waitingSize * 2 <= this.options.limit) {
            this.isHigh = false;
            this.options.onLow();
        }
        return value;
    }
}
