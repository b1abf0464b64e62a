/** Validates messages of other boxes. Fields that are not named here belong to later versions and are passed over. */
import { isEndpoint } from "@linkfall/types";
import { type Either, Left, Right } from "purify-ts";
import { z } from "zod";
import type { ConfigurationCopy, Heartbeat } from "./messages.js";

/** A computed quantity: JSON has no infinity, which arrives as null. */
const quantity = z.number().nullable();
const position = z.int();
const endpoint = z.string().refine(isEndpoint, "not an IP address and port");
const texts = z.array(z.string());

// Profiles, loads and demand make up most of a heartbeat; plain loops check them in a fraction of the time of a schema.
type JsonObject = Readonly<Record<string, unknown>>;

function isObject(value: unknown): value is JsonObject {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}

const isQuantity = (value: unknown): boolean => value === null || Number.isFinite(value);

const hasQuantities = (value: JsonObject, names: readonly string[]): boolean =>
  names.every((name) => isQuantity(value[name]));

type FieldChecks = readonly (readonly [name: string, isValid: (value: unknown) => boolean])[];

/** Returns what is wrong with the fields of a value; undefined if nothing is. */
function findDefect(value: unknown, checks: FieldChecks): string | undefined {
  if (!isObject(value)) return "not an object";
  const invalid = checks.find(([name, isValid]) => !isValid(value[name]));
  return invalid && `invalid ${invalid[0]}`;
}

const fieldsOf = (checks: FieldChecks) =>
  z.custom((value) => findDefect(value, checks) === undefined, {
    error: ({ input }) => findDefect(input, checks),
  });

const isText = (value: unknown): boolean => typeof value === "string";
const isAddress = (value: unknown): boolean => typeof value === "string" && isEndpoint(value);
const isBoolean = (value: unknown): boolean => typeof value === "boolean";
const isOptionalBoolean = (value: unknown): boolean => value === undefined || isBoolean(value);

const profileChecks: FieldChecks = Object.entries({
  box: isText,
  incarnation: isText,
  frontAddress: isAddress,
  peerAddress: isAddress,
  domain: isText,
  capacity: isQuantity,
  ready: isBoolean,
  leaving: isBoolean,
  strained: isBoolean,
  takesRequests: isBoolean,
  reading: isBoolean,
  relays: isOptionalBoolean,
  keepsStreams: isOptionalBoolean,
  dispatches: isOptionalBoolean,
});
const sightingChecks: FieldChecks = [
  ...profileChecks,
  ["ageMs", isQuantity],
  ["silent", isBoolean],
];

const sightings = z.array(fieldsOf(sightingChecks));

const loadQuantities = ["inFlight", "promptTokens"];
const loads = z.custom(
  (value) =>
    isObject(value) &&
    Object.values(value).every((load) => isObject(load) && hasQuantities(load, loadQuantities)),
  "not a load of targets",
);

const followed = z.object({
  holder: z.string(),
  engines: position,
  members: position,
  speeds: position.optional(),
});
const demandQuantities = [
  "inFlight",
  "reading",
  "rate",
  "earlierRate",
  "objectiveMs",
  "waiting",
  "idleMs",
];
const confinedWaits = z
  .array(
    z.object({ softwareVersion: z.string(), adapter: z.string().optional(), waiting: quantity }),
  )
  .optional();

function isModelDemand(value: unknown): boolean {
  if (!isObject(value) || !hasQuantities(value, demandQuantities)) return false;
  if (typeof value.service !== "string" || typeof value.model !== "string") return false;
  if (!isObject(value.waitingAdapters)) return false;
  if (!Object.values(value.waitingAdapters).every(isQuantity)) return false;
  if (value.refused !== undefined && !isQuantity(value.refused)) return false;
  return value.confinedWaits === undefined || confinedWaits.safeParse(value.confinedWaits).success;
}

const demand = z.custom(
  (value) => Array.isArray(value) && value.every(isModelDemand),
  "not a demand for models",
);
const interval = z.object({
  target: z.string(),
  kind: z.string(),
  concurrency: quantity,
  intervalMs: quantity,
});
const ownStatus = z.object({
  beat: position,
  reachesStore: z.boolean(),
  configurationVersion: z.number(),
  targetsEnd: position,
  targetsGeneration: position.optional(),
  loads,
  demand,
  lease: z.object({ epoch: position, holder: z.string() }).optional(),
  ordersForMs: quantity.optional(),
  provenForMs: quantity.optional(),
  followed: followed.optional(),
  intervals: z.array(interval).optional(),
  blameFollowed: position.optional(),
  limitsFollowed: position.optional(),
  fragileFollowed: position.optional(),
  leavingFollowed: position.optional(),
  departuresFollowed: position.optional(),
});
const status = fieldsOf(profileChecks).pipe(ownStatus);

