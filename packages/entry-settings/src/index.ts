/** Settings of a box that forwards opaque requests: an INI file, validated with all problems reported at once. */
import type { InvalidInput } from "@linkfall/errors";
import { parse } from "ini";
import { type Either, Left, Right } from "purify-ts";
import { z } from "zod";

const ipAddressAndPort = z
  .string()
  .regex(/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/, "an IP address and a port");
const identifier = z
  .string()
  .regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/, "letters, digits, '.', '_', '-'");
const integer = (min: number, max: number, defaultValue: number) =>
  z.coerce.number().int().min(min).max(max).default(defaultValue);
const number = (min: number, max: number, defaultValue: number) =>
  z.coerce.number().min(min).max(max).default(defaultValue);
const milliseconds = (defaultValue: number) => integer(1, 600_000, defaultValue);
const ipAddressList = z
  .string()
  .default("")
  .transform((text) => text.split(",").map((part) => part.trim()))
  .transform((parts) => parts.filter((part) => part !== ""))
  .pipe(z.array(ipAddressAndPort));

const flag = (defaultValue: boolean) =>
  z.union([z.boolean(), z.stringbool()]).default(defaultValue);
const weightList = z
  .string()
  .default("")
  .transform((text) => text.split(",").map((part) => part.trim()))
  .transform((parts) => parts.filter((part) => part !== ""))
  .pipe(
    z.array(
      z.string().regex(/^[^:,\s]+:\d*[1-9]\d*(\.\d+)?$/, "a name and a weight of at least 1"),
    ),
  );

