/** The direct connection attempts since the last one that succeeded. */
import type { Clock } from "@linkfall/kernel";
import type { Milliseconds } from "@linkfall/types";

/** Connections that must fail in a row before all links are suspected, to one target or to several. */
const minFailures = 2;

export interface Evidence {
  recordConnected(): void;
  recordFailure(target: string, reason: string): void;
  /** Whether enough connections to known targets failed, and none has succeeded since. */
  suffices(known: readonly { readonly id: string }[]): boolean;
  /** Targets whose connections failed, with the reasons. */
  failures(): ReadonlyMap<string, string>;
  /** Time of the first of these failures. */
  since(): Milliseconds | undefined;
  /** Time of the last connection that was established; -Infinity if there was none. */
  lastConnectedAt(): Milliseconds;
}

export function createEvidence(clock: Clock): Evidence {
  const failures = new Map<string, string>();
  let failureCount = 0;
  let since: Milliseconds | undefined;
  let lastConnectedAt = -Infinity;
  return {
    recordConnected() {
      failures.clear();
      failureCount = 0;
      since = undefined;
      lastConnectedAt = clock.now();
    },
    recordFailure(target, reason) {
      failures.set(target, reason);
      failureCount += 1;
      since ??= clock.now();
    },
    suffices(known) {
      const isOfKnown = known.some(({ id }) => failures.has(id));
      return isOfKnown && failureCount >= Math.min(minFailures, known.length);
    },
    failures: () => new Map(failures),
    since: () => since,
    lastConnectedAt: () => lastConnectedAt,
  };
}
