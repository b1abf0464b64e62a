/** From the text of an INI file to checked settings. */
import type { FieldProblem, InvalidInput } from "@linkfall/errors";
import { parse } from "ini";
import { type Either, Left, Right } from "purify-ts";
import type { z } from "zod";
import { type Settings, settingsSchema } from "./settings-schema.js";

function toProblem(issue: z.core.$ZodIssue): FieldProblem {
  const path = issue.path.map(String);
  if (issue.code === "unrecognized_keys") {
    return { field: [...path, issue.keys.join(", ")].join("."), reason: "no such setting" };
  }
  return { field: path.join("."), reason: issue.message };
}

/** Rules that span several keys. */
function findCrossKeyProblems(settings: Settings): readonly FieldProblem[] {
  const problems: FieldProblem[] = [];
  if (settings.lease.renew_ms * 2 > settings.lease.lease_ms) {
    problems.push({ field: "lease.renew_ms", reason: "at most half of lease.lease_ms" });
  }
  if (settings.membership.suspect_ms >= settings.membership.forget_ms) {
    problems.push({ field: "membership.suspect_ms", reason: "less than membership.forget_ms" });
  }
  if ((settings.tls.cert_file === undefined) !== (settings.tls.key_file === undefined)) {
    problems.push({ field: "tls.key_file", reason: "cert_file and key_file go together" });
  }
  return problems;
}

/** Reads the text of a settings file. All problems are named at once. */
export function readSettings(text: string): Either<InvalidInput, Settings> {
  const checked = settingsSchema.safeParse({ ...parse(text) });
  if (!checked.success) {
    return Left({ kind: "invalid_input", problems: checked.error.issues.map(toProblem) });
  }
  const problems = findCrossKeyProblems(checked.data);
  if (problems.length > 0) return Left({ kind: "invalid_input", problems });
  return Right(checked.data);
}
