/** Settings of a box that forwards opaque requests: INI text, checked, every problem named at once. */
import type { InvalidInput } from "@linkfall/errors";
import { parse } from "ini";
import { type Either, Left, Right } from "purify-ts";
import { z } from "zod";

const ipAddressAndPort = z
  .string()
  .regex(/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/, "an IP number and a port");
const identifier = z
  .string()
  .regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/, "letters, digits, '.', '_', '-'");
const integer = (lowest: number, highest: number, standard: number) =>
  z.coerce.number().int().min(lowest).max(highest).default(standard);
const number = (lowest: number, highest: number, standard: number) =>
  z.coerce.number().min(lowest).max(highest).default(standard);
const milliseconds = (standard: number) => integer(1, 600_000, standard);
const ipAddressList = z
  .string()
  .default("")
  .transform((text) => text.split(",").map((part) => part.trim()))
  .transform((parts) => parts.filter((part) => part !== ""))
  .pipe(z.array(ipAddressAndPort));

/** The sections of the file; keys that end in `_ms` are milliseconds. */
export const entrySettingsSchema = z.strictObject({
  box: z.strictObject({
    name: identifier,
    domain: identifier,
    /** Share of a processor that this box may use, and its speed against others'. */
    processor_share: number(0.001, 1_000, 1),
    processor_speed: number(0.001, 1_000, 1),
    front_address: ipAddressAndPort,
    ready_address: ipAddressAndPort,
    directory_address: ipAddressAndPort,
    peer_address: ipAddressAndPort,
    /** Where this box listens for others, where that is not what it tells them. */
    peer_listen_address: ipAddressAndPort.optional(),
    metrics_address: ipAddressAndPort,
    /** Peer addresses of boxes that may be up, for when the store is not. */
    seeds: ipAddressList,
    /** The settings file is looked at this often. */
    settings_check_ms: milliseconds(1_000),
  }),
  store: z.strictObject({
    address: ipAddressAndPort,
    timeout_ms: milliseconds(1_500),
    /** How long one read waits for a change. */
    wait_ms: milliseconds(20_000),
    /** Pause after a change of targets, so that the next ones come together; where it is left out, a share
     * of `targets.leaving_ms`. */
    gather_targets_ms: z.coerce.number().int().min(1).max(600_000).optional(),
    first_pause_ms: milliseconds(150),
    longest_pause_ms: milliseconds(1_000),
    /** In a large deployment, boxes that read the store for all. */
    readers: integer(1, 64, 2),
    /** How long after its return the store's list may lack targets that live. */
    settle_ms: milliseconds(2_200),
  }),
  callers: z
    .strictObject({
      max_header_bytes: integer(1_024, 1_048_576, 16_384),
      /** How long callers keep an answer of the directory. */
      entries_lifetime_ms: milliseconds(1_500),
    })
    .prefault({}),
  stop: z
    .strictObject({
      /** Time from the signal until the process has to be gone. */
      grace_ms: milliseconds(8_000),
    })
    .prefault({}),
  peers: z
    .strictObject({
      round_ms: milliseconds(400),
      call_ms: milliseconds(400),
      suspect_ms: milliseconds(1_500),
      forget_ms: milliseconds(60_000),
      /** Up to this many other boxes all exchange heartbeats with all. */
      fanout: integer(1, 64, 8),
      /** In a larger deployment, boxes asked in a round while the order giver is unheard. */
      search_fanout: integer(1, 64, 4),
      /** Every so many rounds a box at random is asked as well. */
      random_every: integer(1, 1_000, 5),
      /** Each other box lengthens a round by this, where that makes it longer than `round_ms`. */
      round_per_box_ms: milliseconds(4),
      /** How long boxes that the order giver vouched for are believed in after it fell silent. */
      vouched_ms: milliseconds(4_500),
      /** Other boxes that one heartbeat tells of. */
      sightings: integer(0, 64, 8),
    })
    .prefault({}),
  lease: z
    .strictObject({
      lease_ms: milliseconds(3_000),
      /** Whether all engines refuse orders of an epoch below one that they have seen. */
      engines_fence: z.union([z.boolean(), z.stringbool()]).default(false),
      silent_ms: milliseconds(1_800),
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
      /** Any span of so many seconds may see what an account's limit lets through in it, and the overage. */
      window_s: number(0, 3_600, 8),
      /** Share of the limit that may be let through beyond it. */
      overage: number(0, 10, 0.1),
      /** Units beside that share, over all boxes. */
      slack: number(0, 1_000_000_000, 0),
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
      /** Time after which a target that says that it leaves may get nothing new from any box. */
      leaving_ms: milliseconds(2_000),
      lapse_grace_ms: milliseconds(1_600),
      lapse_share: number(0, 1, 0.3),
      failures_in_a_row: integer(1, 100, 3),
      first_ejection_ms: milliseconds(1_000),
      longest_ejection_ms: milliseconds(8_000),
    })
    .prefault({}),
  placement: z
    .strictObject({
      /** Load that one replica is to carry: reading of prompts and places taken, 1 being a whole engine. */
      load_of_replica: number(0.01, 10, 0.3),
      /** Time over which the next request of a rare model is weighed. */
      horizon_ms: milliseconds(10_000),
      state_ms: milliseconds(500),
      busy_state_ms: milliseconds(100),
      resend_ms: milliseconds(1_200),
      give_up_ms: milliseconds(15_000),
    })
    .prefault({}),
  log: z
    .strictObject({
      level: z.enum(["error", "warn", "info", "debug"]).default("info"),
      /** Lines a second of one kind of event; the rest are counted. */
      lines_per_second: integer(1, 10_000, 40),
      /** Bytes that may wait for standard output. */
      buffer_bytes: integer(1_024, 64_000_000, 1_000_000),
      /** Lines of this time are written together. A box that is killed loses those that wait. */
      gather_ms: milliseconds(100),
    })
    .prefault({}),
});

export type EntrySettings = z.infer<typeof entrySettingsSchema>;

/** Reads the text of a settings file. */
export function readEntrySettings(text: string): Either<InvalidInput, EntrySettings> {
  const checked = entrySettingsSchema.safeParse({ ...parse(text) });
  if (checked.success) return Right(checked.data);
  const problems = checked.error.issues.map((issue) => {
    const keys = issue.code === "unrecognized_keys" ? [issue.keys.join(", ")] : [];
    const reason = issue.code === "unrecognized_keys" ? "no such setting" : issue.message;
    return { field: [...issue.path.map(String), ...keys].join("."), reason };
  });
  return Left({ kind: "invalid_input", problems });
}
