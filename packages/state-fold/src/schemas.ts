/** Checks of records and resources. A box trusts nothing that it reads from the log. */
import { heldRequestSchema } from "@linkfall/crash-blame";
import type { FieldProblem } from "@linkfall/errors";
import { engineRoles, type Resource, resourceKinds, type StateRecord } from "@linkfall/types";
import { type Either, Left, Right } from "purify-ts";
import { z } from "zod";

const maxRate = 1_000_000;
const maxPriorityValue = 9;
const maxMemoryMb = 10_000_000;
const maxCount = 1_000;

const name = z
  .string()
  .regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,126}$/, "letters, digits, '.', '_' or '-'");
const version = z.string().regex(/^[A-Za-z0-9._-]{1,64}$/, "letters, digits, '.', '_' or '-'");
const address = z
  .string()
  .regex(/^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$/, "an IP number and a port");
const memory = z.number().int().min(1).max(maxMemoryMb);
const names = z.array(name).max(maxCount);
const priority = z.number().int().min(0).max(maxPriorityValue);
const rate = z.number().positive().max(maxRate);

/** A resource, with the defaults of the fields that may be left out. */
export const resourceSchema = z.discriminatedUnion("kind", [
  z.strictObject({
    kind: z.literal("deployment"),
    name,
    attainmentWeight: rate.default(1),
    movesWeight: rate.default(1),
    weightStoreLoadsPerSecond: rate.default(2),
    weightStoreLoadsAtOnce: z.number().int().min(1).max(maxCount).default(8),
  }),
  z.strictObject({
    kind: z.literal("account"),
    name,
    tokenHash: z.string().regex(/^[0-9a-f]{64}$/, "the SHA-256 of a token in hexadecimal"),
    share: rate.default(1),
    requestsPerSecond: rate.default(100),
    maxPriority: priority.default(5),
  }),
  z.strictObject({
    kind: z.literal("pool"),
    name,
    loadsPerSecond: rate.default(2),
    loadsAtOnce: z.number().int().min(1).max(maxCount).default(8),
  }),
  z.strictObject({
    kind: z.literal("model"),
    name,
    pool: name,
    version,
    sizeMb: memory,
    accounts: names,
    priority: priority.default(5),
    minReplicas: z.number().int().min(1).max(maxCount).default(1),
  }),
  z.strictObject({
    kind: z.literal("adapter"),
    name,
    model: name,
    version,
    sizeMb: memory,
    accounts: names,
  }),
  z.strictObject({
    kind: z.literal("engine"),
    name,
    pool: name,
    address,
    domain: name,
    acceleratorsMb: z.array(memory).min(1).max(64),
    batchReserveMb: z.number().int().min(0).max(maxMemoryMb).default(0),
    role: z.enum(engineRoles).default("mixed"),
    fenced: z.boolean(),
    concurrency: z.number().int().min(1).max(maxCount).default(8),
    leaving: z.boolean().default(false),
  }),
  z.strictObject({
    kind: z.literal("service"),
    name,
    targets: z
      .array(z.strictObject({ address, domain: name }))
      .min(1)
      .max(maxCount),
    accounts: names,
    notRepeatablePaths: z.array(z.string().startsWith("/")).max(maxCount).default([]),
  }),
]);

const offset = z.number().int().min(0);
const resourceName = z.strictObject({ kind: z.enum(resourceKinds), name });
const id = z.string().regex(/^[^#]{1,160}#\d{1,15}$/);

/** One change as an operator sends it. */
export const changeSchema = z.discriminatedUnion("action", [
  z.strictObject({ action: z.literal("put"), resource: resourceSchema, base: offset }),
  z.strictObject({ action: z.literal("delete"), name: resourceName, base: offset }),
]);

const commonOrderFields = {
  id: z.string(),
  engine: name,
  engineIncarnation: z.string(),
  epoch: offset,
  cause: z.string(),
};
const artifactFields = {
  artifact: z.string(),
  accelerator: z.number().int().min(0),
  sizeMb: memory,
};

const orderSchema = z.discriminatedUnion("kind", [
  z.strictObject({ ...commonOrderFields, kind: z.literal("load"), ...artifactFields }),
  z.strictObject({ ...commonOrderFields, kind: z.literal("unload"), ...artifactFields }),
  z.strictObject({ ...commonOrderFields, kind: z.literal("role"), role: z.enum(engineRoles) }),
]);

const settlementSchema = z.strictObject({
  orderId: z.string(),
  engine: name,
  engineIncarnation: z.string(),
  sequence: z.number().int(),
});

const recordSchema = z.discriminatedUnion("type", [
  z.object({
    type: z.literal("write"),
    id,
    who: z.string(),
    at: z.string(),
    changes: z.array(changeSchema).min(1),
  }),
  z.object({
    type: z.literal("claim"),
    id,
    pool: name,
    holder: z.string(),
    holderAddress: address.optional(),
    supersedes: offset,
    leaseMs: z.number().positive(),
  }),
  z.object({ type: z.literal("renew"), id, holder: z.string(), epochs: z.array(offset) }),
  z.object({ type: z.literal("release"), id, holder: z.string(), epochs: z.array(offset) }),
  z.object({
    type: z.literal("intent"),
    id,
    pool: name,
    epoch: offset,
    orders: z.array(orderSchema),
  }),
  z.object({
    type: z.literal("settled"),
    id,
    pool: name,
    settlements: z.array(settlementSchema),
  }),
  z.object({
    type: z.literal("held"),
    id,
    word: heldRequestSchema,
  }),
  z.object({
    type: z.literal("snapshot"),
    id,
    snapshot: z.string(),
    asOf: offset,
    index: z.number().int().min(0),
    count: z.number().int().min(1),
    data: z.string(),
  }),
]);

function toProblems(error: z.ZodError, prefix: string): readonly FieldProblem[] {
  return error.issues.map((issue) => ({
    field: [prefix, ...issue.path.map(String)].filter((part) => part !== "").join("."),
    reason: issue.message,
  }));
}

/** Checks one resource; `label` is put before the names of wrong fields. */
export function checkResource(
  input: unknown,
  label = "",
): Either<readonly FieldProblem[], Resource> {
  const checked = resourceSchema.safeParse(input);
  return checked.success ? Right(checked.data) : Left(toProblems(checked.error, label));
}

/** Reads a record from its text; Left says why it could not be understood. */
export function parseRecord(data: string): Either<string, StateRecord> {
  return parseJson(data).chain((value) => {
    const checked = recordSchema.safeParse(value);
    if (checked.success) return Right(checked.data);
    return Left(z.prettifyError(checked.error));
  });
}

function parseJson(data: string): Either<string, unknown> {
  try {
    return Right(JSON.parse(data));
  } catch {
    return Left("not JSON");
  }
}
