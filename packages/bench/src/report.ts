/** Renders run results as Markdown tables and SVG plots. */
import type { RunResult } from "./policy-run.js";

/** Results of one variant, one per seed. */
export interface VariantResults {
  readonly variant: string;
  readonly results: readonly RunResult[];
}

/** Header of the Markdown table with its delimiter row. */
export const tableHeader = [
  "| variant | attainment % | % per accelerator | moves | p50 ms | p95 ms | p99 ms | not run % |",
  `|${" --- |".repeat(8)}`,
].join("\n");

const mean = (list: readonly number[]) => list.reduce((sum, each) => sum + each, 0) / list.length;

function quantile(sorted: readonly number[], fraction: number): number {
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * fraction))] ?? 0;
}

/** Formats mean and range as `mean (min to max)`. */
function formatSpread(list: readonly number[], digits: number): string {
  const format = (value: number) => value.toFixed(digits);
  return `${format(mean(list))} (${format(Math.min(...list))} to ${format(Math.max(...list))})`;
}

const toPercents = (results: readonly RunResult[], pick: (result: RunResult) => number) =>
  results.map((result) => 100 * pick(result));

/** Renders one row of the table. */
export function tableRow({ variant, results }: VariantResults, accelerators: number): string {
  const latencies = results.flatMap((result) => [...result.latencies]).sort((a, b) => a - b);
  const attainment = toPercents(results, (result) => result.attainment);
  const cells = [
    variant,
    formatSpread(attainment, 1),
    (mean(attainment) / accelerators).toFixed(3),
    formatSpread(
      results.map((result) => result.moves),
      0,
    ),
    ...[0.5, 0.95, 0.99].map((share) => quantile(latencies, share).toFixed(0)),
    formatSpread(
      toPercents(results, (result) => result.notRun),
      1,
    ),
  ];
  return `| ${cells.join(" | ")} |`;
}

const plotLayout = { left: 220, width: 460, rowHeight: 26, top: 40, minPercent: 80 } as const;

/** Renders a bar chart of each variant's mean attainment, with the range over seeds. */
export function plotSvg(title: string, variants: readonly VariantResults[]): string {
  const height = plotLayout.top + variants.length * plotLayout.rowHeight + 30;
  const x = (percent: number) =>
    plotLayout.left +
    (Math.max(0, percent - plotLayout.minPercent) / (100 - plotLayout.minPercent)) *
      plotLayout.width;
  const bars = variants.map(({ variant, results }, index) => {
    const values = toPercents(results, (result) => result.attainment);
    const y = plotLayout.top + index * plotLayout.rowHeight;
    const middle = y + plotLayout.rowHeight / 2 - 3;
    const [low, high, average] = [Math.min(...values), Math.max(...values), mean(values)];
    return [
      `<text x="${plotLayout.left - 8}" y="${middle + 4}" text-anchor="end">${variant}</text>`,
      `<rect x="${plotLayout.left}" y="${y}" width="${x(average) - plotLayout.left}" height="${plotLayout.rowHeight - 6}" fill="#7a9cc6"/>`,
      `<line x1="${x(low)}" y1="${middle}" x2="${x(high)}" y2="${middle}" stroke="#222" stroke-width="2"/>`,
      `<text x="${plotLayout.left + plotLayout.width + 8}" y="${middle + 4}">${average.toFixed(1)}</text>`,
    ].join("\n");
  });
  const axisLabels = [80, 85, 90, 95, 100].map(
    (percent) =>
      `<text x="${x(percent)}" y="${height - 8}" text-anchor="middle">${percent} %</text>` +
      `<line x1="${x(percent)}" y1="${plotLayout.top - 6}" x2="${x(percent)}" y2="${height - 24}" stroke="#ccc"/>`,
  );
  return [
    `<svg xmlns="http://www.w3.org/2000/svg" width="760" height="${height}" font-family="sans-serif" font-size="12">`,
    `<rect width="760" height="${height}" fill="white"/>`,
    `<text x="${plotLayout.left}" y="20" font-size="14">${title}: attainment, mean and range over seeds</text>`,
    ...axisLabels,
    ...bars,
    "</svg>\n",
  ].join("\n");
}
