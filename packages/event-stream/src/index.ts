/** Splits a server-sent event stream into events without changing its bytes. */

/** A complete event, including the blank line that terminates it. */
export interface StreamEvent {
  readonly bytes: Buffer;
  /** Value of the `id` field, if there is one. */
  readonly id?: string;
}

export interface EventSplitter {
  /** Adds a chunk and returns the events that it completes. */
  push(bytes: Buffer): readonly StreamEvent[];
  /** Returns the bytes of the incomplete event. */
  rest(): Buffer;
}

const lineFeed = 0x0a;
const carriageReturn = 0x0d;
const idField = /(?:^|\n)id:\s?([^\r\n]*)/;

/** Returns the index after the blank line that terminates the first event at or after `from`, or -1. */
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

/** Creates the splitter of one stream. */
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
