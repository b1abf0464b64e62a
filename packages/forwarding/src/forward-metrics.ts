/** What the forwarding of requests counts and measures. */
import type { Metrics } from "@linkfall/metrics";
import type { Milliseconds } from "@linkfall/types";

export interface ForwardMetrics {
  /** A send has ended. */
  sendEnded(service: string, end: string): void;
  /** The first bytes of an answer's body came so long after the send. */
  firstBytes(afterMs: Milliseconds): void;
  /** The next bytes of a stream came so long after those before. */
  streamGap(ms: Milliseconds): void;
  /** A further send was asked of the retry budget. */
  retryRequested(service: string, granted: boolean): void;
  /** A request was refused since the limits that its targets have named are used up. */
  refusedByLimit(service: string): void;
  /** A request waited for weights. */
  weightsWait(ms: Milliseconds): void;
}

/** Records into the metrics of the process. */
export function createForwardMetrics(metrics: Metrics): ForwardMetrics {
  return {
    sendEnded: (service, end) =>
      metrics.count("linkfall_sends_total", "Sends to targets, by how they ended.", {
        service,
        end,
      }),
    firstBytes: (afterMs) =>
      metrics.observe(
        "linkfall_first_byte_ms",
        "From a send to the answer's first bytes.",
        afterMs,
      ),
    streamGap: (ms) =>
      metrics.observe("linkfall_stream_gap_ms", "Between the bytes of a stream.", ms),
    retryRequested: (service, granted) =>
      metrics.count("linkfall_retries_total", "Further sends, by what the budget said.", {
        service,
        granted: String(granted),
      }),
    refusedByLimit: (service) =>
      metrics.count(
        "linkfall_target_limit_refusals_total",
        "Requests refused since the limits that their targets have named are used up.",
        { service },
      ),
    weightsWait: (ms) => metrics.observe("linkfall_weights_wait_ms", "Waits for weights.", ms),
  };
}
