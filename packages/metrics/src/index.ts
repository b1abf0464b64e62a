/** Counters, gauges and histograms, exported in the Prometheus text exposition format. */
import { serviceName } from "@linkfall/kernel";
import type { Histogram } from "hdr-histogram-js";
// The package's index is not imported because it creates number formatters when it is loaded.
import { constructorFromBucketSize } from "hdr-histogram-js/dist/JsHistogramFactory.js";

/** Label values of one series, such as `{outcome: "answered"}`. */
export type Labels = Readonly<Record<string, string>>;

/** Quantiles that are exported for each histogram. */
const exposedQuantiles = [0.5, 0.95, 0.99];
/** Largest value of a histogram: an hour in milliseconds. */
const maxTrackableValue = 3_600_000;

interface Family {
  readonly help: string;
  readonly type: "counter" | "gauge" | "summary";
  lines(): readonly string[];
}

/** The metrics of one process. */
export interface Metrics {
  /** Adds `by` to a counter. */
  count(name: string, help: string, labels?: Labels, by?: number): void;
  /** Registers a gauge that is read on each export. */
  gauge(name: string, help: string, read: () => number): void;
  /** Records a value in a histogram, rounded to an integer, in the unit given by the suffix of the name. */
  observe(name: string, help: string, value: number): void;
  /** Returns the current value of a counter, for tests and status pages. */
  counterValue(name: string, labels?: Labels): number;
  /** Formats all metrics as text. */
  expose(): string;
}

export const metricsName = serviceName<Metrics>("metrics");

function formatLabels(labels: Labels): string {
  const parts = Object.entries(labels).map(([name, value]) => `${name}=${JSON.stringify(value)}`);
  return parts.length === 0 ? "" : `{${parts.join(",")}}`;
}

/** A histogram and the sum of its values; the library's mean goes through all of its buckets. */
interface Summary {
  readonly histogram: Histogram;
  sum: number;
}

function formatSummary(name: string, { histogram, sum }: Summary): readonly string[] {
  const quantiles = exposedQuantiles.map(
    (quantile) =>
      `${name}{quantile="${quantile}"} ${histogram.getValueAtPercentile(quantile * 100)}`,
  );
  return [...quantiles, `${name}_sum ${sum}`, `${name}_count ${histogram.totalCount}`];
}

/** 32-bit counters are large enough for the lifetime of a process. */
const Histogram32 = constructorFromBucketSize(32);
const minTrackableValue = 1;
const significantDigits = 2;

function createHistogram(): Histogram {
  const histogram = new Histogram32(minTrackableValue, maxTrackableValue, significantDigits);
  histogram.autoResize = true;
  return histogram;
}

/** Creates an empty metrics registry. */
export function createMetrics(): Metrics {
  const families = new Map<string, Family>();
  const counters = new Map<string, Map<string, number>>();
  const summaries = new Map<string, Summary>();
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
      const summary = summaries.get(name) ?? { histogram: createHistogram(), sum: 0 };
      if (!summaries.has(name)) {
        summaries.set(name, summary);
        const lines = () => formatSummary(name, summary);
        families.set(name, { help, type: "summary", lines });
      }
      const recorded = Math.min(maxTrackableValue, Math.max(0, Math.round(value)));
      summary.histogram.recordValue(recorded);
      summary.sum += recorded;
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
