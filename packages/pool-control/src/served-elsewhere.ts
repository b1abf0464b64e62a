/** Whether a model or adapter goes on being served when one of its copies goes. */
import { settingsName } from "@linkfall/config";
import { clockName, type Kernel } from "@linkfall/kernel";
import { targetWatchName } from "@linkfall/target-watch";
import type { Engine, Order, Resident } from "@linkfall/types";
import type { PoolContext } from "./pool-context.js";

type UnloadOrder = Extract<Order, { readonly kind: "unload" }>;

/** Says whether another copy, of any version, serves as far as is known now. */
export type ServedElsewhereCheck = (order: UnloadOrder) => boolean;

/** One key for a copy on an accelerator. */
function copyKey(copy: {
  readonly engine: string;
  readonly accelerator: number;
  readonly artifact: string;
}): string {
  return `${copy.engine}/${copy.accelerator}/${copy.artifact}`;
}

/** Creates the question for one session. */
export function createServedElsewhereCheck(
  kernel: Kernel,
  context: PoolContext,
): ServedElsewhereCheck {
  const clock = kernel.find(clockName);
  const watch = kernel.find(targetWatchName);
  const { silent_lost_ms: lostMs } = kernel.find(settingsName).targets;

  /** What an engine holds; nothing counts on one that is silent for long, or leaving. */
  const countedResidents = (engine: Engine): readonly Resident[] => {
    const watched = context.reportOf(engine.name);
    const isLost = !watched || clock.now() - watched.receivedAt > lostMs;
    return isLost || watch.isLeaving(engine) ? [] : watched.report.residents;
  };

  return (order) => {
    // What nobody declares any more needs no copy.
    if (order.cause === "undeclared") return true;
    const anyVersion = order.artifact.slice(0, order.artifact.lastIndexOf("@") + 1);
    const unloads = context.openOrders.all().map((entry) => entry.order);
    const going = new Set(
      [...unloads, order].flatMap((each) => (each.kind === "unload" ? [copyKey(each)] : [])),
    );
    return context
      .engines()
      .some((engine) =>
        countedResidents(engine).some(
          (copy) =>
            copy.state === "ready" &&
            copy.artifact.startsWith(anyVersion) &&
            !going.has(copyKey({ ...copy, engine: engine.name })),
        ),
      );
  };
}