/** Schema of the settings file by section; keys that end in `_ms` are in milliseconds. */
export const entrySettingsSchema = z.strictObject({
  box: z.strictObject({
    name: identifier,
    domain: identifier,
    /** Processor cores available to this box. */
    processor_share: number(0.001, 1_000, 1),
    /** Speed of a core, relative to the reference speed. */
    processor_speed: number(0.001, 1_000, 1),
    /** Memory of the machine in MB, of which a share bounds the bytes held for callers and targets. */
    memory_mb: integer(32, 1_048_576, 256),
    /** File descriptors that the process may have open, of which shares bound the connections of its ports. */
    max_descriptors: integer(256, 10_000_000, 3_000),
    front_address: ipAddressAndPort,
    ready_address: ipAddressAndPort,
    directory_address: ipAddressAndPort,
    peer_address: ipAddressAndPort,
    /** Address to listen on for other boxes, if it differs from the advertised `peer_address`. */
    peer_listen_address: ipAddressAndPort.optional(),
    metrics_address: ipAddressAndPort,
    /** Peer addresses of other boxes, for discovery while the store is unavailable. */
    seeds: ipAddressList,
    /** Interval between checks of the settings file for changes. */
    settings_check_ms: milliseconds(1_000),
  }),
  store: z.strictObject({
    address: ipAddressAndPort,
    timeout_ms: milliseconds(1_500),
    /** Maximum time for which one read waits for a change. */
    wait_ms: milliseconds(20_000),
    /** Delay after a change of targets to batch further changes; defaults to a fraction of `targets.leaving_ms`. */
    gather_targets_ms: z.coerce.number().int().min(1).max(600_000).optional(),
    /** Initial delay between retries of a failed read. */
    first_pause_ms: milliseconds(150),
    /** Maximum delay between retries of a failed read. */
    longest_pause_ms: milliseconds(1_000),
    /** Number of boxes that read the store on behalf of all in a large deployment. */
    readers: integer(1, 64, 2),
    /** Time after an outage for which the store's list may lack running targets. */
    settle_ms: milliseconds(2_200),
  }),
  memory: z
    .strictObject({
      /** Share of the memory that request bodies and responses may take while they wait for callers and targets. */
      held_share: number(0.01, 0.9, 0.25),
    })
    .prefault({}),
  callers: z
    .strictObject({
      max_header_bytes: integer(1_024, 1_048_576, 16_384),
      /** Time for which callers may cache the addresses of boxes. */
      entries_lifetime_ms: milliseconds(1_500),
    })
    .prefault({}),
  stop: z
    .strictObject({
      /** Time from the signal until the process must have exited. */
      grace_ms: milliseconds(8_000),
    })
    .prefault({}),
  peers: z
    .strictObject({
      round_ms: milliseconds(400),
      call_ms: milliseconds(400),
      suspect_ms: milliseconds(1_500),
      forget_ms: milliseconds(60_000),
      /** Highest number of other boxes with which heartbeats form a full mesh. */
      fanout: integer(1, 64, 8),
      /** Random partners per round in a larger deployment while the lease holder is unreachable. */
      search_fanout: integer(1, 64, 4),
      /** Every this many rounds one random box is added to the partners. */
      random_every: integer(1, 1_000, 5),
      /** Round interval per other box; the total replaces `round_ms` where it is longer. */
      round_per_box_ms: milliseconds(4),
      /** Time after the lease holder's last heartbeat for which its reports still keep boxes alive. */
      vouched_ms: milliseconds(4_500),
      /** Maximum number of other boxes reported in one heartbeat. */
      sightings: integer(0, 64, 8),
    })
    .prefault({}),
  lease: z
    .strictObject({
      lease_ms: milliseconds(3_000),
      /** Whether all engines reject orders of an epoch lower than the highest one they have received. */
      engines_fence: z.union([z.boolean(), z.stringbool()]).default(false),
      silent_ms: milliseconds(1_300),
      rank_step_ms: milliseconds(300),
      check_ms: milliseconds(150),
    })
    .prefault({}),
  retries: z
    .strictObject({
      ratio: number(0, 10, 0.2),
      slack: number(0, 100_000, 50),
      window_ms: milliseconds(10_000),
    })
    .prefault({}),
  accounts: z
    .strictObject({
      /** Window in seconds within which an account may use its limit plus the overage. */
      window_s: number(0, 3_600, 8),
      /** Fraction of the limit that may be admitted in excess of it. */
      overage: number(0, 10, 0.1),
      /** Units that may be admitted in addition, summed over all boxes. */
      slack: number(0, 1_000_000_000, 0),
      /** Whether the route's priority orders the requests of accounts of the same priority at engines. */
      rank_routes: z.union([z.boolean(), z.stringbool()]).default(false),
    })
    .prefault({}),
  forwarding: z
    .strictObject({
      connect_ms: milliseconds(400),
      least_silent_ms: milliseconds(600),
      silent_objectives: number(0.5, 100, 2),
      silent_expected: number(1, 100, 4),
      again_ms: milliseconds(120),
      replica_gain_ms: milliseconds(150),
      hopeless_share: number(0.1, 10, 0.9),
      queue_objectives: number(0.1, 100, 1),
      deadline_margin_ms: milliseconds(5),
      least_time_ms: milliseconds(15),
      most_sends: integer(1, 20, 5),
      come_back_ms: milliseconds(500),
      first_token_cost_us: integer(1, 10_000, 20),
      first_request_cost_ms: milliseconds(30),
      first_answer_cost_ms: milliseconds(300),
      cross_domain_ms: milliseconds(8),
    })
    .prefault({}),
  targets: z
    .strictObject({
      /** Time by which all boxes must have stopped sending new requests to a target that announced its shutdown. */
      leaving_ms: milliseconds(2_000),
      lapse_grace_ms: milliseconds(1_600),
      lapse_share: number(0, 1, 0.3),
      failures_in_a_row: integer(1, 100, 3),
      first_ejection_ms: milliseconds(1_000),
      longest_ejection_ms: milliseconds(8_000),
      /** Whether boxes learn together how fast each engine is, and prefer faster ones. */
      learn_engine_speeds: z.union([z.boolean(), z.stringbool()]).default(false),
    })
    .prefault({}),
  placement: z
    .strictObject({
      /** Intended load per replica, from prompt processing and occupied slots; 1 is a fully loaded engine. */
      load_of_replica: number(0.01, 10, 0.3),
      /**
       * Weight of a request per second that is refused since the replicas of its model are busy, compared with a running request
       * above the intended load; 0 leaves refused requests out.
       */
      refusal_weight: number(0, 100, 0),
      /**
       * Cost of evicting one of several replicas before any demand is observed, divided by their number; with at most 200, one
       * of two gives way to a model that no engine has loaded.
       */
      initial_replica_ms: milliseconds(180),
      /** Planning horizon for the next request of a rarely used model. */
      horizon_ms: milliseconds(10_000),
      state_ms: milliseconds(500),
      busy_state_ms: milliseconds(100),
      resend_ms: milliseconds(1_200),
      give_up_ms: milliseconds(15_000),
    })
    .prefault({}),
  dispatch: z
    .strictObject({
      /** Whether one box grants the slots of a plain service's targets to all boxes. */
      plain_services: flag(false),
      /** The same for engines. */
      engines: flag(false),
      /** Whether a box that chooses targets alone samples them by spare capacity if its view of their load is old. */
      fallback_sampling: flag(false),
      /** Weights of client accounts in fair sharing, as `name:weight`; 1 for accounts that are not listed. */
      account_weights: weightList,
      /** Maximum time for which the dispatcher holds a request before it replies that it still waits. */
      hold_ms: integer(5, 1_000, 60),
      /** Maximum time for a message to the dispatcher and its reply. */
      ask_ms: integer(5, 1_000, 60),
    })
    .prefault({}),
  log: z
    .strictObject({
      level: z.enum(["error", "warn", "info", "debug"]).default("info"),
      /** Maximum lines per second of each event; further ones are only counted. */
      lines_per_second: integer(1, 10_000, 40),
      /** Maximum number of bytes buffered for standard output. */
      buffer_bytes: integer(1_024, 64_000_000, 1_000_000),
      /** Time for which lines are batched into one write; a killed process loses buffered lines. */
      gather_ms: milliseconds(100),
    })
    .prefault({}),
});

export type EntrySettings = z.infer<typeof entrySettingsSchema>;

/** Parses and validates the text of a settings file. */
export function readEntrySettings(text: string): Either<InvalidInput, EntrySettings> {
  const parsed = entrySettingsSchema.safeParse({ ...parse(text) });
  if (parsed.success) return Right(parsed.data);
  const problems = parsed.error.issues.map((issue) => {
    const keys = issue.code === "unrecognized_keys" ? [issue.keys.join(", ")] : [];
    const reason = issue.code === "unrecognized_keys" ? "no such setting" : issue.message;
    return { field: [...issue.path.map(String), ...keys].join("."), reason };
  });
  return Left({ kind: "invalid_input", problems });
}
