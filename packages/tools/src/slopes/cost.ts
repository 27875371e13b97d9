/** Processor time and memory of this process around a piece of work. */

const Rounds = 3;

/**
 * Processor time of one call of `work`, in microseconds: the least of three rounds, since what other processes take
 * from the caches only ever adds to it.
 */
export function measureMicroseconds(calls: number, work: (call: number) => void): number {
    const warmUp = Math.ceil(calls / 4);
    for (let call = 0; call < warmUp; call++) {
        work(call);
    }
    let least = Infinity;
    for (let round = 0; round < Rounds; round++) {
        const before = process.cpuUsage();
        for (let call = 0; call < calls; call++) {
            work(call);
        }
        least = Math.min(least, getMicroseconds(before) / calls);
    }
    return least;
}

/** Processor time of all threads since `before`, in microseconds. */
export function getMicroseconds(before: NodeJS.CpuUsage): number {
    const { user, system } = process.cpuUsage(before);
    return user + system;
}

/** Bytes of heap that what `create` returns holds. Needs `--expose-gc`. */
export function measureHeapBytes(create: () => unknown): number {
    const before = readHeap();
    const held = [create()];
    const bytes = readHeap() - before;
    held.pop();
    return bytes;
}

function readHeap(): number {
    globalThis.gc?.();
    globalThis.gc?.();
    return process.memoryUsage().heapUsed;
}
