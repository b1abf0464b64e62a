/** Reads a settings file while the process runs with what it held before. */
import { readFileSync, statSync } from "node:fs";
import { type Either, Left, Right } from "purify-ts";

/** The file's text, or why there is none. A pipe is not read: nobody may be writing into it. */
export function readSettingsFile(path: string): Either<string, string> {
  try {
    if (!statSync(path).isFile()) return Left("not a regular file");
    return Right(readFileSync(path, "utf8"));
  } catch (problem) {
    return Left(problem instanceof Error ? problem.message : String(problem));
  }
}
