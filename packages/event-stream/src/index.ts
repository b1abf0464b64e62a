/** Splits a server-sent event stream into events without changing its bytes. */
import { createChunkBuffer } from "@linkfall/chunk-buffer";

/** A complete event, including the blank line that terminates it, or several events without ids that follow each other. */
export interface StreamEvent {
  readonly bytes: Buffer;
  /** Value of the `id` field, if there is one. */
  readonly id?: string;
}

export interface EventSplitter {
  /** Adds a chunk and returns the events that it completes. */
  push(bytes: Buffer): readonly StreamEvent[];
  /** Returns the bytes after the last complete event. */
  rest(): Buffer;
  /** Number of bytes after the last complete event. */
  restBytes(): number;
  /** Whether `rest` is part of an event; blank lines and complete comment lines are not. */
  isInsideEvent(): boolean;
}

const lineFeed = 0x0a;
const carriageReturn = 0x0d;
const byteOrderMark = Buffer.from("\ufeff").toString("latin1");
const idField = new RegExp(`(?:^(?:${byteOrderMark})?|[\\r\\n])id: ?([^\\r\\n]*)`);
/** A line that is neither blank nor a comment. */
const fieldLine = /(?:^|[\r\n])[^:\r\n]/;
const unterminatedLine = /[^\r\n]$/;

/** Size of the shortest event with an id field. */
const minEventBytesWithId = "id:\n\n".length;

function findId(bytes: Buffer): string | undefined {
  if (bytes.length < minEventBytesWithId) return undefined;
  return idField.exec(bytes.toString("latin1"))?.[1];
}

/** Whether bytes without a complete event hold a field line or end inside a line. */
function isPartOfEvent(bytes: Buffer): boolean {
  const text = bytes.toString("latin1");
  const lines = text.startsWith(byteOrderMark) ? text.slice(byteOrderMark.length) : text;
  return unterminatedLine.test(lines) || fieldLine.test(lines);
}

/** What precedes a byte of an event: a line, or the line end (CR LF, LF or CR) that terminates one. */
type Preceding = "line" | "feed" | "return" | "pair" | "pair_and_return";

/** What follows a byte that belongs to the event. */
function precedingAfter(byte: number, preceding: Preceding): Preceding {
  if (byte === lineFeed) return preceding === "return" ? "pair" : "feed";
  return byte === carriageReturn ? "return" : "line";
}

/** Whether the byte begins a second line end, so that the line before it is blank. */
function beginsBlankLine(byte: number, preceding: Preceding): boolean {
  if (preceding === "line") return false;
  if (preceding === "return") return byte === carriageReturn;
  return byte === lineFeed || byte === carriageReturn;
}

/** Creates the splitter of one stream. Each byte is looked at once, whatever the sizes of chunks and events. */
export function createEventSplitter(): EventSplitter {
  /** Bytes of the event that is not complete. */
  const unfinished = createChunkBuffer();
  let preceding: Preceding = "line";

  const complete = (bytes: Buffer): Buffer => {
    preceding = "line";
    if (unfinished.size() === 0) return bytes;
    unfinished.append(bytes);
    return unfinished.take();
  };
  /** Returns the index after the event that goes on at `from`, or -1 if the chunk does not complete it. */
  const findEnd = (bytes: Buffer, from: number): number => {
    for (let index = from; index < bytes.length; index += 1) {
      const byte = bytes[index];
      if (preceding === "pair_and_return") return byte === lineFeed ? index + 1 : index;
      if (!beginsBlankLine(byte, preceding)) {
        preceding = precedingAfter(byte, preceding);
        continue;
      }
      if (byte === lineFeed) return index + 1;
      if (index + 1 < bytes.length) return index + (bytes[index + 1] === lineFeed ? 2 : 1);
      // A stream with CR LF line ends may have been divided between the two.
      if (preceding !== "pair") return index + 1;
      preceding = "pair_and_return";
    }
    return -1;
  };

  return {
    push(bytes) {
      const events: StreamEvent[] = [];
      let start = 0;
      // Start of the events without ids that are returned together; they may be as short as a blank line each.
      let withoutIdFrom = 0;
      const addEventsWithoutId = (end: number) => {
        if (withoutIdFrom < end) events.push({ bytes: bytes.subarray(withoutIdFrom, end) });
      };
      for (let end = findEnd(bytes, start); end >= 0; end = findEnd(bytes, start)) {
        const isContinued = unfinished.size() > 0;
        const event = complete(bytes.subarray(start, end));
        const id = findId(event);
        if (isContinued || id !== undefined) {
          addEventsWithoutId(start);
          events.push({ bytes: event, id });
          withoutIdFrom = end;
        }
        start = end;
      }
      addEventsWithoutId(start);
      if (start < bytes.length) unfinished.append(bytes.subarray(start));
      return events;
    },
    rest: unfinished.peek,
    restBytes: unfinished.size,
    isInsideEvent: () => isPartOfEvent(unfinished.peek()),
  };
}
