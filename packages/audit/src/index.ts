/**
 * The audit trail of what the system did by itself. Entries are sent in batches, so that its stream
 * stays within the log's budget. Changes by operators need no entry of their own: the records of the
 * state stream name who wrote what, and when.
 */
import { settingsName } from "@linkfall/config";
import {
  clockName,
  type Kernel,
  randomName,
  repeatEvery,
  type Service,
  serviceName,
} from "@linkfall/kernel";
import { metricsName } from "@linkfall/metrics";
import { logPortName, streams } from "@linkfall/ports";
import type { AuditEntry, Milliseconds } from "@linkfall/types";

const flushMs: Milliseconds = 2_000;
const entriesPerRecord = 100;
/** While the log is down the oldest entries beyond this are dropped and counted. */
const keptEntries = 5_000;

export interface Audit {
  record(entry: Omit<AuditEntry, "at" | "box">): void;
  /** Sends what is waiting, at a planned stop. */
  flush(): Promise<void>;
}

export const auditName = serviceName<Audit>("audit");

/** Creates the audit trail of one box; its life cycle is the sending. */
export function createAudit(kernel: Kernel): Audit & Service {
  const clock = kernel.find(clockName);
  const metrics = kernel.find(metricsName);
  const port = kernel.find(logPortName);
  const box = kernel.find(settingsName).box.name;
  let waiting: AuditEntry[] = [];

  const flush = async () => {
    if (waiting.length === 0) return;
    const batch = waiting.slice(0, entriesPerRecord);
    metrics.count("linkfall_log_appends_total", "Appends sent to the log", { stream: "audit" });
    const sent = await port.append(streams.audit, JSON.stringify(batch));
    // A lost reply sends a batch twice; whoever reads the trail sees the same entries again.
    sent.ifRight(() => {
      waiting = waiting.slice(batch.length);
    });
  };

  const loop = repeatEvery(clock, kernel.find(randomName), flushMs, flush);
  return {
    record(entry) {
      waiting.push({ ...entry, at: clock.wallTime(), box });
      if (waiting.length <= keptEntries) return;
      waiting = waiting.slice(-keptEntries);
      metrics.count("linkfall_audit_dropped_total", "Audit entries dropped while the log was down");
    },
    flush,
    start: loop.start,
    stop: loop.stop,
  };
}
