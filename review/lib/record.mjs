/** Writes what was sent, answered and run to `record.txt` in the folder of the case. */
import { createWriteStream } from "node:fs";
import { join } from "node:path";
import { performance } from "node:perf_hooks";
import process from "node:process";

export function openRecord(folder) {
  const file = createWriteStream(join(folder, "record.txt"));
  const startedAt = performance.now();
  const line = (text) => {
    const at = ((performance.now() - startedAt) / 1000).toFixed(3);
    file.write(`${at} ${text}\n`);
  };
  return {
    line,
    /** Writes the line, and prints it as well. */
    say(text) {
      line(text);
      process.stdout.write(`${text}\n`);
    },
    close: () => new Promise((resolve) => file.end(resolve)),
  };
}
