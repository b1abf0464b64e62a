/** Compares declared resources with the stored ones. */
import {
  type Change,
  type Resource,
  resourceKey,
  type ResourceName,
  type Revision,
  type StoredResource,
} from "@linkfall/types";
import { isDeepStrictEqual } from "node:util";

/** One field that would change. */
export interface FieldChange {
  readonly field: string;
  readonly before: unknown;
  readonly after: unknown;
}

/** What would become of one resource. */
export interface ResourceDiff {
  readonly subject: ResourceName;
  readonly action: "create" | "update" | "unchanged" | "delete";
  /** Revision that the comparison is based on. */
  readonly base: Revision;
  readonly fields: readonly FieldChange[];
}

/** The differences, and the changes that make them. */
export interface DesiredDiff {
  readonly diffs: readonly ResourceDiff[];
  readonly changes: readonly Change[];
}

function fieldChanges(before: Resource | undefined, after: Resource): readonly FieldChange[] {
  const old: Partial<Record<string, unknown>> = { ...before };
  return Object.entries(after)
    .filter(([field, value]) => !isDeepStrictEqual(old[field], value))
    .map(([field, value]) => ({ field, before: old[field], after: value }));
}

function diffResource(stored: StoredResource | undefined, resource: Resource): ResourceDiff {
  const subject = { kind: resource.kind, name: resource.name };
  const fields = fieldChanges(stored?.resource, resource);
  const base = stored?.revision ?? 0;
  if (!stored) return { subject, action: "create", base, fields };
  return { subject, action: fields.length === 0 ? "unchanged" : "update", base, fields };
}

/** Compares declared resources with stored ones; stored ones that are not declared stay. */
export function diffResources(
  declared: readonly Resource[],
  stored: readonly StoredResource[],
): DesiredDiff {
  const byKey = new Map(stored.map((entry) => [resourceKey(entry.resource), entry]));
  const pairs = declared.map((resource) => ({
    resource,
    diff: diffResource(byKey.get(resourceKey(resource)), resource),
  }));
  const changes = pairs
    .filter(({ diff }) => diff.action !== "unchanged")
    .map(({ resource, diff }): Change => ({ action: "put", resource, base: diff.base }));
  return { diffs: pairs.map(({ diff }) => diff), changes };
}
