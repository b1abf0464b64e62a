/** Counters, gauges and histograms, shown in the usual text exposition format. */
import { serviceName } from "@linkfall/kernel";
import type { Histogram } from "hdr-histogram-js";
// Not through the package's index, which makes number formatters for log files as it is loaded.
import { constructorFromBucketSize } from "hdr-histogram-js/dist/JsHistogramFactory.js";

/** Label values of one series, such as `{outcome: "answered"}`. */
export type Labels = Readonly<Record<string, string>>;

/** Quantiles that are shown of each histogram. */
const exposedQuantiles = [0.5, 0.95, 0.99];
/** Histograms hold whole numbers up to this (an hour in milliseconds) with two digits. */
const maxTrackableValue = 3_600_000;

interface Family {
  readonly help: string;
  readonly type: "counter" | "gauge" | "summary";
  lines(): readonly string[];
}

/** Holds the metrics of one process. */
export interface Metrics {
  /** Adds to a counter. */
  count(name: string, help: string, labels?: Labels, by?: number): void;
  /** Registers a gauge that is read when metrics are shown. */
  gauge(name: string, help: string, read: () => number): void;
  /** Records a value in a histogram; whole numbers of the unit that the name ends with. */
  observe(name: string, help: string, value: number): void;
  /** Current value of a counter, for tests and status pages. */
  counterValue(name: string, labels?: Labels): number;
  /** All metrics as text. */
  expose(): string;
}

export const metricsName = serviceName<Metrics>("metrics");

function formatLabels(labels: Labels): string {
  const parts = Object.entries(labels).map(([name, value]) => `${name}=${JSON.stringify(value)}`);
  return parts.length === 0 ? "" : `{${parts.join(",")}}`;
}

function formatHistogram(name: string, histogram: Histogram): readonly string[] {
  const quantiles = exposedQuantiles.map(
    (quantile) =>
      `${name}{quantile="${quantile}"} ${histogram.getValueAtPercentile(quantile * 100)}`,
  );
  const sum = Math.round(histogram.mean * histogram.totalCount);
  return [...quantiles, `${name}_sum ${sum || 0}`, `${name}_count ${histogram.totalCount}`];
}

/** Counters of 32 bits: no process lives long enough to fill one. */
const Histogram32 = constructorFromBucketSize(32);
const minTrackableValue = 1;
const significantDigits = 2;

function createHistogram(): Histogram {
  const histogram = new Histogram32(minTrackableValue, maxTrackableValue, significantDigits);
  histogram.autoResize = true;
  return histogram;
}

/** Creates an empty set of metrics. */
export function createMetrics(): Metrics {
  const families = new Map<string, Family>();
  const counters = new Map<string, Map<string, number>>();
  const histograms = new Map<string, Histogram>();
  return {
    count(name, help, labels = {}, by = 1) {
      const series = counters.get(name) ?? new Map<string, number>();
      if (!counters.has(name)) {
        counters.set(name, series);
        const lines = () => [...series].map(([label, value]) => `${name}${label} ${value}`);
        families.set(name, { help, type: "counter", lines });
      }
      const label = formatLabels(labels);
      series.set(label, (series.get(label) ?? 0) + by);
    },
    gauge(name, help, read) {
      families.set(name, { help, type: "gauge", lines: () => [`${name} ${read()}`] });
    },
    observe(name, help, value) {
      const histogram = histograms.get(name) ?? createHistogram();
      if (!histograms.has(name)) {
        histograms.set(name, histogram);
        families.set(name, {
          help,
          type: "summary",
          lines: () => formatHistogram(name, histogram),
        });
      }
      histogram.recordValue(Math.min(maxTrackableValue, Math.max(0, Math.round(value))));
    },
    counterValue: (name, labels = {}) => counters.get(name)?.get(formatLabels(labels)) ?? 0,
    expose() {
      const blocks = [...families].map(([name, family]) =>
        [`# HELP ${name} ${family.help}`, `# TYPE ${name} ${family.type}`, ...family.lines()].join(
          "\n",
        ),
      );
      return `${blocks.join("\n")}\n`;
    },
  };
}
