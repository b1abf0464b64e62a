/**
 * Memory accounting per accelerator, based on the engine's report and all orders that may still
 * take effect. Memory is only free if neither uses it.
 */
import { invariant } from "@linkfall/errors";
import type {
  Engine,
  EngineReport,
  EngineRole,
  LoadOrder,
  Mebibytes,
  Order,
  Resident,
} from "@linkfall/types";

/** Memory state of one accelerator. */
export interface AcceleratorLedger {
  readonly index: number;
  readonly capacityMb: Mebibytes;
  readonly residents: readonly Resident[];
  /** Load orders that may still take effect and are not visible in the report yet. */
  readonly pendingLoads: readonly LoadOrder[];
  /** Artifacts that a pending unload order may still remove. */
  readonly pendingUnloads: ReadonlySet<string>;
  /** Negative if an operator has declared less memory than is in use. */
  readonly freeMb: Mebibytes;
}

/** Returns the memory available for weights on an accelerator in the given role. */
export function weightCapacityMb(engine: Engine, index: number, role: EngineRole): Mebibytes {
  const totalMb = engine.acceleratorsMb[index];
  return role === "batch" ? totalMb - engine.batchReserveMb : totalMb;
}

/**
 * Returns the minimum capacity over the reported role and all roles that pending orders may set.
 */
function minCapacityMb(
  engine: Engine,
  index: number,
  report: EngineReport,
  orders: readonly Order[],
) {
  const pendingRoles = orders.flatMap((order) => (order.kind === "role" ? [order.role] : []));
  const roles = [report.role, ...pendingRoles];
  return Math.min(...roles.map((role) => weightCapacityMb(engine, index, role)));
}

function totalSizeMb(items: readonly { readonly sizeMb: Mebibytes }[]): Mebibytes {
  return items.reduce((sum, item) => sum + item.sizeMb, 0);
}

/** Returns whether the report already includes the memory of the load order. */
function isLoadReported(residents: readonly Resident[], order: LoadOrder): boolean {
  return residents.some(
    (resident) => resident.artifact === order.artifact && resident.state !== "unloading",
  );
}

/**
 * Computes the ledgers of all accelerators of an engine.
 *
 * @param unresolved orders that the engine has not reported as settled yet
 */
export function computeLedgers(
  engine: Engine,
  report: EngineReport,
  unresolved: readonly Order[],
): readonly AcceleratorLedger[] {
  return engine.acceleratorsMb.map((_, index) => {
    const residents = report.residents.filter((resident) => resident.accelerator === index);
    const acceleratorOrders = unresolved.filter(
      (order) => order.kind !== "role" && order.accelerator === index,
    );
    const pendingLoads = acceleratorOrders
      .filter((order) => order.kind === "load")
      .filter((order) => !isLoadReported(residents, order));
    const unloadedArtifacts = acceleratorOrders.flatMap((order) =>
      order.kind === "unload" ? [order.artifact] : [],
    );
    const capacityMb = minCapacityMb(engine, index, report, unresolved);
    return {
      index,
      capacityMb,
      residents,
      pendingLoads,
      pendingUnloads: new Set(unloadedArtifacts),
      freeMb: capacityMb - totalSizeMb(residents) - totalSizeMb(pendingLoads),
    };
  });
}

/** Asserts, immediately before an order is sent, that it cannot overcommit memory. */
export function assertMemoryAvailable(
  order: Order,
  engine: Engine,
  report: EngineReport,
  unresolved: readonly Order[],
): void {
  const ledgersAfter = computeLedgers(engine, report, [...unresolved, order]);
  const mayReduceFreeMemory = order.kind === "load" || order.kind === "role";
  if (!mayReduceFreeMemory) return;
  const affected = order.kind === "load" ? [ledgersAfter[order.accelerator]] : ledgersAfter;
  for (const ledger of affected) {
    invariant(
      ledger.freeMb >= 0,
      "memory-never-overcommitted",
      () => `${order.kind} ${order.id} on ${engine.name}/${ledger.index}: ${ledger.freeMb} MB free`,
    );
  }
}
