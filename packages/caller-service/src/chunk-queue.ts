/** Queue between an engine and a caller for the parts of a streamed response, with backpressure. */
import type { BodyPart } from "@linkfall/ports";
import { Right } from "purify-ts";

/** Queue length from which on the writer is paused. */
const maxPending = 64;

export interface ChunkQueue {
  /** Adds a part. A returned promise resolves when the writer may continue. */
  push(part: BodyPart): Promise<void> | void;
  /** Marks the queue as complete. */
  end(): void;
  /** Resolves when the first part has been added. */
  readonly firstPartAdded: Promise<undefined>;
  /** Yields the parts in order. Stopping before the end cancels the queue. */
  read(): AsyncGenerator<BodyPart>;
}

/** Merges the pending chunks into one, which the reader sends in a single write. */
function coalesce(parts: readonly BodyPart[]): readonly BodyPart[] {
  if (parts.length < 2) return parts;
  const chunks = parts.flatMap((part) => (part.isRight() ? [part.extract()] : []));
  const failures = parts.filter((part) => part.isLeft());
  return [Right(Buffer.concat(chunks)), ...failures];
}

/** Creates an empty queue. `onCancel` is called if the reader stops before the end. */
export function createChunkQueue(onCancel: () => void): ChunkQueue {
  let pending: BodyPart[] = [];
  let ended = false;
  let resumeReader: () => void = () => undefined;
  let resumeWriter: (() => void) | undefined;
  let resolveFirstPartAdded: (value: undefined) => void = () => undefined;
  const firstPartAdded = new Promise<undefined>((resolve) => (resolveFirstPartAdded = resolve));

  const takeAll = () => {
    const parts = pending;
    pending = [];
    resumeWriter?.();
    resumeWriter = undefined;
    return parts;
  };

  return {
    firstPartAdded,
    push(part) {
      pending.push(part);
      resolveFirstPartAdded(undefined);
      resumeReader();
      if (pending.length >= maxPending) return new Promise((resolve) => (resumeWriter = resolve));
    },
    end() {
      ended = true;
      resumeReader();
    },
    async *read() {
      try {
        for (;;) {
          for (const part of coalesce(takeAll())) yield part;
          if (pending.length > 0) continue;
          if (ended) return;
          await new Promise<void>((resolve) => (resumeReader = resolve));
        }
      } finally {
        takeAll();
        if (!ended) onCancel();
      }
    },
  };
}
