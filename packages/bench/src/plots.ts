import type * as frontier from "./frontier.js";
import type * as report from "./report.js";
import * as run from "./run.js";

/** Creates plots as SVG text that a browser shows without scripts. */

const Width = 720;
const Height = 420;
const Margin = 60;
const Colours: Readonly<Record<run.PolicyKind, string>> = {
    [run.PolicyKind.NoBatch]: "#4477aa",
    [run.PolicyKind.NoPolicy]: "#cc6677",
    [run.PolicyKind.Policy]: "#228833",
};
const LineColours = ["#228833", "#4477aa", "#cc6677", "#aa3377"];

/** Online p99 time to first token of each scenario under each policy, on a logarithmic axis. */
export function createLatencyPlot(reports: readonly report.ScenarioReport[]): string {
    const values = reports.flatMap(entry => Object.values(entry.results).map(result => result.online.firstToken.p99));
    const highest = Math.log10(Math.max(10, ...values));
    const lowest = 1;
    const toY = (value: number): number =>
        Height - Margin - ((Math.log10(Math.max(10, value)) - lowest) / (highest - lowest)) * (Height - 2 * Margin);
    const groupWidth = (Width - 2 * Margin) / reports.length;
    const bars = reports.flatMap((entry, group) =>
        Object.values(run.PolicyKind).map((policy, index) => {
            const value = entry.results[policy].online.firstToken.p99;
            const x = Margin + group * groupWidth + (index * groupWidth) / 4;
            const y = toY(value);
            return createBar(x, y, groupWidth / 4 - 1, Height - Margin - y, Colours[policy], `${value.toFixed(0)} ms`);
        }),
    );
    const names = reports.map((entry, group) => {
        const x = Margin + (group + 0.4) * groupWidth;
        return `<text x="${x}" y="${Height - Margin + 12}" transform="rotate(20 ${x} ${Height - Margin + 12})">${entry.scenario}</text>`;
    });
    const keys = Object.values(run.PolicyKind).map(
        (policy, index) => `<text x="${Margin + index * 120}" y="40" fill="${Colours[policy]}">${policy}</text>`,
    );
    const marks = [10, 100, 1_000, 10_000].map(value => `<text x="5" y="${toY(value)}">${value} ms</text>`);
    return createSvg("Online first token, p99", [...bars, ...names, ...keys, ...marks]);
}

/** Harm against batch throughput as the weight varies, with one line per scenario. */
export function createFrontierPlot(lines: readonly frontier.FrontierLine[]): string {
    const highest = Math.max(1.5, ...lines.flatMap(line => line.points.map(point => point.harm)));
    const toX = (part: number): number => Margin + part * (Width - 2 * Margin);
    const toY = (harm: number): number => Height - Margin - ((harm - 0.9) / (highest - 0.9)) * (Height - 2 * Margin);
    const shapes = lines.flatMap((line, index) => {
        const colour = LineColours[index % LineColours.length]!;
        const path = line.points.map(point => `${toX(point.batchPart)},${toY(point.harm)}`).join(" ");
        return [
            `<polyline points="${path}" fill="none" stroke="${colour}"/>`,
            `<text x="${Margin + index * 150}" y="40" fill="${colour}">${line.scenario}</text>`,
            ...line.points.map(
                point =>
                    `<circle cx="${toX(point.batchPart)}" cy="${toY(point.harm)}" r="3" fill="${colour}"><title>weight ${point.batchWeight}</title></circle>` +
                    `<text x="${toX(point.batchPart) + 5}" y="${toY(point.harm) - 5}">${point.batchWeight}</text>`,
            ),
        ];
    });
    const marks = [1, 1.1, 1.2, 1.3, 1.4].map(harm => `<text x="10" y="${toY(harm)}">${harm}</text>`);
    const parts = [0, 0.25, 0.5, 0.75, 1].map(
        part => `<text x="${toX(part)}" y="${Height - Margin + 20}">${part}</text>`,
    );
    return createSvg("Harm to online p99 against part of the idle capacity used by batch", [
        ...shapes,
        ...marks,
        ...parts,
    ]);
}

function createBar(x: number, y: number, width: number, height: number, colour: string, title: string): string {
    return (
        `<rect x="${x.toFixed(1)}" y="${y.toFixed(1)}" width="${width.toFixed(1)}" height="${height.toFixed(1)}" ` +
        `fill="${colour}"><title>${title}</title></rect>`
    );
}

function createSvg(title: string, shapes: readonly string[]): string {
    return [
        `<svg xmlns="http://www.w3.org/2000/svg" width="${Width}" height="${Height}" font-family="sans-serif" font-size="11">`,
        `<rect width="100%" height="100%" fill="white"/>`,
        `<text x="${Margin}" y="20" font-size="14">${title}</text>`,
        ...shapes,
        "</svg>",
        "",
    ].join("\n");
}
