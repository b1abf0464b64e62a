/**
 * Rendezvous hashing: boxes that know the same nodes rank them in the same order, and removing a node
 * moves only its own keys.
 */
import murmurhash from "murmurhash";

/** The cache of node hashes is cleared at this size. */
const maxCachedNodeHashes = 10_000;

const nodeHashes = new Map<string, number>();

/** Computes the 32-bit MurmurHash3 of a text. */
export function hash32(text: string, seed = 0): number {
  return murmurhash.v3(text, seed);
}

function cachedNodeHash(node: string): number {
  const cached = nodeHashes.get(node);
  if (cached !== undefined) return cached;
  if (nodeHashes.size >= maxCachedNodeHashes) nodeHashes.clear();
  const hash = hash32(node);
  nodeHashes.set(node, hash);
  return hash;
}

/** The finalizer of MurmurHash3, which mixes all bits of a number. */
function finalizeHash(value: number): number {
  let mixed = value ^ (value >>> 16);
  mixed = Math.imul(mixed, 0x85ebca6b);
  mixed ^= mixed >>> 13;
  mixed = Math.imul(mixed, 0xc2b2ae35);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}

/**
 * Score of a node for a key; the node with the highest score ranks first.
 *
 * @param keyHash the key's {@link hash32}
 */
export function nodeScore(keyHash: number, node: string): number {
  return finalizeHash(keyHash ^ cachedNodeHash(node));
}

/** Ranks the nodes for `key`, the preferred one first. Nodes with equal scores are ordered by name. */
export function rankNodes(key: string, nodes: readonly string[]): readonly string[] {
  const keyHash = hash32(key);
  const scored = nodes.map((node) => ({ node, score: nodeScore(keyHash, node) }));
  scored.sort((a, b) => b.score - a.score || (a.node < b.node ? -1 : 1));
  return scored.map((entry) => entry.node);
}

/** Returns the `count` highest-ranked nodes for `key`, or all nodes in their given order if there are no more. */
export function topNodes(key: string, nodes: readonly string[], count: number): readonly string[] {
  if (nodes.length <= count) return nodes;
  return rankNodes(key, nodes).slice(0, count);
}
