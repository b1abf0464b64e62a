/** Reads a settings file while the process is running. */
import { readFileSync, statSync } from "node:fs";
import { type Either, Left, Right } from "purify-ts";

/** Returns the file's text, or the reason why it cannot be read. Pipes are rejected because reading one may block. */
export function readSettingsFile(path: string): Either<string, string> {
  try {
    if (!statSync(path).isFile()) return Left("not a regular file");
    return Right(readFileSync(path, "utf8"));
  } catch (problem) {
    return Left(problem instanceof Error ? problem.message : String(problem));
  }
}
