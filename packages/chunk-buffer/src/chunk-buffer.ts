/** Collects the chunks of a body in blocks, so that memory follows the number of bytes and not the number of chunks. */

export interface ChunkBuffer {
  /** Number of collected bytes. */
  size(): number;
  append(chunk: Uint8Array): void;
  /** Returns the collected bytes, which remain collected. */
  peek(): Buffer;
  /** Returns the collected bytes and starts over. */
  take(): Buffer;
  /** Drops the collected bytes. */
  clear(): void;
}

/** Blocks grow with what has been collected, between these sizes. */
const minBlockBytes = 4_096;
const maxBlockBytes = 65_536;
/** A chunk of this size is kept as a block of its own, as a copy would leave a buffer of its size to be collected. */
const minOwnBlockBytes = 16_384;

const noBytes = Buffer.alloc(0);

function blockSize(collectedBytes: number): number {
  return Math.min(maxBlockBytes, Math.max(minBlockBytes, collectedBytes));
}

/** Whether the chunk takes most of the memory that it keeps. */
function fillsItsMemory(chunk: Uint8Array): boolean {
  return chunk.buffer.byteLength <= 2 * chunk.length;
}

/** Returns the bytes as a buffer, without copying them. */
function toBuffer(bytes: Uint8Array): Buffer {
  if (Buffer.isBuffer(bytes)) return bytes;
  return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.length);
}

/** Creates an empty buffer. */
export function createChunkBuffer(): ChunkBuffer {
  /** The first chunk, which is not copied as most bodies have no other, and blocks of copies of the others. */
  let blocks: Buffer[] = [];
  /** The block that is being filled. */
  let block = noBytes;
  let usedBytes = 0;
  let size = 0;

  const clear = () => {
    blocks = [];
    block = noBytes;
    usedBytes = 0;
    size = 0;
  };
  const peek = () => {
    if (size === 0) return noBytes;
    // The unused bytes of the last block lie behind `size`.
    return blocks.length === 1 ? blocks[0] : Buffer.concat(blocks, size);
  };
  const addBlock = () => {
    // Not from Node's pool, whose slabs would outlive the block.
    block = Buffer.allocUnsafeSlow(blockSize(size));
    blocks.push(block);
    usedBytes = 0;
  };
  const keep = (chunk: Uint8Array) => {
    // The unused rest of the block before it would lie between the bytes.
    if (block !== noBytes) blocks[blocks.length - 1] = block.subarray(0, usedBytes);
    blocks.push(toBuffer(chunk));
    block = noBytes;
    usedBytes = 0;
    size += chunk.length;
  };
  const copy = (part: Uint8Array) => {
    block.set(part, usedBytes);
    usedBytes += part.length;
    size += part.length;
  };

  return {
    size: () => size,
    append(chunk) {
      if (size === 0) {
        blocks = [toBuffer(chunk)];
        size = chunk.length;
        return;
      }
      if (chunk.length >= minOwnBlockBytes && fillsItsMemory(chunk)) return keep(chunk);
      let rest = chunk;
      while (rest.length > block.length - usedBytes) {
        const freeBytes = block.length - usedBytes;
        copy(rest.subarray(0, freeBytes));
        rest = rest.subarray(freeBytes);
        addBlock();
      }
      copy(rest);
    },
    peek,
    take() {
      const bytes = peek();
      clear();
      return bytes;
    },
    clear,
  };
}
