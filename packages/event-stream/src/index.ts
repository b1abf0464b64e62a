/** Cuts an event stream into whole events, byte for byte. */

/** One whole event with the blank line that ends it. */
export interface StreamEvent {
  readonly bytes: Buffer;
  /** Its `id` field, where it has one. */
  readonly id?: string;
}

export interface EventSplitter {
  /** Takes bytes; returns the events that are whole now. */
  push(bytes: Buffer): readonly StreamEvent[];
  /** Bytes of an event that is not whole yet. */
  rest(): Buffer;
}

const lineFeed = 0x0a;
const carriageReturn = 0x0d;
const idField = /(?:^|\n)id:\s?([^\r\n]*)/;

/** Index after the blank line that ends the first event at or after `from`, or -1. */
function findEventEnd(bytes: Buffer, from: number): number {
  let index = bytes.indexOf(lineFeed, from);
  while (index >= 0) {
    const next = bytes[index + 1] === carriageReturn ? index + 2 : index + 1;
    if (bytes[next] === lineFeed) return next + 1;
    index = bytes.indexOf(lineFeed, index + 1);
  }
  return -1;
}

function toEvent(bytes: Buffer): StreamEvent {
  const id = idField.exec(bytes.toString("latin1"))?.[1];
  return { bytes, id };
}

/** Creates a splitter for one stream. */
export function createEventSplitter(): EventSplitter {
  let buffered: Buffer = Buffer.alloc(0);
  return {
    push(bytes) {
      buffered = buffered.length === 0 ? bytes : Buffer.concat([buffered, bytes]);
      const events: StreamEvent[] = [];
      for (let end = findEventEnd(buffered, 0); end >= 0; end = findEventEnd(buffered, 0)) {
        events.push(toEvent(buffered.subarray(0, end)));
        buffered = buffered.subarray(end);
      }
      return events;
    },
    rest: () => buffered,
  };
}
