/** The boxes that one round of heartbeats goes to. */
import type { Random } from "@linkfall/kernel";

/**
 * Picks up to `fanout` addresses, each with the same chance.
 *
 * @param known addresses from whatever source, with repeats
 * @param own this box's address, which is left out
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
