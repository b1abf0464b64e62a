/** Holds the folded state of one box, and keeps the newest records to relay them to peers. */
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

/** Newest records kept for peers; one that lacks more takes the whole state. */
const minRecentRecords = 512;

/** Called for each thing that a record did. */
export type FoldListener = (event: FoldEvent, entry: LogEntry) => void;

export interface StateStore {
  state(): FoldedState;
  /** The desired state, rebuilt only after a change. */
  desired(): DesiredState;
  /** Whether there is a state to serve from: an empty start is not one. */
  ready(): boolean;
  /** Says that the log has been read to its end, so that even an empty state is the true one. */
  markReady(): void;
  /** Folds those of the entries that come next; others are passed over. */
  ingest(entries: readonly LogEntry[]): void;
  /** Takes over a state that is further on; an older one is refused. */
  replace(state: FoldedState): boolean;
  /** Records after `offset`, oldest first; empty where they are no longer kept. */
  recentAfter(offset: Offset, limit: number): readonly LogEntry[];
  onFold(listener: FoldListener): void;
  /** Called after the state was taken over as a whole. */
  onReplace(listener: () => void): void;
}

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
    const foldEvents = applyEntry(state, entry);
    recent.push(entry);
    if (recent.length > 2 * minRecentRecords) recent = recent.slice(-minRecentRecords);
    for (const event of foldEvents) {
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
    replace(newer) {
      if (newer.offset <= state.offset) return false;
      const before = state.offset;
      state = newer;
      desired = undefined;
      recent = [];
      isReady = true;
      invariant(state.offset > before, "state-moves-forward");
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
