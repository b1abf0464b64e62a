/** All keys of the settings file by section, with unit, default, bounds and description. */
import { z } from "zod";

/** Definition of one key. The schema includes the default and the bounds. */
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
  return { schema, unit, description };
}

const integerBetween = (min: number, max: number, defaultValue: number) =>
  z.coerce.number().int().min(min).max(max).default(defaultValue);
const numberBetween = (min: number, max: number, defaultValue: number) =>
  z.coerce.number().min(min).max(max).default(defaultValue);
const address = z
  .string()
  .regex(
    /^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$/,
    "an IP address and a port: 10.0.0.1:7070",
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
    caller_address: key(address, "ip:port", "Listen address for callers."),
    operator_address: key(
      address,
      "ip:port",
      "Listen address for the operators' tool, health checks and metrics.",
    ),
    peer_address: key(address, "ip:port", "Listen address for other boxes."),
  },
  platform: {
    log_url: key(url, "URL", "URL of the platform's log."),
    list_url: key(url, "URL", "URL of the platform's list of boxes."),
    log_timeout_ms: key(
      integerBetween(50, 60_000, 2_000),
      "ms",
      "Timeout of a request to the log.",
    ),
    log_poll_ms: key(integerBetween(20, 60_000, 250), "ms", "Interval between reads of the log."),
    list_poll_ms: key(
      integerBetween(50, 60_000, 1_000),
      "ms",
      "Interval between reads of the list.",
    ),
    snapshot_every_records: key(
      integerBetween(10, 1_000_000, 2_000),
      "records",
      "Number of records after which a new snapshot is appended.",
    ),
    snapshot_every_ms: key(
      integerBetween(100, 86_400_000, 600_000),
      "ms",
      "Maximum time between snapshots; must be well below the log's retention.",
    ),
    snapshot_part_bytes: key(
      integerBetween(256, 1_000_000, 32_768),
      "bytes",
      "Maximum size of a part of a snapshot; each part is one record.",
    ),
    append_rate: key(
      integerBetween(1, 1_000, 10),
      "appends/s",
      "Limit on appends of this box; the limits of all boxes together must stay below the log's limit.",
    ),
  },
  operators: {
    tokens: key(
      list,
      "list",
      "Operators who may write, as a comma-separated list of `name:sha256-of-token`.",
    ),
  },
  membership: {
    heartbeat_ms: key(integerBetween(20, 60_000, 500), "ms", "Interval between heartbeat rounds."),
    fanout: key(
      integerBetween(1, 64, 3),
      "boxes",
      "Number of peers that receive a heartbeat in each round.",
    ),
    suspect_ms: key(
      integerBetween(100, 600_000, 2_500),
      "ms",
      "Time after which a box whose heartbeat does not advance is no longer listed to callers.",
    ),
    forget_ms: key(
      integerBetween(1_000, 3_600_000, 30_000),
      "ms",
      "Time after which a silent box is removed from the membership.",
    ),
    entries_per_message: key(
      integerBetween(4, 1_000, 32),
      "entries",
      "Maximum number of members in one heartbeat.",
    ),
    usage_ms: key(
      integerBetween(100, 60_000, 2_000),
      "ms",
      "Interval between reports of demand and account rates to the boxes that aggregate them.",
    ),
    stale_serving_ms: key(
      integerBetween(1_000, 7_200_000, 60_000),
      "ms",
      "How long a box keeps serving while it cannot reach the log but other boxes may.",
    ),
  },
  lease: {
    lease_ms: key(integerBetween(500, 600_000, 10_000), "ms", "Duration of a lease on a pool."),
    renew_ms: key(integerBetween(100, 300_000, 3_000), "ms", "Interval between lease renewals."),
    margin_ms: key(
      integerBetween(50, 60_000, 1_500),
      "ms",
      "Time that other boxes wait after a lease has expired before they claim it.",
    ),
    boxes_per_pool: key(
      integerBetween(1, 64, 8),
      "boxes",
      "Number of boxes that serve a pool, selected by rendezvous hashing.",
    ),
  },
  callers: {
    entries_lifetime_ms: key(
      integerBetween(100, 600_000, 10_000),
      "ms",
      "How long callers may cache a response of /v1/entries.",
    ),
    ticket_lifetime_ms: key(
      integerBetween(1_000, 3_600_000, 30_000),
      "ms",
      "How long a ticket may be used for new requests.",
    ),
    once_retention_ms: key(
      integerBetween(1_000, 3_600_000, 300_000),
      "ms",
      "How long a non-repeatable request is remembered after its ticket has expired.",
    ),
    once_entries: key(
      integerBetween(1, 10_000_000, 20_000),
      "requests",
      "Maximum number of non-repeatable requests remembered; when it is reached, new ones are rejected.",
    ),
    once_answer_bytes: key(
      integerBetween(0, 1_000_000_000, 4_000_000),
      "bytes",
      "Memory for responses that are stored to be returned for repeated requests.",
    ),
    max_body_bytes: key(
      integerBetween(1_024, 100_000_000, 1_000_000),
      "bytes",
      "Maximum size of a request body.",
    ),
    max_header_bytes: key(
      integerBetween(1_024, 65_536, 8_192),
      "bytes",
      "Maximum size of a request head.",
    ),
    max_connections: key(
      integerBetween(8, 1_000_000, 1_000),
      "connections",
      "Maximum number of connections of callers, and of operators; when it is reached, those that do nothing for longest are closed.",
    ),
    max_held_bytes: key(
      integerBetween(1_000_000, 100_000_000_000, 64_000_000),
      "bytes",
      "Memory for the bodies of requests, at least two of the largest size; when it is reached, incomplete ones give way.",
    ),
    body_timeout_ms: key(
      integerBetween(100, 600_000, 10_000),
      "ms",
      "Timeout for receiving a complete request.",
    ),
    default_deadline_ms: key(
      integerBetween(100, 3_600_000, 30_000),
      "ms",
      "Deadline of a request that does not specify one.",
    ),
    max_deadline_ms: key(
      integerBetween(100, 7_200_000, 600_000),
      "ms",
      "Maximum deadline that a request may specify.",
    ),
    max_in_flight: key(
      integerBetween(1, 100_000, 512),
      "requests",
      "Maximum number of requests in flight in this box; when it is reached, new ones are rejected.",
    ),
  },
  targets: {
    report_poll_ms: key(
      integerBetween(20, 60_000, 500),
      "ms",
      "Interval between reads of a target's report.",
    ),
    report_readers: key(
      integerBetween(0, 64, 0),
      "boxes",
      "Number of boxes of a pool that read an engine's report and pass it on; 0: each box reads all engines (docs/design/reports.md).",
    ),
    report_stale_ms: key(
      integerBetween(100, 600_000, 2_500),
      "ms",
      "Maximum age of a report; a target with an older report receives no new requests.",
    ),
    call_timeout_ms: key(
      integerBetween(50, 60_000, 2_000),
      "ms",
      "Timeout for reading a report and for the reply to an order.",
    ),
    order_repeat_ms: key(
      integerBetween(50, 60_000, 1_500),
      "ms",
      "Time after which an order without a visible effect is sent again.",
    ),
    silent_lost_ms: key(
      integerBetween(500, 600_000, 8_000),
      "ms",
      "Time after which the replicas on a silent target are considered lost and are loaded elsewhere.",
    ),
    load_timeout_ms: key(integerBetween(1_000, 3_600_000, 60_000), "ms", "Timeout of a load."),
    stall_ms: key(
      integerBetween(100, 600_000, 10_000),
      "ms",
      "Time after which a stream without data is considered lost.",
    ),
    eject_ms: key(
      integerBetween(100, 600_000, 5_000),
      "ms",
      "How long a failing target is ejected.",
    ),
    eject_share: key(
      numberBetween(0, 1, 0.34),
      "share",
      "Maximum share of the candidate targets of a request that may be ejected.",
    ),
    retry_share: key(
      numberBetween(0, 1, 0.1),
      "share",
      "Retry budget of an account: retries per request, beyond a burst of 10.",
    ),
  },
  routing: {
    policy: key(
      z
        .enum(["random", "round_robin", "least_load", "two_choices", "affinity"])
        .default("affinity"),
      "name",
      "Policy for selecting a replica; docs/design/routing.md compares them.",
    ),
    affinity_slack: key(
      numberBetween(0, 10, 0.25),
      "requests/place",
      "Requests per slot by which the replica that has a prompt prefix cached may exceed the least loaded replica before requests go elsewhere.",
    ),
    prefix_bytes: key(
      integerBetween(16, 100_000, 512),
      "bytes",
      "Number of leading bytes of a prompt that are used for prefix affinity.",
    ),
  },
  placement: {
    plan_ms: key(
      integerBetween(50, 600_000, 1_000),
      "ms",
      "Interval between planning rounds of a pool's lease holder.",
    ),
    cooldown_ms: key(
      integerBetween(0, 3_600_000, 5_000),
      "ms",
      "Minimum time between additions of spare replicas of a model.",
    ),
    moves_per_minute: key(
      integerBetween(1, 10_000, 20),
      "moves/min",
      "Maximum number of moves of spare replicas per minute in a pool.",
    ),
  },
  tls: {
    cert_file: key(
      file,
      "file",
      "Certificate of this box, PEM. Without it, connections of callers and peers are not encrypted.",
    ),
    key_file: key(file, "file", "Private key of the certificate, PEM."),
    ca_file: key(
      file,
      "file",
      "CA certificate for verifying the certificates of other boxes, PEM.",
    ),
  },
  log: {
    level: key(
      z.enum(["error", "warn", "info", "debug"]).default("info"),
      "level",
      "Minimum level of log events that are written.",
    ),
  },
} as const;
