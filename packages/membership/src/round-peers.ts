/** Selects the boxes that receive the heartbeats of one round. */
import type { Random } from "@linkfall/kernel";

/**
 * Selects up to `fanout` addresses, each with the same probability.
 *
 * @param known addresses from all sources; may contain duplicates
 * @param own this box's address, which is excluded
 */
export function selectRoundPeers(
  random: Random,
  known: readonly string[],
  own: string,
  fanout: number,
): readonly string[] {
  const others = [...new Set(known)].filter((address) => address !== own);
  const start = random.nextInt(Math.max(1, others.length));
  return [...others.slice(start), ...others.slice(0, start)].slice(0, fanout);
}
