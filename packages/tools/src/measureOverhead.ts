import * as measuredInstance from "./overhead/measuredInstance.js";

/**
 * Measures the overhead that an instance adds to requests, compared with sending them directly to the engine:
 * `npm run measure:overhead`. Everything runs as separate processes on loopback. Direct runs and runs through the
 * instance alternate, so that other load on the machine affects both.
 */

interface Scenario {
    readonly name: string;
    readonly tasks: number;
    readonly tokens: number;
    readonly gapMilliseconds: number;
}

const Scenarios: readonly Scenario[] = [
    { name: "one token, 1 at a time", tasks: 1, tokens: 1, gapMilliseconds: -1 },
    { name: "8 tokens, 64 at a time", tasks: 64, tokens: 8, gapMilliseconds: -1 },
    { name: "100 tokens every 31 ms, 200 at a time", tasks: 200, tokens: 100, gapMilliseconds: 31 },
    { name: "400 tokens at once, 64 at a time", tasks: 64, tokens: 400, gapMilliseconds: -1 },
    { name: "400 tokens one by one, 64 at a time", tasks: 64, tokens: 400, gapMilliseconds: 0 },
];
const Seconds = Number(process.env["MEASURE_SECONDS"] ?? 6);

await using instance = await measuredInstance.MeasuredInstance.start();
const rows: Readonly<Record<string, string | number>>[] = [];
for (const scenario of Scenarios) {
    const settings = { ...scenario, seconds: Seconds };
    console.error(scenario.name);
    rows.push(formatRow(scenario, "straight", await instance.measureEngine(settings)));
    rows.push(formatRow(scenario, "instance", await instance.measureInstance(settings)));
}
console.table(rows);

function formatRow(
    scenario: Scenario,
    way: string,
    row: measuredInstance.MeasuredLoad,
): Readonly<Record<string, string | number>> {
    return {
        scenario: scenario.name,
        way,
        "requests/s": row.requestsPerSecond,
        "tokens/s": row.tokensPerSecond,
        errors: row.errors,
        "first token p50 ms": row.firstTokenP50,
        "p99 ms": row.firstTokenP99,
        "token p50 ms": row.tokenP50,
        "token p99 ms": row.tokenP99,
        "instance cores": Number(row.cores.toFixed(2)),
    };
}
