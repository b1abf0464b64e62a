/**
 * Runs one simulated day of a deployment repeatedly and keeps the logs of the runs that violated a rule, to trace failures that
 * can't be reproduced.
 *
 * usage: node scripts/hunt-with-logs.mjs BENCH SITE DAY FOLDER PLAYS [SEED]
 * PLAYS is the number of runs. All runs use SEED if given, else each has its own. FOLDER receives gzipped logs; don't commit it.
 */
import { spawn } from "node:child_process";
import { createWriteStream, mkdirSync, rmSync } from "node:fs";
import { join } from "node:path";
import { createGzip } from "node:zlib";

const [bench, site, day, folder, plays, seed] = process.argv.slice(2);
const maxTailChars = 4_000;
const seedStep = 7_919;
const violationPattern = /^[A-Z]{3,}\b|broken/m;

/** Runs the day once; resolves to the seed, the log file and the tail of standard output. */
function runDay(number) {
  const runSeed = seed ?? String(100_003 + number * seedStep);
  const path = join(folder, `${day}-${runSeed}-${number}.log.gz`);
  const reason = `Hunt that keeps logs: ${day}, seed ${runSeed}, play ${number} of ${plays}`;
  const args = [
    "run",
    site,
    day,
    "--seed",
    runSeed,
    "--jobs",
    "1",
    "--log",
    "all",
    "--why",
    reason,
  ];
  const child = spawn(bench, args, { stdio: ["ignore", "pipe", "pipe"] });
  const gzip = createGzip();
  const logFile = gzip.pipe(createWriteStream(path));
  let tail = "";
  // The bench writes box logs to standard error and its findings to standard output.
  child.stderr.on("data", (bytes) => gzip.write(bytes));
  child.stdout.on("data", (bytes) => {
    gzip.write(bytes);
    tail = (tail + bytes).slice(-maxTailChars);
  });
  child.once("close", () => gzip.end());
  return new Promise((resolve) => {
    logFile.on("finish", () => resolve({ path, tail, runSeed }));
  });
}

mkdirSync(folder, { recursive: true });
for (let number = 1; number <= Number(plays); number++) {
  const { path, tail, runSeed } = await runDay(number);
  const violations = tail.split("\n").filter((line) => violationPattern.test(line));
  console.log(
    `${day} seed ${runSeed}: ${violations.length > 0 ? violations.join("; ") : "no violations"}`,
  );
  if (violations.length === 0) rmSync(path);
  else console.log(`  log: ${path}`);
}
