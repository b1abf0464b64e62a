/** Reads the files that commands are given. */
import { readFileSync } from "node:fs";
import type { InvalidInput } from "@linkfall/errors";
import { readManifest } from "@linkfall/manifest";
import type { Resource } from "@linkfall/types";
import { type Either, Left } from "purify-ts";

const standardInput = "-";
const standardInputHandle = 0;

/** Reads a resource file; `-` is standard input. */
export function readResourceFile(path: string): Either<InvalidInput, readonly Resource[]> {
  try {
    return readManifest(readFileSync(path === standardInput ? standardInputHandle : path, "utf8"));
  } catch (problem) {
    return Left({ kind: "invalid_input", problems: [{ field: path, reason: String(problem) }] });
  }
}
