/** Bounds the bytes of request bodies in flight to each target, and tells which targets read them slowly. */
import type { Clock } from "@linkfall/kernel";
import type { Milliseconds } from "@linkfall/types";

/** Returns the bytes of a body that have not left the box yet. */
export type UnsentBytes = () => number;

export interface TargetBodies {
  /** Whether a body of this size may be sent to the target now. */
  hasRoom(target: string, bytes: number): boolean;
  /** Counts a body until the returned function is called. */
  begin(target: string, bytes: number, unsentBytes: UnsentBytes): () => void;
}

/**
 * A target that has not taken a body after this time reads slowly. Boxes have 10 Mbit/s or more, at which a body of 512 KiB
 * takes less; a target that stops reading has no use for further bodies.
 */
const slowReadMs: Milliseconds = 500;
/** Smaller bodies fit into the socket buffers, so they say nothing about how the target reads. */
const minTellingBytes = 65_536;

interface Sending {
  readonly startedAt: Milliseconds;
  readonly unsentBytes: UnsentBytes;
}

interface TargetRecord {
  bytes: number;
  bodies: number;
  /** Bodies that tell how the target reads, the oldest first. */
  readonly telling: Set<Sending>;
}

/** Creates the bound; a single body may always be sent to a target that has none. */
export function createTargetBodies(clock: Clock, maxBytesPerTarget: number): TargetBodies {
  const records = new Map<string, TargetRecord>();

  const readsSlowly = ({ telling }: TargetRecord): boolean => {
    for (const sending of telling) {
      if (sending.startedAt > clock.now() - slowReadMs) return false;
      if (sending.unsentBytes() > 0) return true;
      // It has been sent, so that it tells nothing any more.
      telling.delete(sending);
    }
    return false;
  };

  return {
    hasRoom(target, bytes) {
      const record = records.get(target);
      if (!record || bytes === 0) return true;
      return record.bytes + bytes <= maxBytesPerTarget && !readsSlowly(record);
    },
    begin(target, bytes, unsentBytes) {
      if (bytes === 0) return () => undefined;
      const record = records.get(target) ?? { bytes: 0, bodies: 0, telling: new Set<Sending>() };
      records.set(target, record);
      record.bytes += bytes;
      record.bodies += 1;
      const sending = { startedAt: clock.now(), unsentBytes };
      if (bytes >= minTellingBytes) record.telling.add(sending);
      let ended = false;
      return () => {
        if (ended) return;
        ended = true;
        record.bytes -= bytes;
        record.bodies -= 1;
        record.telling.delete(sending);
        if (record.bodies === 0) records.delete(target);
      };
    },
  };
}

/** Places no bound; for boxes without a memory setting. */
export const unboundedTargetBodies: TargetBodies = {
  hasRoom: () => true,
  begin: () => () => undefined,
};
