/** Looks at targets whose answers were lost: whether they still take connections. */
import type { Clock } from "@linkfall/kernel";
import type { ListenerStatus } from "@linkfall/ports";
import type { Milliseconds } from "@linkfall/types";

export interface TargetProbe {
  /** Whether the target at the address still takes connections; losses of one moment share one look. */
  isListening(address: string): Promise<ListenerStatus>;
}

/** Losses within this time are taken for one: all requests of a target that ends are lost together. */
const probeReuseMs: Milliseconds = 200;

/** Creates the look; `ask` connects to an address. */
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
