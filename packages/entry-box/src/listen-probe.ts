/** Limits of probes that tell whether a target still accepts connections. */
import type { Milliseconds } from "@linkfall/types";

/** A stopped target refuses the connection within milliseconds; an unreachable one does not answer. */
export const listenProbeTimeoutMs: Milliseconds = 100;
