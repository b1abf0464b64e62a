/** Keeps the bytes of a response for a caller that is behind, counted against the bound of the box. */
import type { ServerResponse } from "node:http";
import type { HeldBytes, UnforwardedSource } from "@linkfall/held-bytes";

/** Larger buffers are written in parts, so that the box notices when their caller takes some of the bytes. */
const maxWriteBytes = 65_536;
/** Memory that a buffer takes beside its bytes, which matters for a response that arrives byte by byte. */
const bufferOverheadBytes = 256;
/** Written buffers are removed from the list in steps, since each removal moves the rest of the list. */
const compactionStep = 256;

export interface HeldQueue {
  /** Writes or keeps bytes; false if no more are to be read from the target. */
  write(bytes: Buffer): boolean;
  /** Calls the listener once when more bytes may be read from the target. */
  onRoom(listener: () => void): void;
  /** Ends the response when all bytes, the last ones included, are written. */
  end(last?: Buffer): void;
  setUnforwarded(bytes: number, source?: UnforwardedSource): void;
}

/** Creates the queue of one response; `abort` is called if the response has to be ended because of the bound. */
export function createHeldQueue(
  response: ServerResponse,
  held: HeldBytes,
  abort: () => void,
): HeldQueue {
  const waiting: Buffer[] = [];
  let next = 0;
  let waitingBytes = 0;
  let blocked = false;
  let ended = false;
  let dropped = false;
  let roomListener: (() => void) | undefined;

  const notifyRoom = () => {
    const listener = roomListener;
    roomListener = undefined;
    listener?.();
  };
  const drop = () => {
    dropped = true;
    waiting.length = 0;
    next = 0;
    waitingBytes = 0;
  };
  const hold = held.holdResponse({
    onRoom: notifyRoom,
    onEnd() {
      drop();
      abort();
    },
  });
  response.once("close", () => {
    drop();
    hold.close();
  });

  const unreadBytes = () => (blocked ? waitingBytes + response.writableLength : 0);
  const isEmpty = () => next === waiting.length;
  const takeNext = (): Buffer => {
    const bytes = waiting[next];
    next += 1;
    waitingBytes -= bytes.length + bufferOverheadBytes;
    if (next % compactionStep === 0) waiting.splice(0, next);
    next %= compactionStep;
    return bytes;
  };
  const writeNow = (bytes: Buffer) => {
    if (response.write(bytes)) return;
    blocked = true;
    response.once("drain", handleDrain);
  };
  const handleDrain = () => {
    if (dropped) return;
    blocked = false;
    hold.recordTaken();
    while (!blocked && !isEmpty()) writeNow(takeNext());
    if (ended && isEmpty()) finish();
    hold.setUnread(unreadBytes());
    if (isEmpty() && !ended) notifyRoom();
  };
  /** What Node.js still keeps counts until the response is closed. */
  const finish = (last?: Buffer) => {
    response.end(last);
    blocked = response.writableLength > 0;
  };
  const keep = (bytes: Buffer) => {
    if (!blocked) return writeNow(bytes);
    waiting.push(bytes);
    waitingBytes += bytes.length + bufferOverheadBytes;
  };

  const write = (bytes: Buffer): boolean => {
    if (dropped) return true;
    if (bytes.length <= maxWriteBytes) keep(bytes);
    else
      for (let start = 0; start < bytes.length; start += maxWriteBytes)
        keep(bytes.subarray(start, start + maxWriteBytes));
    return blocked ? hold.setUnread(unreadBytes()) : true;
  };

  return {
    write,
    onRoom: (listener) => void (roomListener = listener),
    end(last) {
      if (dropped) return;
      const isLarge = last !== undefined && last.length > maxWriteBytes;
      if (isLarge) write(last);
      else if (last && blocked) keep(last);
      ended = true;
      if (!isEmpty()) return void hold.setUnread(unreadBytes());
      finish(isLarge || blocked ? undefined : last);
      if (blocked) hold.setUnread(unreadBytes());
    },
    setUnforwarded: hold.setUnforwarded,
  };
}
