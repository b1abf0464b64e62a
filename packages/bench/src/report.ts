/** Tables and plots of what runs showed. */
import type { RunResult } from "./policy-run.js";

/** All runs of one variant. */
export interface VariantResults {
  readonly variant: string;
  readonly results: readonly RunResult[];
}

/** Heads of the table, with the row that Markdown wants below them. */
export const tableHead = [
  "| variant | attainment % | % per accelerator | moves | p50 ms | p95 ms | p99 ms | not run % |",
  `|${" --- |".repeat(8)}`,
].join("\n");

const mean = (list: readonly number[]) => list.reduce((sum, each) => sum + each, 0) / list.length;

function quantile(sorted: readonly number[], share: number): number {
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0;
}

/** Mean and spread over seeds, as `mean (least to most)`. */
function spread(list: readonly number[], digits: number): string {
  const show = (value: number) => value.toFixed(digits);
  return `${show(mean(list))} (${show(Math.min(...list))} to ${show(Math.max(...list))})`;
}

const percents = (results: readonly RunResult[], pick: (result: RunResult) => number) =>
  results.map((result) => 100 * pick(result));

/** One row of the table. */
export function tableRow({ variant, results }: VariantResults, accelerators: number): string {
  const latencies = results.flatMap((result) => [...result.latencies]).sort((a, b) => a - b);
  const attainment = percents(results, (result) => result.attainment);
  const cells = [
    variant,
    spread(attainment, 1),
    (mean(attainment) / accelerators).toFixed(3),
    spread(
      results.map((result) => result.moves),
      0,
    ),
    ...[0.5, 0.95, 0.99].map((share) => quantile(latencies, share).toFixed(0)),
    spread(
      percents(results, (result) => result.notRun),
      1,
    ),
  ];
  return `| ${cells.join(" | ")} |`;
}

const plot = { left: 220, width: 460, rowHeight: 26, top: 40, least: 80 } as const;

/** A bar for each variant's mean attainment, with a line from its least to its most. */
export function plotSvg(title: string, all: readonly VariantResults[]): string {
  const height = plot.top + all.length * plot.rowHeight + 30;
  const x = (percent: number) =>
    plot.left + (Math.max(0, percent - plot.least) / (100 - plot.least)) * plot.width;
  const bars = all.map(({ variant, results }, index) => {
    const values = percents(results, (result) => result.attainment);
    const y = plot.top + index * plot.rowHeight;
    const middle = y + plot.rowHeight / 2 - 3;
    const [low, high, average] = [Math.min(...values), Math.max(...values), mean(values)];
    return [
      `<text x="${plot.left - 8}" y="${middle + 4}" text-anchor="end">${variant}</text>`,
      `<rect x="${plot.left}" y="${y}" width="${x(average) - plot.left}" height="${plot.rowHeight - 6}" fill="#7a9cc6"/>`,
      `<line x1="${x(low)}" y1="${middle}" x2="${x(high)}" y2="${middle}" stroke="#222" stroke-width="2"/>`,
      `<text x="${plot.left + plot.width + 8}" y="${middle + 4}">${average.toFixed(1)}</text>`,
    ].join("\n");
  });
  const marks = [80, 85, 90, 95, 100].map(
    (percent) =>
      `<text x="${x(percent)}" y="${height - 8}" text-anchor="middle">${percent} %</text>` +
      `<line x1="${x(percent)}" y1="${plot.top - 6}" x2="${x(percent)}" y2="${height - 24}" stroke="#ccc"/>`,
  );
  return [
    `<svg xmlns="http://www.w3.org/2000/svg" width="760" height="${height}" font-family="sans-serif" font-size="12">`,
    `<rect width="760" height="${height}" fill="white"/>`,
    `<text x="${plot.left}" y="20" font-size="14">${title}: attainment, mean and spread over seeds</text>`,
    ...marks,
    ...bars,
    "</svg>\n",
  ].join("\n");
}
