/** Looks at targets whose answers were lost: whether they still take connections. */
import type { Clock } from "@linkfall/kernel";
import type { ListenerStatus } from "@linkfall/ports";
import type { Milliseconds } from "@linkfall/types";

export interface LostTargets {
  /** Whether the target at the address still takes connections; losses of one moment share one look. */
  look(address: string): Promise<ListenerStatus>;
}

/** Losses within this time are taken for one: all requests of a target that ends are lost together. */
const togetherMs: Milliseconds = 200;

/** Creates the look; `ask` connects to an address. */
export function createLostTargets(
  clock: Clock,
  ask: (address: string) => Promise<ListenerStatus>,
): LostTargets {
  const looks = new Map<string, Promise<ListenerStatus>>();
  return {
    look(address) {
      const known = looks.get(address);
      if (known) return known;
      const asked = ask(address);
      looks.set(address, asked);
      clock.after(togetherMs, () => looks.delete(address));
      return asked;
    },
  };
}