const models = z.array(z.object({ name: z.string(), version: quantity, adapters: texts }));
const born = z.number().optional();
const capacities = z.object({
  sequence: position,
  targets: z.array(z.object({ target: z.string(), speed: quantity, useful: quantity.optional() })),
  kinds: z.array(
    z.object({
      service: z.string(),
      kind: z.string(),
      fixedMs: quantity,
      perUnitMs: quantity,
    }),
  ),
});
const report = z.object({
  engines: z.array(
    z.object({ id: z.string(), holdings: z.object({ born, sequence: quantity, models }) }),
  ),
  members: sightings.optional(),
  followed,
  hearsMost: z.boolean(),
  withheld: z.record(z.string(), texts),
  expected: z.record(z.string(), quantity),
  plannedBeat: position.optional(),
  speeds: capacities.optional(),
  othersLoads: loads.optional(),
});
const listedTarget = z.object({
  id: z.string(),
  born,
  service: z.string(),
  address: endpoint,
  domain: z.string(),
  softwareVersion: z.string().optional(),
  slots: z.number(),
  leaving: z.boolean(),
  heartbeats: z.number().optional(),
  models: models.optional(),
});
const targets = z.object({
  end: position,
  generation: position.optional(),
  whole: z.boolean(),
  changed: z.array(listedTarget),
  gone: texts,
  unreadable: texts.optional(),
});

const heldRequest = z.object({
  request: z.string(),
  revision: z.number(),
  held: z.boolean(),
  service: z.string(),
  route: z.string(),
  targets: texts,
  since: z.string(),
});
/** Records of other kinds belong to later versions. */
const blameRecord = z.union([
  z.object({
    kind: z.literal("end"),
    target: z.string(),
    service: z.string(),
    ageMs: quantity,
    requests: texts,
    shared: z.array(z.tuple([z.string(), z.string(), quantity])).optional(),
    targetsInUse: quantity.optional(),
  }),
  z.object({
    kind: z.literal("served"),
    request: z.string(),
    ageMs: quantity,
    by: z.string().optional(),
    count: quantity.optional(),
  }),
  z.object({ kind: z.literal("held"), word: heldRequest }),
  z.object({ kind: z.string().refine((kind) => !["end", "served", "held"].includes(kind)) }),
]);
const limits = z.object({
  number: position,
  records: z.array(
    z.object({ target: z.string(), born, perSecond: z.number().optional(), ageMs: quantity }),
  ),
});
const leavingNotice = { target: z.string(), born };
const departure = z.object({
  ...leavingNotice,
  position: z.object({ end: position, generation: position }),
  heartbeats: z.number().optional(),
});

const configurationCopy = z.object({ version: z.number(), text: z.string().optional() });

const heartbeat = z.object({
  status,
  sightings,
  report: report.optional(),
  targets: targets.optional(),
  configuration: configurationCopy.optional(),
  blame: z.object({ number: position, records: z.array(blameRecord) }).optional(),
  limits: limits.optional(),
  fragile: limits.optional(),
  leaving: z.object({ number: position, notices: z.array(z.object(leavingNotice)) }).optional(),
  departures: z.object({ number: position, departures: z.array(departure) }).optional(),
});
const anyObject = z.looseObject({});

/** Longest reason; paths contain keys that the sender has chosen. */
const maxReasonLength = 300;

/** Returns the value unchanged if it matches, or where it does not. */
function check<T>(schema: z.ZodType, value: unknown): Either<string, T> {
  const checked = schema.safeParse(value);
  if (checked.success) return Right(value as T);
  const [{ path, message }] = checked.error.issues;
  return Left(`${path.map(String).join(".")}: ${message}`.slice(0, maxReasonLength));
}

export const checkHeartbeat = (value: unknown) => check<Heartbeat>(heartbeat, value);
export const checkConfigurationCopy = (value: unknown) =>
  check<ConfigurationCopy>(configurationCopy, value);
/** Checks a part of a message whose fields are judged by its receiver. */
export const checkObject = <T extends object>(value: T) => check<T>(anyObject, value);
