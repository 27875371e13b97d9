/** Measures the processor time and memory that this process uses for an operation. */

const Rounds = 3;

/**
 * Measures the processor time of one call of `work` in microseconds. Returns the minimum of three rounds, because other
 * processes that use the same caches can only increase it.
 */
export function measureMicroseconds(calls: number, work: (call: number) => void): number {
    const warmUp = Math.ceil(calls / 4);
    for (let call = 0; call < warmUp; call++) {
        work(call);
    }
    let minimum = Infinity;
    for (let round = 0; round < Rounds; round++) {
        const before = process.cpuUsage();
        for (let call = 0; call < calls; call++) {
            work(call);
        }
        minimum = Math.min(minimum, getMicroseconds(before) / calls);
    }
    return minimum;
}

/** Returns the processor time of all threads since `before`, in microseconds. */
export function getMicroseconds(before: NodeJS.CpuUsage): number {
    const { user, system } = process.cpuUsage(before);
    return user + system;
}

/** Measures the heap size of the value that `create` returns, in bytes. Needs `--expose-gc`. */
export function measureHeapBytes(create: () => unknown): number {
    const before = readHeapBytes();
    const retained = [create()];
    const bytes = readHeapBytes() - before;
    retained.pop();
    return bytes;
}

function readHeapBytes(): number {
    globalThis.gc?.();
    globalThis.gc?.();
    return process.memoryUsage().heapUsed;
}
