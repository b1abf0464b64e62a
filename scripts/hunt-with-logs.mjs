/**
 * Plays one day of a deployment again and again and keeps the logs of all boxes where a rule was broken: what shows once can be
 * traced, since no play comes again. Logs of clean plays are dropped.
 *
 * usage: node scripts/hunt-with-logs.mjs BENCH SITE DAY FOLDER PLAYS [SEED]
 * With SEED each play has that seed, else each has another one. Logs are kept gzipped in FOLDER, which stays out of the repository.
 */
import { spawn } from "node:child_process";
import { createWriteStream, mkdirSync, rmSync } from "node:fs";
import { join } from "node:path";
import { createGzip } from "node:zlib";

const [bench, site, day, folder, plays, seed] = process.argv.slice(2);
const tailLength = 4_000;
const seedStep = 7_919;
const brokenRule = /^[A-Z]{3,}\b|broken/m;

/** Plays the day once; the end of what the bench has said, and where its output is kept. */
function play(number) {
  const ownSeed = seed ?? String(100_003 + number * seedStep);
  const path = join(folder, `${day}-${ownSeed}-${number}.log.gz`);
  const why = `Hunt that keeps logs: ${day}, seed ${ownSeed}, play ${number} of ${plays}`;
  const args = ["run", site, day, "--seed", ownSeed, "--jobs", "1", "--log", "all", "--why", why];
  const child = spawn(bench, args, { stdio: ["ignore", "pipe", "pipe"] });
  const gzip = createGzip();
  const kept = gzip.pipe(createWriteStream(path));
  let tail = "";
  // Logs of the boxes come on standard error, what the bench found on standard output.
  child.stderr.on("data", (bytes) => gzip.write(bytes));
  child.stdout.on("data", (bytes) => {
    gzip.write(bytes);
    tail = (tail + bytes).slice(-tailLength);
  });
  child.once("close", () => gzip.end());
  return new Promise((resolve) => {
    kept.on("finish", () => resolve({ path, tail, ownSeed }));
  });
}

mkdirSync(folder, { recursive: true });
for (let number = 1; number <= Number(plays); number++) {
  const { path, tail, ownSeed } = await play(number);
  const broken = tail.split("\n").filter((line) => brokenRule.test(line));
  console.log(
    `${day} seed ${ownSeed}: ${broken.length > 0 ? broken.join("; ") : "no rule broken"}`,
  );
  if (broken.length === 0) rmSync(path);
  else console.log(`  kept: ${path}`);
}
