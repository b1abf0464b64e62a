/** Reads input files of commands. */
import { readFileSync } from "node:fs";
import type { InvalidInput } from "@linkfall/errors";
import { readManifest } from "@linkfall/manifest";
import type { Resource } from "@linkfall/types";
import { type Either, Left } from "purify-ts";

const stdinPath = "-";
const stdinDescriptor = 0;

/** Reads resources from a YAML or JSON file; `-` reads standard input. */
export function readResourceFile(path: string): Either<InvalidInput, readonly Resource[]> {
  try {
    return readManifest(readFileSync(path === stdinPath ? stdinDescriptor : path, "utf8"));
  } catch (error) {
    return Left({ kind: "invalid_input", problems: [{ field: path, reason: String(error) }] });
  }
}
