/** Plain tables with aligned columns. */

export type TableRow = readonly (string | number)[];

const gap = "  ";

/** Lays rows out under their heads. */
export function renderTable(heads: readonly string[], rows: readonly TableRow[]): string {
  const lines = [heads, ...rows].map((row) => row.map(String));
  const widths = heads.map((_, column) => Math.max(...lines.map((line) => line[column].length)));
  const pad = (line: readonly string[]) =>
    line
      .map((cell, column) => cell.padEnd(widths[column]))
      .join(gap)
      .trimEnd();
  return `${lines.map(pad).join("\n")}\n`;
}
