/** Checks whether an artifact is still served after one of its copies is unloaded. */
import { settingsName } from "@linkfall/config";
import { clockName, type Kernel } from "@linkfall/kernel";
import { targetWatchName } from "@linkfall/target-watch";
import type { Engine, Order, Resident } from "@linkfall/types";
import type { PoolContext } from "./pool-context.js";

type UnloadOrder = Extract<Order, { readonly kind: "unload" }>;

/** Returns whether another copy of any version serves the artifact, as far as currently known. */
export type ServedElsewhereCheck = (order: UnloadOrder) => boolean;

/** Returns a key for the copy of an artifact on an accelerator. */
function copyKey(copy: {
  readonly engine: string;
  readonly accelerator: number;
  readonly artifact: string;
}): string {
  return `${copy.engine}/${copy.accelerator}/${copy.artifact}`;
}

/** Creates the check for a session. */
export function createServedElsewhereCheck(
  kernel: Kernel,
  context: PoolContext,
): ServedElsewhereCheck {
  const clock = kernel.find(clockName);
  const watch = kernel.find(targetWatchName);
  const { silent_lost_ms: silentLostMs } = kernel.find(settingsName).targets;

  /** Returns the artifacts on an engine; none if it is leaving or has not reported for too long. */
  const availableResidents = (engine: Engine): readonly Resident[] => {
    const watched = context.reportOf(engine.name);
    const isLost = !watched || clock.now() - watched.receivedAt > silentLostMs;
    return isLost || watch.isLeaving(engine) ? [] : watched.report.residents;
  };

  return (order) => {
    // Artifacts that are no longer declared need no remaining copy.
    if (order.cause === "undeclared") return true;
    const anyVersion = order.artifact.slice(0, order.artifact.lastIndexOf("@") + 1);
    const openOrders = context.openOrders.all().map((entry) => entry.order);
    const unloadingKeys = new Set(
      [...openOrders, order].flatMap((other) => (other.kind === "unload" ? [copyKey(other)] : [])),
    );
    return context
      .engines()
      .some((engine) =>
        availableResidents(engine).some(
          (copy) =>
            copy.state === "ready" &&
            copy.artifact.startsWith(anyVersion) &&
            !unloadingKeys.has(copyKey({ ...copy, engine: engine.name })),
        ),
      );
  };
}
