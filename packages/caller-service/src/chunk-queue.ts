/** Parts of an answer on their way from the engine to the caller, with backpressure. */
import type { BodyPart } from "@linkfall/ports";
import { Right } from "purify-ts";

/** Parts that may wait before the engine is held back. */
const mostWaiting = 64;

export interface ChunkQueue {
  /** Adds a part; a promise asks to wait until the caller has read some. */
  push(part: BodyPart): Promise<void> | void;
  /** No further part comes. */
  end(): void;
  /** Resolves with undefined once there is a part. */
  readonly firstPartAdded: Promise<undefined>;
  /** The parts in their order. Whoever stops reading calls the queue off. */
  read(): AsyncGenerator<BodyPart>;
}

/** Parts that wait together as one, so that they cost the reader one write. */
function joined(parts: readonly BodyPart[]): readonly BodyPart[] {
  if (parts.length < 2) return parts;
  const chunks = parts.flatMap((part) => (part.isRight() ? [part.extract()] : []));
  const cuts = parts.filter((part) => part.isLeft());
  return [Right(Buffer.concat(chunks)), ...cuts];
}

/** Creates an empty queue; `calledOff` is called when its reader stops before the end. */
export function createChunkQueue(calledOff: () => void): ChunkQueue {
  let waiting: BodyPart[] = [];
  let ended = false;
  let wakeReader: () => void = () => undefined;
  let release: (() => void) | undefined;
  let noteFilled: (value: undefined) => void = () => undefined;
  const filled = new Promise<undefined>((resolve) => (noteFilled = resolve));

  const takeAll = () => {
    const parts = waiting;
    waiting = [];
    release?.();
    release = undefined;
    return parts;
  };

  return {
    firstPartAdded: filled,
    push(part) {
      waiting.push(part);
      noteFilled(undefined);
      wakeReader();
      if (waiting.length >= mostWaiting) return new Promise((resolve) => (release = resolve));
    },
    end() {
      ended = true;
      wakeReader();
    },
    async *read() {
      try {
        for (;;) {
          for (const part of joined(takeAll())) yield part;
          if (waiting.length > 0) continue;
          if (ended) return;
          await new Promise<void>((resolve) => (wakeReader = resolve));
        }
      } finally {
        takeAll();
        if (!ended) calledOff();
      }
    },
  };
}
