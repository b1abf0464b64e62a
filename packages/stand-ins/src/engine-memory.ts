/** The memory of an engine stand-in and the orders that change it. It asserts what only it can see. */
import type { Engine, EngineRole, Order, OrderReply, Resident } from "@linkfall/types";
import type { WeightStoreCore } from "./weight-store-core.js";

const rememberedOrders = 1_000;
/** Settled orders that a report shows; a repeated order is shown anew. */
const shownOrders = 64;

/** What the memory asks of the rest of the engine. */
export interface MemoryHooks {
  /** Whether requests still run on an artifact. */
  busy(artifact: string, accelerator: number): boolean;
  changed(): void;
  /** A promise of the system was broken. */
  violation(text: string): void;
  /** An artifact is about to go by order. */
  unloads(artifact: string): void;
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
  let settled: string[] = [];
  /** How to end the loads that are under way. */
  const loading = new Map<Resident, () => void>();

  const capacity = (accelerator: number, inRole: EngineRole) =>
    engine.acceleratorsMb[accelerator] - (inRole === "batch" ? engine.batchReserveMb : 0);
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
    hooks.changed();
  };
  const refused = (reason: string): OrderReply => ({ kind: "refused", reason });
  const settle = (order: Order) => {
    const others = settled.filter((id) => id !== order.id);
    settled = [...others, order.id].slice(-rememberedOrders);
    hooks.changed();
  };

  const load = (order: Extract<Order, { kind: "load" }>): OrderReply => {
    const { artifact, accelerator, sizeMb } = order;
    const there = find(artifact, accelerator);
    if (there && there.state !== "unloading") return { kind: "accepted" };
    if (used(accelerator) + sizeMb > capacity(accelerator, role)) {
      hooks.violation(`memory overcommitted on ${engine.name}/${accelerator} by ${artifact}`);
      return refused("no memory");
    }
    const resident: Resident = { artifact, accelerator, sizeMb, state: "loading" };
    residents = [...residents, resident];
    const cancel = store.load(sizeMb, () => {
      loading.delete(resident);
      replace(resident, { ...resident, state: "ready" });
    });
    loading.set(resident, cancel);
    return { kind: "accepted" };
  };

  const unload = (order: Extract<Order, { kind: "unload" }>): OrderReply => {
    const there = find(order.artifact, order.accelerator);
    if (!there || there.state === "unloading") return { kind: "accepted" };
    if (there.state === "ready") hooks.unloads(there.artifact);
    if (there.state === "ready" && hooks.busy(there.artifact, there.accelerator)) {
      replace(there, { ...there, state: "unloading" });
    } else {
      loading.get(there)?.();
      loading.delete(there);
      replace(there);
    }
    return { kind: "accepted" };
  };

  const changeRole = (wanted: EngineRole): OrderReply => {
    const full = engine.acceleratorsMb.some((_, index) => used(index) > capacity(index, wanted));
    if (full) {
      hooks.violation(`memory overcommitted on ${engine.name} by role ${wanted}`);
      return refused("no memory");
    }
    role = wanted;
    return { kind: "accepted" };
  };

  const carryOut = (order: Order): OrderReply => {
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
      return settled.slice(-shownOrders);
    },
    order(order) {
      if (settled.includes(order.id)) {
        settle(order);
        return { kind: "accepted" };
      }
      const reply = carryOut(order);
      settle(order);
      return reply;
    },
    refuse(order, reason) {
      settle(order);
      return refused(reason);
    },
    releaseIdle() {
      const going = residents.filter((resident) => resident.state === "unloading");
      for (const resident of going) {
        if (!hooks.busy(resident.artifact, resident.accelerator)) replace(resident);
      }
    },
    destroy() {
      for (const cancel of loading.values()) cancel();
      loading.clear();
    },
  };
}
