/** Streams accepted writes and model status changes to watchers. */
import { clockName, type Kernel, randomName, repeatEvery, type Service } from "@linkfall/kernel";
import type { BodyPart } from "@linkfall/ports";
import { stateStoreName } from "@linkfall/state-store";
import type { Milliseconds, Revision } from "@linkfall/types";
import { Right } from "purify-ts";
import type { WatchEvent } from "./api-types.js";
import type { StatusView } from "./status-view.js";

const statusPollIntervalMs: Milliseconds = 500;
/** Maximum number of events queued for a watcher. A slower one is disconnected and has to reconnect. */
const maxPendingEvents = 1_000;

interface Watcher {
  readonly pending: WatchEvent[];
  wake: () => void;
  overflowed: boolean;
}

export interface Watchers extends Service {
  /**
   * Streams server-sent events: the accepted writes after `after`, the status of all models, then new
   * events until `signal` is aborted.
   */
  watch(after: Revision, signal: AbortSignal): AsyncIterable<BodyPart>;
}

function formatEvent(event: WatchEvent): BodyPart {
  return Right(Buffer.from(`event: ${event.type}\ndata: ${JSON.stringify(event)}\n\n`));
}

/** Creates the watchers of this box. While started, it polls the status of models for changes. */
export function createWatchers(kernel: Kernel, status: StatusView): Watchers {
  const store = kernel.find(stateStoreName);
  const watchers = new Set<Watcher>();
  const lastSent = new Map<string, string>();

  const publish = (event: WatchEvent) => {
    for (const watcher of watchers) {
      watcher.overflowed ||= watcher.pending.length >= maxPendingEvents;
      if (!watcher.overflowed) watcher.pending.push(event);
      watcher.wake();
    }
  };

  store.onFold((event) => {
    if (event.type !== "write_accepted") return;
    const write = store.state().history.at(-1);
    if (write) publish({ type: "write", write });
  });

  const publishChangedModels = () => {
    if (watchers.size === 0) return;
    for (const model of status.models()) {
      const serialised = JSON.stringify(model);
      if (lastSent.get(model.model) === serialised) continue;
      lastSent.set(model.model, serialised);
      publish({ type: "model", status: model });
    }
  };

  const loop = repeatEvery(
    kernel.find(clockName),
    kernel.find(randomName),
    statusPollIntervalMs,
    publishChangedModels,
  );
  return {
    async *watch(after, signal) {
      const missed = store.state().history.filter((write) => write.revision > after);
      const pending = missed.map((write): WatchEvent => ({ type: "write", write }));
      pending.push(
        ...status.models().map((model): WatchEvent => ({ type: "model", status: model })),
      );
      const watcher: Watcher = { pending, wake: () => undefined, overflowed: false };
      watchers.add(watcher);
      signal.addEventListener("abort", () => watcher.wake(), { once: true });
      try {
        while (!signal.aborted && !watcher.overflowed) {
          for (const event of watcher.pending.splice(0)) yield formatEvent(event);
          if (watcher.pending.length > 0 || signal.aborted) continue;
          await new Promise<void>((resolve) => (watcher.wake = resolve));
        }
      } finally {
        watchers.delete(watcher);
      }
    },
    start: loop.start,
    stop: loop.stop,
  };
}
