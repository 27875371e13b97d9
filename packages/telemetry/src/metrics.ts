import * as hdr from "hdr-histogram-js";

/** Label names and values that distinguish the series of a metric. Each label must have few values, so never a request id. */
export type Labels = Readonly<Record<string, string>>;

const HighestTrackableMicroseconds = 3_600_000_000;
const ReportedQuantiles = [0.5, 0.95, 0.99];

interface Series<T> {
    readonly name: string;
    readonly labels: Labels;
    value: T;
}

/** Counters, gauges and latency histograms, exported in the Prometheus text format. */
export class Metrics {
    private readonly counters = new Map<string, Series<number>>();
    private readonly gauges = new Map<string, Series<() => number>>();
    private readonly histograms = new Map<string, Series<hdr.Histogram>>();

    count(name: string, labels: Labels = {}, amount = 1): void {
        const series = getOrCreate(this.counters, name, labels, () => 0);
        series.value += amount;
    }

    getCount(name: string, labels: Labels = {}): number {
        return this.counters.get(formatSeries(name, labels))?.value ?? 0;
    }

    /** Registers a gauge whose value is read each time the metrics are formatted. */
    observeGauge(name: string, labels: Labels, read: () => number): void {
        getOrCreate(this.gauges, name, labels, () => read).value = read;
    }

    /** Records a duration. It is stored in microseconds. */
    recordDuration(name: string, labels: Labels, milliseconds: number): void {
        const series = getOrCreate(this.histograms, name, labels, createHistogram);
        const microseconds = Math.round(Math.max(0, milliseconds) * 1_000);
        series.value.recordValue(Math.min(microseconds, HighestTrackableMicroseconds));
    }

    /** Adds the durations of one series to another of the same metric and removes the first. */
    mergeDurations(name: string, from: Labels, into: Labels): void {
        const key = formatSeries(name, from);
        const series = this.histograms.get(key);
        if (series !== undefined) {
            this.histograms.delete(key);
            getOrCreate(this.histograms, name, into, createHistogram).value.add(series.value);
        }
    }

    /** Returns a percentile (0 to 100) of the recorded durations, in milliseconds. */
    getPercentile(name: string, labels: Labels, percentile: number): number {
        const series = this.histograms.get(formatSeries(name, labels));
        return series === undefined ? 0 : series.value.getValueAtPercentile(percentile) / 1_000;
    }

    /** Formats all metrics in the Prometheus text format. */
    format(): string {
        const lines: string[] = [];
        for (const series of this.counters.values()) {
            lines.push(`${formatSeries(series.name, series.labels)} ${series.value}`);
        }
        for (const series of this.gauges.values()) {
            lines.push(`${formatSeries(series.name, series.labels)} ${series.value()}`);
        }
        for (const series of this.histograms.values()) {
            lines.push(...formatHistogram(series));
        }
        return lines.join("\n") + "\n";
    }
}

function createHistogram(): hdr.Histogram {
    return hdr.build({ highestTrackableValue: HighestTrackableMicroseconds, numberOfSignificantValueDigits: 2 });
}

function getOrCreate<T>(map: Map<string, Series<T>>, name: string, labels: Labels, create: () => T): Series<T> {
    const key = formatSeries(name, labels);
    let series = map.get(key);
    if (series === undefined) {
        series = { name, labels, value: create() };
        map.set(key, series);
    }
    return series;
}

function formatSeries(name: string, labels: Labels): string {
    const pairs = Object.entries(labels).map(([label, value]) => `${label}=${JSON.stringify(value)}`);
    return pairs.length === 0 ? name : `${name}{${pairs.join(",")}}`;
}

function formatHistogram(series: Series<hdr.Histogram>): string[] {
    const lines = ReportedQuantiles.map(quantile => {
        const labels = { ...series.labels, quantile: String(quantile) };
        return `${formatSeries(series.name, labels)} ${series.value.getValueAtPercentile(quantile * 100) / 1e6}`;
    });
    lines.push(`${formatSeries(`${series.name}_count`, series.labels)} ${series.value.totalCount}`);
    return lines;
}
