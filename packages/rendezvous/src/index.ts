/**
 * Rendezvous hashing: every box that knows the same nodes ranks them alike, and a node that goes
 * moves only its own keys.
 */
import murmurhash from "murmurhash";

/** A 32-bit hash of a text. */
export function hash32(text: string, seed = 0): number {
  return murmurhash.v3(text, seed);
}

/** How strongly `key` is drawn to `node`. */
export function affinity(key: string, node: string): number {
  return hash32(node, hash32(key));
}

/** The nodes in the order of preference for `key`. Equal hashes are ordered by name. */
export function rankNodes(key: string, nodes: readonly string[]): readonly string[] {
  const seed = hash32(key);
  const scored = nodes.map((node) => ({ node, score: hash32(node, seed) }));
  scored.sort((a, b) => b.score - a.score || (a.node < b.node ? -1 : 1));
  return scored.map((entry) => entry.node);
}

/** The first `count` nodes for `key`. */
export function topNodes(key: string, nodes: readonly string[], count: number): readonly string[] {
  if (nodes.length <= count) return nodes;
  return rankNodes(key, nodes).slice(0, count);
}
