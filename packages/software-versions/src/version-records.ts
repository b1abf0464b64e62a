/** Persists which software versions services have had, for boxes that start when a version has gone from the list. */
import { type Clock, type Service, sleep } from "@linkfall/kernel";
import type { Logger } from "@linkfall/logger";
import type { KeyedStreamPort } from "@linkfall/ports";
import type { Milliseconds, Offset } from "@linkfall/types";
import { z } from "zod";

/** Delay before a failed read is retried, and interval at which the records are compared with the list. */
const retryDelayMs: Milliseconds = 300;

const recordSchema = z.object({ versions: z.array(z.string()) });

export interface VersionRecordsPorts {
  readonly clock: Clock;
  readonly logger: Logger;
  /** The newest record of each key holds the versions of the service of that name. */
  readonly stream: KeyedStreamPort;
  /** Whether this box writes the record of the service; one of the boxes that are connected does. */
  isWriter(service: string): boolean;
  /** Versions by service, as they have to be recorded. */
  current(): ReadonlyMap<string, readonly string[]>;
  /** Called with the versions of each service of which another box has written a record since the last call. */
  onRestored(service: string, versions: readonly string[]): void;
}

export interface VersionRecords extends Service {
  /** Whether the records of earlier boxes have been read. */
  isRead(): boolean;
  /** Reads the records; resolves with whether that succeeded. */
  read(): Promise<boolean>;
}

interface KnownRecord {
  readonly signature: string;
  readonly offset: Offset;
}

function parseVersions(text: string): readonly string[] | undefined {
  try {
    return recordSchema.safeParse(JSON.parse(text)).data?.versions;
  } catch {
    return undefined;
  }
}

const signatureOf = (versions: readonly string[]) => JSON.stringify([...versions].sort());

export function createVersionRecords(ports: VersionRecordsPorts): VersionRecords {
  const { clock, logger, stream } = ports;
  /** The newest record of each service that this box has read or written. */
  const recorded = new Map<string, KnownRecord>();
  let isRead = false;
  let stopped = false;

  /** Takes over what another box has recorded since this one last read or wrote. */
  const restore = (service: string, text: string, offset: Offset) => {
    if (offset <= (recorded.get(service)?.offset ?? -1)) return;
    const versions = parseVersions(text);
    if (!versions) return logger.event("badRecord", { key: service, problem: "no versions" });
    recorded.set(service, { signature: signatureOf(versions), offset });
    ports.onRestored(service, versions);
  };
  /** Returns the end of the records, undefined if they could not be read. */
  const read = async (): Promise<Offset | undefined> => {
    const answer = await stream.readNewest();
    answer.ifLeft(({ kind }) => logger.event("softwareVersionsUnread", { reason: kind }));
    answer.ifRight(({ records }) => {
      for (const { key, value, offset } of records)
        if (value !== undefined) restore(key, value, offset);
      isRead = true;
    });
    return answer
      .map(({ end }) => end)
      .toMaybe()
      .extract();
  };
  const write = async (service: string, versions: readonly string[], end: Offset) => {
    const written = await stream.put(service, JSON.stringify({ versions }), end);
    written.ifRight(
      ({ offset }) => void recorded.set(service, { signature: signatureOf(versions), offset }),
    );
    written.ifLeft(({ kind }) => {
      // Another box has recorded versions meanwhile, which are read before the next try.
      if (kind === "end_moved") return;
      logger.event("softwareVersionsNotKept", { service, reason: kind });
    });
  };
  /** Returns the versions if they have to be recorded by this box. */
  const changedVersions = (service: string): readonly string[] | undefined => {
    const versions = ports.current().get(service) ?? [];
    const isRecorded = recorded.get(service)?.signature === signatureOf(versions);
    return isRecorded || !ports.isWriter(service) ? undefined : versions;
  };
  const writeChanged = async () => {
    for (const service of ports.current().keys()) {
      if (!changedVersions(service)) continue;
      // A box that was out of step must not replace what others have recorded meanwhile.
      const end = await read();
      const versions = changedVersions(service);
      if (end !== undefined && versions) await write(service, versions, end);
    }
  };
  const run = async () => {
    while (!stopped) {
      if (isRead) await writeChanged();
      else await read();
      await sleep(clock, retryDelayMs);
    }
  };
  // A store that has come back from an older copy may lack what it had acknowledged.
  stream.onNewGeneration(() => recorded.clear());

  return {
    isRead: () => isRead,
    read: async () => (await read()) !== undefined,
    async start() {
      void run();
    },
    async stop() {
      stopped = true;
    },
  };
}
