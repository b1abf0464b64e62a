/** Plain-text tables with aligned columns. */

export type TableRow = readonly (string | number)[];

const columnSeparator = "  ";

/** Renders rows below their headers, one line each. */
export function renderTable(headers: readonly string[], rows: readonly TableRow[]): string {
  const lines = [headers, ...rows].map((row) => row.map(String));
  const widths = headers.map((_, column) => Math.max(...lines.map((line) => line[column].length)));
  const formatLine = (line: readonly string[]) =>
    line
      .map((cell, column) => cell.padEnd(widths[column]))
      .join(columnSeparator)
      .trimEnd();
  return `${lines.map(formatLine).join("\n")}\n`;
}
