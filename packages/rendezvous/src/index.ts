/**
 * Rendezvous hashing: every box that knows the same nodes ranks them alike, and a node that goes
 * moves only its own keys.
 */
import murmurhash from "murmurhash";

/** Names of nodes are hashed once; this many are kept. */
const maxCachedNodeHashes = 10_000;

const nodeHashes = new Map<string, number>();

/** A 32-bit hash of a text. */
export function hash32(text: string, seed = 0): number {
  return murmurhash.v3(text, seed);
}

function cachedNodeHash(node: string): number {
  const known = nodeHashes.get(node);
  if (known !== undefined) return known;
  if (nodeHashes.size >= maxCachedNodeHashes) nodeHashes.clear();
  const hash = hash32(node);
  nodeHashes.set(node, hash);
  return hash;
}

/** Spreads the bits of a number: the last step of MurmurHash3. */
function finalizeHash(value: number): number {
  let mixed = value ^ (value >>> 16);
  mixed = Math.imul(mixed, 0x85ebca6b);
  mixed ^= mixed >>> 13;
  mixed = Math.imul(mixed, 0xc2b2ae35);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}

/**
 * How strongly a key is drawn to a node.
 *
 * @param keyHash the key's {@link hash32}
 */
export function nodeScore(keyHash: number, node: string): number {
  return finalizeHash(keyHash ^ cachedNodeHash(node));
}

/** The nodes in the order of preference for `key`. Equal hashes are ordered by name. */
export function rankNodes(key: string, nodes: readonly string[]): readonly string[] {
  const keyHash = hash32(key);
  const scored = nodes.map((node) => ({ node, score: nodeScore(keyHash, node) }));
  scored.sort((a, b) => b.score - a.score || (a.node < b.node ? -1 : 1));
  return scored.map((entry) => entry.node);
}

/** The first `count` nodes for `key`. */
export function topNodes(key: string, nodes: readonly string[], count: number): readonly string[] {
  if (nodes.length <= count) return nodes;
  return rankNodes(key, nodes).slice(0, count);
}
