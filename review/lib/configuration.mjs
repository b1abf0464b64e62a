/** A configuration like that of Isar Seismic Feeds, with some of its kinds of request. */

export const host = "feeds.example";
export const plainService = "feed-api";
export const streamService = "bulletin-llm";

const maxConnections = { [plainService]: 100, [streamService]: 360 };

function route(name, service, fields) {
  return { name, host, path_prefix: `/${name}/`, service, max_attempts: 2, priority: 1, ...fields };
}

/** Returns version 1; `quake-bulletin` is the only kind of stream that may be resumed. */
export function configuration(plainTimeoutMs = 1_000) {
  return {
    version: 1,
    routes: [
      route("wave-snippet", plainService, {
        kind: "unsafe",
        timeout_ms: plainTimeoutMs,
        target_latency_ms: 193,
      }),
      route("station-status", plainService, {
        kind: "safe",
        timeout_ms: plainTimeoutMs,
        target_latency_ms: 193,
      }),
      route("aftershock-bulletin", streamService, {
        kind: "streaming",
        resumable: false,
        timeout_ms: 12_000,
        target_latency_ms: 5_000,
        target_gap_ms: 400,
      }),
      route("quake-bulletin", streamService, {
        kind: "streaming",
        resumable: true,
        timeout_ms: 15_000,
        target_latency_ms: 800,
        target_gap_ms: 400,
      }),
      route("public-notice", streamService, {
        kind: "streaming",
        resumable: false,
        timeout_ms: 15_000,
        target_latency_ms: 1_500,
        target_gap_ms: 400,
      }),
    ],
    services: Object.entries(maxConnections).map(([name, max_connections]) => ({
      name,
      health_path: "/health",
      max_connections,
    })),
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 4_194_304,
      header_timeout_ms: 3_000,
      idle_timeout_ms: 15_000,
    },
  };
}
