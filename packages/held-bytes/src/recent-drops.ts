/** Remembers for a while how many bytes of each target gave way, which tells a target that goes on from one with a large event. */
import type { Clock } from "@linkfall/kernel";
import type { Milliseconds } from "@linkfall/types";

/** A target that gave nothing up for this long counts like any other: longer than it takes to fill the room again. */
const rememberedMs: Milliseconds = 5_000;

export interface RecentDrops {
  record(target: string, bytes: number): void;
  bytesOf(target: string): number;
}

/** Creates an empty record, which holds only targets of which something gave way lately. */
export function createRecentDrops(clock: Clock): RecentDrops {
  const drops = new Map<string, { readonly bytes: number; readonly at: Milliseconds }>();
  const bytesOf = (target: string): number => {
    const entry = drops.get(target);
    if (!entry) return 0;
    if (clock.now() - entry.at <= rememberedMs) return entry.bytes;
    drops.delete(target);
    return 0;
  };
  return {
    bytesOf,
    record: (target, bytes) =>
      void drops.set(target, { bytes: bytesOf(target) + bytes, at: clock.now() }),
  };
}
