/** Runs one case: 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
import { dirname, join } from "node:path";
import process from "node:process";
import { setTimeout } from "node:timers";
import { fileURLToPath } from "node:url";
import { openRecord } from "./record.mjs";

export const verdicts = { held: 0, broken: 1, notRun: 2 };
const maxRunMs = 110_000;

/**
 * Runs `play` and exits with its verdict. `closers` collects functions that end what the case has started; they run in reverse
 * order in any case. `isTroubled` is false if the case is to run without its disruption.
 */
export async function runCase(moduleUrl, play) {
  const folder = dirname(fileURLToPath(moduleUrl));
  const root = join(folder, "..", "..");
  const record = openRecord(folder);
  const closers = [];
  const isTroubled = process.env.TROUBLE !== "0";
  let ending = false;
  const end = async (verdict) => {
    if (ending) return;
    ending = true;
    for (const close of closers.splice(0).reverse()) await close();
    record.say(Object.entries(verdicts).find(([, code]) => code === verdict)[0]);
    await record.close();
    process.exit(verdict);
  };
  const stop = (reason) => {
    record.say(`stopped: ${reason}`);
    void end(verdicts.notRun);
  };
  process.once("SIGTERM", () => stop("signal"));
  process.once("SIGINT", () => stop("signal"));
  process.once("uncaughtException", (problem) => stop(problem.stack));
  setTimeout(() => stop("took too long"), maxRunMs).unref();
  try {
    await end(await play({ root, record, isTroubled, closers }));
  } catch (problem) {
    stop(problem.stack);
  }
}
