/** The result of checking one guarantee. `observed` describes what the check saw. */
export interface GuaranteeCheck {
    readonly guarantee: string;
    readonly observed: string;
    readonly held: boolean;
    readonly milliseconds: number;
}

const BarWidth = 30;

/** Collects the results of the checks and prints each as one line of a table. */
export class Report {
    private readonly steps: GuaranteeCheck[] = [];
    private lastTime = performance.now();

    add(guarantee: string, held: boolean, observed: string): void {
        const now = performance.now();
        this.steps.push({ guarantee, observed, held, milliseconds: Math.round(now - this.lastTime) });
        clearProgress();
        const mark = held ? "held  " : "BROKEN";
        const seconds = `${((now - this.lastTime) / 1_000).toFixed(1)} s`.padStart(7);
        console.log(`${mark}  ${seconds}  ${guarantee.padEnd(62)}  ${observed}`);
        this.lastTime = now;
    }

    isEveryGuaranteeHeld(): boolean {
        return this.steps.length > 0 && this.steps.every(step => step.held);
    }
}

/** Draws a progress bar if the output is a terminal, and does nothing otherwise. */
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
