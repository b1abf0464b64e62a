/** Gathers what goes to each box, so that streams that begin or break together share messages. */
import type { Clock } from "@linkfall/kernel";
import type { Milliseconds } from "@linkfall/types";
import type {
  BegunStreams,
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
  /** Has the box record the stream in the store; resolves to false if it does not answer, or cannot. */
  record(address: string, key: StreamKey, version: string | null): Promise<boolean>;
  /** Asks the box for a stream; resolves with undefined if it did not answer. */
  ask(address: string, wanted: WantedStream): Promise<StreamVersionsReply | undefined>;
  /** Sends everything that has been gathered; resolves when it is answered. */
  flush(): Promise<void>;
}

type KeysByVersion = Map<string | null, StreamKey[]>;

interface Draft {
  readonly told: KeysByVersion;
  readonly wanted: WantedStream[];
  readonly settlers: ((reply: StreamVersionsReply | undefined) => void)[];
}

interface RecordDraft {
  readonly record: KeysByVersion;
  readonly settlers: ((isAccepted: boolean) => void)[];
}

/** Time for which messages are gathered; short compared to the time in which a caller comes back. */
const gatherMs: Milliseconds = 5;

function addKey(keysByVersion: KeysByVersion, key: StreamKey, version: string | null): void {
  const keys = keysByVersion.get(version);
  if (keys) keys.push(key);
  else keysByVersion.set(version, [key]);
}

const toBegun = (keysByVersion: KeysByVersion): readonly BegunStreams[] =>
  [...keysByVersion].map(([version, keys]) => ({ version, keys }));

export function createOutbox(clock: Clock, send: SendMessage): Outbox {
  const drafts = new Map<string, Draft>();
  /** Apart from the others, as they are answered later. */
  const recordDrafts = new Map<string, RecordDraft>();

  const sendDraft = async (address: string, { told, wanted, settlers }: Draft) => {
    const reply = await send(address, { told: toBegun(told), wanted });
    for (const settle of settlers) settle(reply);
  };
  const sendRecordDraft = async (address: string, { record, settlers }: RecordDraft) => {
    const reply = await send(address, { told: [], wanted: [], record: toBegun(record) });
    for (const settle of settlers) settle(reply?.records === true);
  };
  const flush = async () => {
    const ready = [...drafts];
    const readyRecords = [...recordDrafts];
    drafts.clear();
    recordDrafts.clear();
    await Promise.all([
      ...ready.map(([address, draft]) => sendDraft(address, draft)),
      ...readyRecords.map(([address, draft]) => sendRecordDraft(address, draft)),
    ]);
  };
  const scheduleFlush = () => {
    if (drafts.size + recordDrafts.size === 0) clock.after(gatherMs, () => void flush());
  };
  const draftTo = (address: string): Draft => {
    const existing = drafts.get(address);
    if (existing) return existing;
    scheduleFlush();
    const draft: Draft = { told: new Map(), wanted: [], settlers: [] };
    drafts.set(address, draft);
    return draft;
  };
  const recordDraftTo = (address: string): RecordDraft => {
    const existing = recordDrafts.get(address);
    if (existing) return existing;
    scheduleFlush();
    const draft: RecordDraft = { record: new Map(), settlers: [] };
    recordDrafts.set(address, draft);
    return draft;
  };

  return {
    tell: (address, key, version) => addKey(draftTo(address).told, key, version),
    record: (address, key, version) =>
      new Promise((resolve) => {
        const draft = recordDraftTo(address);
        addKey(draft.record, key, version);
        draft.settlers.push(resolve);
      }),
    ask: (address, wanted) =>
      new Promise((resolve) => {
        const draft = draftTo(address);
        draft.wanted.push(wanted);
        draft.settlers.push(resolve);
      }),
    flush,
  };
}
