import * as workRuns from "../workRuns.js";
import * as cost from "./cost.js";
import type * as table from "./table.js";

/** Measures the key-value calls of the ledger and of jobs in virtual time, and their CPU cost. */

const LedgerInstances = 8;
const CallMilliseconds = 50;
const BookingsInFlight = [10, 40, 160, 400];
const BookingCounts = [1_000, 2_000, 4_000];
const ItemCounts = [2_000, 10_000, 20_000, 40_000];
const LargestJob = 380_000;

interface MeasuredRun<T> {
    readonly x: number;
    readonly run: T;
    /** CPU time of all instances, the stand-ins and the load generator together, which is an upper bound. */
    readonly microseconds: number;
}

export async function measureLedger(): Promise<table.SlopeTable> {
    const byLoad = await measureEach(BookingsInFlight, inFlight =>
        workRuns.runBookings(LedgerInstances, inFlight, CallMilliseconds, 1_500),
    );
    const byCount = await measureEach(BookingCounts, bookings =>
        workRuns.runBookings(LedgerInstances, 100, CallMilliseconds, bookings),
    );
    return {
        name: "ledger",
        slopes: [
            {
                cost: "key-value writes a second",
                load: "calls a second",
                points: byLoad.map(({ run }) => ({
                    x: (1_500 * 1_000) / run.virtualMilliseconds,
                    y: (run.writes * 1_000) / run.virtualMilliseconds,
                })),
                target: 1_000,
            },
            {
                cost: "key-value writes, 100 calls in flight",
                load: "calls made",
                points: byCount.map(({ x, run }) => ({ x, y: run.writes })),
                target: 4_000,
            },
            {
                cost: "bytes of values written, 100 calls in flight",
                load: "calls made",
                points: byCount.map(({ x, run }) => ({ x, y: run.writtenBytes })),
                target: 4_000,
            },
            {
                cost: "µs of CPU, stand-ins and load included, 100 calls in flight",
                load: "calls made",
                points: byCount.map(({ x, microseconds }) => ({ x, y: microseconds })),
                target: 4_000,
            },
        ],
    };
}

export async function measureJobs(): Promise<table.SlopeTable> {
    const runs = await measureEach(ItemCounts, items => workRuns.runJob(LedgerInstances, items));
    const createPoints = (cells: (measured: MeasuredRun<workRuns.JobRun>) => number): readonly table.Point[] =>
        runs.map(measured => ({ x: measured.x, y: cells(measured) }));
    return {
        name: "jobs",
        slopes: [
            {
                cost: "key-value writes of a job",
                load: "items",
                points: createPoints(({ run }) => run.writes),
                target: LargestJob,
            },
            {
                cost: "key-value reads of a job",
                load: "items",
                points: createPoints(({ run }) => run.reads),
                target: LargestJob,
            },
            {
                cost: "bytes of values written (300 in, 400 out an item)",
                load: "items",
                points: createPoints(({ run }) => run.writtenBytes),
                target: LargestJob,
            },
            {
                cost: "µs of CPU, stand-ins and load included",
                load: "items",
                points: createPoints(({ microseconds }) => microseconds),
                target: LargestJob,
            },
        ],
    };
}

async function measureEach<T>(
    loads: readonly number[],
    run: (load: number) => Promise<T>,
): Promise<readonly MeasuredRun<T>[]> {
    const measured: MeasuredRun<T>[] = [];
    for (const x of loads) {
        const before = process.cpuUsage();
        const result = await run(x);
        measured.push({ x, run: result, microseconds: cost.getMicroseconds(before) });
    }
    return measured;
}
