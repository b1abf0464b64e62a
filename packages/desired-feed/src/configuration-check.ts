/** Asks the store whether the configuration of this box is the newest. */
import type { LogFailure } from "@linkfall/errors";
import type { Clock } from "@linkfall/kernel";
import type { KeyedBatch, KeyedStreamPort } from "@linkfall/ports";
import type { ListPosition, Milliseconds } from "@linkfall/types";
import type { Either } from "purify-ts";

export interface ConfigurationCheck {
  /** Applies what the store has beyond what this box knows; resolves with false if the store can't tell. */
  isNewest(): Promise<boolean>;
}

export interface ConfigurationCheckInput {
  readonly clock: Clock;
  readonly stream: KeyedStreamPort;
  apply(batch: KeyedBatch): void;
  onFailure(failure: LogFailure): void;
}

/** Time for which an answer of the store counts, so that requests without a route cost few calls. */
const validMs: Milliseconds = 500;

/** Creates a check; checks at the same time share one call. */
export function createConfigurationCheck({
  clock,
  stream,
  apply,
  onFailure,
}: ConfigurationCheckInput): ConfigurationCheck {
  let position: ListPosition | undefined;
  let confirmedAt: Milliseconds = -Infinity;
  let pending: Promise<boolean> | undefined;

  const readOn = async (): Promise<Either<LogFailure, KeyedBatch>> => {
    if (!position) return stream.readNewest();
    const changes = await stream.readChanges(position.end, 0);
    const { generation } = position;
    // The store may have come back from an older copy, or have dropped what follows the position.
    const isDiscontinued = changes.caseOf({
      Left: ({ kind }) => kind === "log_truncated",
      Right: (batch) => batch.generation !== generation,
    });
    return isDiscontinued ? stream.readNewest() : changes;
  };
  const check = async (): Promise<boolean> => {
    const askedAt = clock.now();
    const answer = await readOn();
    pending = undefined;
    answer.ifLeft(onFailure).ifRight((batch) => {
      apply(batch);
      position = { end: batch.end, generation: batch.generation };
      if (!batch.isPartial) confirmedAt = askedAt;
    });
    return confirmedAt >= askedAt;
  };

  return {
    async isNewest() {
      if (clock.now() - confirmedAt < validMs) return true;
      return (pending ??= check());
    },
  };
}
