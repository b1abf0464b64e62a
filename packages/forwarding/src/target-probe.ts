/** Probes targets after a lost response, to tell a crashed process from a lost connection. */
import type { Clock } from "@linkfall/kernel";
import type { ListenerStatus } from "@linkfall/ports";
import type { Milliseconds } from "@linkfall/types";

export interface TargetProbe {
  /**
   * Whether the target at `host:port` accepts connections, `unknown` if this box's own links prevent an answer; losses at about
   * the same time share one probe.
   */
  isListening(address: string): Promise<ListenerStatus>;
}

/** A probe is reused for this long, since a crash loses all requests of the target at once. */
const probeReuseMs: Milliseconds = 200;

/** Creates a probe that tests addresses with `connect`. */
export function createTargetProbe(
  clock: Clock,
  connect: (address: string) => Promise<ListenerStatus>,
): TargetProbe {
  const pendingProbes = new Map<string, Promise<ListenerStatus>>();
  return {
    isListening(address) {
      const pending = pendingProbes.get(address);
      if (pending) return pending;
      const probe = connect(address);
      pendingProbes.set(address, probe);
      clock.after(probeReuseMs, () => pendingProbes.delete(address));
      return probe;
    },
  };
}
