import * as decisions from "@boragedale/decisions";

/** One measured point: `x` is a load or a size, `y` its cost. */
export interface Point {
    readonly x: number;
    readonly y: number;
}

/** The points of one cost measured at increasing loads, to which a line is fitted. */
export interface Slope {
    /** The measured quantity with its unit, such as `bytes of a note`. */
    readonly cost: string;
    /** The quantity that increases, such as `upstreams`. */
    readonly load: string;
    readonly points: readonly Point[];
    /** The load for which the capacity page states the value of the line. */
    readonly target: number;
}

/** The slopes of one component. `name` is the name in the markers of the page. */
export interface SlopeTable {
    readonly name: string;
    readonly slopes: readonly Slope[];
}

interface FittedSlope {
    readonly line: decisions.Line;
    /** The fraction of the variance that the line explains, from 0 to 1. */
    readonly explained: number;
    /** The largest distance of a point from the line, as a fraction of the largest value. */
    readonly largestResidual: number;
}

const HeaderCells = [
    "cost",
    "grows with",
    "points (load: cost)",
    "base + slope",
    "r²",
    "largest residual",
    "at the target",
];

/** Formats a Markdown table. Columns are padded as the formatter pads them, so that the page passes the format check. */
export function formatTable(table: SlopeTable): string {
    const rows = [HeaderCells, ...table.slopes.map(createCells)];
    const widths = HeaderCells.map((...[, column]: [unknown, number]) =>
        Math.max(...rows.map(row => row[column]?.length ?? 0)),
    );
    const rule = `| ${widths.map(width => "-".repeat(width)).join(" | ")} |`;
    const [head, ...body] = rows.map(row => formatRow(row, widths));
    return [head, rule, ...body].join("\n");
}

function formatRow(cells: readonly string[], widths: readonly number[]): string {
    return `| ${cells.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join(" | ")} |`;
}

/** Fits a line by least squares. Needs three points of different loads, because fewer leave no error to estimate. */
export function fitSlope(points: readonly Point[]): FittedSlope {
    const fit = new decisions.LinearFit(1);
    points.forEach(point => fit.add(point.x, point.y));
    const line = fit.fit();
    if (line === undefined || points.length < 3) {
        throw new Error("A slope needs at least three points of different loads.");
    }
    const residuals = points.map(point => point.y - getValueAt(line, point.x));
    const total = sumSquares(points.map(point => point.y - fit.getMeanY()));
    return {
        line,
        explained: total === 0 ? 1 : 1 - sumSquares(residuals) / total,
        largestResidual: Math.max(...residuals.map(Math.abs)) / Math.max(...points.map(point => Math.abs(point.y))),
    };
}

function createCells(slope: Slope): readonly string[] {
    const { line, explained, largestResidual } = fitSlope(slope.points);
    const points = slope.points.map(point => `${formatNumber(point.x)}: ${formatNumber(point.y)}`).join("; ");
    return [
        slope.cost,
        slope.load,
        points,
        `${formatNumber(line.base)} + ${formatNumber(line.slope)} × load`,
        explained.toFixed(3),
        `${(largestResidual * 100).toFixed(1)}%`,
        `${formatNumber(getValueAt(line, slope.target))} at ${formatNumber(slope.target)}`,
    ];
}

function getValueAt(line: decisions.Line, x: number): number {
    return line.base + line.slope * x;
}

function sumSquares(values: readonly number[]): number {
    return values.reduce((sum, value) => sum + value * value, 0);
}

function formatNumber(value: number): string {
    // Rounding errors of the fit would turn an exact zero into a tiny number.
    return Math.abs(value) < 1e-9
        ? "0"
        : Number(value.toPrecision(4)).toLocaleString("en-GB", { maximumSignificantDigits: 4 });
}
