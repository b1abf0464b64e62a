/** Every key of the settings file: section, unit, default, bounds and meaning. */
import { z } from "zod";

/** One key. Its schema carries the default and the bounds. */
export interface SettingDefinition<T extends z.ZodType = z.ZodType> {
  readonly schema: T;
  readonly unit: string;
  readonly description: string;
}

function key<T extends z.ZodType>(
  schema: T,
  unit: string,
  description: string,
): SettingDefinition<T> {
  return { schema, unit, description: description };
}

const integerBetween = (min: number, max: number, defaultValue: number) =>
  z.coerce.number().int().min(min).max(max).default(defaultValue);
const numberBetween = (min: number, max: number, defaultValue: number) =>
  z.coerce.number().min(min).max(max).default(defaultValue);
const address = z
  .string()
  .regex(
    /^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$/,
    "an IP number and a port: 10.0.0.1:7070",
  );
const url = z.url();
const name = z
  .string()
  .regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/, "letters, digits, '.', '_' or '-'");
const file = z.string().optional();
const list = z
  .string()
  .default("")
  .transform((text) =>
    text
      .split(",")
      .map((part) => part.trim())
      .filter((part) => part !== ""),
  );

/** The sections of a settings file. */
export const settingSections = {
  box: {
    name: key(name, "name", "Name of this box, unique in the deployment."),
    domain: key(name, "name", "Failure domain of this box."),
    caller_address: key(address, "ip:port", "Where callers connect."),
    operator_address: key(
      address,
      "ip:port",
      "Where the operators' tool connects; also health and metrics.",
    ),
    peer_address: key(address, "ip:port", "Where other boxes connect."),
  },
  platform: {
    log_url: key(url, "URL", "The platform's log service."),
    list_url: key(url, "URL", "The platform's list of boxes."),
    log_timeout_ms: key(
      integerBetween(50, 60_000, 2_000),
      "ms",
      "Longest wait for one answer of the log.",
    ),
    log_poll_ms: key(integerBetween(20, 60_000, 250), "ms", "Time between reads of the log."),
    list_poll_ms: key(integerBetween(50, 60_000, 1_000), "ms", "Time between reads of the list."),
    snapshot_every_records: key(
      integerBetween(10, 1_000_000, 2_000),
      "records",
      "A snapshot is appended once this many records have come since the last.",
    ),
    snapshot_every_ms: key(
      integerBetween(100, 86_400_000, 600_000),
      "ms",
      "A snapshot is appended at least this often; keep it well under the log's retention.",
    ),
    snapshot_part_bytes: key(
      integerBetween(256, 1_000_000, 32_768),
      "bytes",
      "Largest part of a snapshot in one record.",
    ),
    append_rate: key(
      integerBetween(1, 1_000, 10),
      "appends/s",
      "This box's own limit on appends, so that all boxes together stay under the log's.",
    ),
  },
  operators: {
    tokens: key(list, "list", "Who may write: `name:sha256-of-token`, separated by commas."),
  },
  membership: {
    heartbeat_ms: key(integerBetween(20, 60_000, 500), "ms", "Time between rounds of heartbeats."),
    fanout: key(integerBetween(1, 64, 3), "boxes", "Peers that one round goes to."),
    suspect_ms: key(
      integerBetween(100, 600_000, 2_500),
      "ms",
      "A box whose heartbeat stands still this long is left out of answers.",
    ),
    forget_ms: key(
      integerBetween(1_000, 3_600_000, 30_000),
      "ms",
      "A box silent this long is forgotten.",
    ),
    entries_per_message: key(
      integerBetween(4, 1_000, 32),
      "entries",
      "Most members passed on in one heartbeat.",
    ),
    usage_ms: key(
      integerBetween(100, 60_000, 2_000),
      "ms",
      "Time between reports of demand and of accounts' rates to the boxes that add them up.",
    ),
    stale_serving_ms: key(
      integerBetween(1_000, 7_200_000, 60_000),
      "ms",
      "How long a box cut off from the log, while other boxes may still reach it, goes on serving.",
    ),
  },
  lease: {
    lease_ms: key(integerBetween(500, 600_000, 10_000), "ms", "Length of a lease on a pool."),
    renew_ms: key(integerBetween(100, 300_000, 3_000), "ms", "Time between renewals."),
    margin_ms: key(
      integerBetween(50, 60_000, 1_500),
      "ms",
      "Wait beyond the lease before a rival claims it.",
    ),
    boxes_per_pool: key(
      integerBetween(1, 64, 8),
      "boxes",
      "Boxes that serve one pool, chosen by rendezvous hashing.",
    ),
  },
  callers: {
    entries_lifetime_ms: key(
      integerBetween(100, 600_000, 10_000),
      "ms",
      "How long callers may keep an answer of /v1/entries.",
    ),
    ticket_lifetime_ms: key(
      integerBetween(1_000, 3_600_000, 30_000),
      "ms",
      "How long new requests may be sent under a ticket.",
    ),
    once_retention_ms: key(
      integerBetween(1_000, 3_600_000, 300_000),
      "ms",
      "How long after its ticket's end a not repeatable request is remembered.",
    ),
    once_entries: key(
      integerBetween(1, 10_000_000, 20_000),
      "requests",
      "Most not repeatable requests remembered; beyond it new ones are refused.",
    ),
    once_answer_bytes: key(
      integerBetween(0, 1_000_000_000, 4_000_000),
      "bytes",
      "Memory for answers kept for repeats.",
    ),
    max_body_bytes: key(
      integerBetween(1_024, 100_000_000, 1_000_000),
      "bytes",
      "Largest body of a request.",
    ),
    max_header_bytes: key(
      integerBetween(1_024, 65_536, 8_192),
      "bytes",
      "Largest head of a request.",
    ),
    body_timeout_ms: key(
      integerBetween(100, 600_000, 10_000),
      "ms",
      "Longest time for a request to arrive whole.",
    ),
    default_deadline_ms: key(
      integerBetween(100, 3_600_000, 30_000),
      "ms",
      "Deadline of a request that names none.",
    ),
    max_deadline_ms: key(
      integerBetween(100, 7_200_000, 600_000),
      "ms",
      "Longest deadline that a request may name.",
    ),
    max_in_flight: key(
      integerBetween(1, 100_000, 512),
      "requests",
      "Requests in flight in this box; beyond it new ones are refused.",
    ),
  },
  targets: {
    report_poll_ms: key(
      integerBetween(20, 60_000, 500),
      "ms",
      "Time between reads of a target's report.",
    ),
    report_readers: key(
      integerBetween(0, 64, 0),
      "boxes",
      "Boxes of a pool that read one engine's report and pass it on; 0: every box reads every engine (docs/design/reports.md).",
    ),
    report_stale_ms: key(
      integerBetween(100, 600_000, 2_500),
      "ms",
      "A report that was asked for longer ago is no ground to send work on: the target may be leaving.",
    ),
    call_timeout_ms: key(
      integerBetween(50, 60_000, 2_000),
      "ms",
      "Longest wait for a report or for the answer to an order.",
    ),
    order_repeat_ms: key(
      integerBetween(50, 60_000, 1_500),
      "ms",
      "An order without an effect is sent again after this time.",
    ),
    silent_lost_ms: key(
      integerBetween(500, 600_000, 8_000),
      "ms",
      "Replicas on a target silent this long no longer count; they are loaded elsewhere.",
    ),
    load_timeout_ms: key(
      integerBetween(1_000, 3_600_000, 60_000),
      "ms",
      "Longest time that a load may take.",
    ),
    stall_ms: key(
      integerBetween(100, 600_000, 10_000),
      "ms",
      "A stream silent this long is taken for lost.",
    ),
    eject_ms: key(
      integerBetween(100, 600_000, 5_000),
      "ms",
      "How long a target that fails is left out.",
    ),
    eject_share: key(
      numberBetween(0, 1, 0.34),
      "share",
      "Most targets of one choice that may be left out for failing.",
    ),
    retry_share: key(
      numberBetween(0, 1, 0.1),
      "share",
      "Retries allowed for each request of an account, beyond a burst of 10.",
    ),
  },
  routing: {
    policy: key(
      z
        .enum(["random", "round_robin", "least_load", "two_choices", "affinity"])
        .default("affinity"),
      "name",
      "How a replica is chosen; docs/design/routing.md weighs them.",
    ),
    affinity_slack: key(
      numberBetween(0, 10, 0.25),
      "requests/place",
      "A prefix stays with its replica while that has at most so many more requests for each place than the least busy one.",
    ),
    prefix_bytes: key(
      integerBetween(16, 100_000, 512),
      "bytes",
      "Leading bytes of a prompt that decide which requests land together.",
    ),
  },
  placement: {
    plan_ms: key(
      integerBetween(50, 600_000, 1_000),
      "ms",
      "Time between plans of a pool's holder.",
    ),
    cooldown_ms: key(
      integerBetween(0, 3_600_000, 5_000),
      "ms",
      "Wait after spare replicas of a model were added, before more are.",
    ),
    moves_per_minute: key(
      integerBetween(1, 10_000, 20),
      "moves/min",
      "Most moves of spare replicas a minute in one pool.",
    ),
  },
  tls: {
    cert_file: key(
      file,
      "file",
      "Certificate of this box, PEM. Without it callers and peers speak plain TCP.",
    ),
    key_file: key(file, "file", "Private key of the certificate, PEM."),
    ca_file: key(
      file,
      "file",
      "Authority that other boxes' certificates are checked against, PEM.",
    ),
  },
  log: {
    level: key(
      z.enum(["error", "warn", "info", "debug"]).default("info"),
      "level",
      "Least severe log events that are written.",
    ),
  },
} as const;
