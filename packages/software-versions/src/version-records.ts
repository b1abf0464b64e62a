/** Persists which software versions services have had, for boxes that start when a version has gone from the list. */
import { type Clock, type Service, sleep } from "@linkfall/kernel";
import type { Logger } from "@linkfall/logger";
import type { KeyedStreamPort } from "@linkfall/ports";
import type { Milliseconds } from "@linkfall/types";
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
  /** Called with the versions of each service that has a record, each time that they are read. */
  onRestored(service: string, versions: readonly string[]): void;
}

export interface VersionRecords extends Service {
  /** Whether the records of earlier boxes have been read. */
  isRead(): boolean;
  /** Reads the records; resolves with whether that succeeded. */
  read(): Promise<boolean>;
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
  /** Signature of the newest record of each service that this box has read or written. */
  const recorded = new Map<string, string>();
  let isRead = false;
  let stopped = false;

  const restore = (service: string, text: string) => {
    const versions = parseVersions(text);
    if (!versions) return logger.event("badRecord", { key: service, problem: "no versions" });
    recorded.set(service, signatureOf(versions));
    ports.onRestored(service, versions);
  };
  const read = async (): Promise<boolean> => {
    const answer = await stream.readNewest();
    answer.ifLeft(({ kind }) => logger.event("softwareVersionsUnread", { reason: kind }));
    answer.ifRight(({ records }) => {
      for (const { key, value } of records) if (value !== undefined) restore(key, value);
      isRead = true;
    });
    return answer.isRight();
  };
  const write = async (service: string, versions: readonly string[]) => {
    const written = await stream.put(service, JSON.stringify({ versions }));
    written.ifRight(() => void recorded.set(service, signatureOf(versions)));
    written.ifLeft(({ kind }) =>
      logger.event("softwareVersionsNotKept", { service, reason: kind }),
    );
  };
  const writeChanged = async () => {
    for (const [service, versions] of ports.current()) {
      if (recorded.get(service) === signatureOf(versions) || !ports.isWriter(service)) continue;
      await write(service, versions);
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
    read,
    async start() {
      void run();
    },
    async stop() {
      stopped = true;
    },
  };
}
