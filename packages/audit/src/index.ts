/**
 * Audit trail of actions taken by the system. Entries are appended in batches to stay within the
 * append rate of the log. Operators' changes are not recorded here: the records of the state stream
 * contain their author and time.
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

const flushIntervalMs: Milliseconds = 2_000;
const maxEntriesPerRecord = 100;
/** While the log is unreachable, the oldest entries beyond this number are dropped. */
const maxPendingEntries = 5_000;

export interface Audit {
  /** Queues an entry, with the current time and the name of this box. */
  record(entry: Omit<AuditEntry, "at" | "box">): void;
  /** Appends the next batch of pending entries to the log. */
  flush(): Promise<void>;
}

export const auditName = serviceName<Audit>("audit");

/** Creates the audit trail of this box. While started, it appends pending entries periodically. */
export function createAudit(kernel: Kernel): Audit & Service {
  const clock = kernel.find(clockName);
  const metrics = kernel.find(metricsName);
  const log = kernel.find(logPortName);
  const box = kernel.find(settingsName).box.name;
  let pending: AuditEntry[] = [];

  const flush = async () => {
    if (pending.length === 0) return;
    const batch = pending.slice(0, maxEntriesPerRecord);
    metrics.count("linkfall_log_appends_total", "Appends sent to the log", { stream: "audit" });
    const appended = await log.append(streams.audit, JSON.stringify(batch));
    // Delivery is at least once: if a reply is lost, the batch is appended again.
    appended.ifRight(() => {
      pending = pending.slice(batch.length);
    });
  };

  const loop = repeatEvery(clock, kernel.find(randomName), flushIntervalMs, flush);
  return {
    record(entry) {
      pending.push({ ...entry, at: clock.wallTime(), box });
      if (pending.length <= maxPendingEntries) return;
      pending = pending.slice(-maxPendingEntries);
      metrics.count(
        "linkfall_audit_dropped_total",
        "Audit entries dropped while the log was unreachable",
      );
    },
    flush,
    start: loop.start,
    stop: loop.stop,
  };
}
