/** Measures processor time and memory of this process, and prints rows of a table. */

/** Prints a line. */
export function printLine(text: string): void {
  process.stdout.write(`${text}\n`);
}

/** Bytes in use after a collection, where Node.js was started with --expose-gc. */
export function heapUsedBytes(): number {
  globalThis.gc?.();
  return process.memoryUsage().heapUsed;
}

/** Processor time of one call, in microseconds, over `count` calls. */
export async function cpuMicrosecondsPerCall(
  count: number,
  act: (index: number) => unknown,
): Promise<number> {
  const start = process.cpuUsage();
  for (let index = 0; index < count; index++) await act(index);
  const used = process.cpuUsage(start);
  return (used.user + used.system) / count;
}

/** Prints one row. */
export function printRow(what: string, size: string, value: string): void {
  printLine(`| ${what} | ${size} | ${value} |`);
}

export const formatMicroseconds = (value: number) => `${value.toFixed(1)} us`;
export const formatKilobytes = (value: number) => `${(value / 1_024).toFixed(2)} KB`;
