/** One promise that the demo shows, and whether it held. */
export interface Step {
    readonly promise: string;
    readonly seen: string;
    readonly held: boolean;
    readonly milliseconds: number;
}

const BarWidth = 30;

/** Gathers what happened and prints it as a short table. */
export class Report {
    private readonly steps: Step[] = [];
    private lastTime = performance.now();

    add(promise: string, held: boolean, seen: string): void {
        const now = performance.now();
        this.steps.push({ promise, seen, held, milliseconds: Math.round(now - this.lastTime) });
        clearProgress();
        const mark = held ? "held  " : "BROKEN";
        const seconds = `${((now - this.lastTime) / 1_000).toFixed(1)} s`.padStart(7);
        console.log(`${mark}  ${seconds}  ${promise.padEnd(62)}  ${seen}`);
        this.lastTime = now;
    }

    isEveryPromiseHeld(): boolean {
        return this.steps.length > 0 && this.steps.every(step => step.held);
    }
}

/** A progress bar on a terminal; nothing elsewhere. */
export function showProgress(label: string, done: number, total: number): void {
    if (!process.stdout.isTTY) {
        return;
    }
    const filled = total === 0 ? 0 : Math.round((done / total) * BarWidth);
    const bar = "#".repeat(filled).padEnd(BarWidth, ".");
    process.stdout.write(`\r${label} [${bar}] ${done}/${total}`);
}

function clearProgress(): void {
    if (process.stdout.isTTY) {
        process.stdout.write("\r\u001b[K");
    }
}
