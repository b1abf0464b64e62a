/** Persists held requests in a stream of the store, so that they survive a restart of all boxes. */
import { type Clock, type Service, sleep } from "@linkfall/kernel";
import type { Logger } from "@linkfall/logger";
import type { KeyedStreamPort } from "@linkfall/ports";
import type { HeldRequest, Milliseconds } from "@linkfall/types";
import { type Either, Left, Right } from "purify-ts";
import { heldRequestSchema } from "./held-request-schema.js";
import type { CrashBlame } from "./index.js";

/** Delay before a failed read or write is retried. */
const retryDelayMs: Milliseconds = 300;
/**
 * Time after which a box that cannot read the stream becomes ready without it. Other boxes send the held requests
 * too, and callers would be rejected in the meantime.
 */
const maxReadWaitMs: Milliseconds = 1_000;

/** The oldest decisions are not written again. */
const maxOwnDecisions = 1_000;

export interface HeldRequestStore extends Service {
  /** Whether the stream has been read, or the maximum wait has passed. */
  ready(): boolean;
}

function parseHeldRequest(text: string): Either<string, HeldRequest> {
  try {
    const parsed = heldRequestSchema.safeParse(JSON.parse(text));
    return parsed.success ? Right(parsed.data) : Left(parsed.error.issues[0].message);
  } catch (error) {
    return Left(String(error));
  }
}

/** Creates a store that restores held requests when it starts, and writes this box's decisions. */
export function createHeldRequestStore(
  blame: CrashBlame,
  stream: KeyedStreamPort,
  { clock, logger }: { readonly clock: Clock; readonly logger: Logger },
): HeldRequestStore {
  /** The newest unwritten decision on each request. */
  const pending = new Map<string, HeldRequest>();
  /** The newest decision of this box on each request, to be written again if the store loses it. */
  const ownDecisions = new Map<string, HeldRequest>();
  let ready = false;
  let stopped = false;
  let writing = false;

  const restoreRecord = (key: string, value: string) =>
    parseHeldRequest(value)
      .ifLeft((problem) => logger.event("badRecord", { key, problem }))
      .ifRight(blame.restore);

  const read = async () => {
    while (!stopped) {
      const response = await stream.readNewest();
      response.ifRight(({ records }) => {
        for (const { key, value } of records) if (value !== undefined) restoreRecord(key, value);
        ready = true;
      });
      if (response.isRight()) return;
      response.ifLeft(({ kind }) => logger.event("heldUnread", { reason: kind }));
      await sleep(clock, retryDelayMs);
    }
  };

  const writeOne = async (heldRequest: HeldRequest) => {
    const written = await stream.put(heldRequest.request, JSON.stringify(heldRequest));
    if (written.isLeft()) {
      written.ifLeft(({ kind }) =>
        logger.event("heldNotKept", { fingerprint: heldRequest.request, reason: kind }),
      );
      return sleep(clock, retryDelayMs);
    }
    if (pending.get(heldRequest.request) === heldRequest) pending.delete(heldRequest.request);
  };
  const write = async () => {
    if (writing) return;
    writing = true;
    while (!stopped && pending.size > 0) {
      for (const heldRequest of [...pending.values()]) await writeOne(heldRequest);
    }
    writing = false;
  };

  blame.onDecision((heldRequest) => {
    const { request } = heldRequest;
    ownDecisions.delete(request);
    ownDecisions.set(request, heldRequest);
    if (ownDecisions.size > maxOwnDecisions)
      ownDecisions.delete(ownDecisions.keys().next().value ?? "");
    pending.set(request, heldRequest);
    void write();
  });
  // The store has come back from an older copy, which may lack decisions that it had acknowledged.
  stream.onNewGeneration(() => {
    const held = new Set(blame.heldRequests().map(({ request }) => request));
    // Another box may have released a request that this box has held back.
    const current = [...ownDecisions].filter(
      ([request, decision]) => !decision.held || held.has(request),
    );
    for (const [request, heldRequest] of current) pending.set(request, heldRequest);
    void write();
  });

  return {
    ready: () => ready,
    async start() {
      void read();
      clock.after(maxReadWaitMs, () => (ready = true));
    },
    async stop() {
      stopped = true;
    },
  };
}
