/** Tells watchers of accepted writes and of models that change state. */
import { clockName, type Kernel, randomName, repeatEvery, type Service } from "@linkfall/kernel";
import type { BodyPart } from "@linkfall/ports";
import { stateStoreName } from "@linkfall/state-store";
import type { Milliseconds, Revision } from "@linkfall/types";
import { Right } from "purify-ts";
import type { WatchEvent } from "./api-types.js";
import type { StatusView } from "./status-view.js";

const compareMs: Milliseconds = 500;
/** Events kept for a slow watcher; one that lags further is ended and begins anew. */
const keptEvents = 1_000;

interface Watcher {
  readonly waiting: WatchEvent[];
  wake: () => void;
  overrun: boolean;
}

export interface Watchers extends Service {
  /** The events from now on, with the accepted writes after `after` first. */
  watch(after: Revision, gone: AbortSignal): AsyncIterable<BodyPart>;
}

function toPart(event: WatchEvent): BodyPart {
  return Right(Buffer.from(`event: ${event.type}\ndata: ${JSON.stringify(event)}\n\n`));
}

/** Creates the watchers of one box; its life cycle is the comparing of models' states. */
export function createWatchers(kernel: Kernel, status: StatusView): Watchers {
  const store = kernel.find(stateStoreName);
  const watchers = new Set<Watcher>();
  const shown = new Map<string, string>();

  const tell = (event: WatchEvent) => {
    for (const watcher of watchers) {
      watcher.overrun ||= watcher.waiting.length >= keptEvents;
      if (!watcher.overrun) watcher.waiting.push(event);
      watcher.wake();
    }
  };

  store.onFold((event) => {
    if (event.type !== "write_accepted") return;
    const write = store.state().history.at(-1);
    if (write) tell({ type: "write", write });
  });

  const compare = () => {
    if (watchers.size === 0) return;
    for (const model of status.models()) {
      const text = JSON.stringify(model);
      if (shown.get(model.model) === text) continue;
      shown.set(model.model, text);
      tell({ type: "model", status: model });
    }
  };

  const loop = repeatEvery(kernel.find(clockName), kernel.find(randomName), compareMs, compare);
  return {
    async *watch(after, gone) {
      const past = store.state().history.filter((write) => write.revision > after);
      const waiting = past.map((write): WatchEvent => ({ type: "write", write }));
      waiting.push(
        ...status.models().map((model): WatchEvent => ({ type: "model", status: model })),
      );
      const watcher: Watcher = { waiting, wake: () => undefined, overrun: false };
      watchers.add(watcher);
      gone.addEventListener("abort", () => watcher.wake(), { once: true });
      try {
        while (!gone.aborted && !watcher.overrun) {
          for (const event of watcher.waiting.splice(0)) yield toPart(event);
          if (watcher.waiting.length > 0 || gone.aborted) continue;
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
