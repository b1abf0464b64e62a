/** Writes what was sent, answered and run, with the time since the start of the script. */
import { writeFileSync } from "node:fs";
import { performance } from "node:perf_hooks";

export function createRecord(file) {
  const startedAt = performance.now();
  const lines = [];
  return {
    now: () => performance.now() - startedAt,
    line(text) {
      lines.push(`${((performance.now() - startedAt) / 1000).toFixed(3)} ${text}`);
    },
    write: () => writeFileSync(file, `${lines.join("\n")}\n`),
  };
}
