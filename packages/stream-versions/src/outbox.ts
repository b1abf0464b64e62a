/** Gathers what goes to each box, so that streams that begin or break together share messages. */
import type { Clock } from "@linkfall/kernel";
import type { Milliseconds } from "@linkfall/types";
import type {
  StreamKey,
  StreamVersionsMessage,
  StreamVersionsReply,
  WantedStream,
} from "./messages.js";

/** Sends a message to the box at the address; resolves with undefined if it did not answer. */
export type SendMessage = (
  address: string,
  message: StreamVersionsMessage,
) => Promise<StreamVersionsReply | undefined>;

export interface Outbox {
  tell(address: string, key: StreamKey, version: string | null): void;
  /** Asks the box for a stream; resolves with undefined if it did not answer. */
  ask(address: string, wanted: WantedStream): Promise<StreamVersionsReply | undefined>;
  /** Sends everything that has been gathered; resolves when it is answered. */
  flush(): Promise<void>;
}

interface Draft {
  readonly told: Map<string | null, StreamKey[]>;
  readonly wanted: WantedStream[];
  readonly settlers: ((reply: StreamVersionsReply | undefined) => void)[];
}

/** Time for which messages are gathered; short compared to the time in which a caller comes back. */
const gatherMs: Milliseconds = 5;

export function createOutbox(clock: Clock, send: SendMessage): Outbox {
  const drafts = new Map<string, Draft>();

  const sendDraft = async (address: string, { told, wanted, settlers }: Draft) => {
    const begun = [...told].map(([version, keys]) => ({ version, keys }));
    const reply = await send(address, { told: begun, wanted });
    for (const settle of settlers) settle(reply);
  };
  const flush = async () => {
    const ready = [...drafts];
    drafts.clear();
    await Promise.all(ready.map(([address, draft]) => sendDraft(address, draft)));
  };
  const draftTo = (address: string): Draft => {
    const existing = drafts.get(address);
    if (existing) return existing;
    if (drafts.size === 0) clock.after(gatherMs, () => void flush());
    const draft: Draft = { told: new Map(), wanted: [], settlers: [] };
    drafts.set(address, draft);
    return draft;
  };

  return {
    tell(address, key, version) {
      const { told } = draftTo(address);
      const keys = told.get(version);
      if (keys) keys.push(key);
      else told.set(version, [key]);
    },
    ask: (address, wanted) =>
      new Promise((resolve) => {
        const draft = draftTo(address);
        draft.wanted.push(wanted);
        draft.settlers.push(resolve);
      }),
    flush,
  };
}
