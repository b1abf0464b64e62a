/** What a completion has in common with others. */
import { sharedTrait, type SharedTrait } from "@linkfall/crash-blame";
import { createHash } from "node:crypto";
import type { CompletionJob } from "./job.js";

/** Lengths of the beginnings that prompts are compared by, in characters. */
const beginningLengths = [64, 256, 1_024, 4_096];
const digestDigits = 16;

function beginningOf(prompt: string, length: number): SharedTrait {
  const digest = createHash("sha256").update(prompt.slice(0, length)).digest("hex");
  return sharedTrait("prompt beginning", `${length}:${digest.slice(0, digestDigits)}`);
}

/** Its adapter, and beginnings of its prompt that are shorter than the whole. */
export function sharedTraitsOf({
  model,
  adapter,
  prompt,
}: Pick<CompletionJob, "model" | "adapter" | "prompt">): readonly SharedTrait[] {
  const beginnings = beginningLengths
    .filter((length) => length < prompt.length)
    .map((length) => beginningOf(prompt, length));
  if (!adapter) return beginnings;
  return [...beginnings, sharedTrait("adapter", `${model.name}/${adapter.name}`)];
}
