/** Holds the folded state of one box, and keeps the newest records for peers. */
import { invariant } from "@linkfall/errors";
import { serviceName } from "@linkfall/kernel";
import {
  applyEntry,
  type DesiredState,
  desiredStateOf,
  emptyState,
  type FoldedState,
  type FoldEvent,
} from "@linkfall/state-fold";
import type { LogEntry, Offset } from "@linkfall/types";

/** Minimum number of records kept for peers; one that is further behind fetches the complete state. */
const minRecentRecords = 512;

/** Called with each effect of a record. */
export type FoldListener = (event: FoldEvent, entry: LogEntry) => void;

/** The folded state of one box. */
export interface StateStore {
  /** Returns the current state, which is updated in place until it is replaced. */
  state(): FoldedState;
  /** Returns the desired state, rebuilt only after a change. */
  desired(): DesiredState;
  /** Whether the state can be served from: the log was read to its end, or a complete state was received. */
  ready(): boolean;
  /** Marks the state as ready after the log has been read to its end, even if it is empty. */
  markReady(): void;
  /** Folds the entries that directly follow the current offset; others are ignored. */
  ingest(entries: readonly LogEntry[]): void;
  /** Replaces the state by a newer one; returns false if it is not newer. */
  replace(state: FoldedState): boolean;
  /** Returns up to `limit` records after `offset`, oldest first; empty if they are no longer kept. */
  recentAfter(offset: Offset, limit: number): readonly LogEntry[];
  /** Calls the listener with each effect of a folded record. */
  onFold(listener: FoldListener): void;
  /** Calls the listener after the state was replaced. */
  onReplace(listener: () => void): void;
}

/** Name of the store in the kernel. */
export const stateStoreName = serviceName<StateStore>("state-store");

/** Creates a store with the state before the first record. */
export function createStateStore(): StateStore {
  let state = emptyState();
  let desired: DesiredState | undefined;
  let isReady = false;
  let recent: LogEntry[] = [];
  const foldListeners: FoldListener[] = [];
  const replaceListeners: (() => void)[] = [];

  const fold = (entry: LogEntry) => {
    const effects = applyEntry(state, entry);
    recent.push(entry);
    if (recent.length > 2 * minRecentRecords) recent = recent.slice(-minRecentRecords);
    for (const event of effects) {
      if (event.type === "write_accepted") desired = undefined;
      for (const listener of foldListeners) listener(event, entry);
    }
  };

  return {
    state: () => state,
    desired: () => (desired ??= desiredStateOf(state)),
    ready: () => isReady,
    markReady() {
      isReady = true;
    },
    ingest(entries) {
      for (const entry of entries) {
        if (entry.offset === state.offset + 1) fold(entry);
      }
    },
    replace(newState) {
      if (newState.offset <= state.offset) return false;
      const previousOffset = state.offset;
      state = newState;
      desired = undefined;
      recent = [];
      isReady = true;
      invariant(state.offset > previousOffset, "state-moves-forward");
      for (const listener of replaceListeners) listener();
      return true;
    },
    recentAfter(offset, limit) {
      const start = recent.findIndex((entry) => entry.offset === offset + 1);
      return start < 0 ? [] : recent.slice(start, start + limit);
    },
    onFold: (listener) => void foldListeners.push(listener),
    onReplace: (listener) => void replaceListeners.push(listener),
  };
}
