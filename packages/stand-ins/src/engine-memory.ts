/** The memory of an engine stand-in and the orders that change it. It asserts what only it can see. */
import type { Engine, EngineRole, Order, OrderReply, Resident } from "@linkfall/types";
import type { WeightStoreCore } from "./weight-store-core.js";

const maxSettledOrders = 1_000;
/** Settled orders that a report shows; a repeated order is shown anew. */
const maxReportedOrders = 64;

/** What the memory asks of the rest of the engine. */
export interface MemoryHooks {
  /** Whether requests still run on an artifact. */
  isBusy(artifact: string, accelerator: number): boolean;
  onChange(): void;
  /** A promise of the system was broken. */
  onViolation(text: string): void;
  /** An artifact is about to go by order. */
  onUnload(artifact: string): void;
}

export interface EngineMemory {
  readonly residents: readonly Resident[];
  readonly role: EngineRole;
  readonly settledOrders: readonly string[];
  order(order: Order): OrderReply;
  /** Refuses an order for good: it is settled without an effect. */
  refuse(order: Order, reason: string): OrderReply;
  /** Removes what was waiting for requests that have now ended. */
  releaseIdle(): void;
  /** Stops everything under way; the memory is given up with the engine's start. */
  destroy(): void;
}

/** Creates the empty memory of one engine start. */
export function createEngineMemory(
  engine: Engine,
  store: Pick<WeightStoreCore, "load">,
  hooks: MemoryHooks,
): EngineMemory {
  let residents: Resident[] = [];
  let role: EngineRole = "mixed";
  let settledIds: string[] = [];
  /** How to end the loads that are under way. */
  const loadCancellations = new Map<Resident, () => void>();

  const capacity = (accelerator: number, forRole: EngineRole) =>
    engine.acceleratorsMb[accelerator] - (forRole === "batch" ? engine.batchReserveMb : 0);
  const used = (accelerator: number) =>
    residents
      .filter((resident) => resident.accelerator === accelerator)
      .reduce((sum, resident) => sum + resident.sizeMb, 0);
  const find = (artifact: string, accelerator: number) =>
    residents.find(
      (resident) => resident.artifact === artifact && resident.accelerator === accelerator,
    );
  const replace = (before: Resident, after?: Resident) => {
    residents = residents.flatMap((entry) => (entry === before ? (after ? [after] : []) : [entry]));
    hooks.onChange();
  };
  const refusal = (reason: string): OrderReply => ({ kind: "refused", reason });
  const settle = (order: Order) => {
    const others = settledIds.filter((id) => id !== order.id);
    settledIds = [...others, order.id].slice(-maxSettledOrders);
    hooks.onChange();
  };

  const load = (order: Extract<Order, { kind: "load" }>): OrderReply => {
    const { artifact, accelerator, sizeMb } = order;
    const existing = find(artifact, accelerator);
    if (existing && existing.state !== "unloading") return { kind: "accepted" };
    if (used(accelerator) + sizeMb > capacity(accelerator, role)) {
      hooks.onViolation(`memory overcommitted on ${engine.name}/${accelerator} by ${artifact}`);
      return refusal("no memory");
    }
    const resident: Resident = { artifact, accelerator, sizeMb, state: "loading" };
    residents = [...residents, resident];
    const cancel = store.load(sizeMb, () => {
      loadCancellations.delete(resident);
      replace(resident, { ...resident, state: "ready" });
    });
    loadCancellations.set(resident, cancel);
    return { kind: "accepted" };
  };

  const unload = (order: Extract<Order, { kind: "unload" }>): OrderReply => {
    const existing = find(order.artifact, order.accelerator);
    if (!existing || existing.state === "unloading") return { kind: "accepted" };
    if (existing.state === "ready") hooks.onUnload(existing.artifact);
    if (existing.state === "ready" && hooks.isBusy(existing.artifact, existing.accelerator)) {
      replace(existing, { ...existing, state: "unloading" });
    } else {
      loadCancellations.get(existing)?.();
      loadCancellations.delete(existing);
      replace(existing);
    }
    return { kind: "accepted" };
  };

  const changeRole = (newRole: EngineRole): OrderReply => {
    const overcommitted = engine.acceleratorsMb.some(
      (_, index) => used(index) > capacity(index, newRole),
    );
    if (overcommitted) {
      hooks.onViolation(`memory overcommitted on ${engine.name} by role ${newRole}`);
      return refusal("no memory");
    }
    role = newRole;
    return { kind: "accepted" };
  };

  const applyOrder = (order: Order): OrderReply => {
    if (order.kind === "load") return load(order);
    if (order.kind === "unload") return unload(order);
    return changeRole(order.role);
  };

  return {
    get residents() {
      return residents;
    },
    get role() {
      return role;
    },
    get settledOrders() {
      return settledIds.slice(-maxReportedOrders);
    },
    order(order) {
      if (settledIds.includes(order.id)) {
        settle(order);
        return { kind: "accepted" };
      }
      const reply = applyOrder(order);
      settle(order);
      return reply;
    },
    refuse(order, reason) {
      settle(order);
      return refusal(reason);
    },
    releaseIdle() {
      const unloading = residents.filter((resident) => resident.state === "unloading");
      for (const resident of unloading) {
        if (!hooks.isBusy(resident.artifact, resident.accelerator)) replace(resident);
      }
    },
    destroy() {
      for (const cancel of loadCancellations.values()) cancel();
      loadCancellations.clear();
    },
  };
}
