/** Settings of boxes and engines in a run: shorter times, so that more happens in it. */
import { readSettings, type Settings } from "@linkfall/config";
import type { BatchOptions } from "@linkfall/stand-ins";
import { stringify } from "ini";

export const operatorToken = "operator-of-the-soak";

export const soakBatchOptions: Omit<BatchOptions, "concurrency"> = {
  stepMs: 40,
  stepPerRequestMs: 2,
  prefillMsPerCharacter: 0.05,
  maxCachedPrefixes: 16,
  prefixCharacters: 64,
};

/** Sections that a run may add to, or change. */
export type ExtraSettings = Readonly<Record<string, Readonly<Record<string, string | number>>>>;

/** Settings of one box. */
export function soakSettings(
  name: string,
  domain: string,
  tokenHash: string,
  extra: ExtraSettings = {},
): Settings {
  const sections: Record<string, Record<string, string | number>> = {
    box: {
      name,
      domain,
      caller_address: `10.0.0.${name.slice(1)}:7070`,
      operator_address: `10.0.0.${name.slice(1)}:7072`,
      peer_address: `10.0.0.${name.slice(1)}:7071`,
    },
    platform: {
      log_url: "http://10.1.0.1:80",
      list_url: "http://10.1.0.2:80",
      log_poll_ms: 200,
      list_poll_ms: 500,
      snapshot_every_records: 60,
      snapshot_every_ms: 8_000,
      snapshot_part_bytes: 3_000,
    },
    operators: { tokens: `operator:${tokenHash}` },
    membership: {
      heartbeat_ms: 300,
      suspect_ms: 1_500,
      forget_ms: 8_000,
      stale_serving_ms: 6_000,
    },
    lease: { lease_ms: 4_000, renew_ms: 1_200, margin_ms: 600 },
    callers: {
      entries_lifetime_ms: 1_500,
      ticket_lifetime_ms: 5_000,
      once_retention_ms: 20_000,
      default_deadline_ms: 8_000,
    },
    targets: {
      report_poll_ms: 400,
      call_timeout_ms: 1_500,
      order_repeat_ms: 1_000,
      stall_ms: 3_000,
      silent_lost_ms: 5_000,
      load_timeout_ms: 10_000,
      eject_ms: 2_000,
    },
    placement: { plan_ms: 500, cooldown_ms: 5_000 },
  };
  for (const [section, keys] of Object.entries(extra)) {
    sections[section] = { ...sections[section], ...keys };
  }
  return readSettings(stringify(sections)).unsafeCoerce();
}
