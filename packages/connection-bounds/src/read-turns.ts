/**
 * Shares the time for parsing between the connections of a process. A read of many short chunks or requests takes far longer than
 * others of its size, so that reads are passed on in slices, and connections whose slices take long wait for their turn.
 */
import type { Socket } from "node:net";
import type { BodyHold } from "@linkfall/held-bytes";
import type { Clock } from "@linkfall/kernel";
import type { Milliseconds } from "@linkfall/types";

/** The first slice of a connection; the next ones are larger if it takes little time. */
const minSliceBytes = 1_024;
const maxSliceBytes = 65_536;
/** A slice that takes less time than this is followed by a larger one. */
const cheapSliceMs: Milliseconds = 0.2;
/** Time that a connection may take without waiting for its turn, until it has sent a complete request. */
const ownShareMs: Milliseconds = 0.3;
/** Share of the time that all connections may take before they wait, and the time by which they may exceed it at once. */
const commonShare = 0.5;
const commonBurstMs: Milliseconds = 2;
/** Reads of this size are large, and only so many of them are made in one turn of the event loop. */
const largeReadBytes = 16_384;
const largeReadsPerTurn = 8;

export interface ReadTurns {
  /**
   * Takes over the reads of a connection; `parse` is called with each slice. `hold` counts the bytes that wait, and `onNoRoom` is
   * called when it has no room for them, or has dropped them for others.
   */
  add(socket: Socket, parse: (bytes: Buffer) => void, options: TurnOptions): TurnReader;
  /** Whether bytes or connections wait for their turn. */
  hasWaiting(): boolean;
}

export interface TurnOptions {
  readonly hold?: BodyHold;
  onNoRoom(): void;
  /** Called with an exception that `parse` threw. */
  onDefect(defect: unknown): void;
  /** Returns where the slice ends that begins at `from` and ends at `to` at the latest; `to` if absent. */
  cut?(bytes: Buffer, from: number, to: number): number;
}

export interface TurnReader {
  /** Passes nothing on until `resume`. */
  suspend(): void;
  resume(): void;
  /** The connection has sent a complete request. */
  recordRequest(): void;
  /** Whether bytes have been read that are not passed on yet. */
  hasBytes(): boolean;
}

/** A connection as the turns see it. */
interface Reader {
  /** Passes one slice on. */
  passSlice(): void;
  /** Whether bytes wait that may be passed on. */
  isWaiting(): boolean;
  /** Reads from the connection again if nothing waits. */
  readOn(): void;
}

/** Creates the turns of one process. */
export function createReadTurns(clock: Clock): ReadTurns {
  /** Connections that wait for their turn, the one that has waited for longest first. */
  const waiting = new Set<Reader>();
  /** Connections that are not read until there is a turn for a large read. */
  const waitingToRead = new Set<Reader>();
  let largeReads = 0;
  let scheduled = false;
  /** Time taken beyond the common share, as of `takenAt`. */
  let takenMs = 0;
  let takenAt = clock.now();

  const isBusy = (): boolean => {
    const now = clock.now();
    takenMs = Math.max(0, takenMs - (now - takenAt) * commonShare);
    takenAt = now;
    return takenMs > commonBurstMs;
  };
  const runTurn = () => {
    scheduled = false;
    largeReads = 0;
    let readers = largeReadsPerTurn;
    for (const reader of waitingToRead) {
      if (readers-- === 0) break;
      waitingToRead.delete(reader);
      reader.readOn();
    }
    // At least one slice in each turn of the event loop, so that none waits without end.
    for (const reader of waiting) {
      waiting.delete(reader);
      reader.passSlice();
      if (reader.isWaiting()) waiting.add(reader);
      if (isBusy()) break;
    }
    if (waiting.size + waitingToRead.size > 0) schedule();
  };
  const schedule = () => {
    if (scheduled) return;
    scheduled = true;
    setImmediate(runTurn);
  };
  const enqueue = (reader: Reader) => {
    waiting.add(reader);
    schedule();
  };

  return {
    hasWaiting: () => waiting.size + waitingToRead.size > 0,
    add(socket, parse, { hold, onNoRoom, onDefect, cut = (_bytes, _from, to) => to }) {
      /** Reads that are not passed on completely; of the first one, the bytes before `offset` have been. */
      const reads: Buffer[] = [];
      let offset = 0;
      let sliceBytes = minSliceBytes;
      let suspended = false;
      let paused = false;
      let pausedByServer = false;
      let ownMs = 0;
      hold?.allowDrop(onNoRoom);

      const passOn = (bytes: Buffer) => {
        const startedAt = clock.now();
        try {
          parse(bytes);
        } catch (defect) {
          onDefect(defect);
        }
        const tookMs = clock.now() - startedAt;
        takenMs += tookMs;
        ownMs += tookMs;
        sliceBytes =
          tookMs < cheapSliceMs ? Math.min(maxSliceBytes, sliceBytes * 2) : minSliceBytes;
      };
      const isWaiting = () =>
        reads.length > 0 && !suspended && !pausedByServer && !socket.destroyed;
      const [pauseSocket, resumeSocket] = [socket.pause.bind(socket), socket.resume.bind(socket)];
      const readOn = () => {
        if (!paused || reads.length > 0 || socket.destroyed) return;
        paused = false;
        hold?.close();
        if (!pausedByServer) resumeSocket();
      };
      // Node's server pauses the connection while its client or a handler does not take bytes, throws if it gets some then, and
      // resumes it whenever the body of a request is read.
      socket.pause = () => {
        pausedByServer = true;
        return pauseSocket();
      };
      socket.resume = () => {
        pausedByServer = false;
        if (!paused) return resumeSocket();
        if (isWaiting()) enqueue(reader);
        return socket;
      };
      const passSlice = () => {
        const [first] = reads;
        const end = cut(first, offset, Math.min(first.length, offset + sliceBytes));
        const slice = first.subarray(offset, end);
        offset = end;
        if (end === first.length) {
          reads.shift();
          offset = 0;
        }
        passOn(slice);
      };
      const reader: Reader = {
        passSlice() {
          if (isWaiting()) passSlice();
          readOn();
        },
        isWaiting,
        readOn,
      };
      const pause = () => {
        paused = true;
        pauseSocket();
      };
      const keep = (bytes: number) => {
        if (hold && !hold.add(bytes)) return onNoRoom();
        pause();
        if (isWaiting()) enqueue(reader);
      };
      const countLargeRead = () => {
        largeReads += 1;
        schedule();
        if (largeReads <= largeReadsPerTurn || paused) return;
        waitingToRead.add(reader);
        pause();
      };

      socket.on("data", (bytes: Buffer) => {
        if (reads.push(bytes) > 1) return keep(bytes.length);
        while (isWaiting() && (ownMs < ownShareMs || !isBusy())) passSlice();
        if (socket.destroyed) return;
        if (reads.length > 0) keep(bytes.length - offset);
        if (bytes.length >= largeReadBytes) countLargeRead();
      });
      socket.once("close", () => {
        reads.length = 0;
        waiting.delete(reader);
        waitingToRead.delete(reader);
        hold?.close();
      });

      return {
        suspend: () => void (suspended = true),
        resume() {
          if (!suspended) return;
          suspended = false;
          // Not at once: the caller may be inside `parse`.
          if (isWaiting()) enqueue(reader);
        },
        recordRequest: () => void (ownMs = 0),
        hasBytes: () => reads.length > 0,
      };
    },
  };
}
