/** Measures processor time and memory of this process, and prints table rows. */

export function printLine(text: string): void {
  process.stdout.write(`${text}\n`);
}

/** Heap size in bytes; collects garbage first if Node.js runs with --expose-gc. */
export function heapUsedBytes(): number {
  globalThis.gc?.();
  return process.memoryUsage().heapUsed;
}

/** Mean processor time of a call in microseconds, over `count` sequential calls. */
export async function cpuMicrosecondsPerCall(
  count: number,
  act: (index: number) => unknown,
): Promise<number> {
  const start = process.cpuUsage();
  for (let index = 0; index < count; index++) await act(index);
  const used = process.cpuUsage(start);
  return (used.user + used.system) / count;
}

/** Prints a Markdown table row. */
export function printRow(what: string, size: string, value: string): void {
  printLine(`| ${what} | ${size} | ${value} |`);
}

export const formatMicroseconds = (value: number) => `${value.toFixed(1)} us`;
export const formatKilobytes = (value: number) => `${(value / 1_024).toFixed(2)} KB`;
