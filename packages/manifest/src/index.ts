/** Reads resource files: YAML or JSON, one resource or a list for each document. */
import type { FieldProblem, InvalidInput } from "@linkfall/errors";
import { checkResource } from "@linkfall/state-fold";
import { type Resource, resourceKey } from "@linkfall/types";
import { type Either, Left, Right } from "purify-ts";
import { parseAllDocuments } from "yaml";

/** An input value with the label that problems are reported under. */
interface LabelledValue {
  readonly label: string;
  readonly value: unknown;
}

function invalid<T>(problems: readonly FieldProblem[]): Either<InvalidInput, T> {
  return Left({ kind: "invalid_input", problems });
}

function labelOf(value: unknown, index: number): string {
  const { kind, name } = (value ?? {}) as { kind?: unknown; name?: unknown };
  return typeof kind === "string" && typeof name === "string"
    ? `${kind}/${name}`
    : `resource ${index + 1}`;
}

function toLabelledValues(values: readonly unknown[]): readonly LabelledValue[] {
  const flat = values.flatMap((value) => (Array.isArray(value) ? value : [value]));
  const filled = flat.filter((value) => value !== null && value !== undefined);
  return filled.map((value, index) => ({ label: labelOf(value, index), value }));
}

function findDuplicates(resources: readonly Resource[]): readonly FieldProblem[] {
  const seen = new Set<string>();
  const problems: FieldProblem[] = [];
  for (const resource of resources) {
    const key = resourceKey(resource);
    if (seen.has(key)) problems.push({ field: key, reason: "declared twice" });
    seen.add(key);
  }
  return problems;
}

/** Reads the text of a resource file. All problems are named at once, and nothing is taken. */
export function readManifest(text: string): Either<InvalidInput, readonly Resource[]> {
  const documents = parseAllDocuments(text);
  const list = Array.isArray(documents) ? documents : [];
  const syntax = list.flatMap((document) => document.errors);
  if (syntax.length > 0) {
    return invalid(syntax.map((problem) => ({ field: "file", reason: problem.message })));
  }
  const items = toLabelledValues(list.map((document) => document.toJS() as unknown));
  const checked = items.map(({ label, value }) => checkResource(value, label));
  const problems = checked.flatMap((result) =>
    result.caseOf<readonly FieldProblem[]>({ Left: (list) => list, Right: () => [] }),
  );
  const resources = checked.flatMap((result) => result.map((resource) => [resource]).orDefault([]));
  const all = [...problems, ...findDuplicates(resources)];
  return all.length > 0 ? invalid(all) : Right(resources);
}
