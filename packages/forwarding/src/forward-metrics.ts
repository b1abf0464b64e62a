/** Metrics of request forwarding. */
import type { Metrics } from "@linkfall/metrics";
import type { ResponseFraming } from "@linkfall/raw-exchange";
import type { Milliseconds } from "@linkfall/types";

export interface ForwardMetrics {
  /** Counts a finished send by its result. */
  sendEnded(service: string, end: string): void;
  /** Counts a response that was not passed on, by what its head showed. */
  responseRejected(service: string, problem: string): void;
  /** Records the time from a send to the first bytes of the response body. */
  firstBytes(afterMs: Milliseconds): void;
  /** Records the time between two reads of a stream. */
  streamGap(ms: Milliseconds): void;
  /** Counts a lost response by what its target did when it was probed; `refuses`: it has crashed. */
  responseLost(service: string, listening: string): void;
  /** Counts a request that was refused because of the crashes of targets, by the verdict and by what caused them. */
  crashingRequestRefused(service: string, verdict: string, cause: string): void;
  /** Counts a retry that was requested from the retry budget. */
  retryRequested(service: string, granted: boolean): void;
  /** A request was refused since the limits that its targets have named are used up. */
  refusedByLimit(service: string): void;
  /** A request was refused since all of its targets have asked for a rest. */
  refusedByRest(service: string): void;
  /** A fragile target rejected a request for want of room. */
  rejectedByFragileTarget(service: string): void;
  /** A request was refused since its fragile targets have no place left. */
  refusedByFragileTargets(service: string): void;
  /** Counts a send to a target that was known to be leaving for `sinceMs`. */
  sentToLeavingTarget(service: string, sinceMs: Milliseconds): void;
  /** Counts a send to a target whose list entry had been missing for `sinceMs`. */
  sentToMissingTarget(service: string, sinceMs: Milliseconds): void;
  /** Counts a send to a target within the time for which it asked to get no requests. */
  sentToRestingTarget(service: string): void;
  /** Counts a stream that ended inside an event, by how its end was marked. */
  streamBrokenOff(service: string, framing: ResponseFraming): void;
  /** Counts a request that takes a stream up, by where its version was known, or why it was refused. */
  streamTakenUp(service: string, version: string): void;
  /** Counts a stream that could not go on, as no target of its version accepted requests. */
  streamVersionGone(service: string): void;
  /** Records the time that a request waited for weights. */
  weightsWait(ms: Milliseconds): void;
}

const millisecondsPerSecond = 1000;
/** Ages from here on share one label. */
const maxAgeSeconds = 3;

/** Label of an age in whole seconds. */
function ageLabel(ms: Milliseconds): string {
  const seconds = Math.floor(ms / millisecondsPerSecond);
  return seconds < maxAgeSeconds ? String(seconds) : `${maxAgeSeconds}+`;
}

/** Creates metrics that are recorded in the process registry. */
export function createForwardMetrics(metrics: Metrics): ForwardMetrics {
  return {
    sendEnded: (service, end) =>
      metrics.count("linkfall_sends_total", "Sends to targets by result.", {
        service,
        end,
      }),
    responseRejected: (service, problem) =>
      metrics.count(
        "linkfall_responses_rejected_total",
        "Responses of targets that were not passed on since their heads show that they are no answers to the requests.",
        { service, problem },
      ),
    firstBytes: (afterMs) =>
      metrics.observe(
        "linkfall_first_byte_ms",
        "Time from a send to the first bytes of the response body.",
        afterMs,
      ),
    streamGap: (ms) =>
      metrics.observe("linkfall_stream_gap_ms", "Time between two reads of a stream.", ms),
    responseLost: (service, listening) =>
      metrics.count(
        "linkfall_responses_lost_total",
        "Lost responses, by whether their target still accepted connections; it refuses them after a crash.",
        { service, listening },
      ),
    crashingRequestRefused: (service, verdict, cause) =>
      metrics.count(
        "linkfall_crashing_requests_refused_total",
        "Requests refused because targets crashed under them or under what they share, by verdict and cause.",
        { service, verdict, cause },
      ),
    retryRequested: (service, granted) =>
      metrics.count(
        "linkfall_retries_total",
        "Retries requested from the retry budget, by whether they were granted.",
        {
          service,
          granted: String(granted),
        },
      ),
    refusedByLimit: (service) =>
      metrics.count(
        "linkfall_target_limit_refusals_total",
        "Requests refused because the rate limits reported by their targets are exhausted.",
        { service },
      ),
    refusedByRest: (service) =>
      metrics.count(
        "linkfall_target_rest_refusals_total",
        "Requests refused because all of their targets had asked for a rest.",
        { service },
      ),
    rejectedByFragileTarget: (service) =>
      metrics.count(
        "linkfall_fragile_target_rejections_total",
        "Requests that targets known to be fragile rejected for want of room.",
        { service },
      ),
    refusedByFragileTargets: (service) =>
      metrics.count(
        "linkfall_fragile_target_refusals_total",
        "Requests refused because their targets are fragile and have no place left.",
        { service },
      ),
    sentToLeavingTarget: (service, sinceMs) =>
      metrics.count(
        "linkfall_sends_to_leaving_targets_total",
        "Sends to targets that were known to be leaving, by the seconds since this box knew it.",
        { service, seconds: ageLabel(sinceMs) },
      ),
    sentToMissingTarget: (service, sinceMs) =>
      metrics.count(
        "linkfall_sends_to_missing_targets_total",
        "Sends to targets without a list entry, by the seconds since this box knew it.",
        { service, seconds: ageLabel(sinceMs) },
      ),
    sentToRestingTarget: (service) =>
      metrics.count(
        "linkfall_sends_to_resting_targets_total",
        "Sends to targets within the time for which they had asked to get no requests.",
        { service },
      ),
    streamBrokenOff: (service, framing) =>
      metrics.count(
        "linkfall_streams_broken_off_total",
        "Streams that ended inside an event, by how the end of the response was marked.",
        { service, framing },
      ),
    streamTakenUp: (service, version) =>
      metrics.count(
        "linkfall_streams_taken_up_total",
        "Requests that continue a stream of an earlier attempt, by where its software version was known, or why they were refused.",
        { service, version },
      ),
    streamVersionGone: (service) =>
      metrics.count(
        "linkfall_streams_without_version_total",
        "Streams that could not go on, as no target of their software version accepted requests.",
        { service },
      ),
    weightsWait: (ms) =>
      metrics.observe("linkfall_weights_wait_ms", "Time that requests waited for weights.", ms),
  };
}
