/**
 * One ledger for each accelerator: what the engine reports, and every order that may still take
 * effect. Memory is free only when neither says otherwise.
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

/** The memory of one accelerator as far as it may be counted on. */
export interface AcceleratorLedger {
  readonly index: number;
  readonly capacityMb: Mebibytes;
  readonly residents: readonly Resident[];
  /** Load orders that may still take effect and do not show in the report. */
  readonly pendingLoads: readonly LoadOrder[];
  /** Artifacts that an unload order may still remove. */
  readonly pendingUnloads: ReadonlySet<string>;
  /** May be negative where an operator has declared less memory than is in use. */
  readonly freeMb: Mebibytes;
}

/** Weight memory of an accelerator in a role. */
export function weightCapacityMb(engine: Engine, index: number, role: EngineRole): Mebibytes {
  const whole = engine.acceleratorsMb[index];
  return role === "batch" ? whole - engine.batchReserveMb : whole;
}

/** The least capacity over the reported role and every role that an order may still bring. */
function minCapacityMb(
  engine: Engine,
  index: number,
  report: EngineReport,
  orders: readonly Order[],
) {
  const ordered = orders.flatMap((order) => (order.kind === "role" ? [order.role] : []));
  const roles = [report.role, ...ordered];
  return Math.min(...roles.map((role) => weightCapacityMb(engine, index, role)));
}

function totalSizeMb(parts: readonly { readonly sizeMb: Mebibytes }[]): Mebibytes {
  return parts.reduce((sum, part) => sum + part.sizeMb, 0);
}

/** Whether the report already shows the memory that the order asks for. */
function isLoadReported(residents: readonly Resident[], order: LoadOrder): boolean {
  return residents.some(
    (resident) => resident.artifact === order.artifact && resident.state !== "unloading",
  );
}

/**
 * The ledgers of one engine.
 *
 * @param unresolved orders that the engine has not yet shown as settled
 */
export function computeLedgers(
  engine: Engine,
  report: EngineReport,
  unresolved: readonly Order[],
): readonly AcceleratorLedger[] {
  return engine.acceleratorsMb.map((_, index) => {
    const residents = report.residents.filter((resident) => resident.accelerator === index);
    const here = unresolved.filter((order) => order.kind !== "role" && order.accelerator === index);
    const pendingLoads = here
      .filter((order) => order.kind === "load")
      .filter((order) => !isLoadReported(residents, order));
    const unloads = here.flatMap((order) => (order.kind === "unload" ? [order.artifact] : []));
    const capacityMb = minCapacityMb(engine, index, report, unresolved);
    return {
      index,
      capacityMb,
      residents,
      pendingLoads,
      pendingUnloads: new Set(unloads),
      freeMb: capacityMb - totalSizeMb(residents) - totalSizeMb(pendingLoads),
    };
  });
}

/** Asserts, right before an order is given, that it cannot overcommit memory. */
export function assertMemoryAvailable(
  order: Order,
  engine: Engine,
  report: EngineReport,
  unresolved: readonly Order[],
): void {
  const after = computeLedgers(engine, report, [...unresolved, order]);
  const mayShrink = order.kind === "load" || order.kind === "role";
  if (!mayShrink) return;
  const touched = order.kind === "load" ? [after[order.accelerator]] : after;
  for (const ledger of touched) {
    invariant(
      ledger.freeMb >= 0,
      "memory-never-overcommitted",
      () => `${order.kind} ${order.id} on ${engine.name}/${ledger.index}: ${ledger.freeMb} MB free`,
    );
  }
}
