/** The platform's append-only log. */
import type { LogFailure } from "@linkfall/errors";
import { serviceName } from "@linkfall/kernel";
import type { LogEntry, Offset } from "@linkfall/types";
import type { Either } from "purify-ts";

/** Names of linkfall's streams in the log. */
export const streams = { state: "linkfall-state", audit: "linkfall-audit" } as const;
export type StreamName = (typeof streams)[keyof typeof streams];

/** Consecutive records in offset order. */
export interface ReadBatch {
  readonly entries: readonly LogEntry[];
  /** Offset of the newest record in the log; 0 for an empty stream. */
  readonly newest: Offset;
}

export interface LogPort {
  /** Appends one record and returns its offset. The record may be in the log even if this fails. */
  append(stream: StreamName, data: string): Promise<Either<LogFailure, Offset>>;
  /** Reads up to `limit` records from offset `from` on. */
  read(stream: StreamName, from: Offset, limit: number): Promise<Either<LogFailure, ReadBatch>>;
}

export const logPortName = serviceName<LogPort>("log-port");
