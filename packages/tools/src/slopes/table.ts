import * as decisions from "@boragedale/decisions";

/** One measured point: a load or a size, and what it cost. */
export interface Point {
    readonly x: number;
    readonly y: number;
}

/** One measured cost over a growing load, and where the fitted line is read for the page. */
export interface Slope {
    /** What was measured, with its unit, such as `bytes of a note`. */
    readonly cost: string;
    /** What grew, such as `upstreams`. */
    readonly load: string;
    readonly points: readonly Point[];
    /** The load at which the capacity page reads the line. */
    readonly target: number;
}

/** The slopes of one role; `name` is that of its markers in the page. */
export interface SlopeTable {
    readonly name: string;
    readonly slopes: readonly Slope[];
}

interface FittedSlope {
    readonly line: decisions.Line;
    /** Part of the variance that the line explains, 0 to 1. */
    readonly explained: number;
    /** Largest distance of a point from the line, as a part of the largest value. */
    readonly largestResidual: number;
}

const Head = "| cost | grows with | points (load: cost) | base + slope | r² | largest residual | at the target |";
const Rule = "| --- | --- | --- | --- | --- | --- | --- |";

export function formatTable(table: SlopeTable): string {
    return [Head, Rule, ...table.slopes.map(formatRow)].join("\n");
}

/** Fits a straight line by least squares; needs three points of different loads to tell its own error. */
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

function formatRow(slope: Slope): string {
    const { line, explained, largestResidual } = fitSlope(slope.points);
    const points = slope.points.map(point => `${formatNumber(point.x)}: ${formatNumber(point.y)}`).join("; ");
    const cells = [
        slope.cost,
        slope.load,
        points,
        `${formatNumber(line.base)} + ${formatNumber(line.slope)} × load`,
        explained.toFixed(3),
        `${(largestResidual * 100).toFixed(1)}%`,
        `${formatNumber(getValueAt(line, slope.target))} at ${formatNumber(slope.target)}`,
    ];
    return `| ${cells.join(" | ")} |`;
}

function getValueAt(line: decisions.Line, x: number): number {
    return line.base + line.slope * x;
}

function sumSquares(values: readonly number[]): number {
    return values.reduce((sum, value) => sum + value * value, 0);
}

function formatNumber(value: number): string {
    return Number(value.toPrecision(4)).toLocaleString("en-GB", { maximumSignificantDigits: 4 });
}
