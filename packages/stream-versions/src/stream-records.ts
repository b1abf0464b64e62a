/** The streams whose versions a box knows. Records expire, and the oldest are evicted first. */
import type { Clock } from "@linkfall/kernel";
import type { Milliseconds } from "@linkfall/types";
import type { StreamKey } from "./messages.js";

/** Where this box has begun a stream. */
export interface StreamOrigin {
  readonly service: string;
  readonly target: string;
  /** Whether a caller may take the stream up. */
  readonly resumable: boolean;
}

export interface StreamRecord {
  /** Null if it is in doubt. */
  readonly version: string | null;
  readonly recordedAt: Milliseconds;
  /** Absent if another box began the stream. */
  readonly origin?: StreamOrigin;
}

export interface StreamRecords {
  find(key: StreamKey): StreamRecord | undefined;
  /** Records a stream; a version other than the known one leaves it in doubt. */
  add(key: StreamKey, version: string | null, origin?: StreamOrigin): void;
  all(): Iterable<readonly [StreamKey, StreamRecord]>;
}

/** Limit of the records of a box, which bounds their memory. */
const maxRecords = 50_000;

export function createStreamRecords(clock: Clock, lifeMs: Milliseconds): StreamRecords {
  const records = new Map<StreamKey, StreamRecord>();
  const isExpired = ({ recordedAt }: StreamRecord) => clock.now() - recordedAt > lifeMs;

  const expire = () => {
    for (const [key, record] of records) {
      if (records.size <= maxRecords && !isExpired(record)) return;
      records.delete(key);
    }
  };

  return {
    find(key) {
      const record = records.get(key);
      return record && !isExpired(record) ? record : undefined;
    },
    add(key, version, origin) {
      const known = records.get(key);
      const agreed = known && !isExpired(known) && known.version !== version ? null : version;
      records.delete(key);
      records.set(key, {
        version: agreed,
        recordedAt: clock.now(),
        origin: origin ?? known?.origin,
      });
      expire();
    },
    all() {
      expire();
      return records;
    },
  };
}
