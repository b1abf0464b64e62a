/** Keeps the requests that are held back in a stream of the store, so that they are known after all boxes have ended at once. */
import { type Clock, type Service, sleep } from "@linkfall/kernel";
import type { Logger } from "@linkfall/logger";
import type { KeyedStreamPort } from "@linkfall/ports";
import type { HeldRequest, Milliseconds } from "@linkfall/types";
import { type Either, Left, Right } from "purify-ts";
import { heldRequestSchema } from "./held-request-schema.js";
import type { CrashBlame } from "./index.js";

/** Pause after the stream could not be read or written. */
const againMs: Milliseconds = 300;
/**
 * A box that can't read the stream serves after this time: what is held back is then known to it by other boxes' words, and
 * callers are turned away meanwhile.
 */
const longestWaitMs: Milliseconds = 1_000;

export interface HeldRequestStore extends Service {
  /** Whether the stream has been read, or waited for long enough. */
  ready(): boolean;
}

function parseWord(text: string): Either<string, HeldRequest> {
  try {
    const checked = heldRequestSchema.safeParse(JSON.parse(text));
    return checked.success ? Right(checked.data) : Left(checked.error.issues[0].message);
  } catch (problem) {
    return Left(String(problem));
  }
}

/** Reads what is kept when it starts, and writes what this box decides on. */
export function createHeldRequestStore(
  blame: CrashBlame,
  stream: KeyedStreamPort,
  { clock, logger }: { readonly clock: Clock; readonly logger: Logger },
): HeldRequestStore {
  /** Words that are not written yet, by request; a newer word takes the place of an older one. */
  const unwritten = new Map<string, HeldRequest>();
  let ready = false;
  let stopped = false;
  let writing = false;

  const takeRecord = (key: string, value: string) =>
    parseWord(value)
      .ifLeft((problem) => logger.event("badRecord", { key, problem }))
      .ifRight(blame.restore);

  const read = async () => {
    while (!stopped) {
      const answered = await stream.readNewest();
      answered.ifRight(({ records }) => {
        for (const { key, value } of records) if (value !== undefined) takeRecord(key, value);
        ready = true;
      });
      if (answered.isRight()) return;
      answered.ifLeft(({ kind }) => logger.event("heldUnread", { reason: kind }));
      await sleep(clock, againMs);
    }
  };

  const writeOne = async (word: HeldRequest) => {
    const written = await stream.put(word.request, JSON.stringify(word));
    if (written.isLeft()) {
      written.ifLeft(({ kind }) =>
        logger.event("heldNotKept", { fingerprint: word.request, reason: kind }),
      );
      return sleep(clock, againMs);
    }
    if (unwritten.get(word.request) === word) unwritten.delete(word.request);
  };
  const write = async () => {
    if (writing) return;
    writing = true;
    while (!stopped && unwritten.size > 0) {
      for (const word of [...unwritten.values()]) await writeOne(word);
    }
    writing = false;
  };

  blame.onDecision((word) => {
    unwritten.set(word.request, word);
    void write();
  });

  return {
    ready: () => ready,
    async start() {
      void read();
      clock.after(longestWaitMs, () => (ready = true));
    },
    async stop() {
      stopped = true;
    },
  };
}
